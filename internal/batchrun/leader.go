package batchrun

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/dispatch"
	"github.com/dykewing/dykewing/jobs"
	"github.com/dykewing/dykewing/worker"
)

const (
	dispatchInterval = 100 * time.Millisecond // at the latest, while items wait
	startsAtOnce     = 8                      // items sent in one go
	startPause       = 25 * time.Millisecond  // between two full goes
	expireInterval   = 10 * time.Second
	proposeTimeout   = 3 * time.Second
	proposePause     = 100 * time.Millisecond
	maximumGathered  = 64 // results of one command
	firstRetryPause  = 100 * time.Millisecond
	lastRetryPause   = 2 * time.Second
)

// item is one item that has no result yet.
type item struct {
	job          jobs.InlineJob
	index        int
	path         string
	host         string
	parts        []worker.Part
	tokens       int
	service      string
	sends        int        // in all
	notUntil     time.Time  // it waits before it is sent again
	received     sync.Mutex // guards the next five while the item runs
	failures     int        // answers that say that its run failed, at all leaders
	text         []byte     // of whole events so far
	last         string     // id of the last whole event
	kept         int        // bytes of text that other leaders know of
	keptAt       time.Time  // when that was
	keptFailures int        // failures that other leaders know of
	avoid        string     // the worker that it was lost at
	cancel       context.CancelFunc
	worker       string    // where it runs
	since        time.Time // when it was sent there
	yielding     bool      // it was told to give way
}

// Leader runs the open jobs of one group while this process leads it.
type Leader struct {
	service *Service
	group   api.GroupID
	state   *jobs.State
	propose dispatch.Propose
	log     *logrus.Entry
	ctx     context.Context
	cancel  context.CancelFunc
	wake    chan struct{}
	results chan jobs.InlineResult
	failed  chan struct{} // the failures of an item are to be kept

	mutex   sync.Mutex // guards all below
	waiting []*item    // the most urgent first
	running map[*item]bool
	ended   map[jobs.JobID]bool
	runTime time.Duration // of a whole item, lately
}

// What is assumed of an item's run.
const (
	firstRunTime = 4 * time.Second // before one has ended
	runTimeShare = 0.1             // of a new one in the average
	urgentFactor = 2.0             // of the average, until results are due
)

func newLeader(service *Service, group api.GroupID, state *jobs.State, propose dispatch.Propose) *Leader {
	l := &Leader{
		service: service, group: group, state: state, propose: propose, log: service.log.WithField("group", group),
		wake: make(chan struct{}, 1), failed: make(chan struct{}, 1), results: make(chan jobs.InlineResult, maximumGathered),
		runTime: firstRunTime, running: map[*item]bool{}, ended: map[jobs.JobID]bool{},
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	return l
}

// load reads the open jobs.
func (l *Leader) load() error {
	open, err := l.state.OpenInline()
	if err != nil {
		return err
	}
	for _, job := range open {
		indexes, err := l.state.UnlistedInline(job)
		if err != nil {
			return err
		}
		for _, index := range indexes {
			l.waiting = append(l.waiting, &item{job: job, index: index})
		}
	}
	l.sortWaiting()
	l.log.WithFields(logrus.Fields{"event": "batch_leading", "jobs": len(open), "items": len(l.waiting)}).Info("Running the group's open jobs.")
	return nil
}

func (l *Leader) start() {
	go l.dispatchLoop()
	go l.commitLoop()
	go l.keepLoop()
	go l.expireLoop()
}

// Stop ends all that runs; what has no committed result is run by the next leader.
func (l *Leader) Stop() {
	l.cancel()
	go l.service.forget(l)
}

// Applied takes a command that took effect.
func (l *Leader) Applied(command jobs.Command, result jobs.Result) {
	switch {
	case command.SubmitInline != nil && result.Inline != nil && !result.Duplicate:
		l.add(*result.Inline, command.SubmitInline.Items)
	case command.EndInline != nil && result.Code == "" && !result.Duplicate:
		l.endJob(command.EndInline.Job)
	}
}

func (l *Leader) add(job jobs.InlineJob, items []jobs.InlineItem) {
	l.mutex.Lock()
	for index := range items {
		l.waiting = append(l.waiting, &item{job: job, index: index})
	}
	l.sortWaiting()
	l.mutex.Unlock()
	l.wakeUp()
}

// sortWaiting orders by when results are due; the mutex is held.
func (l *Leader) sortWaiting() {
	slices.SortStableFunc(l.waiting, func(a, b *item) int {
		return cmp.Or(a.job.Due().Compare(b.job.Due()), cmp.Compare(a.job.ID, b.job.ID), cmp.Compare(a.index, b.index))
	})
}

// endJob stops what runs and waits of a job.
func (l *Leader) endJob(id jobs.JobID) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.ended[id] = true
	l.waiting = slices.DeleteFunc(l.waiting, func(i *item) bool { return i.job.ID == id })
	stopped := 0
	for i := range l.running {
		if i.job.ID == id && i.cancel != nil {
			i.cancel()
			stopped++
		}
	}
	l.log.WithFields(logrus.Fields{"event": "job_stopped", "request": id, "items_stopped": stopped}).Info("A job was ended; its items stop.")
}

// giveWay stops up to count items at a worker where others wait: those whose
// results are due last. They go on elsewhere after their last event.
func (l *Leader) giveWay(workerID string, count int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	var there []*item
	for i := range l.running {
		if i.worker == workerID && !i.yielding && !l.urgent(now, i) {
			there = append(there, i)
		}
	}
	slices.SortFunc(there, func(a, b *item) int {
		return cmp.Or(b.job.Due().Compare(a.job.Due()), b.since.Compare(a.since))
	})
	for _, i := range there[:min(count, len(there))] {
		i.yielding = true
		i.cancel()
		l.service.metrics.yielded.Inc()
		l.log.WithFields(logrus.Fields{
			"event": "item_gives_way", "request": i.job.ID, "index": i.index, "worker": workerID, "waiting": count,
			"left_ms": time.Until(i.job.Due()).Milliseconds(),
		}).Info("An item gives way to requests that wait.")
	}
}

func (l *Leader) wakeUp() { signal(l.wake) }

// signal sets a channel that holds one signal.
func signal(set chan<- struct{}) {
	select {
	case set <- struct{}{}:
	default:
	}
}

// mine tells whether this group's items fill a worker. Each worker is filled by one
// group, so that one leader sees all batch that it holds, asks for its load and
// makes items give way; only urgent items go elsewhere.
func (l *Leader) mine(workerID string) bool {
	groups := uint64(l.service.groups)
	return xxhash.Sum64String(workerID)%groups == uint64(l.group)%groups
}

// addBusy adds the workers of services for which items wait or run here.
func (l *Leader) addBusy(busy map[string]worker.Worker) {
	for service := range l.services() {
		for _, w := range l.service.pool.Workers(service) {
			if l.mine(w.ID) {
				busy[w.ID] = w
			}
		}
	}
}

func (l *Leader) services() map[string]bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
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
			pause(l.ctx, startPause)
			l.wakeUp()
		}
	}
}

func pause(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// dispatch sends waiting items that workers have room for, and tells how many.
// Invariant: never more than startsAtOnce, so that a new leader with many open
// items still sends its heartbeats in time on a small processor.
func (l *Leader) dispatch() (started int) {
	now := time.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	full := map[string]bool{}
	kept := l.waiting[:0]
	for _, i := range l.waiting {
		if started == startsAtOnce || l.ctx.Err() != nil || now.Before(i.notUntil) || !l.try(now, i, full) {
			kept = append(kept, i)
			continue
		}
		started++
	}
	clear(l.waiting[len(kept):])
	l.waiting = kept
	l.service.metrics.waiting.Set(float64(len(l.waiting)))
	l.service.metrics.running.Set(float64(len(l.running)))
	return started
}

// try begins one item; false when it has to wait. The mutex is held.
func (l *Leader) try(now time.Time, i *item, full map[string]bool) bool {
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
	if !matched.Allows(i.service) {
		i.service = matched.Shares[0].Service
	}
	urgent := l.urgent(now, i)
	if full[i.service] && !urgent {
		return false
	}
	query := worker.Query{Service: i.service, Parts: i.parts, Tokens: i.tokens, Limit: l.service.settings.Fill, Only: l.mine}
	if urgent {
		query.Limit, query.Only = l.service.settings.UrgentFill, nil
	}
	if i.avoid != "" {
		query.Excluded = []string{i.avoid}
	}
	ticket, ok := l.service.pool.Take(query)
	if !ok {
		i.avoid = ""
		full[i.service] = true
		return false
	}
	ctx, cancel := context.WithCancel(l.ctx)
	i.cancel, i.worker, i.since = cancel, ticket.Worker.ID, now
	l.running[i] = true
	go l.run(ctx, i, matched.MaxAttempts, ticket)
	return true
}

// urgent tells whether an item has to run now to be in time. It then takes room
// that is otherwise kept for bursts of online requests, and keeps it.
func (l *Leader) urgent(now time.Time, i *item) bool {
	return i.job.RunTarget > 0 && i.job.Due().Sub(now) < time.Duration(urgentFactor*float64(l.runTime))
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
	i.text, i.last, i.kept = []byte(partial.Text), partial.Last, len(partial.Text)
	i.failures, i.keptFailures = partial.Failures, partial.Failures
	i.path, i.host, i.parts, i.tokens = stored.Path, i.job.Host, request.Parts, request.PromptTokens
	return true
}

// abandon lists an item that can't be done; the mutex is held.
func (l *Leader) abandon(i *item, why string) {
	l.log.WithFields(logrus.Fields{
		"event": "item_abandoned", "request": i.job.ID, "index": i.index, "why": why, "failures": i.failures,
		"age_ms": time.Since(i.job.Created).Milliseconds(),
	}).Warn("An item is given up.")
	go l.list(i, jobs.InlineAbandoned, "")
}

// list hands a result to be committed.
func (l *Leader) list(i *item, outcome jobs.InlineOutcome, text string) {
	stored, _, err := l.state.InlineItem(i.job.ID, i.index)
	if err != nil {
		l.log.WithError(err).Error("An item could not be read.")
		return
	}
	result := jobs.InlineResult{Job: i.job.ID, Index: i.index, Item: stored.ID, Outcome: outcome, Text: text}
	select {
	case l.results <- result:
	case <-l.ctx.Done():
	}
}

// commitLoop proposes results, as many as wait, until each is committed.
func (l *Leader) commitLoop() {
	for {
		var gathered []jobs.InlineResult
		select {
		case first := <-l.results:
			gathered = l.gather(first)
		case <-l.ctx.Done():
			return
		}
		l.commit(jobs.Command{CompleteInline: &jobs.CompleteInline{Results: gathered}})
		for _, result := range gathered {
			l.service.metrics.items.WithLabelValues(string(result.Outcome)).Inc()
		}
	}
}

func (l *Leader) gather(first jobs.InlineResult) []jobs.InlineResult {
	gathered := []jobs.InlineResult{first}
	for len(gathered) < maximumGathered {
		select {
		case next := <-l.results:
			gathered = append(gathered, next)
		default:
			return gathered
		}
	}
	return gathered
}

// commit proposes a command until it is committed or the leadership ends. It has
// no second effect.
func (l *Leader) commit(command jobs.Command) {
	for l.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(l.ctx, proposeTimeout)
		_, failure := l.propose(ctx, command)
		cancel()
		if failure == nil {
			return
		}
		l.log.WithField("event", "results_not_committed").WithError(failure).Warn("Results were not committed yet.")
		select {
		case <-time.After(proposePause):
		case <-l.ctx.Done():
		}
	}
}

// expireLoop forgets jobs whose time of retention has passed.
func (l *Leader) expireLoop() {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-l.ctx.Done():
			return
		}
		next, found, err := l.state.NextInlineExpiry()
		if now := time.Now(); err == nil && found && next.Before(now) {
			l.commit(jobs.Command{ExpireInline: &jobs.ExpireInline{Before: now}})
		}
	}
}
