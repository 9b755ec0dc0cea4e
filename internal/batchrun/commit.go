package batchrun

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/jobs"
)

// abandon lists an item that can't be done; the mutex is held.
func (l *Leader) abandon(i *item, why string) {
	l.log.WithFields(logrus.Fields{
		"event": "item_abandoned", "request": i.job.ID, "index": i.index, "why": why, "failures": i.failures,
		"age_ms": time.Since(i.job.Created).Milliseconds(),
	}).Warn("An item is given up.")
	l.queued.finished(i)
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
	i.received.Lock()
	result.Kept = min(i.lasting, len(text))
	i.received.Unlock()
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
		l.commitResults(gathered)
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

// commitResults lists results. Where one was not listed over the parts that it names, all
// of them are proposed whole: what is listed already is passed over.
func (l *Leader) commitResults(results []jobs.InlineResult) {
	listed, committed := l.commit(jobs.Command{CompleteInline: &jobs.CompleteInline{Results: results}})
	if !committed || listed.Accepted >= len(results) {
		return
	}
	named := 0
	for i := range results {
		named += results[i].Kept
		results[i].Kept = 0
	}
	if named == 0 {
		return // each is listed already, or its job has ended
	}
	l.log.WithFields(logrus.Fields{
		"event": "results_whole", "results": len(results), "listed": listed.Accepted, "kept_bytes": named,
	}).Info("Results are proposed whole: some were not listed over their parts.")
	l.commit(jobs.Command{CompleteInline: &jobs.CompleteInline{Results: results}})
}

// commit proposes a command until it is committed or the leadership ends; false where it
// has ended. It has no second effect.
func (l *Leader) commit(command jobs.Command) (jobs.Result, bool) {
	for l.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(l.ctx, proposeTimeout)
		result, failure := l.propose(ctx, command)
		cancel()
		if failure == nil {
			return result, true
		}
		l.log.WithField("event", "results_not_committed").WithError(failure).Warn("Results were not committed yet.")
		select {
		case <-time.After(proposePause):
		case <-l.ctx.Done():
		}
	}
	return jobs.Result{}, false
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
