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

// maxPeerInterval bounds the interval of polling peers for a newer table.
const maxPeerInterval = time.Second

func (n *Node) executeTable(action table.Action) {
	switch action := action.(type) {
	case table.Gap:
		n.Logger("table").Debugf("Received changes do not follow revision %d; fetching the missing ones.", action.Revision)
	case table.SnapshotApplied:
		n.applySnapshot(action.Snapshot)
	}
}

// applySnapshot runs the OnTable callbacks before it publishes and reports the
// revision, so that admission has applied every revision that peers see.
func (n *Node) applySnapshot(snapshot *table.Snapshot) {
	n.mutex.Lock()
	callbacks := n.onTable
	n.mutex.Unlock()
	for _, callback := range callbacks {
		callback(snapshot)
	}
	n.snapshot.Store(snapshot)
	n.tableMetrics.revision.Set(float64(snapshot.Revision()))
	n.tableMetrics.rows.Set(float64(snapshot.LiveCount()))
	n.ReportNow()
}

// serveTable responds with the changes after the revision in the query parameter after,
// or with the full table.
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

// watchTable keeps the table up to date: a few routers watch the key-value service, and
// every node polls peers that have a newer revision.
func (n *Node) watchTable(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { n.pollPeers(ctx) })
	if n.KeyValue != nil && n.Role == api.RoleRouter {
		running.Go(func() { n.watchKeyValue(ctx) })
	}
	running.Wait()
}

func (n *Node) pollPeers(ctx context.Context) {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	interval := min(maxPeerInterval, n.Settings.Membership.Interval)
	for n.sleep(ctx, interval) {
		n.fetchFromPeer(ctx, random)
	}
}

// sleep waits for the delay and reports false if ctx ended first.
func (n *Node) sleep(ctx context.Context, delay time.Duration) bool {
	select {
	case <-time.After(delay):
		return true
	case <-ctx.Done():
		return false
	}
}

// fetchFromPeer fetches newer changes from a peer that reports a newer revision, if any.
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
		n.Logger("table").WithError(err).Debug("Fetching the table from a peer failed.")
		return
	}
	n.tableMetrics.fetches.Inc()
	n.replica.Tell(table.DeltaReceived{Delta: delta})
}
