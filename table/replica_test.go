package table

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/sim"
)

// clusterSim simulates a key-value service, two watchers and peers that fetch from one
// another, over a network that loses, delays and duplicates messages.
type clusterSim struct {
	simulation *sim.Simulation
	network    *sim.Network
	random     *rand.Rand
	revision   int64
	log        []api.VersionedRow
	history    map[int64]map[api.RowKey]api.Row // live rows at each revision
	compacted  int64
	outage     bool
	nodes      []*simNode
	violation  string
}

type simNode struct {
	cluster   *clusterSim
	process   *sim.Process
	replica   *Replica
	watcher   bool
	delivered int64
	received  bool
	oldDeltas []api.TableDelta // received earlier, to be delivered again
}

type fetchRequest struct{ after int64 }

func newClusterSim(seed uint64, nodes int, injected fault) *clusterSim {
	s := sim.New(seed)
	w := &clusterSim{simulation: s, random: s.ForkRandom(), history: map[int64]map[api.RowKey]api.Row{0: {}}}
	w.network = s.NewNetwork(func(_, _ string) time.Duration { return time.Millisecond })
	w.network.SetFaults(sim.Faults{Loss: 0.1, Duplicate: 0.2, Delay: 0.3, MaxDelay: 3 * time.Second})
	for i := range nodes {
		n := &simNode{cluster: w, process: s.NewProcess(fmt.Sprintf("node-%d", i)), watcher: i < 2}
		n.replica = NewReplica()
		n.replica.fault = injected
		w.nodes = append(w.nodes, n)
		w.network.Attach(n.process, n.receive)
		n.process.Every(50*time.Millisecond, n.poll)
	}
	return w
}

// change writes or deletes a random row.
func (w *clusterSim) change() {
	w.revision += 1 + w.random.Int64N(2)
	key := api.RowKey{Service: api.ServiceName(fmt.Sprintf("model-%d", w.random.IntN(4))), Place: "east"}
	row := api.VersionedRow{Row: api.Row{Service: key.Service, Place: key.Place, Weight: float64(w.revision)}, Revision: w.revision}
	live := maps.Clone(w.rowsAt(w.revision - 1))
	if _, exists := live[key]; exists && w.random.Float64() < 0.4 {
		row.Deleted = true
		delete(live, key)
	} else {
		live[key] = row.Row
	}
	w.log = append(w.log, row)
	w.history[w.revision] = live
}

func (w *clusterSim) rowsAt(revision int64) map[api.RowKey]api.Row {
	for ; revision > 0; revision-- {
		if rows, ok := w.history[revision]; ok {
			return rows
		}
	}
	return w.history[0]
}

func (n *simNode) poll() {
	if n.watcher && !n.cluster.outage {
		n.watch()
	}
	peer := n.cluster.nodes[n.cluster.random.IntN(len(n.cluster.nodes))]
	n.cluster.network.Send(n.process.Name(), peer.process.Name(), fetchRequest{after: n.replica.revision()})
	if len(n.oldDeltas) > 0 && n.cluster.random.Float64() < 0.3 {
		n.apply(n.oldDeltas[n.cluster.random.IntN(len(n.oldDeltas))])
	}
}

// watch delivers the next part of the log, or the whole table after a compaction.
func (n *simNode) watch() {
	w := n.cluster
	if !n.received || n.delivered < w.compacted {
		var rows []api.VersionedRow
		for _, row := range w.rowsAt(w.revision) {
			revision := int64(row.Weight)
			rows = append(rows, api.VersionedRow{Row: row, Revision: revision})
		}
		slices.SortFunc(rows, func(a, b api.VersionedRow) int { return int(a.Revision - b.Revision) })
		n.received, n.delivered = true, w.revision
		n.apply(api.TableDelta{Revision: w.revision, Rows: rows, Full: true})
		return
	}
	delta := api.TableDelta{After: n.delivered, Revision: n.delivered}
	for _, row := range w.log {
		if row.Revision > n.delivered && len(delta.Rows) < 3 {
			delta.Rows = append(delta.Rows, row)
			delta.Revision = row.Revision
		}
	}
	if len(delta.Rows) > 0 && w.random.Float64() < 0.5 {
		n.delivered = delta.Revision
		n.apply(delta)
	}
}

func (n *simNode) receive(from string, message any) {
	switch message := message.(type) {
	case fetchRequest:
		if snapshot := n.replica.Current(); snapshot != nil && snapshot.Revision() > message.after {
			n.cluster.network.Send(n.process.Name(), from, snapshot.Delta(message.after))
		}
	case api.TableDelta:
		n.apply(message)
	}
}

// apply steps the replica and checks that its revision does not decrease and that its
// snapshot is exactly the table at that revision.
func (n *simNode) apply(delta api.TableDelta) {
	n.oldDeltas = append(n.oldDeltas, delta)
	if len(n.oldDeltas) > 30 {
		n.oldDeltas = n.oldDeltas[1:]
	}
	before := n.replica.Current()
	n.replica.Step(n.process.Now(), DeltaReceived{Delta: delta})
	after := n.replica.Current()
	if before != nil && after.Revision() < before.Revision() {
		n.cluster.violation = fmt.Sprintf("%s reverted from revision %d to %d", n.process.Name(), before.Revision(), after.Revision())
	}
	if after == nil {
		return
	}
	live := map[api.RowKey]api.Row{}
	for _, row := range after.ChangedSince(0) {
		if !row.Deleted {
			live[row.Row.Key()] = row.Row
		}
	}
	if truth := n.cluster.rowsAt(after.Revision()); !maps.Equal(live, truth) {
		n.cluster.violation = fmt.Sprintf("%s has %v at revision %d, the table was %v",
			n.process.Name(), live, after.Revision(), truth)
	}
}

func (w *clusterSim) run() string {
	for at := time.Duration(0); at < 20*time.Second; at += 40 * time.Millisecond {
		w.simulation.After(at, func() {
			w.change()
			switch w.random.IntN(40) {
			case 0:
				w.compacted = w.revision
			case 1:
				w.outage = true
				w.simulation.After(2*time.Second, func() { w.outage = false })
			case 2:
				node := w.nodes[w.random.IntN(len(w.nodes))]
				w.network.Isolate(node.process.Name())
				w.simulation.After(time.Second, w.network.Heal)
			case 3: // a node restarts and fetches the table from its peers
				node := w.nodes[2+w.random.IntN(len(w.nodes)-2)]
				injected := node.replica.fault
				node.replica, node.oldDeltas = NewReplica(), nil
				node.replica.fault = injected
			}
		})
	}
	w.simulation.Run(40 * time.Second)
	for _, node := range w.nodes {
		if node.replica.revision() != w.revision && w.violation == "" {
			w.violation = fmt.Sprintf("%s ended at revision %d of %d", node.process.Name(), node.replica.revision(), w.revision)
		}
	}
	return w.violation
}

func TestReplicasConvergeWithoutReverting(t *testing.T) {
	for seed := range uint64(12) {
		if broken := newClusterSim(seed, 7, "").run(); broken != "" {
			t.Fatalf("seed %d: %s", seed, broken)
		}
	}
}

func TestInjectedReplicaFaultsAreDetected(t *testing.T) {
	for _, injected := range []fault{faultApplyOlder, faultDropTombstone, faultIgnoreGap} {
		broken := ""
		for seed := uint64(0); seed < 10 && broken == ""; seed++ {
			broken = newClusterSim(seed, 7, injected).run()
		}
		if broken == "" {
			t.Errorf("injected fault %s was not detected", injected)
		}
	}
}

// Tombstones are bounded, yet neither an old delta nor a peer with an old snapshot brings
// a deleted row back.
func TestTombstonesAreBounded(t *testing.T) {
	replica, lagging := NewReplica(), NewReplica()
	revision := int64(0)
	step := func(rows ...api.VersionedRow) {
		delta := api.TableDelta{After: revision, Revision: rows[len(rows)-1].Revision, Rows: rows}
		revision = delta.Revision
		replica.Step(sim.Epoch, DeltaReceived{Delta: delta})
	}
	key := func(i int) api.Row {
		return api.Row{Service: api.ServiceName(fmt.Sprintf("model-%d", i)), Place: "east"}
	}
	for i := range 3 * maxTombstones {
		step(api.VersionedRow{Row: key(i), Revision: revision + 1})
	}
	old := replica.Current().Delta(-1)
	lagging.Step(sim.Epoch, DeltaReceived{Delta: old})
	for i := range 3*maxTombstones - 1 {
		step(api.VersionedRow{Row: key(i), Revision: revision + 1, Deleted: true})
	}
	if rows := len(replica.Current().rows); rows > maxTombstones+1 {
		t.Errorf("%d rows kept, want at most %d", rows, maxTombstones+1)
	}
	replica.Step(sim.Epoch, DeltaReceived{Delta: old})
	lagging.Step(sim.Epoch, DeltaReceived{Delta: replica.Current().Delta(lagging.revision())})
	if replica.Current().LiveCount() != 1 || lagging.Current().LiveCount() != 1 {
		t.Errorf("%d and %d rows are live, want 1", replica.Current().LiveCount(), lagging.Current().LiveCount())
	}
}
