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
	// reportInterval is the time between two incremental reports. A full report every
	// fullReportInterval corrects what reports of earlier leaders left behind.
	reportInterval     = 200 * time.Millisecond
	fullReportInterval = 5 * time.Second
	// fullReportRetention is how long a queue stays in full reports after its last change. It exceeds
	// the time that a report of an earlier leader can be in flight.
	fullReportRetention = 30 * time.Second
)

// backlog counts, for each open job, the tokens of its unfinished items: prompts plus generation
// limits. The leader's mutex guards it.
type backlog struct {
	jobs         map[jobs.JobID]*backlogJob
	changed      map[jobs.JobID]jobs.QueueName // not yet reported
	reportedAt   map[jobs.QueueName]time.Time  // last reported change
	fullReportAt time.Time                     // last full report
}

type backlogJob struct {
	queue  jobs.QueueName
	tokens []int // by item; 0 once finished
	total  int64
}

func newBacklog() *backlog {
	return &backlog{jobs: map[jobs.JobID]*backlogJob{}, changed: map[jobs.JobID]jobs.QueueName{}, reportedAt: map[jobs.QueueName]time.Time{}}
}

// trackQueue includes a queue in full reports, even if none of its jobs is open here.
func (b *backlog) trackQueue(now time.Time, queue jobs.QueueName) { b.reportedAt[queue] = now }

// addSubmitted adds a new job with all its items.
func (b *backlog) addSubmitted(job jobs.InlineJob, items []jobs.InlineItem) {
	tokens, indexes := make([]int, 0, len(items)), make([]int, 0, len(items))
	for index, item := range items {
		tokens, indexes = append(tokens, item.Tokens), append(indexes, index)
	}
	b.addOpen(job, tokens, indexes)
}

// addOpen adds a job, of which the items at the indexes in open are unfinished.
func (b *backlog) addOpen(job jobs.InlineJob, tokens, open []int) {
	if job.Queue == "" {
		return
	}
	added := &backlogJob{queue: job.Queue, tokens: make([]int, len(tokens))}
	for _, index := range open {
		if index < len(tokens) {
			added.tokens[index] = tokens[index]
			added.total += int64(tokens[index])
		}
	}
	b.jobs[job.ID] = added
	b.changed[job.ID] = job.Queue
}

// finish subtracts an item's tokens. Further calls for the same item have no effect.
func (b *backlog) finish(i *item) {
	job, ok := b.jobs[i.job.ID]
	if !ok || i.index >= len(job.tokens) || job.tokens[i.index] == 0 {
		return
	}
	job.total -= int64(job.tokens[i.index])
	job.tokens[i.index] = 0
	b.changed[i.job.ID] = job.queue
	if job.total <= 0 {
		delete(b.jobs, i.job.ID)
	}
}

// remove removes an ended job.
func (b *backlog) remove(id jobs.JobID) {
	if job, ok := b.jobs[id]; ok {
		b.changed[id] = job.queue
		delete(b.jobs, id)
	}
}

// resend includes a job in the next report.
func (b *backlog) resend(job jobs.InlineJob) {
	if job.Queue != "" {
		b.changed[job.ID] = job.Queue
	}
}

// remaining returns a job's entry in a report.
func (b *backlog) remaining(id jobs.JobID, queue jobs.QueueName) jobs.QueuedJob {
	left := jobs.QueuedJob{Queue: queue, Job: id}
	if job, ok := b.jobs[id]; ok {
		left.Tokens = job.total
	}
	return left
}

// dueReports returns the reports that are due, by home group, and marks their content as reported.
func (b *backlog) dueReports(now time.Time, group api.GroupID, groups int) map[api.GroupID]*jobs.ReportQueue {
	reports := map[api.GroupID]*jobs.ReportQueue{}
	report := func(queue jobs.QueueName) *jobs.ReportQueue {
		home := queue.HomeGroup(groups)
		if reports[home] == nil {
			reports[home] = &jobs.ReportQueue{Group: group}
		}
		return reports[home]
	}
	if now.Sub(b.fullReportAt) >= fullReportInterval {
		b.fullReportAt = now
		b.addFull(now, report)
	}
	for id, queue := range b.changed {
		b.reportedAt[queue] = now
		r := report(queue)
		r.Jobs = append(r.Jobs, b.remaining(id, queue))
	}
	clear(b.changed)
	for _, each := range reports {
		slices.SortFunc(each.Jobs, func(a, b jobs.QueuedJob) int { return cmp.Compare(a.Job, b.Job) })
	}
	return reports
}

// addFull adds every open job to full reports. Queues without open jobs are included for
// fullReportRetention, as their homes would otherwise keep counting jobs that have ended.
func (b *backlog) addFull(now time.Time, report func(jobs.QueueName) *jobs.ReportQueue) {
	for queue, at := range b.reportedAt {
		report(queue).Full = true
		if now.Sub(at) > fullReportRetention {
			delete(b.reportedAt, queue)
		}
	}
	for id, job := range b.jobs {
		b.changed[id] = job.queue
		report(job.queue).Full = true
	}
}

// requeue marks the content of a failed report as unreported.
func (b *backlog) requeue(report *jobs.ReportQueue) {
	for _, job := range report.Jobs {
		b.changed[job.Job] = job.Queue
	}
	if report.Full {
		b.fullReportAt = time.Time{}
	}
}

// reportQueuesLoop reports this group's backlog to the home groups of the queues.
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
		reports := l.backlog.dueReports(time.Now(), l.group, l.service.groups)
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
	l.log.WithField("event", "queue_not_reported").WithField("home", home).WithError(err).Info("Reporting the backlog to a queue's home group failed; retrying.")
	l.mutex.Lock()
	l.backlog.requeue(report)
	l.mutex.Unlock()
}
