package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/routing"
)

const (
	testService = api.ServiceName("model")
	testPlace   = api.PlaceName("here")
)

var testKey = api.RowKey{Service: testService, Place: testPlace}

func newTestMachine(filling Filling) *Machine {
	random := rand.New(rand.NewPCG(1, 2))
	return NewMachine(Settings{
		Online: routing.OnlineProfile(api.Location{Zone: "a"}, random), Batch: routing.BatchProfile(random),
		RetryAfter: time.Second, Reserve: DefaultReserve, Filling: filling,
	})
}

func testWorkers(count int) []api.Worker {
	workers := make([]api.Worker, count)
	for i := range workers {
		workers[i] = api.Worker{
			ID: api.WorkerID(fmt.Sprintf("worker-%d", i)), Service: testService, Place: testPlace,
			Location: api.Location{Zone: "a"}, Slots: 8,
		}
	}
	return workers
}

// longestPause between two random steps, in ms.
const longestPause = 400

// observer keeps its own account of what a machine has let in.
type observer struct {
	machine  *Machine
	now      time.Time
	row      api.Row
	listed   []api.Worker
	flights  map[api.RequestID]Dispatch
	classes  map[api.RequestID]api.Class
	once     map[api.RequestID]bool      // may not be repeated
	held     map[api.RequestID]time.Time // suspended since
	serial   int
	problems []string
}

func newObserver(filling Filling) *observer {
	o := &observer{
		machine: newTestMachine(filling), now: time.Unix(1000, 0),
		flights: map[api.RequestID]Dispatch{}, classes: map[api.RequestID]api.Class{},
		once: map[api.RequestID]bool{}, held: map[api.RequestID]time.Time{},
		row: api.Row{Service: testService, Place: testPlace, Weight: 1, BatchAllowance: 6, Priority: 1},
	}
	o.setRow(o.row)
	o.setWorkers(testWorkers(3))
	return o
}

func (o *observer) problem(format string, arguments ...any) {
	o.problems = append(o.problems, fmt.Sprintf(format, arguments...))
}

func (o *observer) setRow(row api.Row) {
	o.row = row
	o.step(Rows{Rows: map[api.RowKey]api.Row{row.Key(): row}})
}

func (o *observer) setWorkers(workers []api.Worker) {
	o.listed = workers
	o.step(Workers{Workers: workers})
}

func (o *observer) count(worker api.WorkerID, class api.Class) int {
	total := 0
	for id, dispatch := range o.flights {
		if _, held := o.held[id]; held && worker != "" {
			continue
		}
		if (worker == "" || dispatch.Worker == worker) && o.classes[id] == class {
			total++
		}
	}
	return total
}

// step takes a message and follows all actions but the answers of arrivals,
// which it gives back.
func (o *observer) step(message Message) []Action {
	var answers []Action
	for _, action := range o.machine.Step(o.now, message) {
		switch action := action.(type) {
		case Suspend:
			o.stopped(action.Request)
			if _, held := o.held[action.Request]; held {
				o.problem("request %s was suspended twice", action.Request)
			}
			o.held[action.Request] = o.now
		case Resume:
			if _, held := o.held[action.Request]; !held {
				o.problem("request %s was resumed but not suspended", action.Request)
			}
			if action.Worker != o.flights[action.Request].Worker {
				o.problem("request %s was resumed at another worker", action.Request)
			}
			delete(o.held, action.Request)
		case Preempt:
			o.stopped(action.Request)
			delete(o.flights, action.Request)
			delete(o.held, action.Request)
		default:
			answers = append(answers, action)
		}
	}
	return answers
}

// stopped checks that a request may be cancelled.
func (o *observer) stopped(id api.RequestID) {
	if _, ok := o.flights[id]; !ok || o.classes[id] != api.ClassBatch {
		o.problem("cancelled request %s is not batch in flight", id)
	}
	if o.once[id] {
		o.problem("cancelled request %s may not be repeated", id)
	}
}

func (o *observer) arrive(class api.Class, repeatable bool) {
	o.serial++
	id := api.RequestID(fmt.Sprintf("r%d", o.serial))
	prefix := make([]uint64, o.serial%7)
	for i := range prefix {
		prefix[i] = uint64(o.serial%3*100 + i)
	}
	answers := o.step(Arrive{Request: routing.Request{
		ID: id, Service: testService, Place: testPlace, Class: class, Repeatable: repeatable, Prefix: prefix,
	}})
	if len(answers) != 1 {
		o.problem("arrival had %d answers in its step", len(answers))
	}
	for _, answer := range answers {
		switch answer := answer.(type) {
		case Dispatch:
			o.flights[id], o.classes[id], o.once[id] = answer, class, !repeatable
			o.dispatched(answer, class)
		case Refuse:
			if class == api.ClassOnline && o.mustAdmit() {
				o.problem("online request was refused: %v", answer.Failure)
			}
			if answer.Failure.Outcome != api.OutcomeNotRun {
				o.problem("refusal with outcome %s", answer.Failure.Outcome)
			}
		}
	}
}

func (o *observer) mustAdmit() bool {
	return slices.ContainsFunc(o.listed, func(worker api.Worker) bool { return !worker.Leaving })
}

// dispatched checks a dispatch after the preemptions of its step.
func (o *observer) dispatched(dispatch Dispatch, class api.Class) {
	if class == api.ClassBatch {
		if all := o.count("", api.ClassBatch); all > o.row.BatchAllowance {
			o.problem("%d batch requests pass the allowance of %d", all, o.row.BatchAllowance)
		}
		if dispatch.Priority != 0 {
			o.problem("batch has priority %d", dispatch.Priority)
		}
		return
	}
	if dispatch.Priority <= 0 {
		o.problem("online has priority %d", dispatch.Priority)
	}
	online, batch, once := o.count(dispatch.Worker, api.ClassOnline), o.count(dispatch.Worker, api.ClassBatch), 0
	for id, flight := range o.flights {
		if o.once[id] && flight.Worker == dispatch.Worker && o.classes[id] == api.ClassBatch {
			once++
		}
	}
	if batch > once && online+batch > 8 {
		o.problem("worker %s keeps %d batch beside %d online", dispatch.Worker, batch, online)
	}
}

func (o *observer) sortedFlights() []api.RequestID {
	ids := make([]api.RequestID, 0, len(o.flights))
	for id := range o.flights {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (o *observer) finish(id api.RequestID, times int) {
	for range times {
		delete(o.flights, id)
		delete(o.held, id)
		o.step(Finished{Request: id})
	}
}

// checkHeld finds suspended requests that nothing waits for.
func (o *observer) checkHeld() {
	for id, since := range o.held {
		if o.now.Sub(since) > defaultSuspendLimit+longestPause*time.Millisecond { // loads come with each step
			o.problem("request %s is suspended for %v", id, o.now.Sub(since))
		}
	}
}

// drain finishes all and checks that nothing is left.
func (o *observer) drain() {
	for _, id := range o.sortedFlights() {
		o.finish(id, 1)
	}
	for _, summary := range o.machine.Summaries() {
		if summary.Online != 0 || summary.Batch != 0 {
			o.problem("after all finished %s has %d online and %d batch", summary.Key(), summary.Online, summary.Batch)
		}
	}
	row := o.machine.rows[testKey]
	if row.inUse != 0 || row.batchUse != 0 || len(o.machine.flights) != 0 {
		o.problem("after all finished the row has %d in use, %d batch, %d flights", row.inUse, row.batchUse, len(o.machine.flights))
	}
}

// play takes random steps from draw, which gives a number below its argument.
func (o *observer) play(steps int, draw func(int) int) {
	for range steps {
		o.now = o.now.Add(time.Duration(draw(longestPause)) * time.Millisecond)
		ids := o.sortedFlights()
		switch draw(12) {
		case 0, 1:
			o.arrive(api.ClassOnline, true)
		case 2, 3, 4, 5:
			o.arrive(api.ClassBatch, draw(4) > 0)
		case 6, 7, 8:
			if len(ids) > 0 {
				o.finish(ids[draw(len(ids))], 1+draw(2))
			}
		case 9, 10:
			if len(ids) > 0 {
				o.step(FirstToken{Request: ids[draw(len(ids))]})
			}
		case 11:
			o.disturb(draw)
		}
		for _, worker := range o.listed {
			o.step(Load{Worker: worker.ID, Running: draw(8), Waiting: draw(3), Asked: o.now})
		}
		o.checkHeld()
	}
	o.drain()
}

func (o *observer) disturb(draw func(int) int) {
	switch draw(3) {
	case 0:
		workers := testWorkers(1 + draw(4))
		workers[0].Leaving = draw(3) == 0
		o.setWorkers(workers)
	case 1:
		row := o.row
		row.BatchAllowance = max(draw(12), o.count("", api.ClassBatch))
		o.setRow(row)
	case 2:
		o.step(Unreachable{Worker: "worker-0"})
	}
}

func TestAdmissionKeepsItsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newObserver(DefaultFilling())
		o.play(120, func(below int) int { return rapid.IntRange(0, below-1).Draw(t, "choice") })
		if len(o.problems) > 0 {
			t.Fatal(o.problems)
		}
	})
}

func TestPlantedFaultsAreCaught(t *testing.T) {
	faults := map[string]Fault{
		"ignore allowance": FaultIgnoreAllowance, "leak slot": FaultLeakSlot, "invert priority": FaultInvertPriority,
		"no preemption": FaultNoPreemption, "delay online": FaultDelayOnline,
		"forget suspended": FaultForgetSuspended, "cancel once": FaultCancelOnce,
	}
	for name, fault := range faults {
		filling := DefaultFilling()
		filling.Fault = fault
		o := newObserver(filling)
		o.row.BatchAllowance = 100
		if fault == FaultIgnoreAllowance {
			o.row.BatchAllowance = 2
		}
		o.setRow(o.row)
		o.play(3000, rand.New(rand.NewPCG(7, 7)).IntN)
		if len(o.problems) == 0 {
			t.Errorf("the fault %q was not seen", name)
		}
	}
}

func TestWorkerThatReturnsKeepsItsCount(t *testing.T) {
	o := newObserver(DefaultFilling())
	o.arrive(api.ClassOnline, true)
	worker := o.flights["r1"].Worker
	o.setWorkers(nil)
	o.setWorkers(testWorkers(3))
	if got := o.machine.workers[worker].online; got != 1 {
		t.Fatalf("after its return the worker has %d online, want 1", got)
	}
	o.drain()
	if len(o.problems) > 0 {
		t.Fatal(o.problems)
	}
}

func TestReportedLoadOfOthersTakesRoom(t *testing.T) {
	cases := map[string]struct {
		own, running, waiting int
		want                  int // room for batch: seven of eight slots less what is in flight
	}{
		"idle":                          {0, 0, 0, 7},
		"only own":                      {3, 3, 0, 4},
		"an old report of less":         {3, 1, 0, 4},
		"others after a change of home": {1, 4, 2, 1},
		"full of others":                {0, 8, 5, 0},
	}
	for name, test := range cases {
		o := newObserver(FillFreeSlots())
		o.setRow(api.Row{Service: testService, Place: testPlace, BatchAllowance: 100})
		o.setWorkers(testWorkers(1))
		for range test.own {
			o.arrive(api.ClassOnline, true)
		}
		o.step(Load{Worker: "worker-0", Running: test.running, Waiting: test.waiting})
		if got := o.machine.Room(o.now, testKey); got != test.want {
			t.Errorf("%s: room %d, want %d", name, got, test.want)
		}
	}
}

func TestPositionsShareTheAllowanceExactly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers := testWorkers(rapid.IntRange(1, 40).Draw(t, "workers"))
		for i := range workers {
			workers[i].Slots = rapid.IntRange(1, 64).Draw(t, "slots")
			workers[i].Leaving = i > 0 && rapid.Bool().Draw(t, "leaving")
		}
		allowance := rapid.IntRange(0, 500).Draw(t, "allowance")
		positions := Positions(workers)
		sum := 0
		for _, worker := range workers {
			share := positions[worker.ID].Share(allowance)
			if share < 0 || (worker.Leaving && share != 0) {
				t.Fatalf("worker %s has a share of %d", worker.ID, share)
			}
			sum += share
		}
		if sum != allowance {
			t.Fatalf("the shares add up to %d of %d", sum, allowance)
		}
	})
}

func TestBatchStartsWaitForABurst(t *testing.T) {
	cases := map[string]struct {
		pressure float64
		burst    int // online requests without a first token
		want     bool
	}{
		"calm":                       {0.2, 0, true},
		"one of ten":                 {0.2, 1, true},
		"at the bound":               {0.2, 2, true},
		"over the bound":             {0.2, 3, false},
		"none may wait":              {0, 1, false},
		"no bound":                   {unbounded, 9, true},
		"more than one for a worker": {1.5, 16, false},
	}
	for name, test := range cases {
		filling := DefaultFilling()
		filling.StartPressure = test.pressure
		o := newObserver(filling)
		o.setRow(api.Row{Service: testService, Place: testPlace, BatchAllowance: 100})
		o.setWorkers(testWorkers(10))
		for range test.burst {
			o.arrive(api.ClassOnline, true)
		}
		before := o.machine.Room(o.now, testKey) > 0
		o.arrive(api.ClassBatch, true)
		if admitted := o.count("", api.ClassBatch) == 1; before != test.want || admitted != test.want {
			t.Errorf("%s: room %v, admitted %v, want %v", name, before, admitted, test.want)
		}
		for id, class := range o.classes {
			if class == api.ClassOnline {
				o.step(FirstToken{Request: id})
			}
		}
		if o.machine.Room(o.now, testKey) == 0 {
			t.Errorf("%s: no room after the burst", name)
		}
	}
}

func TestCeilingPreemptsOnlyWhatMayBeRepeated(t *testing.T) {
	o := newObserver(FillFreeSlots())
	o.arrive(api.ClassBatch, true)
	o.arrive(api.ClassBatch, false)
	row := o.machine.rows[testKey]
	actions := o.machine.preemptRow(row)
	if len(actions) != 1 || actions[0].(Preempt).Request != "r1" {
		t.Fatalf("actions %v, want the preemption of r1", actions)
	}
	if actions := o.machine.preemptRow(row); len(actions) != 0 {
		t.Fatalf("the request that may not be repeated was preempted: %v", actions)
	}
}
