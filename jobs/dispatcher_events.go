package jobs

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/dykewing/dykewing/api"
)

const (
	// releaseWait is how long a released item waits for its ItemsReturned,
	// which tells when to try again.
	releaseWait = time.Second
	// proposeAgain is when a proposal that was not applied is made again.
	proposeAgain = 2 * time.Second
	// roomDelay is how long an item that found no room waits.
	roomDelay = 50 * time.Millisecond
	// maximumBackoffShift keeps the doubled backoff within its type.
	maximumBackoffShift = 16
)

// applied follows the committed commands.
func (d *Dispatcher) applied(now time.Time, applied Applied) []DispatchAction {
	command := applied.Command
	if applied.Result.Duplicate {
		return nil
	}
	switch {
	case command.Submit != nil && applied.Result.Job != nil:
		d.addJob(*applied.Result.Job)
	case command.Cancel != nil:
		d.refresh(command.Cancel.Job)
	case command.ExpireJobs != nil:
		for _, id := range command.ExpireJobs.Jobs {
			d.refresh(id)
		}
	case command.Start != nil && applied.Result.Code == "":
		d.started(now, *command.Start)
	case command.Complete != nil:
		d.completed(now, *command.Complete)
	case command.Expire != nil && applied.Result.More:
		return []DispatchAction{d.sweep(now)}
	}
	return nil
}

// refresh reads a job's state again and forgets what has ended.
func (d *Dispatcher) refresh(id JobID) {
	tracked, ok := d.jobs[id]
	if !ok {
		return
	}
	job, found, err := d.state.Job(id)
	d.fail(err)
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
	d.forget(tracked)
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

// forget drops an ended job once no grant of it stands.
func (d *Dispatcher) forget(tracked *trackedJob) {
	if tracked.job.Status.Ended() && tracked.granted == 0 {
		delete(d.jobs, tracked.job.ID())
	}
}

// started marks the grant whose item is being sent, or adds it when it is of a
// leader before.
func (d *Dispatcher) started(now time.Time, start Start) {
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
		grant = &standingGrant{item: start.Item, epoch: start.Epoch, router: start.Router, until: now.Add(d.settings.Lifetime), stream: stream}
		d.grants.add(grant)
	}
	grant.started, grant.request, grant.custom = true, start.Request, custom
	d.grants.end(grant, now.Add(d.settings.Lifetime))
}

// streamOf finds the stream of an item and its custom id.
func (d *Dispatcher) streamOf(tracked *trackedJob, item int) (*stream, string) {
	lines, _, err := d.state.Lines(tracked.job.File, item, 1)
	d.fail(err)
	if len(lines) == 1 {
		line, err := ParseLine(lines[0])
		d.fail(err)
		if service, err := ServiceOf(line.URL, line.Body); err == nil && tracked.streams[service] != nil {
			return tracked.streams[service], line.CustomID
		}
	}
	first := slices.Sorted(maps.Keys(tracked.streams))[0]
	return tracked.streams[first], ""
}

func (d *Dispatcher) completed(now time.Time, complete Complete) {
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
			queue.ended++
		}
	}
	for _, release := range complete.Released {
		touched[release.Item.Job] = true
		if grant := d.grants.byItem[release.Item]; grant != nil && grant.request == release.Request {
			grant.started = false
			d.grants.end(grant, now.Add(releaseWait))
		}
	}
	for id := range touched {
		d.refresh(id)
	}
}

// settledBy tells whether the result ends the grant. The State refuses a result
// of a non-repeatable item whose start it does not know.
func (g *standingGrant) settledBy(result ItemResult) bool {
	if g.stream.tracked.job.Repeatable {
		return true
	}
	if g.started {
		return g.request == result.Request
	}
	return result.Outcome == api.OutcomeNotRun
}

func (d *Dispatcher) itemsReturned(now time.Time, message ItemsReturned) []DispatchAction {
	for _, returned := range message.Returned {
		grant := d.grants.byItem[returned.Item]
		if grant == nil || grant.epoch != returned.Epoch || grant.started {
			continue
		}
		d.grants.remove(grant)
		d.putBack(grant, d.retryAt(now, grant, returned))
	}
	return d.notice(message.Token, message.Router, nil)
}

// retryAt decides when a returned item may be handed out again.
func (d *Dispatcher) retryAt(now time.Time, grant *standingGrant, returned ReturnedItem) time.Time {
	advice := min(time.Duration(returned.RetryAfterMs)*time.Millisecond, d.settings.MaximumBackoff)
	switch returned.Reason {
	case ReturnPreempted:
		return now
	case ReturnNoRoom:
		return now.Add(max(advice, roomDelay))
	}
	attempts := grant.stream.tracked.attempts
	attempts[returned.Item.Item]++
	shift := min(attempts[returned.Item.Item]-1, maximumBackoffShift)
	return now.Add(max(advice, min(d.settings.Backoff<<shift, d.settings.MaximumBackoff)))
}

func (d *Dispatcher) putBack(grant *standingGrant, notBefore time.Time) {
	tracked := grant.stream.tracked
	if tracked.active() && !d.settings.Faults.ForgetReturned {
		grant.stream.putBack(grant.item.Item, notBefore)
	}
	d.forget(tracked)
}

// renew lengthens grants. One that no longer stands is adopted when its item
// still waits, so that work that runs is not thrown away.
func (d *Dispatcher) renew(now time.Time, message RenewArrived) []DispatchAction {
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
		d.grants.end(grant, now.Add(d.settings.Lifetime))
	}
	return d.notice(message.Token, message.Renew.Router, lost)
}

func (d *Dispatcher) adopt(now time.Time, router api.NodeID, renewed RenewedGrant) *standingGrant {
	tracked := d.jobs[renewed.Item.Job]
	if tracked == nil || !tracked.active() {
		return nil
	}
	waiting, found, err := d.state.untaken(tracked.job, waitingItem{item: renewed.Item.Item})
	d.fail(err)
	if !found || tracked.streams[waiting.service] == nil {
		return nil
	}
	stream := tracked.streams[waiting.service]
	stream.waiting = max(stream.waiting-1, 0)
	grant := &standingGrant{item: renewed.Item, epoch: renewed.Epoch, router: router, until: now.Add(d.settings.Lifetime), stream: stream}
	d.grants.add(grant)
	return grant
}

func (d *Dispatcher) notice(token uint64, router api.NodeID, lost []ItemRef) []DispatchAction {
	return []DispatchAction{Noticed{Token: token, Notice: Notice{Cancelled: d.cancelled(router), Lost: lost}}}
}

func (d *Dispatcher) tick(now time.Time) []DispatchAction {
	actions := d.endGrants(now)
	for _, service := range slices.Sorted(maps.Keys(d.services)) {
		d.services[service].measurePace(now)
		actions = append(actions, d.endUnknown(now, d.services[service])...)
	}
	if !now.Before(d.nextDue) {
		d.nextDue = now.Add(proposeAgain)
		actions = append(actions, d.expireJobs(now)...)
	}
	if !now.Before(d.nextSweep) {
		actions = append(actions, d.sweep(now))
	}
	return actions
}

// endGrants takes back what was not renewed. A started item may have run: it
// ends as unknown, by a result under its own request, which loses against a
// result that was committed before.
func (d *Dispatcher) endGrants(now time.Time) []DispatchAction {
	var unknown []ItemResult
	for _, grant := range d.grants.expired(now) {
		if !grant.started {
			d.grants.remove(grant)
			d.putBack(grant, now)
			continue
		}
		d.grants.prolong(grant, now.Add(proposeAgain))
		unknown = append(unknown, ItemResult{
			Item: grant.item, CustomID: grant.custom, Outcome: api.OutcomeUnknown, Request: grant.request, Code: api.CodeOutcomeUnknown,
			Error: fmt.Sprintf("router %s sent the request and did not report; it is not sent again", grant.router),
		})
	}
	if len(unknown) == 0 {
		return nil
	}
	return []DispatchAction{ProposeCommand{Command: Command{Complete: &Complete{Results: unknown}}}}
}

// endUnknown ends items of a service that the table has not had for the grace,
// some at a time. A repeatable item may have run before, so that only of others
// it is known that they did not.
func (d *Dispatcher) endUnknown(now time.Time, queue *serviceQueue) []DispatchAction {
	if d.known == nil || d.known[queue.service] {
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
	for _, item := range d.take(now, queue, "", "", itemsAtOnce) {
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
	return []DispatchAction{ProposeCommand{Command: Command{Complete: &Complete{Results: results}}}}
}

func (d *Dispatcher) expireJobs(now time.Time) []DispatchAction {
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
	return []DispatchAction{ProposeCommand{Command: Command{ExpireJobs: &ExpireJobs{Jobs: due}}}}
}

func (d *Dispatcher) sweep(now time.Time) DispatchAction {
	d.nextSweep = now.Add(d.settings.SweepInterval)
	return ProposeCommand{Command: Command{Expire: &ExpireRetention{
		Before: now.Add(-d.settings.Retention), UploadsBefore: now.Add(-d.settings.UploadRetention),
	}}}
}
