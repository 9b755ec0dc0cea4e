package batchrun

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/jobs"
)

// abandon gives up an item and records it as abandoned. The caller holds the mutex.
func (l *Leader) abandon(i *item, why string) {
	fields := logrus.Fields{
		"event": "item_abandoned", "request": i.job.ID, "index": i.index, "why": why, "failures": i.failures,
		"age_ms": time.Since(i.job.Created).Milliseconds(),
	}
	if rule, known := l.ruleFor(i); known {
		fields["version"] = rule.version
	}
	if i.terms != nil {
		fields["accepted_version"] = i.terms.Version
	}
	l.log.WithFields(fields).Warn("Item abandoned.")
	l.backlog.finish(i)
	go l.enqueueResult(i, jobs.InlineAbandoned, "")
}

// enqueueResult passes an item's result to commitLoop.
func (l *Leader) enqueueResult(i *item, outcome jobs.InlineOutcome, text string) {
	stored, _, err := l.state.InlineItem(i.job.ID, i.index)
	if err != nil {
		l.log.WithError(err).Error("Reading an item from the state failed.")
		return
	}
	result := jobs.InlineResult{Job: i.job.ID, Index: i.index, ItemID: stored.ID, Outcome: outcome, Text: text}
	i.outputMutex.Lock()
	if !i.detached {
		result.CheckpointBytes = min(i.committedBytes, len(text))
	}
	i.outputMutex.Unlock()
	select {
	case l.results <- result:
	case <-l.ctx.Done():
	}
}

// commitLoop commits queued results in batches, retrying each batch until it is committed.
func (l *Leader) commitLoop() {
	for {
		var batch []jobs.InlineResult
		select {
		case first := <-l.results:
			batch = l.drainResults(first)
		case <-l.ctx.Done():
			return
		}
		l.commitResults(batch)
		for _, result := range batch {
			l.service.metrics.items.WithLabelValues(string(result.Outcome)).Inc()
		}
	}
}

func (l *Leader) drainResults(first jobs.InlineResult) []jobs.InlineResult {
	batch := []jobs.InlineResult{first}
	for len(batch) < maxResultsPerCommand {
		select {
		case next := <-l.results:
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}

// commitResults commits results. A result omits text that earlier partial outputs are believed
// to have committed. If some are not accepted on that basis, all are proposed again with their
// whole text; the state ignores those it already has.
func (l *Leader) commitResults(results []jobs.InlineResult) {
	result, committed := l.commit(jobs.Command{CompleteInline: &jobs.CompleteInline{Results: results}})
	if !committed || result.Accepted >= len(results) {
		return
	}
	omitted := 0
	for i := range results {
		omitted += results[i].CheckpointBytes
		results[i].CheckpointBytes = 0
	}
	if omitted == 0 {
		return // already accepted, or the job has ended
	}
	l.log.WithFields(logrus.Fields{
		"event": "results_whole", "results": len(results), "listed": result.Accepted, "kept_bytes": omitted,
	}).Info("Some results were not accepted; proposing all with their whole text.")
	l.commit(jobs.Command{CompleteInline: &jobs.CompleteInline{Results: results}})
}

// commit proposes a command until it is committed or the leadership ends, in which case it returns
// false. Commands must be idempotent: one whose answer is lost is proposed again.
func (l *Leader) commit(command jobs.Command) (jobs.Result, bool) {
	for l.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(l.ctx, proposeTimeout)
		result, failure := l.propose(ctx, command)
		cancel()
		if failure == nil {
			return result, true
		}
		l.log.WithField("event", "results_not_committed").WithError(failure).Warn("Command was not committed; retrying.")
		select {
		case <-time.After(proposeRetryDelay):
		case <-l.ctx.Done():
		}
	}
	return jobs.Result{}, false
}

// expireLoop deletes jobs whose retention has expired.
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
