package jobs

import (
	"slices"
	"time"
)

func (r *Runner) reportResult(ended *run, result ItemResult) {
	size := len(result.Body) + len(result.Error)
	r.unsettledBytes += size
	group := r.group(ended.group)
	group.outbox = append(group.outbox, report{result: &result, size: size})
}

func (r *Runner) reportReturned(ended *run, returned ReturnedItem) {
	returned.Item, returned.Epoch = ended.item.Item, ended.item.Epoch
	if ended.started {
		returned.Request = ended.request
	}
	group := r.group(ended.group)
	group.outbox = append(group.outbox, report{returned: returned})
}

// returnHeld returns items that waited too long for room, and all held items on
// shutdown.
func (r *Runner) returnHeld(now time.Time) {
	for _, key := range r.sortedRows() {
		for _, held := range slices.Clone(r.rows[key].held) {
			if r.stopping || now.Sub(held.heldAt) >= r.settings.MaxHoldTime {
				r.removeRun(held)
				r.reportReturned(held, ReturnedItem{Reason: ReturnNoCapacity})
			}
		}
	}
}

// applyNotice stops the runs that a leader's notice lists.
func (r *Runner) applyNotice(now time.Time, group *runnerGroup, notice Notice) []RunnerAction {
	if len(notice.Cancelled) == 0 && len(notice.Lost) == 0 {
		return nil
	}
	var actions []RunnerAction
	for _, request := range r.sortedRuns() {
		stopped := r.runs[request]
		lost := slices.Contains(notice.Lost, stopped.item.Item)
		if stopped.group != group.id || stopped.stopped || !lost && !slices.Contains(notice.Cancelled, stopped.item.Item.Job) {
			continue
		}
		actions = append(actions, r.stopRun(stopped)...)
	}
	return actions
}

// stopRun ends a run early. A non-repeatable item that may have been sent is not
// cancelled, since that would only lose its outcome.
func (r *Runner) stopRun(stopped *run) []RunnerAction {
	switch {
	case stopped.state == runHeld:
		r.removeRun(stopped)
		r.reportReturned(stopped, ReturnedItem{Reason: ReturnPreempted})
	case stopped.state == runStarting:
		stopped.stopped = true
	case stopped.item.Repeatable:
		stopped.stopped = true
		return []RunnerAction{CancelItem{Request: stopped.request}}
	}
	return nil
}
