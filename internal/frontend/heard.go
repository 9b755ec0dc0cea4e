package frontend

import (
	"errors"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/backend"
	"github.com/dykewing/dykewing/reservation"
	"github.com/dykewing/dykewing/worker"
)

const (
	// observationTTL is how long an observation waits for a message to the worker's
	// leader. After that the leader has newer ones from other frontends.
	observationTTL = time.Second
	// maxPendingObservations is more than the number of workers that a frontend
	// observes within observationTTL.
	maxPendingObservations = 1024
	// minStreamEvents is the number of events that a stream needs for a usable mean
	// interval.
	minStreamEvents = 5
)

// observations collects what this frontend has observed of workers and not yet reported
// to their leaders. The zero value is empty and ready to use. It is safe for concurrent
// use.
type observations struct {
	mutex   sync.Mutex // guards the fields below
	pending map[worker.Incarnation]*pendingObservation
}

// pendingObservation aggregates the observations of one worker incarnation.
type pendingObservation struct {
	createdAt       time.Time // when the first observation was made
	paceAt          time.Time
	streamTime      time.Duration // sum of the intervals between events
	streamIntervals int
	reservation.Observation
}

// update applies change to the pending observation of a worker. If
// maxPendingObservations are pending, a new one is dropped.
func (o *observations) update(now time.Time, w worker.Incarnation, change func(p *pendingObservation)) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.pending == nil {
		o.pending = map[worker.Incarnation]*pendingObservation{}
	}
	p := o.pending[w]
	if p == nil || now.Sub(p.createdAt) > observationTTL {
		o.removeExpired(now)
		if len(o.pending) >= maxPendingObservations {
			return
		}
		p = &pendingObservation{createdAt: now, Observation: reservation.Observation{Worker: w.ID, StartedAt: w.StartedAt}}
		o.pending[w] = p
	}
	change(p)
}

// removeExpired removes observations older than observationTTL. The caller holds the
// mutex.
func (o *observations) removeExpired(now time.Time) {
	for w, p := range o.pending {
		if now.Sub(p.createdAt) > observationTTL {
			delete(o.pending, w)
		}
	}
}

// recordLoad records the pace from a load report that came with a response.
func (o *observations) recordLoad(now time.Time, w worker.Incarnation, load worker.Load) {
	if load.Pace > 0 {
		o.update(now, w, func(p *pendingObservation) { p.Pace, p.paceAt = load.Pace, now })
	}
}

// recordOutcome records whether a request to a worker failed.
func (o *observations) recordOutcome(now time.Time, w worker.Incarnation, failed bool) {
	o.update(now, w, func(p *pendingObservation) {
		if failed {
			p.Failed++
		} else {
			p.Succeeded++
		}
	})
}

// recordStream records the pace of a completed stream.
func (o *observations) recordStream(now time.Time, w worker.Incarnation, pace streamPace) {
	if pace.events >= minStreamEvents && pace.workerTime > 0 {
		o.update(now, w, func(p *pendingObservation) {
			p.Streams++
			p.streamTime += pace.workerTime
			p.streamIntervals += pace.events - 1
		})
	}
}

// drain returns and removes the observations of workers for which mine returns true, at
// most reservation.MaxObservations, sorted by worker. Expired observations are removed,
// too.
func (o *observations) drain(now time.Time, filter func(id string) bool) (list []reservation.Observation) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.removeExpired(now)
	for w, p := range o.pending {
		if len(list) == reservation.MaxObservations {
			break
		}
		if !filter(w.ID) {
			continue
		}
		observation := p.Observation
		if observation.Pace > 0 {
			observation.PaceAge = now.Sub(p.paceAt)
		}
		if p.streamIntervals > 0 {
			observation.EventInterval = p.streamTime / time.Duration(p.streamIntervals)
		}
		list = append(list, observation)
		delete(o.pending, w)
	}
	slices.SortFunc(list, func(a, b reservation.Observation) int { return strings.Compare(a.Worker, b.Worker) })
	return list
}

// streamPace measures how fast a worker sends the events of a stream. Time spent
// writing events to the caller is excluded, since the caller may read slowly.
type streamPace struct {
	events        int
	workerTime    time.Duration // time spent waiting for the worker after the first event
	lastForwarded time.Time
}

func (p *streamPace) received(now time.Time) {
	if p.events > 0 {
		p.workerTime += now.Sub(p.lastForwarded)
	}
	p.events++
}

func (p *streamPace) forwarded(now time.Time) { p.lastForwarded = now }

// workerOutcome tells whether the attempt counts as a failure of the worker; ok is
// false if it counts neither way. A full worker and a lack of memory in this process
// don't count; an error that the worker attributes to the request (4xx) counts as a
// success.
func (r attemptResult) workerOutcome() (failed, ok bool) {
	switch r.status {
	case attemptServed:
		return false, true
	case attemptWorkerError:
		status := r.incoming.Response.StatusCode
		return status >= http.StatusInternalServerError || status < http.StatusBadRequest, true
	}
	if errors.Is(r.failure.Err, errMemoryBudget) {
		return false, false
	}
	return true, r.failure.Code == api.CodeUpstream || r.failure.Code == api.CodeDeadline
}

// recordOutcome records the outcome of an attempt for the worker's leader, which
// combines the observations of all frontends. Requests cancelled by their caller are
// ignored.
func (x *exchange) recordOutcome(ticket *backend.Assignment, last attemptResult) {
	if !x.frontend.usesReservations(x.service) || x.callerCancelled() {
		return
	}
	if failed, ok := last.workerOutcome(); ok {
		x.frontend.reservations.observations.recordOutcome(time.Now(), ticket.Worker.Incarnation(), failed)
	}
}

// recordStream records the pace of a completed stream for the worker's leader.
func (x *exchange) recordStream(ticket *backend.Assignment, pace streamPace) {
	if x.frontend.usesReservations(x.service) {
		x.frontend.reservations.observations.recordStream(time.Now(), ticket.Worker.Incarnation(), pace)
	}
}

// paceFields returns log fields with the expected pace of the chosen worker and its
// source; nil if the pace is unknown.
func paceFields(ticket *backend.Assignment) logrus.Fields {
	if ticket.Pace.Source == worker.PaceUnknown {
		return nil
	}
	return logrus.Fields{
		"pace": ticket.Pace.Value, "pace_source": ticket.Pace.Source, "pace_age_ms": ticket.Pace.Age.Milliseconds(),
	}
}
