package node

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/kv"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/placement"
	"github.com/dykewing/dykewing/table"
)

const watchRetryDelay = time.Second

func (n *Node) executeTable(action table.Action) {
	inForce, ok := action.(table.InForce)
	if !ok {
		return
	}
	n.snapshot.Store(inForce.Snapshot)
	n.mutex.Lock()
	callbacks := n.onTable
	n.mutex.Unlock()
	for _, callback := range callbacks {
		callback(inForce.Snapshot)
	}
}

func (n *Node) serveTable(w http.ResponseWriter, r *http.Request) {
	snapshot := n.Table()
	if snapshot == nil {
		transport.WriteError(w, api.NewError("read table", "", api.CodeNoTable, api.OutcomeNotRun, "no table yet"))
		return
	}
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	transport.WriteJSON(w, http.StatusOK, api.TableDelta{Revision: snapshot.Revision(), Rows: snapshot.After(after)})
}

// watchTable keeps the table current: a few routers watch the key-value
// service, everyone asks a peer that has a newer revision.
func (n *Node) watchTable(ctx context.Context) {
	for ctx.Err() == nil {
		if n.watches() {
			if err := n.watchService(ctx); err != nil && ctx.Err() == nil {
				n.Logger("table").WithError(err).Warn("Key-value service does not answer; serving with the last known table.")
			}
		}
		n.fetchFromPeer(ctx)
		select {
		case <-time.After(min(watchRetryDelay, n.Settings.Membership.Interval)):
		case <-ctx.Done():
		}
	}
}

// watches tells whether this node is one of the few that watch the service.
func (n *Node) watches() bool {
	if n.KeyValue == nil || n.Role != api.RoleRouter {
		return false
	}
	higher := 0
	own := placement.Score("table-watch", n.ID())
	for _, node := range n.Nodes() {
		if node.Role == api.RoleRouter && !node.Leaving && placement.Score("table-watch", node.ID) > own {
			higher++
		}
	}
	return higher < n.Settings.KeyValueService.Watchers
}

func (n *Node) watchService(ctx context.Context) error {
	prefix := n.Settings.KeyValueService.Prefix + table.KeyPrefix
	result, err := n.KeyValue.Range(ctx, prefix)
	if err != nil {
		return fmt.Errorf("read table: %w", err)
	}
	delta := api.TableDelta{Revision: result.Revision}
	seen := map[api.RowKey]bool{}
	for _, pair := range result.Pairs {
		row, err := table.Decode(pair.Value, pair.Revision)
		if err != nil {
			n.Logger("table").WithError(err).Errorf("Key %s holds no valid row; it is left out.", pair.Key)
			continue
		}
		seen[row.Row.Key()] = true
		delta.Rows = append(delta.Rows, row)
	}
	delta.Rows = append(delta.Rows, n.missing(seen, result.Revision)...)
	n.replica.Tell(table.Received{Delta: delta})
	return n.KeyValue.Watch(ctx, prefix, result.Revision, n.deliver)
}

// missing gives tombstones for known rows that the service no longer has.
func (n *Node) missing(seen map[api.RowKey]bool, revision int64) []api.VersionedRow {
	snapshot := n.Table()
	if snapshot == nil {
		return nil
	}
	var tombstones []api.VersionedRow
	for _, row := range snapshot.After(0) {
		if !seen[row.Row.Key()] && !row.Deleted && row.Revision <= revision {
			tombstones = append(tombstones, api.VersionedRow{Row: row.Row, Revision: revision, Deleted: true})
		}
	}
	return tombstones
}

func (n *Node) deliver(batch kv.Batch) {
	delta := api.TableDelta{Revision: batch.Revision}
	for _, event := range batch.Events {
		row, err := n.rowOf(event)
		if err != nil {
			n.Logger("table").WithError(err).Errorf("Key %s holds no valid row; it is left out.", event.Pair.Key)
			continue
		}
		delta.Rows = append(delta.Rows, row)
	}
	n.replica.Tell(table.Received{Delta: delta})
}

func (n *Node) rowOf(event kv.Event) (api.VersionedRow, error) {
	if !event.Deleted {
		return table.Decode(event.Pair.Value, event.Pair.Revision)
	}
	name := strings.TrimPrefix(event.Pair.Key, n.Settings.KeyValueService.Prefix+table.KeyPrefix)
	service, place, ok := strings.Cut(name, "/")
	if !ok {
		return api.VersionedRow{}, fmt.Errorf("decode row: key %q is not service/place", event.Pair.Key)
	}
	row := api.Row{Service: api.ServiceName(service), Place: api.PlaceName(place)}
	return api.VersionedRow{Row: row, Revision: event.Pair.Revision, Deleted: true}, nil
}

// fetchFromPeer asks the peer with the newest revision for what is newer here.
func (n *Node) fetchFromPeer(ctx context.Context) {
	own := int64(-1)
	if snapshot := n.Table(); snapshot != nil {
		own = snapshot.Revision()
	}
	var newest api.Node
	for _, node := range n.Nodes() {
		if node.ID != n.ID() && node.TableRevision > max(own, newest.TableRevision) {
			newest = node
		}
	}
	if newest.ID == "" {
		return
	}
	var delta api.TableDelta
	path := fmt.Sprintf("%s?after=%d", api.PathTable, own)
	ctx, cancel := context.WithTimeout(ctx, n.Settings.KeyValueService.Timeout)
	defer cancel()
	if err := transport.Get(ctx, n.Control, "fetch table", newest.Address, path, &delta); err != nil {
		n.Logger("table").WithError(err).Debug("A peer did not give its table.")
		return
	}
	n.replica.Tell(table.Received{Delta: delta})
}
