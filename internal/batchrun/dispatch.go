package batchrun

import (
	"context"
	"slices"
	"time"

	"github.com/dykewing/dykewing/fill"
	"github.com/dykewing/dykewing/internal/pause"
	"github.com/dykewing/dykewing/placement"
	"github.com/dykewing/dykewing/quarantine"
	"github.com/dykewing/dykewing/worker"
)

// mine tells whether this group's items fill a worker. Each worker is filled by one
// group, so that one leader sees all batch that it holds, asks for its load and
// makes items give way.
func (l *Leader) mine(workerID string) bool {
	return placement.WorkerGroup(workerID, l.service.groups) == l.group
}

// mostAsked workers are asked for their load in a round. A leader that fills more asks
// those where its items run, and those that had more than was told: what frontends hold is
// told by themselves.
const mostAsked = 64

// addBusy adds the workers of services for which items wait or run here; of many some each
// round.
func (l *Leader) addBusy(busy map[string]worker.Worker) {
	for service := range l.servicesNow() {
		own := l.service.pool.Workers(service, int(l.group))
		if len(own) > mostAsked {
			own = slices.DeleteFunc(own, func(w worker.Worker) bool {
				return l.service.pool.Held(w.ID) == 0 && l.service.hidden.of(w.ID) == 0
			})
			own = l.turnOf(own)
		}
		for _, w := range own {
			busy[w.ID] = w
		}
	}
}

// turnOf gives the workers that are to be asked in this round.
func (l *Leader) turnOf(workers []worker.Worker) []worker.Worker {
	if len(workers) <= mostAsked {
		return workers
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	first := l.asked % len(workers)
	l.asked += mostAsked
	turn := append(slices.Clone(workers[first:]), workers[:first]...)
	return turn[:mostAsked]
}

func (l *Leader) servicesNow() map[string]bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.services()
}

// services are those for which items wait or run; the mutex is held.
func (l *Leader) services() map[string]bool {
	services := map[string]bool{}
	for _, i := range l.waiting {
		services[i.service] = true
	}
	for i := range l.running {
		services[i.service] = true
	}
	delete(services, "")
	return services
}

// dispatchLoop sends waiting items whenever something may have changed.
func (l *Leader) dispatchLoop() {
	for {
		timer := time.NewTimer(dispatchInterval)
		select {
		case <-l.wake:
		case <-timer.C:
		case <-l.ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
		if l.dispatch() == startsAtOnce {
			pause.For(l.ctx, startPause)
			l.wakeUp()
		}
	}
}

// dispatch sends waiting items that workers have room for, and tells how many.
// Invariant: never more than startsAtOnce, so that a new leader with many open
// items still sends its heartbeats in time on a small processor.
func (l *Leader) dispatch() (started int) {
	now := time.Now()
	l.service.places.kick(now)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	room := newRooms()
	for _, service := range l.service.serviceNames() {
		l.look(now, service, room)
	}
	l.stand(now)
	full := map[string]bool{}
	kept := l.waiting[:0]
	for _, i := range l.waiting {
		if started == startsAtOnce || l.ctx.Err() != nil || now.Before(i.notUntil) || !l.try(now, i, room, full) {
			kept = append(kept, i)
			continue
		}
		started++
	}
	clear(l.waiting[len(kept):])
	l.waiting = kept
	l.service.metrics.waiting.Set(float64(len(l.waiting)))
	l.service.metrics.held.Set(float64(room.held()))
	l.service.metrics.running.Set(float64(len(l.running)))
	return started
}

// try begins one item; false when it has to wait. The mutex is held.
func (l *Leader) try(now time.Time, i *item, room rooms, full map[string]bool) bool {
	if i.path == "" && !l.describe(i) {
		return false
	}
	matched, known, found := l.service.routeOf(i.host, i.path)
	if !known {
		return false
	}
	if !found {
		l.abandon(i, "no route")
		return true
	}
	if i.job.Keep > 0 && time.Since(i.job.Created) > i.job.Keep {
		l.abandon(i, "kept long enough")
		return true
	}
	if i.failures >= matched.MaxAttempts {
		l.abandon(i, "failed often enough")
		return true
	}
	if l.quarantined(i) {
		return false
	}
	if !matched.Allows(i.service) {
		i.service = matched.Shares[0].Service
	}
	l.look(now, i.service, room)
	if full[i.service] && i.standing != fill.Pressed {
		return false
	}
	left := l.left(i)
	held := room.holds(i.service, i.standing == fill.Pressed, left)
	if held && len(room.trials) == 0 {
		return false
	}
	query := worker.Query{
		Service: i.service, Parts: i.parts, Tokens: i.tokens,
		Only: func(id string) bool {
			return room.allows(id, i.service, i.standing == fill.Pressed, l.lengths.At(id, left))
		},
	}
	if i.avoid != "" {
		query.Excluded = []string{i.avoid}
	}
	ticket, ok := l.take(now, i.standing, query)
	if !ok && held {
		return false
	}
	if !ok {
		i.avoid = ""
		full[i.service] = i.standing != fill.Pressed
		return false
	}
	if room.trials[ticket.Worker.ID] == i.service {
		l.tellTrial(now, i, ticket.Worker.ID, held)
	}
	room.take(ticket.Worker.ID, i.service)
	ctx, cancel := context.WithCancel(l.ctx)
	i.cancel, i.worker, i.since = cancel, ticket.Worker.ID, now
	l.running[i] = true
	l.suspects.began(i.worker, i)
	go l.run(ctx, i, matched.MaxAttempts, ticket)
	return true
}

// quarantined tells whether workers end under an item. It waits, for a run that is granted
// or until it may be given up: before that it must not be listed as given up.
func (l *Leader) quarantined(i *item) bool {
	guard := l.service.guard
	return guard.Watching() && guard.Holds(i.digest) && !guard.TakeGrant(i.digest)
}

// describe reads from the state what a choice of worker needs.
func (l *Leader) describe(i *item) bool {
	stored, found, err := l.state.InlineItem(i.job.ID, i.index)
	if err != nil || !found {
		return false
	}
	request := l.service.caller.Protocol.ReadRequest(headerOf(stored))
	partial, err := l.state.InlinePartial(i.job.ID, i.index)
	if err != nil {
		return false
	}
	i.text, i.last, i.kept, i.lasting = []byte(partial.Text), partial.Last, len(partial.Text), len(partial.Text)
	i.failures, i.keptFailures = partial.Failures, partial.Failures
	i.path, i.host, i.parts, i.tokens = stored.Path, i.job.Host, request.Parts, request.PromptTokens
	i.digest = quarantine.Identity{Tenant: string(i.job.Tenant), Host: i.host, Target: stored.Path, Body: stored.Body}.Digest()
	return true
}
