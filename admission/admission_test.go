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

func newTestMachine(filling BatchPolicy) *Machine {
	random := rand.New(rand.NewPCG(1, 2))
	return NewMachine(Settings{
		Online: routing.OnlineProfile(api.Location{Zone: "a"}, random), Batch: routing.BatchProfile(random),
		RetryAfter: time.Second, Reserve: DefaultReserve, BatchPolicy: filling,
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

// maxStepMillis bounds the time between two random steps.
const maxStepMillis = 400

// observer tracks admitted requests independently of the machine and checks invariants.
type observer struct {
	machine       *Machine
	now           time.Time
	row           api.Row
	listed        []api.Worker
	flights       map[api.RequestID]Dispatch
	classes       map[api.RequestID]api.Class
	nonRepeatable map[api.RequestID]bool      // not repeatable
	suspended     map[api.RequestID]time.Time // time of suspension
	serial        int
	problems      []string
}

func newObserver(filling BatchPolicy) *observer {
	o := &observer{
		machine: newTestMachine(filling), now: time.Unix(1000, 0),
		flights: map[api.RequestID]Dispatch{}, classes: map[api.RequestID]api.Class{},
		nonRepeatable: map[api.RequestID]bool{}, suspended: map[api.RequestID]time.Time{},
		row: api.Row{Service: testService, Place: testPlace, Weight: 1, BatchAllowance: 6, Priority: 1},
	}
	o.setRow(o.row)
	o.setWorkers(testWorkers(3))
	return o
}

func (o *observer) report(format string, arguments ...any) {
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
		if _, suspended := o.suspended[id]; suspended && worker != "" {
			continue
		}
		if (worker == "" || dispatch.Worker == worker) && o.classes[id] == class {
			total++
		}
	}
	return total
}

// step passes a message to the machine, applies suspensions, resumptions and
// preemptions, and returns the remaining actions.
func (o *observer) step(message Message) []Action {
	var answers []Action
	for _, action := range o.machine.Step(o.now, message) {
		switch action := action.(type) {
		case Suspend:
			o.checkCancelled(action.Request)
			if _, suspended := o.suspended[action.Request]; suspended {
				o.report("request %s was suspended twice", action.Request)
			}
			o.suspended[action.Request] = o.now
		case Resume:
			if _, suspended := o.suspended[action.Request]; !suspended {
				o.report("request %s was resumed but not suspended", action.Request)
			}
			if action.Worker != o.flights[action.Request].Worker {
				o.report("request %s was resumed at another worker", action.Request)
			}
			delete(o.suspended, action.Request)
		case Preempt:
			o.checkCancelled(action.Request)
			delete(o.flights, action.Request)
			delete(o.suspended, action.Request)
		default:
			answers = append(answers, action)
		}
	}
	return answers
}

// checkCancelled checks that a cancelled request is repeatable batch in flight.
func (o *observer) checkCancelled(id api.RequestID) {
	if _, ok := o.flights[id]; !ok || o.classes[id] != api.ClassBatch {
		o.report("cancelled request %s is not batch in flight", id)
	}
	if o.nonRepeatable[id] {
		o.report("cancelled request %s may not be repeated", id)
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
		o.report("arrival had %d answers in its step", len(answers))
	}
	for _, answer := range answers {
		switch answer := answer.(type) {
		case Dispatch:
			o.flights[id], o.classes[id], o.nonRepeatable[id] = answer, class, !repeatable
			o.checkDispatch(answer, class)
		case Refuse:
			if class == api.ClassOnline && o.mustAdmit() {
				o.report("online request was refused: %v", answer.Failure)
			}
			if answer.Failure.Outcome != api.OutcomeNotRun {
				o.report("refusal with outcome %s", answer.Failure.Outcome)
			}
		}
	}
}

func (o *observer) mustAdmit() bool {
	return slices.ContainsFunc(o.listed, func(worker api.Worker) bool { return !worker.Leaving })
}

// checkDispatch checks a dispatch after the preemptions of the same step.
func (o *observer) checkDispatch(dispatch Dispatch, class api.Class) {
	if class == api.ClassBatch {
		if all := o.count("", api.ClassBatch); all > o.row.BatchAllowance {
			o.report("%d batch requests exceed the allowance of %d", all, o.row.BatchAllowance)
		}
		if dispatch.Priority != 0 {
			o.report("batch has priority %d", dispatch.Priority)
		}
		return
	}
	if dispatch.Priority <= 0 {
		o.report("online has priority %d", dispatch.Priority)
	}
	online, batch, pinned := o.count(dispatch.Worker, api.ClassOnline), o.count(dispatch.Worker, api.ClassBatch), 0
	for id, flight := range o.flights {
		if o.nonRepeatable[id] && flight.Worker == dispatch.Worker && o.classes[id] == api.ClassBatch {
			pinned++
		}
	}
	if batch > pinned && online+batch > 8 {
		o.report("worker %s keeps %d batch beside %d online", dispatch.Worker, batch, online)
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
		delete(o.suspended, id)
		o.step(Finished{Request: id})
	}
}

// checkSuspended reports requests suspended for longer than the limit.
func (o *observer) checkSuspended() {
	for id, since := range o.suspended {
		if o.now.Sub(since) > defaultSuspendLimit+maxStepMillis*time.Millisecond { // loads are reported in each step
			o.report("request %s is suspended for %v", id, o.now.Sub(since))
		}
	}
}

// drain finishes all requests and checks that none is counted any more.
func (o *observer) drain() {
	for _, id := range o.sortedFlights() {
		o.finish(id, 1)
	}
	for _, summary := range o.machine.Summaries() {
		if summary.Online != 0 || summary.Batch != 0 {
			o.report("after all finished %s has %d online and %d batch", summary.Key(), summary.Online, summary.Batch)
		}
	}
	row := o.machine.rows[testKey]
	if row.inUse != 0 || row.batchUse != 0 || len(o.machine.flights) != 0 {
		o.report("after all finished the row has %d in use, %d batch, %d flights", row.inUse, row.batchUse, len(o.machine.flights))
	}
}

// run performs random steps. draw returns a number below its argument.
func (o *observer) run(steps int, draw func(int) int) {
	for range steps {
		o.now = o.now.Add(time.Duration(draw(maxStepMillis)) * time.Millisecond)
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
			o.perturb(draw)
		}
		for _, worker := range o.listed {
			o.step(Load{Worker: worker.ID, Running: draw(8), Waiting: draw(3), Asked: o.now})
		}
		o.checkSuspended()
	}
	o.drain()
}

func (o *observer) perturb(draw func(int) int) {
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

func TestAdmissionInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newObserver(DefaultBatchPolicy())
		o.run(120, func(below int) int { return rapid.IntRange(0, below-1).Draw(t, "choice") })
		if len(o.problems) > 0 {
			t.Fatal(o.problems)
		}
	})
}

func TestInvariantChecksDetectFaults(t *testing.T) {
	faults := map[string]Fault{
		"ignore allowance": FaultIgnoreAllowance, "leak slot": FaultLeakSlot, "invert priority": FaultInvertPriority,
		"no preemption": FaultNoPreemption, "delay online": FaultRefuseOnline,
		"forget suspended": FaultNeverResume, "cancel once": FaultCancelNonRepeatable,
	}
	for name, fault := range faults {
		filling := DefaultBatchPolicy()
		filling.Fault = fault
		o := newObserver(filling)
		o.row.BatchAllowance = 100
		if fault == FaultIgnoreAllowance {
			o.row.BatchAllowance = 2
		}
		o.setRow(o.row)
		o.run(3000, rand.New(rand.NewPCG(7, 7)).IntN)
		if len(o.problems) == 0 {
			t.Errorf("fault %q was not detected", name)
		}
	}
}

func TestRelistedWorkerKeepsItsRequestCount(t *testing.T) {
	o := newObserver(DefaultBatchPolicy())
	o.arrive(api.ClassOnline, true)
	worker := o.flights["r1"].Worker
	o.setWorkers(nil)
	o.setWorkers(testWorkers(3))
	if got := o.machine.workers[worker].online; got != 1 {
		t.Fatalf("relisted worker has %d online requests, want 1", got)
	}
	o.drain()
	if len(o.problems) > 0 {
		t.Fatal(o.problems)
	}
}

func TestForeignLoadReducesBatchRoom(t *testing.T) {
	cases := map[string]struct {
		own, running, waiting int
		want                  int // room for batch: seven of eight slots minus requests in flight
	}{
		"idle":               {0, 0, 0, 7},
		"own requests only":  {3, 3, 0, 4},
		"report lags behind": {3, 1, 0, 4},
		"foreign requests after a change of home": {1, 4, 2, 1},
		"full of foreign requests":                {0, 8, 5, 0},
	}
	for name, test := range cases {
		o := newObserver(GreedyBatchPolicy())
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

func TestSharesAddUpToAllowance(t *testing.T) {
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

func TestBatchWaitsForPendingFirstTokens(t *testing.T) {
	cases := map[string]struct {
		pressure float64
		burst    int // online requests without a first token
		want     bool
	}{
		"no burst":                 {0.2, 0, true},
		"one of ten":               {0.2, 1, true},
		"at the bound":             {0.2, 2, true},
		"over the bound":           {0.2, 3, false},
		"zero tolerance":           {0, 1, false},
		"no bound":                 {unboundedPressure, 9, true},
		"more than one per worker": {1.5, 16, false},
	}
	for name, test := range cases {
		filling := DefaultBatchPolicy()
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

func TestCeilingPreemptsOnlyRepeatableRequests(t *testing.T) {
	o := newObserver(GreedyBatchPolicy())
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
