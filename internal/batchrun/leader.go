package batchrun

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/clock"
	"github.com/dykewing/dykewing/fill"
	"github.com/dykewing/dykewing/internal/dispatch"
	"github.com/dykewing/dykewing/jobs"
	"github.com/dykewing/dykewing/origin"
	"github.com/dykewing/dykewing/quarantine"
	"github.com/dykewing/dykewing/worker"
)

const (
	dispatchInterval     = 100 * time.Millisecond // longest time between two passes
	startBurst           = 8                      // items started in one pass
	startBurstPause      = 25 * time.Millisecond  // between two passes that start startBurst items
	expireInterval       = 10 * time.Second
	proposeTimeout       = 3 * time.Second
	proposeRetryDelay    = 100 * time.Millisecond
	maxResultsPerCommand = 64
	minRetryBackoff      = 100 * time.Millisecond
	maxRetryBackoff      = 2 * time.Second
)

// item is a job item that has no committed result.
type item struct {
	job              jobs.InlineJob
	terms            *jobs.Terms // of the job; nil if it has none
	addedAt          time.Time   // when this leader learned of the item, by package clock
	submittedHere    bool        // that was when its job was submitted
	index            int
	path             string
	host             string
	digest           quarantine.Digest // of the item; set with path
	digestService    string            // service for which allDigests was computed
	allDigests       []quarantine.Digest
	parts            []worker.Part
	tokens           int
	service          string
	attempts         int            // including retries
	notBefore        time.Time      // retry backoff
	outputMutex      sync.Mutex     // guards the fields up to proposedFailures while the item runs
	failures         int            // failed runs, under all leaders
	text             []byte         // data of complete events so far
	lastEventID      string         // ID of the last complete event
	origin           *origin.Origin // of text; nil while text is empty
	detached         bool           // text does not continue the stored partial output
	lastEventAt      time.Time      // when it arrived
	proposedBytes    int            // bytes of text that were proposed as partial output
	committedBytes   int            // of proposedBytes, those known to be committed
	proposedAt       time.Time      // when proposedBytes last changed
	proposedFailures int            // failures that were proposed
	avoidWorker      string         // worker of the previous attempt
	blockedSince     time.Time      // no worker of its version had a slot since then; zero if one had
	cancel           context.CancelFunc
	worker           string            // ID of the worker that runs it
	trial            quarantine.Digest // quarantined digest for which the current run is a trial; empty for none
	startedAt        time.Time         // start of the current run
	preempted        bool              // the current run was preempted
	preemptions      int               // number of preempted runs
	openInJob        int               // unfinished items of its job
	standing         fill.Urgency      // relative to the deadline
}

// Leader runs the open inline jobs of one group while this process leads it. It is safe for
// concurrent use.
type Leader struct {
	service       *Service
	group         api.GroupID
	state         *jobs.State
	propose       dispatch.ProposeFunc
	log           *logrus.Entry
	startedAt     time.Time
	ctx           context.Context
	cancel        context.CancelFunc
	wake          chan struct{}
	results       chan jobs.InlineResult
	checkpointNow chan struct{} // signals that failures have to be committed

	mutex      sync.Mutex // guards the fields below
	waiting    []*item    // by urgency, most urgent first
	running    map[*item]bool
	ended      map[jobs.JobID]bool
	backlog    *backlog
	plan       *plan
	lengths    *fill.RunTimes
	suspects   suspects
	pollOffset int // position in the rotation of load polls
}

func newLeader(service *Service, group api.GroupID, state *jobs.State, propose dispatch.ProposeFunc) *Leader {
	l := &Leader{
		service: service, group: group, state: state, propose: propose, log: service.log.WithField("group", group),
		wake: make(chan struct{}, 1), checkpointNow: make(chan struct{}, 1), results: make(chan jobs.InlineResult, maxResultsPerCommand),
		lengths: fill.NewRunTimes(), startedAt: time.Now(), running: map[*item]bool{}, ended: map[jobs.JobID]bool{}, backlog: newBacklog(), plan: newPlan(),
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	return l
}

// loadJobs loads the open jobs from the state.
func (l *Leader) loadJobs() error {
	open, err := l.state.OpenInlineJobs()
	if err != nil {
		return err
	}
	queues, err := l.state.InlineQueues()
	if err != nil {
		return err
	}
	for _, queue := range queues {
		l.backlog.trackQueue(time.Now(), queue)
	}
	for _, job := range open {
		indexes, err := l.state.UnlistedInlineItems(job)
		if err != nil {
			return err
		}
		tokens, err := l.state.InlineTokens(job.ID)
		if err != nil {
			return err
		}
		l.backlog.addOpen(job, tokens, indexes)
		terms, err := l.state.InlineTerms(job.ID)
		if err != nil {
			return err
		}
		l.addItems(job, terms, indexes, false)
	}
	l.sortWaiting()
	l.log.WithFields(logrus.Fields{"event": "batch_leading", "jobs": len(open), "items": len(l.waiting)}).Info("Leadership started; running the group's open inline jobs.")
	return nil
}

func (l *Leader) start() {
	go l.dispatchLoop()
	go l.commitLoop()
	go l.checkpointLoop()
	go l.expireLoop()
	go l.reportQueuesLoop()
}

// Stop ends the loops and cancels all runs, without waiting for them. The next leader runs the
// items that have no committed result.
func (l *Leader) Stop() {
	l.cancel()
	go l.service.removeLeader(l)
}

// Applied processes a committed command and its result. It must be called in commit order.
func (l *Leader) Applied(command jobs.Command, result jobs.Result) {
	switch {
	case command.SubmitInline != nil && result.Inline != nil && !result.Duplicate:
		l.add(*result.Inline, *command.SubmitInline)
	case command.SubmitInline != nil && result.Inline != nil:
		l.resubmitted(*result.Inline, command.SubmitInline.Terms)
	case command.EndInline != nil && result.Code == "" && !result.Duplicate:
		l.endJob(command.EndInline.Job)
	}
}

func (l *Leader) add(job jobs.InlineJob, submitted jobs.SubmitInline) {
	l.mutex.Lock()
	l.backlog.addSubmitted(job, submitted.Items)
	indexes := make([]int, 0, len(submitted.Items))
	for index := range submitted.Items {
		indexes = append(indexes, index)
	}
	l.addItems(job, submitted.Terms, indexes, true)
	l.sortWaiting()
	l.mutex.Unlock()
	l.wakeUp()
}

// addItems adds items of a job to those that wait. The caller holds the mutex, or has not started
// the leader yet.
func (l *Leader) addItems(job jobs.InlineJob, terms *jobs.Terms, indexes []int, submitted bool) {
	l.logTerms(job, terms)
	now := clock.Now()
	for _, index := range indexes {
		l.waiting = append(l.waiting, &item{job: job, terms: terms, addedAt: now, submittedHere: submitted, index: index, standing: fill.Normal})
	}
}

// resubmitted handles the duplicate submission of a job. It reports the job's backlog again, since
// its queue may have counted the duplicate.
func (l *Leader) resubmitted(job jobs.InlineJob, submitted *jobs.Terms) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.backlog.resend(job)
	if submitted != nil {
		l.reloadTerms(job)
	}
}

// sortWaiting orders waiting items by deadline; those that will miss it come last. The caller
// holds the mutex.
func (l *Leader) sortWaiting() {
	slices.SortStableFunc(l.waiting, func(a, b *item) int {
		return cmp.Or(cmp.Compare(a.missedRank(), b.missedRank()), a.job.Due().Compare(b.job.Due()), cmp.Compare(a.job.ID, b.job.ID), cmp.Compare(a.index, b.index))
	})
}

// endJob cancels a job's running items and drops those that wait.
func (l *Leader) endJob(id jobs.JobID) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.ended[id] = true
	l.backlog.remove(id)
	l.waiting = slices.DeleteFunc(l.waiting, func(i *item) bool { return i.job.ID == id })
	stopped := 0
	for i := range l.running {
		if i.job.ID == id && i.cancel != nil {
			i.cancel()
			stopped++
		}
	}
	l.log.WithFields(logrus.Fields{"event": "job_stopped", "request": id, "items_stopped": stopped}).Info("Job ended; its items were cancelled.")
}

// missedRank is 1 for an item that will miss its deadline, else 0.
func (i *item) missedRank() int {
	if i.standing == fill.Late {
		return 1
	}
	return 0
}

// maxClockError bounds the difference between the clocks of two stores, and the step of one.
const maxClockError = 5 * time.Second

// expired reports whether the item may be abandoned for its age. Its age is measured from when this leader
// took it, or else by the clocks of the leader that did and of this one.
func (i *item) expired() bool {
	switch {
	case i.job.AbandonAfter <= 0:
		return false
	case i.submittedHere:
		return clock.Since(i.addedAt) > i.job.AbandonAfter
	}
	return time.Since(i.job.Created) > i.job.AbandonAfter+maxClockError
}

func (l *Leader) wakeUp() { signal(l.wake) }

// signal does a non-blocking send.
func signal(set chan<- struct{}) {
	select {
	case set <- struct{}{}:
	default:
	}
}
