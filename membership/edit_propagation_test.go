package membership_test

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/table"
)

const (
	peerInterval  = time.Second // as in internal/node
	fetchTimeout  = 2 * time.Second
	tableRows     = 360 // 24 models in 15 zones
	tableWatchers = 3
)

// tableFleet adds a table.Replica to each member.
type tableFleet struct {
	*Fleet
	replicas     map[*Member]*table.Replica
	appliedAfter map[*Member]time.Duration // since the edit
	edited       time.Time
	revision     int64
	bytes        int
	fetches      int
}

func newTableFleet(seed uint64, routersPerZone int) *tableFleet {
	options := DefaultFleetOptions()
	options.Seed, options.MeasureEvery, options.RoutersPerZone = seed, 0, routersPerZone
	fleet := &tableFleet{Fleet: NewFleet(options), replicas: map[*Member]*table.Replica{}, revision: tableRows}
	rows := make([]api.VersionedRow, 0, tableRows)
	for i := range tableRows {
		row := api.Row{Service: api.ServiceName("model-" + string(rune('a'+i%24))), Place: api.PlaceName("zone-" + string(rune('a'+i/24))), Weight: 100, BatchAllowance: 8}
		rows = append(rows, api.VersionedRow{Row: row, Revision: int64(i + 1), EditID: "0190c5f8-7b1e-7cc0-8d39-5d1c0a6ef8aa"})
	}
	for _, member := range fleet.Members {
		replica := table.NewReplica()
		replica.Step(member.Process.Now(), table.DeltaReceived{Delta: api.TableDelta{Revision: tableRows, Rows: rows, Full: true}})
		fleet.replicas[member] = replica
		member.Process.After(time.Duration(fleet.random.Int64N(int64(peerInterval))), func() {
			fleet.SetRevision(member, tableRows)
			member.Process.Every(peerInterval, func() { fleet.fetch(member) })
		})
	}
	return fleet
}

// fetch requests changes from a peer with a newer table, if the member knows one. A
// fetch that fails is retried in the next interval.
func (f *tableFleet) fetch(member *Member) {
	own := f.replicas[member].Current().Revision()
	nodes := member.Machine.Nodes()
	peer, ok := table.ChoosePeer(nodes, member.Node.ID, member.Node.Location, own, f.random)
	if !ok {
		return
	}
	target := f.byName[string(peer.ID)]
	if target == nil { // only a gateway is known of the other zone
		target = f.byName[peer.Address]
	}
	if target == nil {
		return
	}
	latency := f.latency(member.Process.Name(), target.Process.Name())
	target.Process.After(latency, func() {
		delta := f.replicas[target].Current().Delta(own)
		if delta.Revision <= own {
			return
		}
		f.fetches++
		if body, err := json.Marshal(delta); err == nil {
			f.bytes += len(body) + HeaderBytes
		}
		member.Process.After(latency, func() { f.apply(member, delta) })
	})
}

func (f *tableFleet) apply(member *Member, delta api.TableDelta) {
	f.replicas[member].Step(member.Process.Now(), table.DeltaReceived{Delta: delta})
	f.SetRevision(member, f.replicas[member].Current().Revision())
	if _, known := f.appliedAfter[member]; !known && f.replicas[member].Current().Revision() >= f.revision {
		f.appliedAfter[member] = f.Simulation.Now().Sub(f.edited)
	}
}

// applyEdit changes one row at some random members, the watchers, and returns the
// sorted times until the members applied it.
func (f *tableFleet) applyEdit(watchers int) []time.Duration {
	f.revision++
	f.edited, f.appliedAfter = f.Simulation.Now(), map[*Member]time.Duration{}
	row := api.VersionedRow{Row: api.Row{Service: "model-a", Place: "zone-a", Weight: float64(f.revision)}, Revision: f.revision}
	delta := api.TableDelta{After: f.revision - 1, Revision: f.revision, Rows: []api.VersionedRow{row}}
	for _, i := range f.random.Perm(len(f.Members))[:watchers] {
		f.apply(f.Members[i], delta)
	}
	f.Simulation.Run(30 * time.Second)
	times := make([]time.Duration, 0, len(f.appliedAfter))
	for _, taken := range f.appliedAfter {
		times = append(times, taken)
	}
	slices.Sort(times)
	return times
}

// measureEdits makes some edits and returns the largest median and the worst
// propagation time.
func (f *tableFleet) measureEdits(tb testing.TB, count int) (median, worst time.Duration) {
	f.Simulation.Run(30 * time.Second)
	for range count {
		times := f.applyEdit(tableWatchers)
		if len(times) != len(f.Members) {
			tb.Fatalf("edit applied at %d of %d nodes", len(times), len(f.Members))
		}
		median = max(median, times[len(times)/2])
		worst = max(worst, times[len(times)-1])
	}
	tb.Logf("%d nodes, %d edits: median at most %v, worst %v, %d bytes per edit and node",
		len(f.Members), count, median, worst, f.bytes/count/len(f.Members))
	return median, worst
}

// Bounds the virtual time until an edit seen by three watchers is applied in all of 15
// zones in 6 regions.
func TestEditReachesAllNodes(t *testing.T) {
	median, worst := newTableFleet(1, 4).measureEdits(t, 3)
	if median > 5*time.Second || worst > 12*time.Second {
		t.Errorf("median %v, worst %v", median, worst)
	}
}

// BenchmarkEditPropagation measures the same with the default fleet size.
func BenchmarkEditPropagation(b *testing.B) {
	for range b.N {
		median, worst := newTableFleet(1, DefaultFleetOptions().RoutersPerZone).measureEdits(b, 6)
		b.ReportMetric(median.Seconds(), "s-median")
		b.ReportMetric(worst.Seconds(), "s-worst")
	}
}

// Verifies that the check for propagation can fail.
func TestEditReachesNobodyWithoutWatchers(t *testing.T) {
	fleet := newTableFleet(1, 4)
	fleet.Simulation.Run(20 * time.Second)
	if times := fleet.applyEdit(0); len(times) != 0 {
		t.Fatalf("an edit reached %d members although no member watches the service", len(times))
	}
}
