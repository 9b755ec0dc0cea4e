package frontend

import (
	"testing"
	"time"

	"github.com/dykewing/dykewing/hold"
	"github.com/dykewing/dykewing/worker"
)

var started = time.Unix(1_700_000_000, 0)

// workedIn gives rooms that have seen requests of a service at work, one after the
// other, each for so long, and when.
func workedIn(service string, requests int, each time.Duration, workers []worker.Occupancy) (*rooms, time.Time) {
	r, now := &rooms{}, started
	r.decide(now, service, workers, hold.Request{Begin: now, Last: now.Add(time.Hour)})
	for range requests {
		r.began(now, service)
		now = now.Add(each)
		r.ended(now, service, true)
	}
	return r, now
}

func TestWhoWaitsForRoomWithoutALeader(t *testing.T) {
	const ms = time.Millisecond
	// four workers of six slots, all held, and so many more requests at each
	at := func(more int) (list []worker.Occupancy) {
		for range 4 {
			list = append(list, worker.Occupancy{Worker: worker.Worker{Slots: 6}, Others: 6 + more, Usable: true})
		}
		return list
	}
	tests := []struct {
		name        string
		requests    int           // seen
		each        time.Duration // how long a slot is held
		more        int
		begin, last time.Duration
		refuse      bool
	}{
		{"a short queue at the workers", 20, 15 * ms, 5, 100 * ms, 800 * ms, false},
		{"late, and there is time", 20, 15 * ms, 24, -ms, 800 * ms, false},
		{"slots are held for long", 20, 400 * ms, 24, 100 * ms, 800 * ms, true},
		{"late, slots are held for long", 20, 400 * ms, 12, -ms, 500 * ms, true},
		{"nothing is known: it waits", 1, 400 * ms, 24, 100 * ms, 800 * ms, false},
		{"no time is left", 20, 15 * ms, 0, -ms, -ms, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r, now := workedIn("s", test.requests, test.each, at(test.more))
			v := r.decide(now, "s", at(test.more), hold.Request{Begin: now.Add(test.begin), Last: now.Add(test.last)})
			if v.Refuse != test.refuse || v.Refuse != (v.Return > 0) {
				t.Errorf("%+v", v)
			}
		})
	}
}

// A request turned away by a worker tells nothing of how long a slot is held.
func TestOnlyWhatRanCounts(t *testing.T) {
	workers := []worker.Occupancy{{Worker: worker.Worker{Slots: 6}, Others: 6, Usable: true}}
	r, now := workedIn("s", 0, 0, workers)
	for range 50 {
		r.began(now, "s")
		now = now.Add(time.Millisecond)
		r.ended(now, "s", false)
	}
	if v := r.decide(now, "s", workers, hold.Request{Begin: now.Add(time.Second), Last: now.Add(time.Second)}); v.Known {
		t.Errorf("%+v", v)
	}
}

// Once one has waited in vain as long as any may, late ones are told at once for a while;
// those in time still wait, and find out whether there is room again.
func TestAfterAWaitInVainLateOnesAreTold(t *testing.T) {
	r, now := &rooms{}, started
	late := func() bool {
		return r.decide(now, "s", nil, hold.Request{Begin: now.Add(-1), Last: now.Add(time.Second)}).Refuse
	}
	if late() {
		t.Fatal("refused, and nothing is known")
	}
	r.inVain(now, "s")
	if !late() {
		t.Error("waits after another has waited in vain")
	}
	if r.decide(now, "s", nil, hold.Request{Begin: now.Add(time.Second), Last: now.Add(time.Second)}).Refuse {
		t.Error("one that can be in time is refused")
	}
	if now = now.Add(noRoomMemory); late() {
		t.Error("still refused after the memory's time")
	}
}

func TestThoseThatWaitHereAreAhead(t *testing.T) {
	workers := []worker.Occupancy{{Worker: worker.Worker{Slots: 6}, Others: 6, Usable: true}}
	r, now := workedIn("s", 20, 60*time.Millisecond, workers)
	before := r.decide(now, "s", workers, hold.Request{Begin: now.Add(time.Second), Last: now.Add(time.Second)})
	r.waits("s", 5)
	after := r.decide(now, "s", workers, hold.Request{Begin: now.Add(time.Second), Last: now.Add(time.Second)})
	if after.Ahead != before.Ahead+5 || after.Until <= before.Until {
		t.Errorf("%+v, then %+v", before, after)
	}
}
