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

// tableWorld is a key-value service, two watchers and peers that fetch from
// one another, over a network that loses, delays and repeats.
type tableWorld struct {
	simulation *sim.Simulation
	network    *sim.Network
	random     *rand.Rand
	revision   int64
	log        []api.VersionedRow
	truth      map[int64]map[api.RowKey]api.Row // live rows at each revision
	compacted  int64
	outage     bool
	nodes      []*tableNode
	broken     string
}

type tableNode struct {
	world     *tableWorld
	process   *sim.Process
	replica   *Replica
	watcher   bool
	delivered int64
	whole     bool
	stale     []api.TableDelta // old deltas, to be received again
}

type fetch struct{ after int64 }

func newTableWorld(seed uint64, nodes int, planted fault) *tableWorld {
	s := sim.New(seed)
	w := &tableWorld{simulation: s, random: s.Fork(), truth: map[int64]map[api.RowKey]api.Row{0: {}}}
	w.network = s.NewNetwork(func(_, _ string) time.Duration { return time.Millisecond })
	w.network.SetFaults(sim.Faults{Loss: 0.1, Duplicate: 0.2, Late: 0.3, LateBy: 3 * time.Second})
	for i := range nodes {
		n := &tableNode{world: w, process: s.NewProcess(fmt.Sprintf("node-%d", i)), watcher: i < 2}
		n.replica = NewReplica()
		n.replica.fault = planted
		w.nodes = append(w.nodes, n)
		w.network.Attach(n.process, n.receive)
		n.process.Every(50*time.Millisecond, n.follow)
	}
	return w
}

// change writes or deletes a row.
func (w *tableWorld) change() {
	w.revision += 1 + w.random.Int64N(2)
	key := api.RowKey{Service: api.ServiceName(fmt.Sprintf("model-%d", w.random.IntN(4))), Place: "east"}
	row := api.VersionedRow{Row: api.Row{Service: key.Service, Place: key.Place, Weight: float64(w.revision)}, Revision: w.revision}
	live := maps.Clone(w.truthAt(w.revision - 1))
	if _, exists := live[key]; exists && w.random.Float64() < 0.4 {
		row.Deleted = true
		delete(live, key)
	} else {
		live[key] = row.Row
	}
	w.log = append(w.log, row)
	w.truth[w.revision] = live
}

func (w *tableWorld) truthAt(revision int64) map[api.RowKey]api.Row {
	for ; revision > 0; revision-- {
		if rows, ok := w.truth[revision]; ok {
			return rows
		}
	}
	return w.truth[0]
}

func (n *tableNode) follow() {
	if n.watcher && !n.world.outage {
		n.watch()
	}
	peer := n.world.nodes[n.world.random.IntN(len(n.world.nodes))]
	n.world.network.Send(n.process.Name(), peer.process.Name(), fetch{after: n.replica.revision()})
	if len(n.stale) > 0 && n.world.random.Float64() < 0.3 {
		n.apply(n.stale[n.world.random.IntN(len(n.stale))])
	}
}

// watch delivers part of the log, in order, or the whole table after a
// compaction.
func (n *tableNode) watch() {
	w := n.world
	if !n.whole || n.delivered < w.compacted {
		var rows []api.VersionedRow
		for _, row := range w.truthAt(w.revision) {
			revision := int64(row.Weight)
			rows = append(rows, api.VersionedRow{Row: row, Revision: revision})
		}
		slices.SortFunc(rows, func(a, b api.VersionedRow) int { return int(a.Revision - b.Revision) })
		n.whole, n.delivered = true, w.revision
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

func (n *tableNode) receive(from string, message any) {
	switch message := message.(type) {
	case fetch:
		if snapshot := n.replica.Current(); snapshot != nil && snapshot.Revision() > message.after {
			n.world.network.Send(n.process.Name(), from, snapshot.Delta(message.after))
		}
	case api.TableDelta:
		n.apply(message)
	}
}

// apply checks that neither the revision nor a row goes back, and that what is
// in force is exactly the table of its revision.
func (n *tableNode) apply(delta api.TableDelta) {
	n.stale = append(n.stale, delta)
	if len(n.stale) > 30 {
		n.stale = n.stale[1:]
	}
	before := n.replica.Current()
	n.replica.Step(n.process.Now(), Received{Delta: delta})
	after := n.replica.Current()
	if before != nil && after.Revision() < before.Revision() {
		n.world.broken = fmt.Sprintf("%s went back from %d to %d", n.process.Name(), before.Revision(), after.Revision())
	}
	if after == nil {
		return
	}
	live := map[api.RowKey]api.Row{}
	for _, row := range after.After(0) {
		if !row.Deleted {
			live[row.Row.Key()] = row.Row
		}
	}
	if truth := n.world.truthAt(after.Revision()); !maps.Equal(live, truth) {
		n.world.broken = fmt.Sprintf("%s has %v in force at revision %d, the table was %v",
			n.process.Name(), live, after.Revision(), truth)
	}
}

func (w *tableWorld) run() string {
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
			case 3: // a node starts anew and takes the table from its peers
				node := w.nodes[2+w.random.IntN(len(w.nodes)-2)]
				planted := node.replica.fault
				node.replica, node.stale = NewReplica(), nil
				node.replica.fault = planted
			}
		})
	}
	w.simulation.Run(40 * time.Second)
	for _, node := range w.nodes {
		if node.replica.revision() != w.revision && w.broken == "" {
			w.broken = fmt.Sprintf("%s ended at revision %d of %d", node.process.Name(), node.replica.revision(), w.revision)
		}
	}
	return w.broken
}

func TestReplicasNeverRevertAndConverge(t *testing.T) {
	for seed := range uint64(12) {
		if broken := newTableWorld(seed, 7, "").run(); broken != "" {
			t.Fatalf("seed %d: %s", seed, broken)
		}
	}
}

func TestPlantedReplicaFaultsAreCaught(t *testing.T) {
	for _, planted := range []fault{faultApplyOlder, faultDropTombstone, faultIgnoreGap} {
		broken := ""
		for seed := uint64(0); seed < 10 && broken == ""; seed++ {
			broken = newTableWorld(seed, 7, planted).run()
		}
		if broken == "" {
			t.Errorf("planted fault %s was not caught", planted)
		}
	}
}

// TestTombstonesAreBounded deletes many rows; neither an old delta nor a peer
// that was away long brings one back.
func TestTombstonesAreBounded(t *testing.T) {
	replica, away := NewReplica(), NewReplica()
	revision := int64(0)
	step := func(rows ...api.VersionedRow) {
		delta := api.TableDelta{After: revision, Revision: rows[len(rows)-1].Revision, Rows: rows}
		revision = delta.Revision
		replica.Step(sim.Epoch, Received{Delta: delta})
	}
	key := func(i int) api.Row {
		return api.Row{Service: api.ServiceName(fmt.Sprintf("model-%d", i)), Place: "east"}
	}
	for i := range 3 * maximumTombstones {
		step(api.VersionedRow{Row: key(i), Revision: revision + 1})
	}
	old := replica.Current().Delta(-1)
	away.Step(sim.Epoch, Received{Delta: old})
	for i := range 3*maximumTombstones - 1 {
		step(api.VersionedRow{Row: key(i), Revision: revision + 1, Deleted: true})
	}
	if rows := len(replica.Current().rows); rows > maximumTombstones+1 {
		t.Errorf("%d rows are kept, want at most %d", rows, maximumTombstones+1)
	}
	replica.Step(sim.Epoch, Received{Delta: old})
	away.Step(sim.Epoch, Received{Delta: replica.Current().Delta(away.revision())})
	if replica.Current().Live() != 1 || away.Current().Live() != 1 {
		t.Errorf("%d and %d rows are live, want 1", replica.Current().Live(), away.Current().Live())
	}
}
