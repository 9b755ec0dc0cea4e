package membership_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/membership"
	"github.com/dykewing/dykewing/sim"
)

const (
	fullSettleTime = 90 * time.Second
	measureTime    = 60 * time.Second
	watchInterval  = 20 * time.Millisecond
	watchTime      = 40 * time.Second
	slotsPerWorker = 32
	workersPerZone = 667
)

func TestSimulationIsDeterministic(t *testing.T) {
	run := func(seed uint64) string {
		options := DefaultFleetOptions()
		options.Seed, options.Zones, options.Regions, options.RoutersPerZone, options.MeasureEvery = seed, 3, 2, 6, 1
		fleet := NewFleet(options)
		fleet.Network.SetFaults(sim.Faults{Loss: 0.03, Delay: 0.1, MaxDelay: time.Second})
		fleet.Simulation.Run(time.Minute)
		text := ""
		for _, member := range fleet.Members {
			text += fmt.Sprintln(member.Traffic, member.Machine.Nodes(), member.Machine.Zones())
		}
		return text
	}
	first, second := run(1), run(1)
	if first != second {
		t.Error("two runs with one seed differ")
	}
	if first == run(2) {
		t.Error("runs with different seeds are equal, so the comparison detects nothing")
	}
}

// newFullZone starts one zone of the default size and lets it settle.
func newFullZone(seed uint64) *Fleet {
	options := DefaultFleetOptions()
	options.Seed, options.Zones, options.Regions, options.MeasureEvery = seed, 1, 1, 0
	fleet := NewFleet(options)
	fleet.Simulation.Run(fullSettleTime)
	return fleet
}

// moves lists the events that move homes, each with the maximum virtual time until
// every worker has exactly one home again.
var moves = []struct {
	name  string
	bound time.Duration
	move  func(*Fleet, *Member)
}{
	{"planned stop", 5 * time.Second, func(fleet *Fleet, member *Member) { fleet.Leave(member) }},
	{"restart", 30 * time.Second, func(fleet *Fleet, member *Member) {
		member.Process.Crash()
		fleet.Simulation.After(2*time.Second, func() {
			member.Process.Restart()
			fleet.Start(member, 2)
		})
	}},
	{"crash of a machine", 30 * time.Second, func(_ *Fleet, member *Member) { member.Process.Crash() }},
	{"crash of a process", 10 * time.Second, func(fleet *Fleet, member *Member) {
		fleet.options.Refuse = true
		member.Process.Crash()
	}},
	{"pause of 20 s", 39 * time.Second, func(fleet *Fleet, member *Member) {
		member.Process.Pause()
		fleet.Simulation.After(20*time.Second, member.Process.Resume)
	}},
}

func TestEachWorkerHasOneHomeAfterMove(t *testing.T) {
	for _, move := range moves {
		fleet := newFullZone(5)
		homes := NewHomeTracker(fleet, 200, slotsPerWorker)
		if before := homes.Watch(time.Second, watchInterval); before.MultipleHomes+before.NoHome > 0 {
			t.Fatalf("%s: %+v before the move", move.name, before)
		}
		move.move(fleet, fleet.Members[7])
		overlap := homes.Watch(watchTime, 5*watchInterval)
		if overlap.LastViolation > move.bound {
			t.Errorf("%s: some worker did not have exactly one home %v after the move, want at most %v", move.name, overlap.LastViolation, move.bound)
		}
		t.Logf("%s: %+v", move.name, overlap)
	}
}

// BenchmarkHomeMoves measures the slot-seconds with more than one home and without a
// home after a move, with 667 workers of 32 slots.
func BenchmarkHomeMoves(b *testing.B) {
	for _, move := range moves {
		b.Run(move.name, func(b *testing.B) {
			var total HomeViolations
			seed := uint64(0)
			for b.Loop() {
				seed++
				fleet := newFullZone(seed)
				homes := NewHomeTracker(fleet, workersPerZone, slotsPerWorker)
				homes.Watch(watchInterval, watchInterval)
				move.move(fleet, fleet.Members[int(seed)%40])
				overlap := homes.Watch(watchTime, watchInterval)
				total.MultipleHomes += overlap.MultipleHomes
				total.NoHome += overlap.NoHome
				total.LastViolation = max(total.LastViolation, overlap.LastViolation)
			}
			b.ReportMetric(total.MultipleHomes/float64(b.N), "doubled-slot-s")
			b.ReportMetric(total.NoHome/float64(b.N), "homeless-slot-s")
			b.ReportMetric(total.LastViolation.Seconds(), "worst-s")
		})
	}
}

// BenchmarkFleet measures CPU time, memory, traffic and staleness of 670 nodes in 15
// zones, without sidecars and with as many of them.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []struct {
		sidecars int
		after    time.Duration
	}{{0, fullSettleTime}, {670, fullSettleTime}, {670, 400 * time.Second}} {
		b.Run(fmt.Sprintf("sidecars=%d/after=%v", size.sidecars, size.after), func(b *testing.B) {
			for b.Loop() {
				measureFleet(b, size.sidecars, size.after)
			}
		})
	}
}

func measureFleet(b *testing.B, sidecars int, after time.Duration) {
	options := DefaultFleetOptions()
	options.MeasureEvery, options.Sidecars = 0, sidecars
	before := heapBytes()
	fleet := NewFleet(options)
	fleet.Simulation.Run(after)
	count := float64(len(fleet.Members))
	b.ReportMetric(float64(heapBytes()-before)/count/1024, "KiB/node")
	start := time.Now()
	fleet.Simulation.Run(measureTime)
	b.ReportMetric(time.Since(start).Seconds()/count/measureTime.Seconds()*100, "step-core-%/node")
	fleet.options.MeasureEvery = 1
	fleet.ResetTraffic()
	start = time.Now()
	fleet.Simulation.Run(measureTime)
	b.ReportMetric(time.Since(start).Seconds()/count/measureTime.Seconds()*100, "with-encode-core-%/node")
	reportTraffic(b, fleet)
	reportAges(b, fleet)
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func reportTraffic(b *testing.B, fleet *Fleet) {
	sum, most, exchanges, count := 0.0, 0.0, 0, 0.0
	for _, member := range fleet.Members {
		if member.Node.Role == api.RoleSidecar {
			continue
		}
		count++
		bytes := fleet.BytesPerSecond(member, measureTime)
		sum += bytes
		most = max(most, bytes)
		exchanges += member.Traffic.Exchanges + member.Traffic.Answered
	}
	b.ReportMetric(sum/count, "B/s/node")
	b.ReportMetric(most, "B/s/busiest")
	b.ReportMetric(float64(exchanges)/count/measureTime.Seconds(), "exchanges/s/node")
}

// reportAges reports the age of the loads in the nodes' views.
func reportAges(b *testing.B, fleet *Fleet) {
	zoneAge, zones, lag, records := 0.0, 0.0, 0.0, 0.0
	now := fleet.Simulation.Now().UnixMilli()
	for _, member := range fleet.Members {
		for _, zone := range member.Machine.Zones() {
			if zone.Location != member.Node.Location {
				zoneAge += float64(now-zone.Version) / 1000
				zones++
			}
		}
		for _, record := range member.Machine.Records() {
			own := fleet.Member(string(record.Node.ID)).Machine.Self().Summary.Sequence
			lag += float64(own - record.Node.Summary.Sequence)
			records++
		}
	}
	b.ReportMetric(zoneAge/zones, "zone-age-s")
	b.ReportMetric(lag/records, "load-age-s")
}

// BenchmarkFalseDeaths counts how often running members of a zone of 45 are declared
// dead in one virtual hour.
func BenchmarkFalseDeaths(b *testing.B) {
	for _, loss := range []float64{0.01, 0.05} {
		b.Run(fmt.Sprintf("loss=%v", loss), func(b *testing.B) {
			deaths := 0
			seed := uint64(100)
			for b.Loop() {
				seed++
				fleet := newFullZone(seed)
				for _, member := range fleet.Members {
					member.OnAction = func(action membership.Action) {
						if _, died := action.(membership.MemberDied); died {
							deaths++
						}
					}
				}
				fleet.Network.SetFaults(sim.Faults{Loss: loss, Delay: 0.01, MaxDelay: 2 * time.Second})
				fleet.Simulation.Run(time.Hour)
			}
			b.ReportMetric(float64(deaths)/float64(b.N), "false-deaths/hour")
		})
	}
}
