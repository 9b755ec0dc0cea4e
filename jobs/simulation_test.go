package jobs

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dykewing/dykewing/sim"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20301", "rapid.checks": "40", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// disturbance is a temporary fault of a process or the network.
type disturbance struct {
	At     time.Duration
	Kind   string
	Slot   int
	Length time.Duration
}

var disturbanceKinds = []string{"crash_router", "pause_router", "isolate_router", "crash_leader", "pause_leader", "isolate_leader", "crash_store", "lossy"}

func (w *cluster) inject(d disturbance) {
	router, store := w.routers[d.Slot%len(w.routers)], w.stores[d.Slot%len(w.stores)]
	if leaders := w.leaders(); len(leaders) > 0 && d.Kind != "crash_store" {
		for _, candidate := range w.stores {
			if string(candidate.id) == string(leaders[0].Leader) {
				store = candidate
			}
		}
	}
	switch d.Kind {
	case "crash_router":
		router.crash()
		w.simulation.After(d.Length, router.restart)
	case "pause_router":
		w.pause(router.process, d.Length)
	case "isolate_router":
		w.network.Isolate(router.name)
		w.simulation.After(d.Length, w.network.Heal)
	case "crash_leader", "crash_store":
		store.crash()
		w.simulation.After(d.Length, store.restart)
	case "pause_leader":
		w.pause(store.process, d.Length)
	case "isolate_leader":
		w.network.Isolate(string(store.id))
		w.simulation.After(d.Length, w.network.Heal)
	case "lossy":
		w.network.SetFaults(sim.Faults{Loss: 0.1, Duplicate: 0.3, Late: 0.2, LateBy: 800 * time.Millisecond})
		w.simulation.After(d.Length, func() { w.network.SetFaults(sim.Faults{}) })
	}
}

func (w *cluster) pause(process *sim.Process, length time.Duration) {
	if process.Up() && !process.Paused() {
		process.Pause()
		w.simulation.After(length, process.Resume)
	}
}

// simulate runs a cluster through the disturbances, then waits for it to converge and
// checks the final state.
func simulate(o clusterOptions, disturbances []disturbance) *cluster {
	const convergenceTimeout = 12 * time.Second
	w := newCluster(o)
	end := 3 * time.Second
	for _, d := range disturbances {
		w.simulation.After(d.At, func() { w.inject(d) })
		end = max(end, d.At+d.Length)
	}
	w.simulation.Run(end)
	for began := w.simulation.Elapsed(); len(w.violations) == 0 && !w.converged() && w.simulation.Elapsed()-began < convergenceTimeout; {
		w.simulation.Run(200 * time.Millisecond)
	}
	if len(w.violations) == 0 {
		w.checkFinal()
	}
	return w
}

func drawDisturbances(seed uint64, kinds []string, count int) []disturbance {
	random := rand.New(rand.NewPCG(seed, 7))
	list := make([]disturbance, count)
	for i := range list {
		list[i] = disturbance{
			At: time.Duration(random.Int64N(int64(4 * time.Second))), Kind: kinds[random.IntN(len(kinds))], Slot: random.IntN(5),
			Length: time.Duration(random.Int64N(int64(1500*time.Millisecond))) + time.Millisecond,
		}
	}
	return list
}

func defaultClusterOptions(seed uint64) clusterOptions {
	return clusterOptions{seed: seed, stores: 3, routers: 3, jobs: 8}
}

func TestItemsEndOnceUnderEachDisturbance(t *testing.T) {
	for _, kind := range append([]string{"none"}, disturbanceKinds...) {
		t.Run(kind, func(t *testing.T) {
			sends := 0
			for seed := range uint64(4) {
				w := simulate(defaultClusterOptions(seed), drawDisturbances(seed, []string{kind}, 5))
				if len(w.violations) > 0 {
					t.Fatalf("seed %d: %v", seed, w.violations)
				}
				sends += w.sends
			}
			if sends < 100 {
				t.Fatalf("only %d items were sent, want at least 100", sends)
			}
		})
	}
}

func TestItemsEndOnceUnderMixedDisturbances(t *testing.T) {
	unknown, cancelled, expired, dropped := 0, 0, 0, 0
	for seed := range uint64(20) {
		w := simulate(defaultClusterOptions(seed), drawDisturbances(seed, disturbanceKinds, 10))
		if len(w.violations) > 0 {
			t.Fatalf("seed %d: %v", seed, w.violations)
		}
		for id := range w.clients.accepted {
			job, _, _ := w.stores[0].state.Job(id)
			unknown, dropped = unknown+job.Unknown, dropped+job.Dropped
			switch job.Status {
			case JobCancelled:
				cancelled++
			case JobExpired:
				expired++
			}
		}
	}
	t.Logf("%d items unknown, %d late results dropped, %d jobs cancelled, %d expired", unknown, dropped, cancelled, expired)
	if unknown == 0 || cancelled == 0 || expired == 0 || dropped == 0 {
		t.Fatal("the runs must include unknown, cancelled, expired and dropped cases")
	}
}

func TestSameSeedGivesSameRun(t *testing.T) {
	run := func() string {
		w := simulate(defaultClusterOptions(3), drawDisturbances(3, disturbanceKinds, 10))
		return fmt.Sprint(w.simulation.Fingerprint(), w.simulation.Events(), w.sends, w.lastIndex)
	}
	if first, second := run(), run(); first != second {
		t.Fatalf("the runs %s and %s differ", first, second)
	}
}

// TestChecksDetectInjectedFaults guards against checks that can never fail.
func TestChecksDetectInjectedFaults(t *testing.T) {
	cases := map[string]func(*clusterOptions){
		"accept-second-result":        func(o *clusterOptions) { o.faults.AcceptSecondResult = true },
		"start-after-cancel":          func(o *clusterOptions) { o.faults.StartAfterCancel = true },
		"grant-without-fence":         func(o *clusterOptions) { o.faults.IgnoreEpoch = true },
		"forget-returned-item":        func(o *clusterOptions) { o.faults.ForgetReturned = true },
		"send-before-start-committed": func(o *clusterOptions) { o.runnerFaults.SendBeforeStart = true },
	}
	for name, plant := range cases {
		kinds := disturbanceKinds
		if name == "grant-without-fence" {
			kinds = []string{"lossy"} // requires a delayed start
		}
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(200) {
				o := defaultClusterOptions(seed)
				plant(&o)
				if w := simulate(o, drawDisturbances(seed, kinds, 10)); len(w.violations) > 0 {
					t.Logf("seed %d: %s", seed, w.violations[0])
					return
				}
			}
			t.Fatal("the injected fault was not detected")
		})
	}
}

// TestRandomDisturbancesKeepInvariants checks random disturbances and shrinks those
// that violate an invariant.
func TestRandomDisturbancesKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) disturbance {
			return disturbance{
				At:     time.Duration(rapid.IntRange(0, 4000).Draw(t, "at ms")) * time.Millisecond,
				Kind:   rapid.SampledFrom(disturbanceKinds).Draw(t, "kind"),
				Slot:   rapid.IntRange(0, 4).Draw(t, "slot"),
				Length: time.Duration(rapid.IntRange(1, 2000).Draw(t, "length ms")) * time.Millisecond,
			}
		}), 0, 8).Draw(t, "disturbances")
		w := simulate(clusterOptions{seed: rapid.Uint64().Draw(t, "seed"), stores: 3, routers: 2, jobs: 4}, list)
		if len(w.violations) > 0 {
			t.Fatal(w.violations)
		}
	})
}
