package worker

import (
	"testing"
	"time"
)

// Guards against applying cache, load and failure state of a crashed worker to its next
// incarnation.
func TestLaterIncarnationResetsState(t *testing.T) {
	first, second := testStart, testStart.Add(time.Minute)
	parts := []Part{{ID: "p", Tokens: 500}}
	tests := []struct {
		name    string
		listed  time.Time
		next    time.Time
		forgets bool
		born    time.Time // start time listed in the end
	}{
		{"same incarnation", first, first, false, first},
		{"later incarnation", first, second, true, second},
		{"delayed entry of an earlier incarnation", second, first, false, second},
		{"entry without a start time", first, time.Time{}, false, first},
		{"first entry with a start time", time.Time{}, first, true, first},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := NewPool(DefaultSettings("a"))
			p.SetCapacity("s", 100_000)
			p.Put(Worker{ID: "w", Service: "s", Slots: 4, StartedAt: test.listed})
			p.Begin("w", 300)
			p.RecordSent("w", parts)
			p.RecordLoad(testStart, "w", Load{Running: 4, Slots: 4})
			p.RecordRefused(testStart, "w")
			p.Put(Worker{ID: "w", Service: "s", Slots: 4, StartedAt: test.next})
			e := p.entries["w"]
			forgotten := e.inFlight == 0 && e.pendingTokens == 0 && e.otherInFlight == 0 && e.failures == 0 && e.downUntil.IsZero() && e.parts.cachedTokens(parts) == 0
			if forgotten != test.forgets {
				t.Errorf("state reset: %t, %+v", forgotten, e)
			}
			if current, ok := p.CurrentIncarnation("w"); !ok || !current.StartedAt.Equal(test.born) {
				t.Errorf("start time %v, want %v", current.StartedAt, test.born)
			}
		})
	}
}

func TestIncarnationString(t *testing.T) {
	if got := (Incarnation{ID: "w"}).String(); got != "w" {
		t.Error(got)
	}
	if got := (Incarnation{ID: "w", StartedAt: time.UnixMilli(12)}).String(); got != "w@12" {
		t.Error(got)
	}
}
