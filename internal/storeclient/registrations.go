package storeclient

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"sync"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/kv"
	"github.com/dykewing/dykewing/replication"
)

// PrefixStores is the prefix of store registrations' keys, below the service's prefix.
const PrefixStores = "stores/"

// StoreRecord registers a disk and the node that holds it.
type StoreRecord struct {
	Replica  replication.ReplicaID `json:"replica"`
	Node     api.NodeID            `json:"node"`
	Address  string                `json:"address"`
	Location api.Location          `json:"location"`
}

// Registrations caches the stores registered with a key-value service; it is a catalog.View and
// safe for concurrent use. If a node has several registrations, the newest one counts.
type Registrations struct {
	mutex   sync.Mutex // guards records
	records map[string]registration
}

type registration struct {
	record   StoreRecord
	revision int64
}

// Reset replaces the cache by a complete listing.
func (r *Registrations) Reset(result kv.RangeResult) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.records = map[string]registration{}
	for _, pair := range result.Pairs {
		r.put(pair)
	}
}

// Apply adds, updates and removes registrations.
func (r *Registrations) Apply(batch kv.Batch) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, event := range batch.Events {
		if event.Deleted {
			delete(r.records, event.Pair.Key)
		} else {
			r.put(event.Pair)
		}
	}
}

// put stores a registration. Invalid ones are ignored, since the membership view shows stores
// too. The mutex is held.
func (r *Registrations) put(pair kv.Pair) {
	var record StoreRecord
	if err := json.Unmarshal(pair.Value, &record); err != nil || r.records == nil {
		return
	}
	r.records[pair.Key] = registration{record: record, revision: pair.Revision}
}

// Records returns all registrations, the oldest first.
func (r *Registrations) Records() []StoreRecord {
	r.mutex.Lock()
	all := slices.Collect(maps.Values(r.records))
	r.mutex.Unlock()
	slices.SortFunc(all, func(a, b registration) int { return cmp.Compare(a.revision, b.revision) })
	records := make([]StoreRecord, 0, len(all))
	for _, each := range all {
		records = append(records, each.record)
	}
	return records
}

// Key returns the key and revision of a replica's registration; false if there is none.
func (r *Registrations) Key(replica replication.ReplicaID) (key string, revision int64, ok bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for key, each := range r.records {
		if each.record.Replica == replica {
			return key, each.revision, true
		}
	}
	return "", 0, false
}

// Extend returns a membership view extended by the registered stores that it lacks.
func (r *Registrations) Extend(nodes []api.Node) []api.Node {
	r.mutex.Lock()
	newest := map[api.NodeID]registration{}
	for _, each := range r.records {
		if known, ok := newest[each.record.Node]; !ok || each.revision > known.revision {
			newest[each.record.Node] = each
		}
	}
	r.mutex.Unlock()
	for _, node := range nodes {
		delete(newest, node.ID)
	}
	added := make([]api.Node, 0, len(newest))
	for _, each := range newest {
		added = append(added, api.Node{
			ID: each.record.Node, Role: api.RoleStore, Address: each.record.Address, Location: each.record.Location,
			Summary: api.LoadSummary{Replica: string(each.record.Replica)},
		})
	}
	slices.SortFunc(added, func(a, b api.Node) int { return cmp.Compare(a.ID, b.ID) })
	return slices.Concat(nodes, added)
}

// OwnerCandidates returns the stores that may own state shared between processes, such as limits:
// those alive in the membership view, or all registered ones if there are none. Registered
// stores may be gone, and callers would wait for them.
func OwnerCandidates(view []api.Node, registered func([]api.Node) []api.Node) []api.Node {
	alive := slices.DeleteFunc(slices.Clone(view), func(node api.Node) bool { return node.Role != api.RoleStore || node.Suspected })
	if len(alive) > 0 {
		return alive
	}
	return registered(view)
}
