package batchrun

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/jobs"
)

const (
	// reportInterval is between two reports of what has changed, and wholeInterval
	// between two of all: they mend what a report of an earlier leader left.
	reportInterval = 200 * time.Millisecond
	wholeInterval  = 5 * time.Second
	// toldFor is how long whole reports go on after the last change: longer than a
	// report of an earlier leader can be on its way.
	toldFor = 30 * time.Second
)

// queued counts the tokens of each open job that no worker has finished. It is
// guarded by its leader's mutex.
type queued struct {
	jobs    map[jobs.JobID]*queuedJob
	changed map[jobs.JobID]jobs.QueueName // since the last report
	told    map[jobs.QueueName]time.Time  // when a home was last told of a change
	wholeAt time.Time                     // of the last whole report
}

type queuedJob struct {
	queue  jobs.QueueName
	tokens []int // by item; 0 once it has ended
	total  int64
}

func newQueued() *queued {
	return &queued{jobs: map[jobs.JobID]*queuedJob{}, changed: map[jobs.JobID]jobs.QueueName{}, told: map[jobs.QueueName]time.Time{}}
}

// expect makes the next whole report go to a queue's home, though no job of it is
// open here.
func (q *queued) expect(now time.Time, queue jobs.QueueName) { q.told[queue] = now }

// submitted adds a new job with all its items.
func (q *queued) submitted(job jobs.InlineJob, items []jobs.InlineItem) {
	tokens, indexes := make([]int, 0, len(items)), make([]int, 0, len(items))
	for index, item := range items {
		tokens, indexes = append(tokens, item.Tokens), append(indexes, index)
	}
	q.add(job, tokens, indexes)
}

// add adds a job of which the items of these indexes are open.
func (q *queued) add(job jobs.InlineJob, tokens, open []int) {
	if job.Queue == "" {
		return
	}
	added := &queuedJob{queue: job.Queue, tokens: make([]int, len(tokens))}
	for _, index := range open {
		if index < len(tokens) {
			added.tokens[index] = tokens[index]
			added.total += int64(tokens[index])
		}
	}
	q.jobs[job.ID] = added
	q.changed[job.ID] = job.Queue
}

// finished takes an item's tokens off, once.
func (q *queued) finished(i *item) {
	job, ok := q.jobs[i.job.ID]
	if !ok || i.index >= len(job.tokens) || job.tokens[i.index] == 0 {
		return
	}
	job.total -= int64(job.tokens[i.index])
	job.tokens[i.index] = 0
	q.changed[i.job.ID] = job.queue
	if job.total <= 0 {
		delete(q.jobs, i.job.ID)
	}
}

// drop takes an ended job off.
func (q *queued) drop(id jobs.JobID) {
	if job, ok := q.jobs[id]; ok {
		q.changed[id] = job.queue
		delete(q.jobs, id)
	}
}

// resent lets the next report tell of a job again.
func (q *queued) resent(job jobs.InlineJob) {
	if job.Queue != "" {
		q.changed[job.ID] = job.Queue
	}
}

// left is what a report says of a job.
func (q *queued) left(id jobs.JobID, queue jobs.QueueName) jobs.QueuedJob {
	left := jobs.QueuedJob{Queue: queue, Job: id}
	if job, ok := q.jobs[id]; ok {
		left.Tokens = job.total
	}
	return left
}

// take gives the reports that are due, by home, and forgets what they tell.
func (q *queued) take(now time.Time, group api.GroupID, groups int) map[api.GroupID]*jobs.ReportQueue {
	reports := map[api.GroupID]*jobs.ReportQueue{}
	report := func(queue jobs.QueueName) *jobs.ReportQueue {
		home := queue.Home(groups)
		if reports[home] == nil {
			reports[home] = &jobs.ReportQueue{Group: group}
		}
		return reports[home]
	}
	if now.Sub(q.wholeAt) >= wholeInterval {
		q.wholeAt = now
		q.all(now, report)
	}
	for id, queue := range q.changed {
		q.told[queue] = now
		told := report(queue)
		told.Jobs = append(told.Jobs, q.left(id, queue))
	}
	clear(q.changed)
	for _, each := range reports {
		slices.SortFunc(each.Jobs, func(a, b jobs.QueuedJob) int { return cmp.Compare(a.Job, b.Job) })
	}
	return reports
}

// all puts every open job into whole reports, for a while also to homes of queues
// in which nothing waits any more: they would else go on counting what has ended.
func (q *queued) all(now time.Time, report func(jobs.QueueName) *jobs.ReportQueue) {
	for queue, at := range q.told {
		report(queue).Whole = true
		if now.Sub(at) > toldFor {
			delete(q.told, queue)
		}
	}
	for id, job := range q.jobs {
		q.changed[id] = job.queue
		report(job.queue).Whole = true
	}
}

// again puts back what a report did not reach its home with.
func (q *queued) again(report *jobs.ReportQueue) {
	for _, job := range report.Jobs {
		q.changed[job.Job] = job.Queue
	}
	if report.Whole {
		q.wholeAt = time.Time{}
	}
}

// reportQueuesLoop tells the homes of queues what is left of this group's jobs.
func (l *Leader) reportQueuesLoop() {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-l.ctx.Done():
			return
		}
		l.mutex.Lock()
		reports := l.queued.take(time.Now(), l.group, l.service.groups)
		l.mutex.Unlock()
		for home, report := range reports {
			l.reportQueue(home, report)
		}
	}
}

func (l *Leader) reportQueue(home api.GroupID, report *jobs.ReportQueue) {
	ctx, cancel := context.WithTimeout(l.ctx, proposeTimeout)
	defer cancel()
	command := jobs.Command{ReportQueue: report}
	var err error
	if home == l.group {
		if _, failure := l.propose(ctx, command); failure != nil {
			err = failure
		}
	} else {
		_, err = l.service.stores.Command(ctx, home, command)
	}
	if err == nil {
		return
	}
	l.log.WithField("event", "queue_not_reported").WithField("home", home).WithError(err).Info("What waits could not be told yet.")
	l.mutex.Lock()
	l.queued.again(report)
	l.mutex.Unlock()
}
