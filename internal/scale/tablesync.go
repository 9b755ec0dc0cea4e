package scale

import (
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/placement"
	"github.com/dykewing/dykewing/table"
)

const (
	watchers   = 3                     // routers that watch the key-value service
	watchDelay = 10 * time.Millisecond // from a commit to a watcher
)

// keyValue is the platform's service as far as the table needs it.
type keyValue struct {
	rows     []api.VersionedRow
	revision int64
	edits    []edit
}

type edit struct {
	revision int64
	at       time.Time
}

func newKeyValue(rows []api.VersionedRow) *keyValue {
	return &keyValue{rows: rows, revision: int64(len(rows))}
}

// edit changes a row.
func (k *keyValue) edit(now time.Time, row int) {
	k.revision++
	k.rows[row].Revision = k.revision
	k.edits = append(k.edits, edit{revision: k.revision, at: now})
}

// after is what a watch from a revision on delivers, and what the first read
// gives to a node without a table.
func (k *keyValue) after(revision int64) api.TableDelta {
	delta := api.TableDelta{After: max(revision, 0), Revision: k.revision, Full: revision < 0}
	for _, row := range k.rows {
		if row.Revision > revision {
			delta.Rows = append(delta.Rows, row)
		}
	}
	return delta
}

// editRow commits one change and lets those that watch hear of it.
func (f *fleet) editRow(row int) {
	f.keyValue.edit(f.simulation.Now(), row)
	for _, node := range f.nodes {
		if node.watches() {
			node.process.After(watchDelay, func() { node.takeDelta(f.keyValue.after(node.revision())) })
		}
	}
}

func (h *hollow) revision() int64 {
	if snapshot := h.replica.Current(); snapshot != nil {
		return snapshot.Revision()
	}
	return -1
}

// watches is the rule of the real shell, on this node's view.
func (h *hollow) watches() bool {
	if h.self.Role != api.RoleRouter || !h.process.Up() {
		return false
	}
	higher := 0
	own := placement.Score("table-watch", h.self.ID)
	for _, node := range h.view {
		if node.Role == api.RoleRouter && !node.Leaving && placement.Score("table-watch", node.ID) > own {
			higher++
		}
	}
	return higher < watchers
}

// syncTable asks the peer with the newest revision for what is newer, as the
// real shell does each interval.
func (h *hollow) syncTable() {
	watching := false
	h.cost.timed(PartTable, func() { watching = h.watches() })
	if watching && h.revision() < h.fleet.keyValue.revision {
		h.takeDelta(h.fleet.keyValue.after(h.revision()))
	}
	peer, ok := h.tablePeer()
	if !ok || h.fetching {
		return
	}
	h.fetching = true
	h.fleet.exchange(h, "table", peer.Address, nil, serveTable(h.revision()), func(answer []byte) {
		h.fetching = false
		if answer != nil {
			var delta api.TableDelta
			h.decode(answer, &delta)
			h.takeDelta(delta)
		}
	})
}

// tablePeer draws one of the nearest peers with a newer revision, by the rule of
// the real shell.
func (h *hollow) tablePeer() (api.Node, bool) {
	var nearest []api.Node
	best := -1
	for _, node := range h.view {
		if node.ID == h.self.ID || node.TableRevision <= max(h.revision(), 0) {
			continue
		}
		nearness := nearnessOf(node.Location, h.self.Location)
		if nearness > best {
			nearest, best = nearest[:0], nearness
		}
		if nearness == best {
			nearest = append(nearest, node)
		}
	}
	if len(nearest) == 0 {
		return api.Node{}, false
	}
	return nearest[h.random.IntN(len(nearest))], true
}

func nearnessOf(a, b api.Location) int {
	switch {
	case a == b:
		return 2
	case a.Region == b.Region:
		return 1
	}
	return 0
}

func serveTable(after int64) func(*hollow, []byte) []byte {
	return func(target *hollow, _ []byte) []byte {
		var delta api.TableDelta
		if snapshot := target.replica.Current(); snapshot != nil {
			target.cost.timed(PartTable, func() {
				delta = snapshot.Delta(after)
			})
		}
		return target.encode(delta)
	}
}

// takeDelta applies rows and books how long each edit took to come into force.
func (h *hollow) takeDelta(delta api.TableDelta) {
	before := h.revision()
	var actions []table.Action
	h.cost.timed(PartTable, func() { actions = h.replica.Step(h.now(), table.Received{Delta: delta}) })
	if len(actions) == 0 {
		return
	}
	for _, edit := range h.fleet.keyValue.edits {
		if edit.revision > before && edit.revision <= h.revision() {
			h.fleet.delayed = append(h.fleet.delayed, h.now().Sub(edit.at))
		}
	}
	if h.admission != nil {
		h.takeRows()
	}
	h.reportSelf()
}
