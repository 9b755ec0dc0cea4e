package batchrun

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/fill"
	"github.com/dykewing/dykewing/internal/dispatch"
	"github.com/dykewing/dykewing/jobs"
	"github.com/dykewing/dykewing/quarantine"
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
	digest       quarantine.Digest // with path
	parts        []worker.Part
	tokens       int
	service      string
	sends        int        // in all
	notUntil     time.Time  // it waits before it is sent again
	received     sync.Mutex // guards the next six while the item runs
	failures     int        // answers that say that its run failed, at all leaders
	text         []byte     // of whole events so far
	last         string     // id of the last whole event
	lastAt       time.Time  // when that came
	kept         int        // bytes of text that other leaders know of
	lasting      int        // of kept, those that are known to be committed
	keptAt       time.Time  // when that was
	keptFailures int        // failures that other leaders know of
	avoid        string     // the worker that it was lost at
	cancel       context.CancelFunc
	worker       string        // where it runs
	since        time.Time     // when it was sent there
	yielding     bool          // it was told to give way
	cuts         int           // how often it was
	open         int           // items of its job without a result, at the last look
	standing     fill.Standing // to when its result is due
}

// Leader runs the open jobs of one group while this process leads it.
type Leader struct {
	service *Service
	group   api.GroupID
	state   *jobs.State
	propose dispatch.Propose
	log     *logrus.Entry
	began   time.Time
	ctx     context.Context
	cancel  context.CancelFunc
	wake    chan struct{}
	results chan jobs.InlineResult
	failed  chan struct{} // the failures of an item are to be kept

	mutex    sync.Mutex // guards all below
	waiting  []*item    // the most urgent first
	running  map[*item]bool
	ended    map[jobs.JobID]bool
	queued   *queued
	plan     *plan
	lengths  *fill.Lengths
	suspects suspects
	asked    int // workers for their load, in all rounds
}

func newLeader(service *Service, group api.GroupID, state *jobs.State, propose dispatch.Propose) *Leader {
	l := &Leader{
		service: service, group: group, state: state, propose: propose, log: service.log.WithField("group", group),
		wake: make(chan struct{}, 1), failed: make(chan struct{}, 1), results: make(chan jobs.InlineResult, maximumGathered),
		lengths: fill.NewLengths(), began: time.Now(), running: map[*item]bool{}, ended: map[jobs.JobID]bool{}, queued: newQueued(), plan: newPlan(),
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
	queues, err := l.state.InlineQueues()
	if err != nil {
		return err
	}
	for _, queue := range queues {
		l.queued.expect(time.Now(), queue)
	}
	for _, job := range open {
		indexes, err := l.state.UnlistedInline(job)
		if err != nil {
			return err
		}
		tokens, err := l.state.InlineTokens(job.ID)
		if err != nil {
			return err
		}
		l.queued.add(job, tokens, indexes)
		for _, index := range indexes {
			l.waiting = append(l.waiting, &item{job: job, index: index, standing: fill.Usual})
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
	go l.reportQueuesLoop()
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
	case command.SubmitInline != nil && result.Inline != nil:
		l.resent(*result.Inline)
	case command.EndInline != nil && result.Code == "" && !result.Duplicate:
		l.endJob(command.EndInline.Job)
	}
}

func (l *Leader) add(job jobs.InlineJob, items []jobs.InlineItem) {
	l.mutex.Lock()
	l.queued.submitted(job, items)
	for index := range items {
		l.waiting = append(l.waiting, &item{job: job, index: index, standing: fill.Usual})
	}
	l.sortWaiting()
	l.mutex.Unlock()
	l.wakeUp()
}

// resent notes that a job was submitted again: its queue may have counted it anew.
func (l *Leader) resent(job jobs.InlineJob) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.queued.resent(job)
}

// sortWaiting orders by when results are due, what can't be in time last; the mutex
// is held.
func (l *Leader) sortWaiting() {
	slices.SortStableFunc(l.waiting, func(a, b *item) int {
		return cmp.Or(cmp.Compare(a.missed(), b.missed()), a.job.Due().Compare(b.job.Due()), cmp.Compare(a.job.ID, b.job.ID), cmp.Compare(a.index, b.index))
	})
}

// endJob stops what runs and waits of a job.
func (l *Leader) endJob(id jobs.JobID) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.ended[id] = true
	l.queued.drop(id)
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

// missed is 1 for an item that can't be in time any more, else 0.
func (i *item) missed() int {
	if i.standing == fill.Missed {
		return 1
	}
	return 0
}

func (l *Leader) wakeUp() { signal(l.wake) }

// signal sets a channel that holds one signal.
func signal(set chan<- struct{}) {
	select {
	case set <- struct{}{}:
	default:
	}
}
