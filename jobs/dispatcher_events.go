package jobs

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/dykewing/dykewing/api"
)

const (
	// releaseTimeout is how long a released item waits for its ItemsReturned,
	// which determines when it is granted again.
	releaseTimeout = time.Second
	// proposeRetryInterval is the delay before a proposal that was not applied is
	// repeated.
	proposeRetryInterval = 2 * time.Second
	// noRoomDelay is the minimum delay before an item that found no room is granted
	// again.
	noRoomDelay = 50 * time.Millisecond
	// maxBackoffShift keeps the exponential backoff from overflowing.
	maxBackoffShift = 16
)

// handleApplied updates the tracked jobs and grants after a committed command.
func (d *Dispatcher) handleApplied(now time.Time, applied CommandApplied) []DispatcherAction {
	command := applied.Command
	if applied.Result.Duplicate {
		return nil
	}
	switch {
	case command.Submit != nil && applied.Result.Job != nil:
		d.addJob(*applied.Result.Job)
	case command.Cancel != nil:
		d.reloadJob(command.Cancel.Job)
	case command.ExpireJobs != nil:
		for _, id := range command.ExpireJobs.Jobs {
			d.reloadJob(id)
		}
	case command.Start != nil && applied.Result.Code == "":
		d.handleStart(now, *command.Start)
	case command.Complete != nil:
		d.handleComplete(now, *command.Complete)
	case command.Expire != nil && applied.Result.More:
		return []DispatcherAction{d.sweep(now)}
	}
	return nil
}

// reloadJob reads a job from the state, and removes it from the queues if it is no
// longer active.
func (d *Dispatcher) reloadJob(id JobID) {
	tracked, ok := d.jobs[id]
	if !ok {
		return
	}
	job, found, err := d.state.Job(id)
	d.setErr(err)
	wasActive := tracked.active()
	if found {
		tracked.job = job
	} else {
		tracked.job.Status = JobCancelled
	}
	if wasActive && !tracked.active() {
		for service, stream := range tracked.streams {
			stream.page, stream.returned, stream.cursor = nil, nil, -1
			d.dequeue(service, stream)
		}
	}
	d.removeIfEnded(tracked)
}

func (d *Dispatcher) dequeue(service api.ServiceName, stream *stream) {
	queue := d.services[service]
	if queue == nil {
		return
	}
	queue.remove(stream)
	if len(queue.tenants) == 0 {
		delete(d.services, service)
	}
}

// removeIfEnded stops tracking an ended job that has no active grants.
func (d *Dispatcher) removeIfEnded(tracked *trackedJob) {
	if tracked.job.Status.Ended() && tracked.activeGrants == 0 {
		delete(d.jobs, tracked.job.ID())
	}
}

// handleStart marks the grant of a started item. A start under a grant of a previous
// leader adds the grant.
func (d *Dispatcher) handleStart(now time.Time, start Start) {
	tracked, ok := d.jobs[start.Item.Job]
	if !ok {
		return
	}
	grant := d.grants.byItem[start.Item]
	if grant != nil && grant.epoch != start.Epoch {
		d.grants.remove(grant)
		grant = nil
	}
	stream, custom := d.streamOf(tracked, start.Item.Item)
	if grant == nil {
		grant = &activeGrant{item: start.Item, epoch: start.Epoch, router: start.Router, expires: now.Add(d.settings.GrantLifetime), stream: stream}
		d.grants.add(grant)
	}
	grant.started, grant.request, grant.customID = true, start.Request, custom
	d.grants.setExpiry(grant, now.Add(d.settings.GrantLifetime))
}

// streamOf returns the stream of an item and the item's custom ID.
func (d *Dispatcher) streamOf(tracked *trackedJob, item int) (*stream, string) {
	lines, _, err := d.state.Lines(tracked.job.File, item, 1)
	d.setErr(err)
	if len(lines) == 1 {
		line, err := ParseLine(lines[0])
		d.setErr(err)
		if service, err := ServiceOf(line.URL, line.Body); err == nil && tracked.streams[service] != nil {
			return tracked.streams[service], line.CustomID
		}
	}
	first := slices.Sorted(maps.Keys(tracked.streams))[0]
	return tracked.streams[first], ""
}

func (d *Dispatcher) handleComplete(now time.Time, complete Complete) {
	touched := map[JobID]bool{}
	for _, result := range complete.Results {
		touched[result.Item.Job] = true
		grant := d.grants.byItem[result.Item]
		if grant == nil || !grant.settledBy(result) {
			continue
		}
		d.grants.remove(grant)
		delete(grant.stream.tracked.attempts, result.Item.Item)
		if queue := d.services[grant.stream.service]; queue != nil {
			queue.completed++
		}
	}
	for _, release := range complete.Released {
		touched[release.Item.Job] = true
		if grant := d.grants.byItem[release.Item]; grant != nil && grant.request == release.Request {
			grant.started = false
			d.grants.setExpiry(grant, now.Add(releaseTimeout))
		}
	}
	for id := range touched {
		d.reloadJob(id)
	}
}

// settledBy reports whether the result ends the grant. The State rejects a result
// of a non-repeatable item without a matching start.
func (g *activeGrant) settledBy(result ItemResult) bool {
	if g.stream.tracked.job.Repeatable {
		return true
	}
	if g.started {
		return g.request == result.Request
	}
	return result.Outcome == api.OutcomeNotRun
}

func (d *Dispatcher) handleReturned(now time.Time, message ItemsReturned) []DispatcherAction {
	for _, returned := range message.Returned {
		grant := d.grants.byItem[returned.Item]
		if grant == nil || grant.epoch != returned.Epoch || grant.started {
			continue
		}
		d.grants.remove(grant)
		d.requeue(grant, d.retryAt(now, grant, returned))
	}
	return d.notice(message.Token, message.Router, nil)
}

// retryAt returns when a returned item may be granted again.
func (d *Dispatcher) retryAt(now time.Time, grant *activeGrant, returned ReturnedItem) time.Time {
	advice := min(time.Duration(returned.RetryAfterMs)*time.Millisecond, d.settings.MaxBackoff)
	switch returned.Reason {
	case ReturnPreempted:
		return now
	case ReturnNoCapacity:
		return now.Add(max(advice, noRoomDelay))
	}
	attempts := grant.stream.tracked.attempts
	attempts[returned.Item.Item]++
	shift := min(attempts[returned.Item.Item]-1, maxBackoffShift)
	return now.Add(max(advice, min(d.settings.Backoff<<shift, d.settings.MaxBackoff)))
}

func (d *Dispatcher) requeue(grant *activeGrant, notBefore time.Time) {
	tracked := grant.stream.tracked
	if tracked.active() && !d.settings.Faults.DropReturned {
		grant.stream.requeue(grant.item.Item, notBefore)
	}
	d.removeIfEnded(tracked)
}

// handleRenew extends grants. An unknown grant is adopted if its item is waiting, so
// that the running request is not wasted.
func (d *Dispatcher) handleRenew(now time.Time, message RenewArrived) []DispatcherAction {
	var lost []ItemRef
	for _, renewed := range message.Renew.Items {
		grant := d.grants.byItem[renewed.Item]
		if grant == nil {
			grant = d.adopt(now, message.Renew.Router, renewed)
		}
		if grant == nil || grant.epoch != renewed.Epoch || grant.router != message.Renew.Router {
			lost = append(lost, renewed.Item)
			continue
		}
		d.grants.setExpiry(grant, now.Add(d.settings.GrantLifetime))
	}
	return d.notice(message.Token, message.Renew.Router, lost)
}

func (d *Dispatcher) adopt(now time.Time, router api.NodeID, renewed RenewedGrant) *activeGrant {
	tracked := d.jobs[renewed.Item.Job]
	if tracked == nil || !tracked.active() {
		return nil
	}
	waiting, found, err := d.state.findWaiting(tracked.job, waitingItem{item: renewed.Item.Item})
	d.setErr(err)
	if !found || tracked.streams[waiting.service] == nil {
		return nil
	}
	stream := tracked.streams[waiting.service]
	stream.waiting = max(stream.waiting-1, 0)
	grant := &activeGrant{item: renewed.Item, epoch: renewed.Epoch, router: router, expires: now.Add(d.settings.GrantLifetime), stream: stream}
	d.grants.add(grant)
	return grant
}

func (d *Dispatcher) notice(token uint64, router api.NodeID, lost []ItemRef) []DispatcherAction {
	return []DispatcherAction{AnswerNotice{Token: token, Notice: Notice{Cancelled: d.cancelledJobs(router), Lost: lost}}}
}

func (d *Dispatcher) handleTick(now time.Time) []DispatcherAction {
	actions := d.expireGrants(now)
	for _, service := range slices.Sorted(maps.Keys(d.services)) {
		d.services[service].updateRate(now)
		actions = append(actions, d.failUnknownService(now, d.services[service])...)
	}
	if !now.Before(d.nextDeadlineCheck) {
		d.nextDeadlineCheck = now.Add(proposeRetryInterval)
		actions = append(actions, d.expireJobs(now)...)
	}
	if !now.Before(d.nextSweep) {
		actions = append(actions, d.sweep(now))
	}
	return actions
}

// expireGrants requeues the items of expired grants. A started item may have run: it
// ends with an unknown outcome instead, under its own request ID, unless a result was
// committed before.
func (d *Dispatcher) expireGrants(now time.Time) []DispatcherAction {
	var unknown []ItemResult
	for _, grant := range d.grants.popExpired(now) {
		if !grant.started {
			d.grants.remove(grant)
			d.requeue(grant, now)
			continue
		}
		d.grants.extend(grant, now.Add(proposeRetryInterval))
		unknown = append(unknown, ItemResult{
			Item: grant.item, CustomID: grant.customID, Outcome: api.OutcomeUnknown, Request: grant.request, Code: api.CodeOutcomeUnknown,
			Error: fmt.Sprintf("router %s sent the request and did not report; it is not sent again", grant.router),
		})
	}
	if len(unknown) == 0 {
		return nil
	}
	return []DispatcherAction{ProposeCommand{Command: Command{Complete: &Complete{Results: unknown}}}}
}

// failUnknownService fails waiting items of a service that has been missing from
// the table for UnknownServiceGrace, a batch at a time. The outcome is "not run" for
// non-repeatable items only, since a repeatable one may have run before.
func (d *Dispatcher) failUnknownService(now time.Time, queue *serviceQueue) []DispatcherAction {
	if d.knownServices == nil || d.knownServices[queue.service] {
		queue.unknownSince = time.Time{}
		return nil
	}
	if queue.unknownSince.IsZero() {
		queue.unknownSince = now
	}
	if now.Sub(queue.unknownSince) < d.settings.UnknownServiceGrace {
		return nil
	}
	const itemsAtOnce = 256
	var results []ItemResult
	for _, item := range d.grantItems(now, queue, "", "", itemsAtOnce) {
		outcome := api.OutcomeUnknown
		if !item.Repeatable {
			outcome = api.OutcomeNotRun
		}
		results = append(results, ItemResult{
			Item: item.Item, CustomID: item.CustomID, Outcome: outcome, Code: api.CodeUnknownService,
			Error: fmt.Sprintf("the table has no row for the model or service %q", item.Service),
		})
	}
	if len(results) == 0 {
		return nil
	}
	return []DispatcherAction{ProposeCommand{Command: Command{Complete: &Complete{Results: results}}}}
}

func (d *Dispatcher) expireJobs(now time.Time) []DispatcherAction {
	var due []JobID
	for id, tracked := range d.jobs {
		if tracked.active() && !tracked.job.Deadline.After(now) {
			due = append(due, id)
		}
	}
	if len(due) == 0 {
		return nil
	}
	slices.Sort(due)
	return []DispatcherAction{ProposeCommand{Command: Command{ExpireJobs: &ExpireJobs{Jobs: due}}}}
}

func (d *Dispatcher) sweep(now time.Time) DispatcherAction {
	d.nextSweep = now.Add(d.settings.SweepInterval)
	return ProposeCommand{Command: Command{Expire: &ExpireRetention{
		Before: now.Add(-d.settings.Retention), UploadsBefore: now.Add(-d.settings.UploadRetention),
	}}}
}
