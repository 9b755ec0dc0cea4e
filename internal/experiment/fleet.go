package experiment

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dykewing/dykewing/admission"
	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/placement"
	"github.com/dykewing/dykewing/sim"
)

// fleet is the simulated deployment of one strategy.
type fleet struct {
	scenario   Scenario
	strategy   Strategy
	simulation *sim.Simulation
	random     *rand.Rand
	rows       map[api.RowKey]api.Row // current table
	listed     []api.Worker           // current machine list
	routers    []*router
	byNode     map[api.NodeID]*router
	engines    map[api.WorkerID]*engineProcess
	sidecars   []*sidecar // one per zone
	backlogs   map[api.ServiceName]*backlog
	names      []api.ServiceName // keys of backlogs, sorted
	measure    *measure
	serial     uint64
	changed    bool     // set once the machine list or the table changes
	violations []string // invariant violations
}

// newFleet builds a deployment without scheduling any event.
func newFleet(scenario Scenario, strategy Strategy, seed uint64, settings admission.Settings) *fleet {
	f := &fleet{
		scenario: scenario, strategy: strategy, simulation: sim.New(seed),
		random: newStream(seed, streamFleet, "fleet"),
		rows:   strategy.rows(scenario), listed: strategy.workers(scenario),
		byNode: map[api.NodeID]*router{}, engines: map[api.WorkerID]*engineProcess{},
		backlogs: map[api.ServiceName]*backlog{}, measure: newMeasure(scenario),
	}
	for _, worker := range f.listed {
		f.engines[worker.ID] = newEngineProcess(f, worker)
	}
	for zone := range scenario.Fleet.Zones {
		for i := range scenario.Fleet.RoutersPerZone {
			f.addRouter(zone, i, strategy.settings(settings))
		}
		f.sidecars = append(f.sidecars, newSidecar(f, zone))
	}
	f.assignHomes()
	f.publishRows()
	return f
}

func (f *fleet) addRouter(zone, index int, settings admission.Settings) {
	node := api.Node{
		ID: api.NodeID(fmt.Sprintf("router-%d-%d", zone, index)), Role: api.RoleRouter,
		Location: api.Location{Zone: zoneName(zone)},
	}
	router := newRouter(f, node, settings)
	f.routers = append(f.routers, router)
	f.byNode[node.ID] = router
}

// assignHomes assigns each listed worker to its home router.
func (f *fleet) assignHomes() {
	nodes := make([]api.Node, 0, len(f.routers))
	for _, router := range f.routers {
		nodes = append(nodes, router.node)
	}
	positions := admission.Positions(f.listed)
	homed := map[api.NodeID][]api.Worker{}
	for _, worker := range f.listed {
		if id, ok := placement.HomeOf(worker, nodes); ok {
			homed[id] = append(homed[id], worker)
		}
	}
	for _, router := range f.routers {
		router.step(admission.Workers{Workers: homed[router.node.ID], Positions: positions})
	}
}

func (f *fleet) publishRows() {
	for _, router := range f.routers {
		router.step(admission.Rows{Rows: f.rows})
	}
}

// run simulates the traces, the batch jobs and the scenario's events.
func (f *fleet) run(traces [][]arrival, batchJobs []batchJob) {
	for _, trace := range traces {
		f.replayOnline(trace, 0)
	}
	if f.strategy != StrategyNoBatch {
		for _, job := range batchJobs {
			f.simulation.After(job.at, func() { f.addBatchJob(job) })
		}
	}
	for _, event := range f.scenario.Events {
		f.simulation.After(event.At, func() { f.applyEvent(event) })
	}
	for _, router := range f.routers {
		router.start()
	}
	for _, sidecar := range f.sidecars {
		sidecar.start()
	}
	f.simulation.After(f.scenario.Warmup, f.recordWarmupEnd)
	f.simulation.Run(f.scenario.Duration)
	f.checkPriorities()
}

// replayOnline schedules one arrival at a time to keep the event queue short.
func (f *fleet) replayOnline(trace []arrival, next int) {
	if next >= len(trace) {
		return
	}
	arrival := trace[next]
	f.simulation.After(arrival.at-f.simulation.Elapsed(), func() {
		f.sidecars[arrival.caller].receive(arrival)
		f.replayOnline(trace, next+1)
	})
}

func (f *fleet) newID(kind string) api.RequestID {
	f.serial++
	return api.RequestID(fmt.Sprintf("%s-%d", kind, f.serial))
}

// latency returns the one-way latency between two zones.
func (f *fleet) latency(from, to api.ZoneName) time.Duration {
	if from == to {
		return f.scenario.Network.WithinZone
	}
	return f.scenario.Network.BetweenZones
}

func (f *fleet) applyEvent(event Event) {
	id := api.WorkerID(fmt.Sprintf("%s-%s-%d", event.Service, event.Place, event.Worker))
	f.simulation.Tracef("%s %s", event.Kind, id)
	f.changed = true
	switch event.Kind {
	case EventWorkerDies:
		f.engines[id].crash()
		f.simulation.After(f.scenario.Fleet.ListLag, func() { f.removeWorker(id) })
	case EventWorkerReturns:
		f.engines[id].restart()
		f.simulation.After(f.scenario.Fleet.ListLag, func() { f.addWorker(f.engines[id].worker) })
	case EventWorkerLeaves:
		f.engines[id].leave()
		f.simulation.After(f.scenario.Fleet.ListLag, func() { f.removeWorker(id) })
	case EventEdit:
		f.editRow(event)
	}
}

func (f *fleet) removeWorker(id api.WorkerID) {
	f.listed = slices.DeleteFunc(slices.Clone(f.listed), func(worker api.Worker) bool { return worker.ID == id })
	f.assignHomes()
}

func (f *fleet) addWorker(worker api.Worker) {
	if !slices.ContainsFunc(f.listed, func(other api.Worker) bool { return other.ID == worker.ID }) {
		f.listed = append(slices.Clone(f.listed), worker)
	}
	f.assignHomes()
}

func (f *fleet) editRow(event Event) {
	rows := map[api.RowKey]api.Row{}
	for key, row := range f.rows {
		if key == (api.RowKey{Service: event.Service, Place: event.Place}) {
			row.Weight, row.BatchAllowance = event.Weight, event.BatchAllowance
		}
		rows[key] = row
	}
	f.rows = rows
	f.publishRows()
}
