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

func (c *cluster) inject(d disturbance) {
	router, store := c.routers[d.Slot%len(c.routers)], c.stores[d.Slot%len(c.stores)]
	if leaders := c.leaders(); len(leaders) > 0 && d.Kind != "crash_store" {
		for _, candidate := range c.stores {
			if string(candidate.id) == string(leaders[0].Leader) {
				store = candidate
			}
		}
	}
	switch d.Kind {
	case "crash_router":
		router.crash()
		c.simulation.After(d.Length, router.restart)
	case "pause_router":
		c.pause(router.process, d.Length)
	case "isolate_router":
		c.network.Isolate(router.name)
		c.simulation.After(d.Length, c.network.Heal)
	case "crash_leader", "crash_store":
		store.crash()
		c.simulation.After(d.Length, store.restart)
	case "pause_leader":
		c.pause(store.process, d.Length)
	case "isolate_leader":
		c.network.Isolate(string(store.id))
		c.simulation.After(d.Length, c.network.Heal)
	case "lossy":
		c.network.SetFaults(sim.Faults{Loss: 0.1, Duplicate: 0.3, Delay: 0.2, MaxDelay: 800 * time.Millisecond})
		c.simulation.After(d.Length, func() { c.network.SetFaults(sim.Faults{}) })
	}
}

func (c *cluster) pause(process *sim.Process, length time.Duration) {
	if process.Up() && !process.Paused() {
		process.Pause()
		c.simulation.After(length, process.Resume)
	}
}

// simulate runs a cluster through the disturbances, then waits for it to converge and
// checks the final state.
func simulate(o clusterOptions, disturbances []disturbance) *cluster {
	const convergenceTimeout = 12 * time.Second
	c := newCluster(o)
	end := 3 * time.Second
	for _, d := range disturbances {
		c.simulation.After(d.At, func() { c.inject(d) })
		end = max(end, d.At+d.Length)
	}
	c.simulation.Run(end)
	for began := c.simulation.Elapsed(); len(c.violations) == 0 && !c.converged() && c.simulation.Elapsed()-began < convergenceTimeout; {
		c.simulation.Run(200 * time.Millisecond)
	}
	if len(c.violations) == 0 {
		c.checkFinal()
	}
	return c
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
				c := simulate(defaultClusterOptions(seed), drawDisturbances(seed, []string{kind}, 5))
				if len(c.violations) > 0 {
					t.Fatalf("seed %d: %v", seed, c.violations)
				}
				sends += c.sends
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
		c := simulate(defaultClusterOptions(seed), drawDisturbances(seed, disturbanceKinds, 10))
		if len(c.violations) > 0 {
			t.Fatalf("seed %d: %v", seed, c.violations)
		}
		for id := range c.clients.accepted {
			job, _, _ := c.stores[0].state.Job(id)
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
		c := simulate(defaultClusterOptions(3), drawDisturbances(3, disturbanceKinds, 10))
		return fmt.Sprint(c.simulation.Fingerprint(), c.simulation.Events(), c.sends, c.lastIndex)
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
		"forget-returned-item":        func(o *clusterOptions) { o.faults.DropReturned = true },
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
				if c := simulate(o, drawDisturbances(seed, kinds, 10)); len(c.violations) > 0 {
					t.Logf("seed %d: %s", seed, c.violations[0])
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
		c := simulate(clusterOptions{seed: rapid.Uint64().Draw(t, "seed"), stores: 3, routers: 2, jobs: 4}, list)
		if len(c.violations) > 0 {
			t.Fatal(c.violations)
		}
	})
}
