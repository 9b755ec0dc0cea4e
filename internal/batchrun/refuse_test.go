package batchrun

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/dykewing/dykewing/hold"
	"github.com/dykewing/dykewing/reservation"
)

// shortLeader fills one worker of 12 slots, each held for a second; twice as many
// requests as these come, and it is full.
func shortLeader(t *testing.T) (*Leader, time.Time, reservation.Report) {
	t.Helper()
	l := testLeader(t, 0, 1)
	now := time.Now()
	line := &l.service.places.queue("lm").Line
	for i := range 240 {
		at := now.Add(time.Duration(i-240) * time.Second / 12)
		line.Observe(at, 12, 12, 1)
		line.Arrived(at, hold.Rank{})
		line.Arrived(at, hold.Rank{})
		line.Placed(at, hold.Rank{}, true)
	}
	return l, now, holding(1, map[string]int{"w0": 12})
}

func hurried(begin, last time.Duration) *reservation.Ask {
	ask := asked("w0", time.Second)
	ask.Begin, ask.Last = begin, last
	return ask
}

// Two can begin in time; who comes behind them is told at once, with times that are not
// the same.
func TestInAShortageWhoCannotBeInTimeIsToldAtOnce(t *testing.T) {
	l, now, full := shortLeader(t)
	var waiting int
	told := map[time.Duration]bool{}
	for range 7 {
		waits, got := l.service.places.take(now, l.service.led(), reservation.Message{Report: full, Ask: hurried(220*time.Millisecond, 3*time.Second)})
		switch {
		case waits != nil:
			waiting++
		case got.Hopeless && got.RetryAfter > 0 && got.Until > 220*time.Millisecond:
			told[got.RetryAfter] = true
		default:
			t.Fatalf("%+v", got)
		}
	}
	if waiting < 1 || waiting > 2 || waiting+len(told) != 7 {
		t.Errorf("%d wait, told %v", waiting, told)
	}
}

// One that waits is told as soon as its slot can't come any more: its worker is lost.
func TestOneThatWaitsIsToldWhenItsHopeIsGone(t *testing.T) {
	l, now, full := shortLeader(t)
	p := l.service.places
	waits, got := p.take(now, l.service.led(), reservation.Message{Report: full, Ask: hurried(220*time.Millisecond, 3*time.Second)})
	if waits == nil {
		t.Fatalf("%+v", got)
	}
	p.kick(now.Add(100 * time.Millisecond))
	if len(waits.Place) != 0 {
		t.Fatalf("%+v while it can be in time", <-waits.Place)
	}
	p.kick(now.Add(230 * time.Millisecond))
	request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, reservation.Path, nil)
	if got := p.await(request, waits, time.Minute); !got.Hopeless || got.RetryAfter <= 0 || p.waiting("lm") != 0 {
		t.Errorf("%+v, %d wait", got, p.waiting("lm"))
	}
}

// A frontend that only looks for a free slot hears how long it would wait, and is neither
// counted nor promised one.
func TestALookIsNotRefused(t *testing.T) {
	l, now, full := shortLeader(t)
	ask := hurried(-time.Millisecond, time.Second)
	ask.Wait = 0
	_, got := l.service.places.take(now, l.service.led(), reservation.Message{Report: full, Ask: ask})
	if !got.Full || got.Until <= ask.Last || l.service.places.queue("lm").Line.Told() != 0 {
		t.Errorf("%+v, %d promises", got, l.service.places.queue("lm").Line.Told())
	}
}

// A leader that has only begun to lead knows of no rate: nobody is refused for it.
func TestANewLeaderRefusesNobody(t *testing.T) {
	l := testLeader(t, 0, 1)
	for range 50 {
		waits, got := l.service.places.take(time.Now(), l.service.led(), reservation.Message{
			Report: holding(1, map[string]int{"w0": 12}), Ask: hurried(200*time.Millisecond, 3*time.Second),
		})
		if waits == nil {
			t.Fatalf("%+v", got)
		}
	}
}

// A leader promises nothing to a request that another leader will be asked for.
func TestNothingIsPromisedToOneThatGoesElsewhere(t *testing.T) {
	l, now, full := shortLeader(t)
	ask := hurried(-time.Millisecond, 3*time.Second)
	ask.Elsewhere = true
	line := &l.service.places.queue("lm").Line
	if waits, got := l.service.places.take(now, l.service.led(), reservation.Message{Report: full, Ask: ask}); waits != nil || !got.Hopeless || line.Told() != 0 {
		t.Errorf("%+v, %d promises", got, line.Told())
	}
	ask.Elsewhere = false
	if waits, got := l.service.places.take(now, l.service.led(), reservation.Message{Report: full, Ask: ask}); waits != nil || !got.Hopeless || line.Told() != 1 {
		t.Errorf("%+v, %d promises", got, line.Told())
	}
}
