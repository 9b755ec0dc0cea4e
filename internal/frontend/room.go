package frontend

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/hold"
	"github.com/dykewing/dykewing/overload"
	"github.com/dykewing/dykewing/worker"
)

const (
	// firstRoomPause is about how long a pool of a few workers takes to have a slot
	// again that others don't take at once; it doubles up to lastRoomPause.
	firstRoomPause = 20 * time.Millisecond
	lastRoomPause  = 160 * time.Millisecond
	// sendsAfterPause bounds the offers after each pause: what waits must not keep
	// full workers from their work.
	sendsAfterPause = 2
	// noRoomMemory is how long it is believed that a wait as long as any may be is in vain.
	noRoomMemory = time.Second
	// mostRoomWait after a request's arrival it is refused, with the time to come
	// back: workers that have had no slot for so long are short of more than a moment.
	mostRoomWait = 2 * time.Second
)

// rooms is what this frontend observes of services at whose workers no leader gives
// places, or none that answers: how long its own requests hold a slot, and what workers
// tell of their load. The zero value is ready.
type rooms struct {
	mutex    sync.Mutex // guards all below
	services map[string]*shortage
}

// shortage is one service's.
type shortage struct {
	line    overload.Line
	held    int // requests of this frontend at workers
	waiting int // requests that wait here
	slots   int // of all workers, when they were last counted
	// noRoomUntil: a request has waited in vain as long as any may; until then none
	// that is late already waits.
	noRoomUntil time.Time
}

// of gives a service's; the mutex is held.
func (r *rooms) of(service string) *shortage {
	if r.services == nil {
		r.services = map[string]*shortage{}
	}
	s := r.services[service]
	if s == nil {
		s = &shortage{}
		r.services[service] = s
	}
	return s
}

// began notes a request that is sent to a worker.
func (r *rooms) began(now time.Time, service string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	s := r.of(service)
	s.held++
	s.line.Observe(now, s.slots, s.held, 0)
}

// ended notes that it has left the worker, and whether it may have run there.
func (r *rooms) ended(now time.Time, service string, ran bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	s := r.of(service)
	s.held--
	n := 0
	if ran {
		n = 1
	}
	s.line.Observe(now, s.slots, s.held, n)
}

// decide decides for a request that workers have turned away. Those ahead of it are
// those that workers told to have beyond their slots, and those that wait here.
func (r *rooms) decide(now time.Time, service string, workers []worker.Occupancy, order hold.Request) overload.Verdict {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	s := r.of(service)
	s.slots = 0
	ahead := s.waiting
	for _, w := range workers {
		s.slots += w.Slots
		ahead += max(w.Taken+w.Others-w.Slots, 0)
	}
	s.line.Observe(now, s.slots, s.held, 0)
	use := overload.Use{Rank: order.Rank, Begin: order.Begin.Sub(now), Last: order.Last.Sub(now)}
	if use.Begin <= 0 && now.Before(s.noRoomUntil) {
		use.Last = 0
	}
	return s.line.Decide(now, use, ahead)
}

// inVain notes that a request has waited here as long as any may.
func (r *rooms) inVain(now time.Time, service string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.of(service).noRoomUntil = now.Add(noRoomMemory)
}

// waits changes how many wait here.
func (r *rooms) waits(service string, by int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.of(service).waiting += by
}

// roomWait is how a request waits for workers that have turned it away.
type roomWait struct {
	sends   int // left before the next pause
	pause   time.Duration
	counted bool // among those that wait here
}

// next gives the next pause, spread so that requests that were turned away together
// don't come back together.
func (w *roomWait) next() time.Duration {
	w.pause = min(max(2*w.pause, firstRoomPause), lastRoomPause)
	w.sends = sendsAfterPause
	return w.pause/2 + rand.N(w.pause)
}

// awaitRoom waits a moment where full workers have turned the request away, and lets
// these be tried again. False when the request is to be given up: it is refused as soon
// as it is known that it can't be served in time.
func (x *exchange) awaitRoom(ctx context.Context, room *roomWait, last attemptResult) bool {
	if len(x.turnedAwayBy) == 0 || last.verdict != notRun || !x.maySendAgain(last) {
		return false
	}
	rooms, order := &x.frontend.rooms, x.order()
	x.leaveRoom(room) // it does not wait for itself
	verdict := rooms.decide(time.Now(), x.service, x.frontend.pool.Occupancies(x.service), order)
	if verdict.Refuse {
		x.refusal = api.NewError("wait for room", "", api.CodeNoCapacity, api.OutcomeNotRun,
			"%d requests go before it, %.1f slots a second come free, told to return %d", verdict.Ahead, verdict.PerSecond, verdict.Told)
		x.refusal.RetryAfter = verdict.Return
		return false
	}
	pause := room.next()
	if until := time.Now().Add(pause); until.After(order.Last) || until.After(x.arrived.Add(mostRoomWait)) {
		rooms.inVain(time.Now(), x.service)
		return false
	}
	room.counted = true
	rooms.waits(x.service, 1)
	x.note("room_awaited", last.failure).WithField("pause_ms", pause.Milliseconds()).WithField("ahead", verdict.Ahead).WithField("rate", verdict.PerSecond).
		WithField("until_ms", verdict.Until.Milliseconds()).Info("All workers tried are full; a request waits for room.")
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	x.tried = slices.DeleteFunc(x.tried, func(id string) bool { return slices.Contains(x.turnedAwayBy, id) })
	x.turnedAwayBy = nil
	return true
}

// leaveRoom counts the request no more among those that wait.
func (x *exchange) leaveRoom(room *roomWait) {
	if room.counted {
		room.counted = false
		x.frontend.rooms.waits(x.service, -1)
	}
}
