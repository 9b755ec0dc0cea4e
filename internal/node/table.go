package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/table"
)

// maximumPeerInterval bounds the time between looks for a peer with a newer
// table.
const maximumPeerInterval = time.Second

func (n *Node) executeTable(action table.Action) {
	switch action := action.(type) {
	case table.Gap:
		n.Logger("table").Debugf("Changes between revision %d and those received are missing; asking again.", action.Revision)
	case table.InForce:
		n.putInForce(action.Snapshot)
	}
}

func (n *Node) putInForce(snapshot *table.Snapshot) {
	n.snapshot.Store(snapshot)
	n.tableMetrics.revision.Set(float64(snapshot.Revision()))
	n.tableMetrics.rows.Set(float64(snapshot.Live()))
	n.mutex.Lock()
	callbacks := n.onTable
	n.mutex.Unlock()
	for _, callback := range callbacks {
		callback(snapshot)
	}
}

// serveTable answers what is newer than ?after=revision, or the whole table.
func (n *Node) serveTable(w http.ResponseWriter, r *http.Request) {
	snapshot := n.Table()
	if snapshot == nil {
		transport.WriteError(w, api.NewError("read table", "", api.CodeNoTable, api.OutcomeNotRun, "no table yet"))
		return
	}
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		after = -1
	}
	transport.WriteJSON(w, http.StatusOK, snapshot.Delta(after))
}

// watchTable keeps the table current: a few routers watch the key-value
// service, everyone asks a peer that has a newer revision.
func (n *Node) watchTable(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { n.followPeers(ctx) })
	if n.KeyValue != nil && n.Role == api.RoleRouter {
		running.Go(func() { n.followService(ctx) })
	}
	running.Wait()
}

func (n *Node) followPeers(ctx context.Context) {
	interval := min(maximumPeerInterval, n.Settings.Membership.Interval)
	for n.pause(ctx, interval) {
		n.fetchFromPeer(ctx)
	}
}

// pause waits; false when ctx ended.
func (n *Node) pause(ctx context.Context, delay time.Duration) bool {
	select {
	case <-time.After(delay):
		return true
	case <-ctx.Done():
		return false
	}
}

// fetchFromPeer asks a peer with a newer revision for what is newer there.
func (n *Node) fetchFromPeer(ctx context.Context) {
	own := int64(-1)
	if snapshot := n.Table(); snapshot != nil {
		own = snapshot.Revision()
	}
	peer, ok := choosePeer(n.Nodes(), n.ID(), n.Settings.Node.Location(), own)
	if !ok {
		return
	}
	var delta api.TableDelta
	path := fmt.Sprintf("%s?after=%d", api.PathTable, own)
	ctx, cancel := context.WithTimeout(ctx, n.Settings.KeyValueService.Timeout)
	defer cancel()
	if err := transport.Get(ctx, n.Control, "fetch table", peer.Address, path, &delta); err != nil {
		n.Logger("table").WithError(err).Debug("A peer did not give its table.")
		return
	}
	n.tableMetrics.fetches.Inc()
	n.replica.Tell(table.Received{Delta: delta})
}

// choosePeer draws one of the nearest peers with a newer revision, so that the
// few that have it first are not asked by all.
func choosePeer(nodes []api.Node, self api.NodeID, location api.Location, own int64) (api.Node, bool) {
	var nearest []api.Node
	best := -1
	for _, node := range nodes {
		if node.ID == self || node.TableRevision <= max(own, 0) {
			continue
		}
		nearness := nearnessOf(node.Location, location)
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
	return nearest[rand.IntN(len(nearest))], true
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
