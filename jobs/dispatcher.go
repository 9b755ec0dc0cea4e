package jobs

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/dykewing/dykewing/api"
)

// epochBits is the number of low bits of an epoch that count grants within a
// term; the term is stored above them.
const epochBits = 32

// grantQuantum is the maximum number of items granted to a tenant in one turn.
const grantQuantum = 8

// Dispatcher grants a leader's waiting items to routers. It holds soft state only:
// a new leader reads the waiting items from the State and adopts running ones
// when their routers renew the grants. A repeatable item that is not adopted may
// run a second time, with one result. Memory use grows with the number of jobs
// and grants, not of items.
//
// A Dispatcher is not safe for concurrent use.
type Dispatcher struct {
	state             *State
	settings          DispatcherSettings
	epoch             uint64
	grantNotBefore    time.Time // no grants are issued earlier
	jobs              map[JobID]*trackedJob
	services          map[api.ServiceName]*serviceQueue
	grants            *grantTable
	pending           []pendingClaim
	knownServices     map[api.ServiceName]bool // nil until KnownServices arrives
	nextSweep         time.Time
	nextDeadlineCheck time.Time
	err               error
}

type pendingClaim struct {
	token    uint64
	claim    ClaimItems
	deadline time.Time
}

// NewDispatcher reads the active jobs and their started items from the state. A started
// item whose grant is not renewed within its lifetime ends with an unknown outcome.
func NewDispatcher(state *State, settings DispatcherSettings, now time.Time) (*Dispatcher, error) {
	dispatcher := &Dispatcher{
		state: state, settings: settings, epoch: settings.Term << epochBits,
		grantNotBefore: now.Add(settings.AdoptWait), nextSweep: now, nextDeadlineCheck: now,
		jobs: map[JobID]*trackedJob{}, services: map[api.ServiceName]*serviceQueue{}, grants: newGrantTable(),
	}
	active, err := state.ActiveJobs()
	if err != nil {
		return nil, err
	}
	for _, job := range active {
		dispatcher.addJob(job)
		if err := dispatcher.adoptStarted(now, job); err != nil {
			return nil, err
		}
	}
	return dispatcher, nil
}

func (d *Dispatcher) addJob(job Job) {
	if d.jobs[job.ID()] != nil || job.Status.Ended() {
		return
	}
	tracked := &trackedJob{job: job, streams: map[api.ServiceName]*stream{}, attempts: map[int]int{}}
	d.jobs[job.ID()] = tracked
	for _, service := range slices.Sorted(maps.Keys(job.Services)) {
		added := newStream(tracked, service)
		tracked.streams[service] = added
		if tracked.active() {
			d.queue(service).add(added)
		}
	}
}

func (d *Dispatcher) queue(service api.ServiceName) *serviceQueue {
	queue, ok := d.services[service]
	if !ok {
		queue = &serviceQueue{service: service, tenants: map[api.TenantID]*tenantQueue{}}
		d.services[service] = queue
	}
	return queue
}

func (d *Dispatcher) adoptStarted(now time.Time, job Job) error {
	started, err := d.state.startedItems(job)
	for _, item := range started {
		service, err := ServiceOf(item.line.URL, item.line.Body)
		if err != nil {
			return err
		}
		d.grants.add(&activeGrant{
			item: item.item, epoch: item.start.Epoch, router: item.start.Router, expires: now.Add(d.settings.GrantLifetime),
			stream: d.jobs[job.ID()].streams[service], started: true, request: item.start.Request, customID: item.line.CustomID,
		})
	}
	return err
}

// Step handles one message and returns the resulting actions.
func (d *Dispatcher) Step(now time.Time, message DispatcherMessage) []DispatcherAction {
	var actions []DispatcherAction
	firstServed := 0
	switch message := message.(type) {
	case ClaimArrived:
		actions = d.enqueueClaim(now, message)
		// A new claim brings no work, so the older claims, possibly hundreds,
		// need not be evaluated again.
		firstServed = len(d.pending) - 1
	case ClaimWithdrawn:
		d.removePending(message.Token)
	case ItemsReturned:
		actions = d.handleReturned(now, message)
	case RenewArrived:
		actions = d.handleRenew(now, message)
	case CommandApplied:
		actions = d.handleApplied(now, message)
	case KnownServices:
		d.knownServices = map[api.ServiceName]bool{}
		for _, service := range message.Services {
			d.knownServices[service] = true
		}
	case DispatcherTick:
		actions = d.handleTick(now)
	}
	actions = append(actions, d.servePending(now, firstServed)...)
	if d.err != nil {
		return []DispatcherAction{DispatcherFailed{Err: d.err}}
	}
	return actions
}

// enqueueClaim adds a claim to the pending ones. A router has at most one pending
// claim: an older one is answered with an empty grant.
func (d *Dispatcher) enqueueClaim(now time.Time, arrived ClaimArrived) []DispatcherAction {
	var actions []DispatcherAction
	d.pending = slices.DeleteFunc(d.pending, func(claim pendingClaim) bool {
		replaced := claim.claim.Router == arrived.Claim.Router
		if replaced {
			actions = append(actions, AnswerClaim{Token: claim.token})
		}
		return replaced
	})
	d.pending = append(d.pending, pendingClaim{
		token: arrived.Token, claim: arrived.Claim,
		deadline: now.Add(time.Duration(arrived.Claim.WaitMs) * time.Millisecond),
	})
	return actions
}

func (d *Dispatcher) removePending(token uint64) {
	d.pending = slices.DeleteFunc(d.pending, func(claim pendingClaim) bool { return claim.token == token })
}

// servePending answers the pending claims from index first on, oldest first, for
// which there is work or a cancellation, or whose wait time has passed.
func (d *Dispatcher) servePending(now time.Time, first int) []DispatcherAction {
	var actions []DispatcherAction
	remaining := d.pending[:first]
	for _, pending := range d.pending[first:] {
		grant := Grant{Cancelled: d.cancelledJobs(pending.claim.Router)}
		if !now.Before(d.grantNotBefore) {
			d.fillGrant(now, pending.claim, &grant)
		}
		if len(grant.Items) == 0 && len(grant.Cancelled) == 0 && now.Before(pending.deadline) {
			remaining = append(remaining, pending)
			continue
		}
		actions = append(actions, AnswerClaim{Token: pending.token, Grant: grant})
	}
	d.pending = remaining
	return actions
}

// fillGrant adds waiting items to the grant, up to the claimed room and the limits
// of one grant.
func (d *Dispatcher) fillGrant(now time.Time, claim ClaimItems, grant *Grant) {
	size := 0
	for _, want := range claim.Rows {
		queue, ok := d.services[want.Service]
		if !ok {
			continue
		}
		for room := want.Slots; room > 0 && len(grant.Items) < maxGrantItems && size < maxGrantBytes; {
			items := d.grantItems(now, queue, claim.Router, want.Place, min(room, grantQuantum))
			if len(items) == 0 {
				break
			}
			for _, item := range items {
				size += len(item.Body)
			}
			room -= len(items)
			grant.Items = append(grant.Items, items...)
		}
	}
}

// grantItems grants up to count items of the next stream in turn. It returns none
// only if no item is ready.
func (d *Dispatcher) grantItems(now time.Time, queue *serviceQueue, router api.NodeID, place api.PlaceName, count int) []GrantedItem {
	for {
		tenant, stream := queue.next(now)
		if stream == nil {
			return nil
		}
		var items []GrantedItem
		for len(items) < count && d.err == nil {
			waiting, ok, err := stream.pop(d.state, now, d.grants.has)
			d.setErr(err)
			if !ok {
				break
			}
			items = append(items, d.grantItem(now, stream, waiting, router, place))
		}
		if len(items) > 0 {
			queue.charge(tenant, len(items))
			return items
		}
		if d.err != nil {
			return nil
		}
	}
}

func (d *Dispatcher) setErr(err error) {
	if d.err == nil {
		d.err = err
	}
}

func (d *Dispatcher) grantItem(now time.Time, stream *stream, waiting waitingItem, router api.NodeID, place api.PlaceName) GrantedItem {
	d.epoch++
	job := stream.tracked.job
	item := ItemRef{Job: job.ID(), Item: waiting.item}
	d.grants.add(&activeGrant{item: item, epoch: d.epoch, router: router, expires: now.Add(d.settings.GrantLifetime), stream: stream})
	return GrantedItem{
		Item: item, Epoch: d.epoch, CustomID: waiting.line.CustomID, Tenant: job.Tenant,
		Service: waiting.service, Place: place, Path: waiting.line.URL, Body: waiting.line.Body,
		Repeatable: job.Repeatable, Deadline: job.Deadline, LifetimeMs: d.settings.GrantLifetime.Milliseconds(),
		LastAttempt: stream.tracked.attempts[waiting.item]+1 >= d.settings.MaxAttempts,
	}
}

// cancelledJobs lists the jobs of the router's grants that no longer accept results
// of repeatable items.
func (d *Dispatcher) cancelledJobs(router api.NodeID) []JobID {
	var list []JobID
	for id := range d.grants.byRouter[router] {
		if tracked := d.jobs[id]; tracked != nil && !tracked.active() && tracked.job.Repeatable {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}

// Backlog returns the approximate number of waiting items by service, sorted by
// service. Services without waiting items are omitted.
func (d *Dispatcher) Backlog() []api.ServiceBacklog {
	var backlog []api.ServiceBacklog
	for service, queue := range d.services {
		if waiting := queue.waitingItems(); waiting > 0 {
			backlog = append(backlog, api.ServiceBacklog{Service: service, Items: waiting})
		}
	}
	slices.SortFunc(backlog, func(a, b api.ServiceBacklog) int { return cmp.Compare(a.Service, b.Service) })
	return backlog
}
