package batchrun

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/clock"
	"github.com/dykewing/dykewing/fill"
	"github.com/dykewing/dykewing/internal/sleep"
	"github.com/dykewing/dykewing/placement"
	"github.com/dykewing/dykewing/quarantine"
	"github.com/dykewing/dykewing/worker"
)

// owns reports whether this group runs batch items at a worker. Each worker belongs to one group,
// so that a single leader sees all batch items at it, polls its load and preempts items.
func (l *Leader) owns(workerID string) bool {
	return placement.WorkerGroup(workerID, l.service.groups) == l.group
}

// maxPolls is how many workers are polled for their load in a round. A leader of more workers
// polls only those that run its items or have unreported load; frontends report what they hold.
const maxPolls = 64

// addPollTargets adds the workers to poll: those of services that have unfinished items, at most
// maxPolls per round.
func (l *Leader) addPollTargets(targets map[string]worker.Worker) {
	for service := range l.activeServices() {
		workers := l.service.pool.Workers(service, int(l.group))
		if len(workers) > maxPolls {
			workers = slices.DeleteFunc(workers, func(w worker.Worker) bool {
				return l.service.pool.InFlight(w.ID) == 0 && l.service.unreported.at(w.ID) == 0
			})
			workers = l.nextPolls(workers)
		}
		for _, w := range workers {
			targets[w.ID] = w
		}
	}
}

// nextPolls returns the workers to poll in this round, in rotation.
func (l *Leader) nextPolls(workers []worker.Worker) []worker.Worker {
	if len(workers) <= maxPolls {
		return workers
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	first := l.pollOffset % len(workers)
	l.pollOffset += maxPolls
	rotated := append(slices.Clone(workers[first:]), workers[:first]...)
	return rotated[:maxPolls]
}

func (l *Leader) activeServices() map[string]bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.activeServicesLocked()
}

// activeServicesLocked returns the services that have unfinished items. The caller holds the
// mutex.
func (l *Leader) activeServicesLocked() map[string]bool {
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

// dispatchLoop starts waiting items when woken, and at least every dispatchInterval.
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
		if l.dispatch() == startBurst {
			sleep.For(l.ctx, startBurstPause)
			l.wakeUp()
		}
	}
}

// dispatch starts waiting items for which there are slots and returns how many.
// Invariant: it starts at most startBurst, so that a new leader with many open items still sends
// heartbeats in time on a small CPU.
func (l *Leader) dispatch() (started int) {
	now := time.Now()
	l.service.slots.refresh(now)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	b := newBudget()
	for _, service := range l.service.serviceNames() {
		l.planService(now, service, b)
	}
	l.updateStandings(now)
	full := map[string]bool{}
	waiting := l.waiting[:0]
	for _, i := range l.waiting {
		if started == startBurst || l.ctx.Err() != nil || now.Before(i.notBefore) || !l.tryStart(now, i, b, full) {
			waiting = append(waiting, i)
			continue
		}
		started++
	}
	clear(l.waiting[len(waiting):])
	l.waiting = waiting
	l.service.metrics.waiting.Set(float64(len(l.waiting)))
	l.service.metrics.heldBack.Set(float64(b.heldBack()))
	l.service.metrics.running.Set(float64(len(l.running)))
	return started
}

// tryStart starts an item, or abandons it if it cannot succeed. It returns false if the item has
// to wait. The caller holds the mutex.
func (l *Leader) tryStart(now time.Time, i *item, b budget, full map[string]bool) bool {
	if i.path == "" && !l.loadItem(i) {
		return false
	}
	if i.expired() {
		l.abandon(i, "kept long enough")
		return true
	}
	rule, known := l.ruleFor(i)
	if !known {
		return false
	}
	if why := rule.endOf(i); why != "" {
		if !rule.binding {
			l.service.confirmConfiguration(clock.Now())
			return false
		}
		l.abandon(i, why)
		return true
	}
	l.chooseService(i, rule.route)
	held, quarantined := l.quarantinedBy(i)
	if quarantined && !l.service.guard.DeferredTrialPossible(held) {
		return false
	}
	return l.startRun(now, i, rule, held, b, full)
}

// startRun starts an item if its service has room for it, on trial if held is not empty. The caller holds
// the mutex.
func (l *Leader) startRun(now time.Time, i *item, rule rule, held quarantine.Digest, b budget, full map[string]bool) bool {
	l.planService(now, i.service, b)
	if full[i.service] && i.standing != fill.Urgent {
		return false
	}
	left := l.left(i)
	heldBack := b.holdsBack(i.service, i.standing == fill.Urgent, left)
	if heldBack && len(b.probes) == 0 {
		return false
	}
	query := worker.Query{
		Service: i.service, Parts: i.parts, Tokens: i.tokens,
		Filter: func(id string) bool {
			return b.allows(id, i.service, i.standing == fill.Urgent, l.lengths.AtWorker(id, left))
		},
	}
	if i.avoidWorker != "" {
		query.Excluded = []string{i.avoidWorker}
	}
	ticket, ok := l.takeVersion(now, i, query)
	if !ok && heldBack {
		return false
	}
	if !ok {
		i.avoidWorker = ""
		full[i.service] = i.standing != fill.Urgent && i.origin == nil
		return false
	}
	if held != "" && !l.service.guard.TakeDeferredTrial(held) {
		ticket.End()
		return false
	}
	if b.probes[ticket.Worker.ID] == i.service {
		l.logProbe(now, i, ticket.Worker.ID, heldBack)
	}
	b.use(ticket.Worker.ID, i.service)
	ctx, cancel := context.WithCancel(l.ctx)
	i.cancel, i.worker, i.startedAt, i.trial = cancel, ticket.Worker.ID, now, held
	if held != "" {
		l.logTrial(i, "trial_started", "An item runs on trial.")
	}
	l.running[i] = true
	l.suspects.started(i.worker, i)
	go l.run(ctx, i, rule, ticket)
	return true
}

// quarantinedBy returns the digest for which an item is quarantined, if it is. Such an item waits
// until a run is granted, which it is within seconds once no more workers crash under it.
func (l *Leader) quarantinedBy(i *item) (held quarantine.Digest, quarantined bool) {
	guard := l.service.guard
	if !guard.Active() {
		return "", false
	}
	return guard.Quarantined(i.digests())
}

// returnTrial returns the trial of a run that neither completed nor broke off, so that another item can
// take it.
func (l *Leader) returnTrial(i *item, verdict verdict) {
	if i.trial == "" {
		return
	}
	if verdict != verdictDone && verdict != verdictInterrupted {
		l.service.guard.ReturnTrial(i.trial)
		l.logTrial(i, "trial_returned", "A trial run ended without an outcome.")
	}
	i.trial = ""
}

func (l *Leader) logTrial(i *item, event, message string) {
	l.log.WithFields(logrus.Fields{"event": event, "request": i.job.ID, "index": i.index, "digest": i.trial, "worker": i.worker}).Info(message)
}

// digests returns the digests of what may crash the workers that run the item: the item itself,
// then the shared parts of its prompt.
func (i *item) digests() []quarantine.Digest {
	if i.digestService != i.service || i.allDigests == nil {
		i.digestService = i.service
		i.allDigests = []quarantine.Digest{i.digest}
		for _, part := range quarantine.PartDigests(string(i.job.Tenant), i.service, worker.PartIDs(i.parts)) {
			i.allDigests = append(i.allDigests, part.Deferred())
		}
	}
	return i.allDigests
}

// loadItem reads from the state what the choice of a worker needs.
func (l *Leader) loadItem(i *item) bool {
	stored, found, err := l.state.InlineItem(i.job.ID, i.index)
	if err != nil || !found {
		return false
	}
	request := l.service.caller.Protocol.ReadRequest(requestHeader(stored))
	partial, err := l.state.InlinePartial(i.job.ID, i.index)
	if err != nil {
		return false
	}
	i.text, i.lastEventID, i.proposedBytes, i.committedBytes = []byte(partial.Text), partial.LastEvent, len(partial.Text), len(partial.Text)
	i.failures, i.proposedFailures = partial.Failures, partial.Failures
	i.origin = partial.Origin
	if partial.LastEvent != "" && partial.Origin == nil {
		l.restart(i, "the version that wrote its output is unknown")
	}
	i.path, i.host, i.parts, i.tokens = stored.Path, i.job.Host, request.Parts, request.PromptTokens
	i.digest = quarantine.Identity{Tenant: string(i.job.Tenant), Host: i.host, Target: stored.Path, Body: stored.Body}.Digest().Deferred()
	return true
}
