package worker

import (
	"testing"
	"time"
)

// A worker crashed and started again under its id and address; what was believed of the
// start before (kept parts, requests in hand, failures, its load) was believed of the new
// one, since nothing told the two apart.
func TestALaterStartBeginsWithNothing(t *testing.T) {
	first, second := start, start.Add(time.Minute)
	parts := []Part{{ID: "p", Tokens: 500}}
	tests := []struct {
		name    string
		listed  time.Time
		next    time.Time
		forgets bool
		born    time.Time // that is listed in the end
	}{
		{"the same start", first, first, false, first},
		{"a later start", first, second, true, second},
		{"an earlier start's late word", second, first, false, second},
		{"an entry that tells none", first, time.Time{}, false, first},
		{"the first that tells", time.Time{}, first, true, first},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := NewPool(DefaultSettings("a"))
			p.SetCapacity("s", 100_000)
			p.Put(Worker{ID: "w", Service: "s", Slots: 4, Born: test.listed})
			p.Begin("w", 300)
			p.Sent("w", parts)
			p.Report(start, "w", Load{Running: 4, Slots: 4})
			p.Refused(start, "w")
			p.Put(Worker{ID: "w", Service: "s", Slots: 4, Born: test.next})
			e := p.entries["w"]
			forgotten := e.own == 0 && e.ownTokens == 0 && e.others == 0 && e.failures == 0 && e.downUntil.IsZero() && e.parts.cached(parts) == 0
			if forgotten != test.forgets {
				t.Errorf("forgotten: %t, %+v", forgotten, e)
			}
			if current, ok := p.Current("w"); !ok || !current.Born.Equal(test.born) {
				t.Errorf("born %v, want %v", current.Born, test.born)
			}
		})
	}
}

func TestAnIncarnationIsNamed(t *testing.T) {
	if got := (Incarnation{ID: "w"}).String(); got != "w" {
		t.Error(got)
	}
	if got := (Incarnation{ID: "w", Born: time.UnixMilli(12)}).String(); got != "w@12" {
		t.Error(got)
	}
}
