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

// putInForce hands the snapshot to the node's parts before it shows and reports
// the revision: a revision that others see in force is one that admission has.
func (n *Node) putInForce(snapshot *table.Snapshot) {
	n.mutex.Lock()
	callbacks := n.onTable
	n.mutex.Unlock()
	for _, callback := range callbacks {
		callback(snapshot)
	}
	n.snapshot.Store(snapshot)
	n.tableMetrics.revision.Set(float64(snapshot.Revision()))
	n.tableMetrics.rows.Set(float64(snapshot.Live()))
	n.ReportNow()
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
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	interval := min(maximumPeerInterval, n.Settings.Membership.Interval)
	for n.pause(ctx, interval) {
		n.fetchFromPeer(ctx, random)
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
func (n *Node) fetchFromPeer(ctx context.Context, random *rand.Rand) {
	own := int64(-1)
	if snapshot := n.Table(); snapshot != nil {
		own = snapshot.Revision()
	}
	peer, ok := table.ChoosePeer(n.Nodes(), n.ID(), n.Settings.Node.Location(), own, random)
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
