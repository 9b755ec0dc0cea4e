package experiment

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/routing"
)

// item is a batch item.
type item struct {
	service api.ServiceName // destination
	work    Work
}

// batchJob is a batch job: items submitted at one time.
type batchJob struct {
	at    time.Duration
	items []*item
}

// backlog holds the waiting items of a service, as the store does.
type backlog struct {
	waiting  []*item
	returned []*item // requeued items, taken first because they are the oldest
}

func (b *backlog) take(count int) []*item {
	var taken []*item
	fromReturned := min(count, len(b.returned))
	taken = append(taken, b.returned[:fromReturned]...)
	b.returned = b.returned[fromReturned:]
	fromWaiting := min(count-fromReturned, len(b.waiting))
	taken = append(taken, b.waiting[:fromWaiting]...)
	b.waiting = b.waiting[fromWaiting:]
	return taken
}

func (b *backlog) length() int { return len(b.waiting) + len(b.returned) }

// generateBatchJobs generates all batch jobs of a scenario.
func generateBatchJobs(scenario Scenario, strategy Strategy, seed uint64) []batchJob {
	var batchJobs []batchJob
	for _, service := range scenario.Services {
		if service.Batch.Every <= 0 || service.Batch.Items == 0 {
			continue
		}
		generator := newWorkGenerator(scenario, service, service.Batch.Shape, newStream(seed, streamBatch, string(service.Name)))
		number := 0
		for at := time.Duration(0); at < scenario.Duration; at += service.Batch.Every {
			number++
			job := batchJob{at: at}
			for range service.Batch.Items {
				job.items = append(job.items, &item{service: strategy.batchService(service.Name), work: generator.next(number)})
			}
			batchJobs = append(batchJobs, job)
		}
	}
	return batchJobs
}

func (f *fleet) addBatchJob(job batchJob) {
	for _, item := range job.items {
		backlog := f.backlogOf(item.service)
		backlog.waiting = append(backlog.waiting, item)
	}
	f.measure.offered(f.simulation.Now(), len(job.items))
}

func (f *fleet) backlogOf(service api.ServiceName) *backlog {
	if existing, ok := f.backlogs[service]; ok {
		return existing
	}
	added := &backlog{}
	f.backlogs[service] = added
	f.names = append(f.names, service)
	slices.Sort(f.names)
	return added
}

func (f *fleet) requeueItem(item *item) {
	backlog := f.backlogOf(item.service)
	backlog.returned = append(backlog.returned, item)
}

// claim requests items from the store for the spare capacity, runs them and
// schedules the next claim.
func (r *router) claim() {
	delay := r.fleet.scenario.Network.BetweenZones
	wants := r.wants()
	if len(wants) == 0 {
		r.fleet.simulation.After(r.fleet.scenario.Fleet.ClaimInterval, r.claim)
		return
	}
	r.fleet.simulation.After(delay, func() {
		granted := r.grant(wants)
		r.fleet.simulation.After(delay, func() {
			for _, grant := range granted {
				r.runItem(grant)
			}
			if len(granted) == 0 {
				r.fleet.simulation.After(r.fleet.scenario.Fleet.ClaimInterval, r.claim)
				return
			}
			r.claim()
		})
	})
}

type want struct {
	key  api.RowKey
	room int
}

type granted struct {
	key  api.RowKey
	item *item
}

func (r *router) wants() []want {
	var wants []want
	for _, service := range r.fleet.names {
		if r.fleet.backlogs[service].length() == 0 {
			continue
		}
		for _, place := range r.fleet.placesOf(service) {
			key := api.RowKey{Service: service, Place: place}
			if room := r.machine.Room(r.fleet.simulation.Now(), key); room > 0 {
				wants = append(wants, want{key: key, room: room})
			}
		}
	}
	return wants
}

func (f *fleet) placesOf(name api.ServiceName) []api.PlaceName {
	var places []api.PlaceName
	for _, service := range f.scenario.Services {
		if service.Name != name && splitService(service.Name) != name {
			continue
		}
		for _, place := range service.Places {
			places = append(places, place.Name)
		}
	}
	return places
}

func (r *router) grant(wants []want) []granted {
	var all []granted
	for _, want := range wants {
		for _, item := range r.fleet.backlogs[want.key.Service].take(want.room) {
			all = append(all, granted{key: want.key, item: item})
		}
	}
	return all
}

func (r *router) runItem(grant granted) {
	request := routing.Request{
		ID: r.fleet.newID("item"), Service: grant.key.Service, Place: grant.key.Place,
		Class: api.ClassBatch, Repeatable: true, Prefix: grant.item.work.Blocks,
	}
	requeue := func() { r.requeue(grant.item) }
	r.admit(request, grant.item.work, grant.item, attempt{
		onNotRun: requeue,
		onBroken: requeue,
		onToken: func(_ int, last bool) {
			if last {
				r.fleet.measure.itemDone(r.fleet.simulation.Now(), grant.item)
			}
		},
	})
}

// newItemSource returns a generator of items for measuring an engine's capacity.
func newItemSource(scenario Scenario, service Service, seed uint64) func() *item {
	var random *rand.Rand = newStream(seed, streamBatch, fmt.Sprintf("%s capacity", service.Name))
	generator := newWorkGenerator(scenario, service, service.Batch.Shape, random)
	count := 0
	return func() *item {
		count++
		return &item{service: service.Name, work: generator.next(1 + count/max(service.Batch.Items, 1))}
	}
}
