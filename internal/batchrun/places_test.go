package batchrun

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/dykewing/dykewing/fill"
	"github.com/dykewing/dykewing/hold"
	"github.com/dykewing/dykewing/reservation"
)

// asked is a question for a place at a worker of the tests' service.
func asked(worker string, wait time.Duration) *reservation.Ask {
	return &reservation.Ask{Service: "lm", Worker: worker, Begin: time.Second, Last: time.Minute, Wait: wait}
}

// holding is a report of one frontend.
func holding(sequence uint64, held map[string]int) reservation.Report {
	return reservation.Report{Node: "front", Sequence: sequence, Held: held}
}

// Workers have 12 slots each.
func TestAPlaceIsWhereASlotIsFree(t *testing.T) {
	tests := []struct {
		name    string
		workers int
		held    map[string]int
		ask     *reservation.Ask
		want    string
		full    bool
	}{
		{"where the frontend would send it", 3, nil, asked("w1", 0), "w1", false},
		{"another, where that is full", 2, map[string]int{"w1": 12}, asked("w1", 0), "w0", false},
		{"one slot is left", 1, map[string]int{"w0": 11}, asked("w0", 0), "w0", false},
		{"none", 2, map[string]int{"w0": 12, "w1": 13}, asked("w1", 0), "", true},
		{"not where it was turned away", 2, map[string]int{"w1": 12}, &reservation.Ask{Service: "lm", Worker: "w1", Excluded: []string{"w0"}, Begin: time.Second, Last: time.Minute}, "", true},
		{"an unknown service", 2, nil, &reservation.Ask{Service: "other", Worker: "w0", Last: time.Minute}, "", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := testLeader(t, 0, test.workers)
			_, got := l.service.places.take(time.Now(), l.service.led(), reservation.Message{Report: holding(1, test.held), Ask: test.ask})
			if got.Worker != test.want || got.Full != test.full {
				t.Errorf("%+v", got)
			}
		})
	}
}

func TestAsManyPlacesAsSlots(t *testing.T) {
	l := testLeader(t, 0, 2)
	given := 0
	for range 30 {
		if _, got := l.service.places.take(time.Now(), l.service.led(), reservation.Message{Report: holding(1, nil), Ask: asked("w0", 0)}); got.Worker != "" {
			given++
		}
	}
	if given != 24 {
		t.Errorf("%d places at 24 slots", given)
	}
}

func TestANewLeaderGivesNoPlaceOnAGuess(t *testing.T) {
	l := testLeader(t, 0, 2)
	l.began = time.Now()
	if _, got := l.service.places.take(time.Now(), l.service.led(), reservation.Message{Report: holding(1, nil), Ask: asked("w0", 0)}); !got.Blind {
		t.Errorf("%+v", got)
	}
}

// An item gives way to a request that finds no free slot, one for each.
func TestAnItemGivesWayToARequest(t *testing.T) {
	l := testLeader(t, 12, 1)
	for _, i := range l.waiting {
		i.worker, i.cancel, i.standing = "w0", func() {}, fill.Usual
		l.running[i] = true
		if _, ok := l.service.pool.Take(l.queryOf("w0")); !ok {
			t.Fatal("no worker")
		}
	}
	for n := 1; n <= 13; n++ {
		_, got := l.service.places.take(time.Now(), l.service.led(), reservation.Message{Report: holding(1, nil), Ask: asked("w0", 0)})
		yielding := stopping(l.service.led())["w0"]
		if want := min(n, 12); yielding != want || (got.Worker == "w0") != (n <= 12) {
			t.Errorf("request %d: %+v, %d items give way", n, got, yielding)
		}
	}
}

// Requests that wait get the slots that come free, those that can be in time first.
func TestThoseThatWaitGetPlacesInTheirOrder(t *testing.T) {
	l := testLeader(t, 0, 1)
	p, now := l.service.places, time.Now()
	full := holding(1, map[string]int{"w0": 12})
	late, inTime, urgent := asked("w0", time.Minute), asked("w0", time.Minute), asked("w0", time.Minute)
	late.Begin = -time.Millisecond
	urgent.Rank = hold.Rank{Tenant: -1}
	var waits []*reservation.Waiting
	for _, ask := range []*reservation.Ask{late, inTime, urgent} {
		waiting, got := p.take(now, l.service.led(), reservation.Message{Report: full, Ask: ask})
		if waiting == nil {
			t.Fatalf("%+v", got)
		}
		waits = append(waits, waiting)
	}
	if _, got := p.take(now, l.service.led(), reservation.Message{Report: full, Ask: asked("w0", 0)}); !got.Full || got.Waiting != 3 {
		t.Errorf("one that comes later: %+v", got)
	}
	for n, want := range []int{2, 1, 0} {
		p.take(now, l.service.led(), reservation.Message{Report: holding(uint64(n+2), map[string]int{"w0": 11 - n})})
		for i, each := range waits {
			if placed := len(each.Place) == 1; placed != (i == want) {
				t.Errorf("slot %d: request %d placed: %t", n, i, placed)
			}
		}
		<-waits[want].Place
	}
}

func TestWhatCannotHaveAPlaceInTimeIsRefusedAtOnce(t *testing.T) {
	l := testLeader(t, 0, 1)
	ask := asked("w0", time.Minute)
	ask.Last = 10 * time.Millisecond
	now := time.Now()
	for i := range 20 { // twelve slots a second come free
		l.service.places.queue("lm").Line.Observe(now.Add(time.Duration(i-20)*time.Second/12), 12, 12, 1)
	}
	waits, got := l.service.places.take(now, l.service.led(), reservation.Message{Report: holding(1, map[string]int{"w0": 12}), Ask: ask})
	if waits != nil || !got.Hopeless || got.RetryAfter <= ask.Last {
		t.Errorf("%+v", got)
	}
}

// A frontend that gives up a question waits no longer.
func TestAQuestionThatIsGivenUpWaitsNoLonger(t *testing.T) {
	l := testLeader(t, 0, 1)
	p := l.service.places
	waits, got := p.take(time.Now(), l.service.led(), reservation.Message{Report: holding(1, map[string]int{"w0": 12}), Ask: asked("w0", time.Minute)})
	if waits == nil {
		t.Fatalf("%+v", got)
	}
	request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, reservation.Path, nil)
	if got := p.await(request, waits, time.Millisecond); !got.Full || p.waiting("lm") != 0 {
		t.Errorf("%+v, %d wait", got, p.waiting("lm"))
	}
}

// What a frontend that is gone held comes free.
func TestALostFrontendsPlacesComeFree(t *testing.T) {
	l := testLeader(t, 0, 1)
	p, now := l.service.places, time.Now()
	p.take(now, l.service.led(), reservation.Message{Report: holding(1, map[string]int{"w0": 12})})
	p.kick(now.Add(10 * time.Second))
	if _, got := p.take(now, l.service.led(), reservation.Message{Report: reservation.Report{Node: "other", Sequence: 1}, Ask: asked("w0", 0)}); got.Worker != "w0" {
		t.Errorf("%+v", got)
	}
}
