package frontend

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// firstRoomPause is about how long a pool of a few workers takes to have a slot
	// again that others don't take at once; it doubles up to lastRoomPause.
	firstRoomPause = 20 * time.Millisecond
	lastRoomPause  = 160 * time.Millisecond
	// sendsAfterPause bounds the offers after each pause: what waits must not keep
	// full workers from their work.
	sendsAfterPause = 2
	// mostRoomWait after a request's arrival it is refused, with the time to come
	// back: workers that have had no slot for so long are short of more than a moment.
	mostRoomWait = 2 * time.Second
)

// roomWait is how a request waits for workers that have turned it away.
type roomWait struct {
	sends int // left before the next pause
	pause time.Duration
}

// next gives the next pause, spread so that requests that were turned away together
// don't come back together.
func (w *roomWait) next() time.Duration {
	w.pause = min(max(2*w.pause, firstRoomPause), lastRoomPause)
	w.sends = sendsAfterPause
	return w.pause/2 + rand.N(w.pause)
}

// awaitRoom waits a moment where full workers have turned the request away, and lets
// these be tried again. False when the request is to be given up.
func (x *exchange) awaitRoom(ctx context.Context, room *roomWait, last attemptResult) bool {
	if len(x.turnedAwayBy) == 0 || last.verdict != notRun || !x.maySendAgain(last) {
		return false
	}
	pause := room.next()
	if until := time.Now().Add(pause); until.After(x.order().Last) || until.After(x.arrived.Add(mostRoomWait)) {
		return false
	}
	x.note("room_awaited", last.failure).WithField("pause_ms", pause.Milliseconds()).Info("All workers tried are full; a request waits for room.")
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
