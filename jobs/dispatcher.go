package jobs

import (
	"slices"
	"time"

	"github.com/dykewing/dykewing/api"
)

// Dispatcher hands a leader's waiting items to routers. It keeps only what may
// be lost: after a change of leader the waiting items are found again in the
// State and running ones may run a second time, with one result.
type Dispatcher struct {
	state    *State
	lifetime time.Duration
	epoch    uint64
	queues   []JobID
	next     map[JobID]int // first item not handed out yet
	returned []ItemRef
	granted  map[ItemRef]time.Time // when the grant ends
}

// NewDispatcher finds the waiting items of the state.
func NewDispatcher(state *State, lifetime time.Duration) *Dispatcher {
	dispatcher := &Dispatcher{state: state, lifetime: lifetime, next: map[JobID]int{}, granted: map[ItemRef]time.Time{}}
	active, _ := state.ActiveJobs()
	for _, job := range active {
		dispatcher.Add(job.ID())
	}
	return dispatcher
}

// Add makes a job's items wait.
func (d *Dispatcher) Add(job JobID) {
	if !slices.Contains(d.queues, job) {
		d.queues = append(d.queues, job)
	}
}

// Claim hands out items for the router's idle room.
func (d *Dispatcher) Claim(now time.Time, wants []ClaimWant) Grant {
	d.takeBackExpired(now)
	var grant Grant
	for _, want := range wants {
		grant.Items = append(grant.Items, d.take(now, want)...)
	}
	return grant
}

func (d *Dispatcher) takeBackExpired(now time.Time) {
	for item, until := range d.granted {
		if now.After(until) {
			d.Return(item)
		}
	}
}

// Return makes an item wait again.
func (d *Dispatcher) Return(item ItemRef) {
	delete(d.granted, item)
	d.returned = append(d.returned, item)
}

// Settled forgets a grant.
func (d *Dispatcher) Settled(item ItemRef) { delete(d.granted, item) }

func (d *Dispatcher) take(now time.Time, want ClaimWant) []GrantedItem {
	var items []GrantedItem
	kept := d.returned[:0]
	for _, item := range d.returned {
		granted, ok := d.grant(now, item, want)
		switch {
		case ok && len(items) < want.Room:
			items = append(items, granted)
		case d.runnable(item):
			kept = append(kept, item)
		}
	}
	d.returned = kept
	for _, id := range d.queues {
		items = append(items, d.takeFrom(now, id, want, want.Room-len(items))...)
	}
	for _, item := range items {
		d.granted[item.Item] = now.Add(d.lifetime)
	}
	return items
}

func (d *Dispatcher) takeFrom(now time.Time, id JobID, want ClaimWant, room int) []GrantedItem {
	job, ok, _ := d.state.Job(id)
	var items []GrantedItem
	for ok && len(items) < room && d.next[id] < job.Total {
		item := ItemRef{Job: id, Item: d.next[id]}
		granted, matches := d.grant(now, item, want)
		if !matches && d.runnable(item) {
			break // the job's next item is for another service
		}
		d.next[id]++
		if matches {
			items = append(items, granted)
		}
	}
	return items
}

// grant builds the grant of an item when it may run and is for the service.
func (d *Dispatcher) grant(_ time.Time, item ItemRef, want ClaimWant) (GrantedItem, bool) {
	if !d.runnable(item) {
		return GrantedItem{}, false
	}
	job, _, _ := d.state.Job(item.Job)
	lines, _, _ := d.state.Lines(job.File, item.Item, 1)
	line, err := ParseLine(lines[0])
	if err != nil {
		return GrantedItem{}, false
	}
	service, err := ServiceOf(line.URL, line.Body)
	if err != nil || service != want.Service {
		return GrantedItem{}, false
	}
	d.epoch++
	return GrantedItem{
		Item: item, CustomID: line.CustomID, Epoch: d.epoch, Tenant: job.Tenant, Service: service, Place: want.Place,
		Path: line.URL, Body: line.Body, Repeatable: job.Repeatable, Deadline: job.Deadline,
		LifetimeMs: d.lifetime.Milliseconds(),
	}, true
}

// Backlog counts the items that wait, by service.
func (d *Dispatcher) Backlog() []api.ServiceBacklog {
	counts := map[api.ServiceName]int{}
	for _, id := range d.queues {
		job, ok, _ := d.state.Job(id)
		if !ok || job.Status != JobInProgress || d.next[id] >= job.Total {
			continue
		}
		lines, _, _ := d.state.Lines(job.File, d.next[id], 1)
		if line, err := ParseLine(lines[0]); err == nil {
			if service, err := ServiceOf(line.URL, line.Body); err == nil {
				counts[service] += job.Total - d.next[id]
			}
		}
	}
	backlog := make([]api.ServiceBacklog, 0, len(counts))
	for service, count := range counts {
		backlog = append(backlog, api.ServiceBacklog{Service: service, Items: count})
	}
	slices.SortFunc(backlog, func(a, b api.ServiceBacklog) int {
		if a.Service < b.Service {
			return -1
		}
		return 1
	})
	return backlog
}

func (d *Dispatcher) runnable(item ItemRef) bool {
	runnable, err := d.state.Runnable(item)
	return err == nil && runnable
}
