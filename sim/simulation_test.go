package sim

import (
	"testing"
	"time"
)

// pingPong runs two processes that exchange messages under faults, a pause and a crash,
// and returns the fingerprint of the trace.
func pingPong(seed uint64) string {
	simulation := New(seed)
	network := simulation.NewNetwork(func(_, _ string) time.Duration { return time.Millisecond })
	network.SetFaults(Faults{Loss: 0.1, Duplicate: 0.1, Delay: 0.2, MaxDelay: 20 * time.Millisecond})
	left, right := simulation.NewProcess("left"), simulation.NewProcess("right")
	answer := func(self *Process) func(string, any) {
		return func(from string, message any) {
			simulation.Tracef("%s gets %v", self.Name(), message)
			network.Send(self.Name(), from, message.(int)+1)
		}
	}
	network.Attach(left, answer(left))
	network.Attach(right, answer(right))
	left.Every(10*time.Millisecond, func() { network.Send("left", "right", 0) })
	simulation.After(300*time.Millisecond, right.Pause)
	simulation.After(400*time.Millisecond, right.Resume)
	simulation.After(500*time.Millisecond, right.Crash)
	simulation.After(600*time.Millisecond, right.Restart)
	simulation.Run(time.Second)
	return simulation.Fingerprint()
}

func TestSameSeedGivesSameTrace(t *testing.T) {
	for seed := range uint64(20) {
		if first, second := pingPong(seed), pingPong(seed); first != second {
			t.Fatalf("seed %d: traces %s and %s differ", seed, first, second)
		}
	}
	if pingPong(1) == pingPong(2) {
		t.Fatal("two seeds gave the same trace: the fingerprint does not cover the events")
	}
}

func TestCrashCancelsTimersAndPauseDefersThem(t *testing.T) {
	simulation := New(1)
	process := simulation.NewProcess("p")
	var ran []string
	process.After(time.Second, func() { ran = append(ran, "canceled") })
	process.Crash()
	process.Restart()
	process.Pause()
	process.After(time.Second, func() { ran = append(ran, "deferred") })
	simulation.Run(2 * time.Second)
	if len(ran) != 0 {
		t.Fatalf("ran %v while crashed or paused", ran)
	}
	process.Resume()
	simulation.Run(time.Second)
	if len(ran) != 1 || ran[0] != "deferred" {
		t.Fatalf("ran %v, want only the deferred timer", ran)
	}
}

func TestDiskCrashLosesUnsyncedWrites(t *testing.T) {
	disk := NewDisk(1, func(v int) int { return v })
	disk.Write(func(v *int) { *v = 2 })
	disk.Crash()
	if disk.Read() != 1 {
		t.Fatal("an unsynced write survived the crash")
	}
	disk.Write(func(v *int) { *v = 3 })
	disk.Sync()
	disk.Crash()
	if disk.Read() != 3 {
		t.Fatal("a synced write was lost")
	}
}
