package prove

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"

	"github.com/dykewing/dykewing/api"
)

const (
	faultDuration = 2 * time.Second // duration of a pause or an outage
	loadMargin    = time.Second     // duration of load before and after a fault
)

// fault is a failure that is injected into the running fleet.
type fault struct {
	name string
	// lossless is set if no stream may fail during the fault.
	lossless bool
	inject   func(t *testing.T, f *fleet)
}

func faults() []fault {
	return []fault{
		{name: "router killed", inject: func(t *testing.T, f *fleet) { f.killAndRestart(t, "router-0") }},
		{name: "store leader killed", lossless: true, inject: func(t *testing.T, f *fleet) { f.killAndRestart(t, f.leader(0)) }},
		{name: "sidecar killed", inject: func(t *testing.T, f *fleet) { f.killAndRestart(t, "sidecar-1") }},
		{name: "router paused", inject: func(t *testing.T, f *fleet) { f.pause("router-1") }},
		{name: "store leader paused", lossless: true, inject: func(t *testing.T, f *fleet) { f.pause(f.leader(0)) }},
		{name: "key-value service down", lossless: true, inject: func(_ *testing.T, f *fleet) { f.failKeyValue() }},
		{name: "worker killed", inject: func(_ *testing.T, f *fleet) { f.failWorker() }},
		{name: "router stopped as planned", lossless: true, inject: func(t *testing.T, f *fleet) { f.stopAndRestart(t, "router-0") }},
		{name: "store stopped as planned", lossless: true, inject: func(t *testing.T, f *fleet) { f.stopAndRestart(t, f.leader(0)) }},
		{name: "router killed in an outage", inject: func(t *testing.T, f *fleet) {
			f.keyValue.down.Store(true)
			f.killAndRestart(t, "router-1")
			f.keyValue.down.Store(false)
		}},
		{name: "store leader killed in an outage", lossless: true, inject: func(t *testing.T, f *fleet) {
			f.keyValue.down.Store(true)
			f.killAndRestart(t, f.leader(1))
			f.keyValue.down.Store(false)
		}},
		{name: "store leader paused while a worker is lost", inject: func(t *testing.T, f *fleet) {
			f.engines[1].down.Store(true)
			f.pause(f.leader(1))
			f.engines[1].down.Store(false)
		}},
		{name: "store leader and router killed together", inject: func(t *testing.T, f *fleet) {
			leader := f.leader(0)
			f.daemons["router-0"].kill()
			f.killAndRestart(t, leader)
			f.daemons["router-0"].start(t)
		}},
	}
}

func (f *fleet) killAndRestart(t *testing.T, name string) {
	f.daemons[name].kill()
	time.Sleep(faultDuration)
	f.daemons[name].start(t)
}

func (f *fleet) stopAndRestart(t *testing.T, name string) {
	if err := f.daemons[name].stopGracefully(t); err != nil {
		t.Errorf("graceful stop of %s: %v", name, err)
	}
	f.daemons[name].start(t)
}

func (f *fleet) pause(name string) {
	f.daemons[name].signal(syscall.SIGSTOP)
	time.Sleep(faultDuration)
	f.daemons[name].signal(syscall.SIGCONT)
}

func (f *fleet) failKeyValue() {
	f.keyValue.down.Store(true)
	time.Sleep(faultDuration)
	f.keyValue.down.Store(false)
}

func (f *fleet) failWorker() {
	f.engines[0].down.Store(true)
	time.Sleep(faultDuration)
	f.engines[0].down.Store(false)
}

// TestFaultsOnRealProcesses injects each fault under streams, bookings and a batch
// job, and checks for wrong answers, duplicate runs and lost items.
func TestFaultsOnRealProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("runs real processes")
	}
	f := newFleet(t, 3, 3, 2)
	for _, fault := range faults() {
		t.Run(fault.name, func(t *testing.T) {
			f.t = t
			submitted := f.submit(fault.name)
			load := f.startWorkload(fault.name)
			time.Sleep(loadMargin)
			fault.inject(t, f)
			time.Sleep(loadMargin)
			load.end()
			load.check(t)
			if fault.lossless {
				load.checkNothingLost(t)
			}
			f.checkDone(submitted)
			f.awaitReady()
		})
	}
}

// TestCancellationSurvivesLeaderFailure checks that a cancelled batch completes no
// further item after the leader that acknowledged the cancellation is killed.
func TestCancellationSurvivesLeaderFailure(t *testing.T) {
	if testing.Short() {
		t.Skip("runs real processes")
	}
	f := newFleet(t, 2, 3, 1)
	submitted := f.submit("rebooking")
	client := f.client(0)
	f.await("some items to complete", func() bool {
		batch, err := client.Batches.Get(context.Background(), submitted.id)
		return err == nil && batch.RequestCounts.Completed > batchItems/10
	})
	var cancelled *openai.Batch
	f.await("the cancel to be acknowledged", func() bool {
		var err error
		cancelled, err = client.Batches.Cancel(context.Background(), submitted.id)
		return err == nil
	})
	leader := f.leader(0)
	f.daemons[leader].kill()
	f.await("the batch to be readable", func() bool {
		_, err := client.Batches.Get(context.Background(), submitted.id)
		return err == nil
	})
	settled := func() int64 {
		batch, err := client.Batches.Get(context.Background(), submitted.id)
		if err != nil {
			return -1
		}
		return batch.RequestCounts.Completed
	}
	f.await("the batch to end", func() bool {
		batch, err := client.Batches.Get(context.Background(), submitted.id)
		return err == nil && batch.Status == openai.BatchStatusCancelled
	})
	before := settled()
	time.Sleep(faultDuration)
	if after := settled(); after != before {
		t.Errorf("%d items completed after the batch had ended", after-before)
	}
	if before < cancelled.RequestCounts.Completed {
		t.Errorf("%d items are complete, but %d were when the cancellation was acknowledged", before, cancelled.RequestCounts.Completed)
	}
}

// TestNonRepeatableRequestRunsOnceWhenResponseIsLost checks that a non-repeatable
// request whose response is lost runs only once. The same request marked as
// repeatable must run more than once and be reported as a violation.
func TestNonRepeatableRequestRunsOnceWhenResponseIsLost(t *testing.T) {
	if testing.Short() {
		t.Skip("runs real processes")
	}
	f := newFleet(t, 2, 1, 2)
	for _, back := range f.engines {
		back.loseAnswers.Store(true)
	}
	w := &workload{fleet: f}
	held := &booking{answers: map[string]bool{}}
	for caller := range 4 {
		w.send(held, "held", caller)
	}
	if err := held.violation(f.runs("held")); err != nil || f.runs("held") != 1 {
		t.Errorf("a booking whose answer was lost ran %d times: %v", f.runs("held"), err)
	}
	planted := &booking{answers: map[string]bool{}}
	w.sendAs(planted, "planted", 0, "true")
	if planted.violation(f.runs("planted")) == nil {
		t.Errorf("a repeatable booking ran %d times without a reported violation", f.runs("planted"))
	}
}

// TestViolationsAreDetected checks that booking.violation reports each kind of
// inconsistency and nothing else.
func TestViolationsAreDetected(t *testing.T) {
	one := map[string]bool{"a": true}
	cases := []struct {
		name string
		made booking
		runs int
		want bool
	}{
		{"answered once", booking{answers: one, answered: true}, 1, false},
		{"unknown, ran", booking{outcomes: []api.Outcome{api.OutcomeUnknown}}, 1, false},
		{"not run", booking{outcomes: []api.Outcome{api.OutcomeNotRun}}, 0, false},
		{"ran twice", booking{answers: one, answered: true}, 2, true},
		{"answered without running", booking{answers: one, answered: true}, 0, true},
		{"two answers", booking{answers: map[string]bool{"a": true, "b": true}, answered: true}, 1, true},
		{"said not run, ran", booking{outcomes: []api.Outcome{api.OutcomeNotRun}}, 1, true},
	}
	for _, c := range cases {
		if err := c.made.violation(c.runs); (err != nil) != c.want {
			t.Errorf("%s: got %v", c.name, err)
		}
	}
}
