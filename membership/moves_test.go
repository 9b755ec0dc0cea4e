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
	fullSettle = 90 * time.Second
	measured   = 60 * time.Second
	watchStep  = 20 * time.Millisecond
	watched    = 40 * time.Second
	zoneSlots  = 32
	zoneWorker = 667
)

// TestSameSeedGivesSameTraffic holds that a fleet's run hangs on its seed alone.
func TestSameSeedGivesSameTraffic(t *testing.T) {
	run := func(seed uint64) string {
		options := DefaultMembershipOptions()
		options.Seed, options.Zones, options.Regions, options.RoutersPerZone, options.MeasureEvery = seed, 3, 2, 6, 1
		fleet := NewMembership(options)
		fleet.Network.SetFaults(sim.Faults{Loss: 0.03, Late: 0.1, LateBy: time.Second})
		fleet.Simulation.Run(time.Minute)
		text := ""
		for _, member := range fleet.Members {
			text += fmt.Sprintln(member.Traffic, member.Machine.Nodes(), member.Machine.Zones())
		}
		return text
	}
	first, second := run(1), run(1)
	if first != second {
		t.Error("two runs of one seed differ")
	}
	if first == run(2) {
		t.Error("two seeds gave one run: the check sees nothing")
	}
}

// fullZone is one zone of the size of letter 1.
func fullZone(seed uint64) *Membership {
	options := DefaultMembershipOptions()
	options.Seed, options.Zones, options.Regions, options.MeasureEvery = seed, 1, 1, 0
	fleet := NewMembership(options)
	fleet.Simulation.Run(fullSettle)
	return fleet
}

// moves are the ways in which homes move, each with the bound on the virtual
// time until each worker has one home again.
var moves = []struct {
	name  string
	bound time.Duration
	move  func(*Membership, *Member)
}{
	{"planned stop", 5 * time.Second, func(fleet *Membership, member *Member) { fleet.Leave(member) }},
	{"restart", 30 * time.Second, func(fleet *Membership, member *Member) {
		member.Process.Crash()
		fleet.Simulation.After(2*time.Second, func() {
			member.Process.Restart()
			fleet.Start(member, 2)
		})
	}},
	{"crash of a machine", 30 * time.Second, func(_ *Membership, member *Member) { member.Process.Crash() }},
	{"crash of a process", 10 * time.Second, func(fleet *Membership, member *Member) {
		fleet.options.Refuse = true
		member.Process.Crash()
	}},
	{"pause of 20 s", 39 * time.Second, func(fleet *Membership, member *Member) {
		member.Process.Pause()
		fleet.Simulation.After(20*time.Second, member.Process.Resume)
	}},
}

func TestEachWorkerHasOneHomeSoonAfterAMove(t *testing.T) {
	for _, move := range moves {
		fleet := fullZone(5)
		homes := NewHomes(fleet, 200, zoneSlots)
		if before := homes.Watch(time.Second, watchStep); before.Doubled+before.Homeless > 0 {
			t.Fatalf("%s: %+v before the move", move.name, before)
		}
		move.move(fleet, fleet.Members[7])
		overlap := homes.Watch(watched, 5*watchStep)
		if overlap.LastBad > move.bound {
			t.Errorf("%s: a worker had not just one home %v after it, want at most %v", move.name, overlap.LastBad, move.bound)
		}
		t.Logf("%s: %+v", move.name, overlap)
	}
}

// BenchmarkHomesMoving measures what a move costs at 667 workers of 32 slots:
// slot-seconds with two homes and with none.
func BenchmarkHomesMoving(b *testing.B) {
	for _, move := range moves {
		b.Run(move.name, func(b *testing.B) {
			var total Overlap
			seed := uint64(0)
			for b.Loop() {
				seed++
				fleet := fullZone(seed)
				homes := NewHomes(fleet, zoneWorker, zoneSlots)
				homes.Watch(watchStep, watchStep)
				move.move(fleet, fleet.Members[int(seed)%40])
				overlap := homes.Watch(watched, watchStep)
				total.Doubled += overlap.Doubled
				total.Homeless += overlap.Homeless
				total.LastBad = max(total.LastBad, overlap.LastBad)
			}
			b.ReportMetric(total.Doubled/float64(b.N), "doubled-slot-s")
			b.ReportMetric(total.Homeless/float64(b.N), "homeless-slot-s")
			b.ReportMetric(total.LastBad.Seconds(), "worst-s")
		})
	}
}

// BenchmarkFleet measures 670 nodes in 15 zones some time after a start of all,
// without sidecars and with as many of them.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []struct {
		sidecars int
		after    time.Duration
	}{{0, fullSettle}, {670, fullSettle}, {670, 400 * time.Second}} {
		b.Run(fmt.Sprintf("sidecars=%d/after=%v", size.sidecars, size.after), func(b *testing.B) {
			for b.Loop() {
				measureFleet(b, size.sidecars, size.after)
			}
		})
	}
}

func measureFleet(b *testing.B, sidecars int, after time.Duration) {
	options := DefaultMembershipOptions()
	options.MeasureEvery, options.Sidecars = 0, sidecars
	before := heap()
	fleet := NewMembership(options)
	fleet.Simulation.Run(after)
	count := float64(len(fleet.Members))
	b.ReportMetric(float64(heap()-before)/count/1024, "KiB/node")
	began := time.Now()
	fleet.Simulation.Run(measured)
	b.ReportMetric(time.Since(began).Seconds()/count/measured.Seconds()*100, "step-core-%/node")
	fleet.options.MeasureEvery = 1
	fleet.ResetTraffic()
	began = time.Now()
	fleet.Simulation.Run(measured)
	b.ReportMetric(time.Since(began).Seconds()/count/measured.Seconds()*100, "with-encode-core-%/node")
	reportTraffic(b, fleet)
	reportAges(b, fleet)
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func reportTraffic(b *testing.B, fleet *Membership) {
	sum, most, exchanges, count := 0.0, 0.0, 0, 0.0
	for _, member := range fleet.Members {
		if member.Node.Role == api.RoleSidecar {
			continue
		}
		count++
		bytes := fleet.BytesPerSecond(member, measured)
		sum += bytes
		most = max(most, bytes)
		exchanges += member.Traffic.Exchanges + member.Traffic.Answered
	}
	b.ReportMetric(sum/count, "B/s/node")
	b.ReportMetric(most, "B/s/busiest")
	b.ReportMetric(float64(exchanges)/count/measured.Seconds(), "exchanges/s/node")
}

// reportAges tells how old the loads are that nodes hold of others.
func reportAges(b *testing.B, fleet *Membership) {
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

// BenchmarkFalseDeaths counts declarations of death of running members in a
// zone of 45 over a virtual hour.
func BenchmarkFalseDeaths(b *testing.B) {
	for _, loss := range []float64{0.01, 0.05} {
		b.Run(fmt.Sprintf("loss=%v", loss), func(b *testing.B) {
			deaths := 0
			seed := uint64(100)
			for b.Loop() {
				seed++
				fleet := fullZone(seed)
				for _, member := range fleet.Members {
					member.OnAction = func(action membership.Action) {
						if _, died := action.(membership.Died); died {
							deaths++
						}
					}
				}
				fleet.Network.SetFaults(sim.Faults{Loss: loss, Late: 0.01, LateBy: 2 * time.Second})
				fleet.Simulation.Run(time.Hour)
			}
			b.ReportMetric(float64(deaths)/float64(b.N), "false-deaths/hour")
		})
	}
}
