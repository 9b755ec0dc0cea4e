package jobs

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/dykewing/dykewing/api"
)

// epochBits is how many grants a term can give.
const epochBits = 32

// grantQuantum is how many items a tenant is served in turn.
const grantQuantum = 8

// Dispatcher hands a leader's waiting items to routers. It keeps only what may
// be lost: after a change of leader the waiting items are found again in the
// State, and running ones are adopted when their routers renew them or else run
// a second time, with one result. Its memory grows with jobs and grants, not
// with items.
type Dispatcher struct {
	state     *State
	settings  DispatcherSettings
	epoch     uint64
	grantFrom time.Time // nothing is granted before
	jobs      map[JobID]*trackedJob
	services  map[api.ServiceName]*serviceQueue
	grants    *grantTable
	parked    []parkedClaim
	known     map[api.ServiceName]bool // nil until told
	nextSweep time.Time
	nextDue   time.Time // next look for jobs past their deadline
	err       error
}

type parkedClaim struct {
	token uint64
	claim ClaimItems
	until time.Time
}

// NewDispatcher finds the waiting and the started items of the state. A started
// item whose router does not renew it ends as unknown after a lifetime.
func NewDispatcher(state *State, settings DispatcherSettings, now time.Time) (*Dispatcher, error) {
	dispatcher := &Dispatcher{
		state: state, settings: settings, epoch: settings.Term << epochBits,
		grantFrom: now.Add(settings.AdoptWait), nextSweep: now, nextDue: now,
		jobs: map[JobID]*trackedJob{}, services: map[api.ServiceName]*serviceQueue{}, grants: newGrantTable(),
	}
	active, err := state.ActiveJobs()
	if err != nil {
		return nil, err
	}
	for _, job := range active {
		dispatcher.addJob(job)
		if err := dispatcher.addStarted(now, job); err != nil {
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

func (d *Dispatcher) addStarted(now time.Time, job Job) error {
	started, err := d.state.startedItems(job)
	for _, item := range started {
		service, failed := ServiceOf(item.line.URL, item.line.Body)
		if failed != nil {
			return failed
		}
		d.grants.add(&standingGrant{
			item: item.item, epoch: item.start.Epoch, router: item.start.Router, until: now.Add(d.settings.Lifetime),
			stream: d.jobs[job.ID()].streams[service], started: true, request: item.start.Request, custom: item.line.CustomID,
		})
	}
	return err
}

// Step takes one message.
func (d *Dispatcher) Step(now time.Time, message DispatchMessage) []DispatchAction {
	var actions []DispatchAction
	firstServed := 0
	switch message := message.(type) {
	case ClaimArrived:
		actions = d.claim(now, message)
		// The older claims were looked at when work last came; a further claim
		// brings none, and hundreds of routers may wait.
		firstServed = len(d.parked) - 1
	case ClaimGone:
		d.unpark(message.Token)
	case ItemsReturned:
		actions = d.itemsReturned(now, message)
	case RenewArrived:
		actions = d.renew(now, message)
	case Applied:
		actions = d.applied(now, message)
	case KnownServices:
		d.known = map[api.ServiceName]bool{}
		for _, service := range message.Services {
			d.known[service] = true
		}
	case DispatchTick:
		actions = d.tick(now)
	}
	actions = append(actions, d.serveParked(now, firstServed)...)
	if d.err != nil {
		return []DispatchAction{DispatchFailed{Err: d.err}}
	}
	return actions
}

// claim answers at once when there is work or something to stop; otherwise the
// claim waits. A router's new claim takes the place of its older one.
func (d *Dispatcher) claim(now time.Time, arrived ClaimArrived) []DispatchAction {
	var actions []DispatchAction
	d.parked = slices.DeleteFunc(d.parked, func(parked parkedClaim) bool {
		replaced := parked.claim.Router == arrived.Claim.Router
		if replaced {
			actions = append(actions, Granted{Token: parked.token})
		}
		return replaced
	})
	d.parked = append(d.parked, parkedClaim{
		token: arrived.Token, claim: arrived.Claim,
		until: now.Add(time.Duration(arrived.Claim.WaitMs) * time.Millisecond),
	})
	return actions
}

func (d *Dispatcher) unpark(token uint64) {
	d.parked = slices.DeleteFunc(d.parked, func(parked parkedClaim) bool { return parked.token == token })
}

// serveParked answers the claims that work has come for, the oldest first, and
// those that have waited long enough. It begins at the given one.
func (d *Dispatcher) serveParked(now time.Time, first int) []DispatchAction {
	var actions []DispatchAction
	still := d.parked[:first]
	for _, parked := range d.parked[first:] {
		grant := Grant{Cancelled: d.cancelled(parked.claim.Router)}
		if !now.Before(d.grantFrom) {
			d.fill(now, parked.claim, &grant)
		}
		if len(grant.Items) == 0 && len(grant.Cancelled) == 0 && now.Before(parked.until) {
			still = append(still, parked)
			continue
		}
		actions = append(actions, Granted{Token: parked.token, Grant: grant})
	}
	d.parked = still
	return actions
}

// fill adds items for the claim's wants.
func (d *Dispatcher) fill(now time.Time, claim ClaimItems, grant *Grant) {
	size := 0
	for _, want := range claim.Wants {
		queue, ok := d.services[want.Service]
		if !ok {
			continue
		}
		for room := want.Room; room > 0 && len(grant.Items) < maximumGrantItems && size < maximumGrantBytes; {
			items := d.take(now, queue, claim.Router, want.Place, min(room, grantQuantum))
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

// take grants up to count items of the stream whose turn it is. It gives none
// only when none waits.
func (d *Dispatcher) take(now time.Time, queue *serviceQueue, router api.NodeID, place api.PlaceName, count int) []GrantedItem {
	for {
		tenant, stream := queue.next(now)
		if stream == nil {
			return nil
		}
		var items []GrantedItem
		for len(items) < count && d.err == nil {
			waiting, ok, err := stream.pop(d.state, now, d.grants.has)
			d.fail(err)
			if !ok {
				break
			}
			items = append(items, d.grant(now, stream, waiting, router, place))
		}
		if len(items) > 0 {
			queue.served(tenant, len(items))
			return items
		}
		if d.err != nil {
			return nil
		}
	}
}

func (d *Dispatcher) fail(err error) {
	if d.err == nil {
		d.err = err
	}
}

func (d *Dispatcher) grant(now time.Time, stream *stream, waiting waitingItem, router api.NodeID, place api.PlaceName) GrantedItem {
	d.epoch++
	job := stream.tracked.job
	item := ItemRef{Job: job.ID(), Item: waiting.item}
	d.grants.add(&standingGrant{item: item, epoch: d.epoch, router: router, until: now.Add(d.settings.Lifetime), stream: stream})
	return GrantedItem{
		Item: item, Epoch: d.epoch, CustomID: waiting.line.CustomID, Tenant: job.Tenant,
		Service: waiting.service, Place: place, Path: waiting.line.URL, Body: waiting.line.Body,
		Repeatable: job.Repeatable, Deadline: job.Deadline, LifetimeMs: d.settings.Lifetime.Milliseconds(),
		LastAttempt: stream.tracked.attempts[waiting.item]+1 >= d.settings.MaximumAttempts,
	}
}

// cancelled lists the jobs whose repeatable items the router should stop.
func (d *Dispatcher) cancelled(router api.NodeID) []JobID {
	var list []JobID
	for id := range d.grants.held[router] {
		if tracked := d.jobs[id]; tracked != nil && !tracked.active() && tracked.job.Repeatable {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}

// Backlog counts the items that wait, by service, sorted.
func (d *Dispatcher) Backlog() []api.ServiceBacklog {
	var backlog []api.ServiceBacklog
	for service, queue := range d.services {
		if waiting := queue.waiting(); waiting > 0 {
			backlog = append(backlog, api.ServiceBacklog{Service: service, Items: waiting})
		}
	}
	slices.SortFunc(backlog, func(a, b api.ServiceBacklog) int { return cmp.Compare(a.Service, b.Service) })
	return backlog
}
