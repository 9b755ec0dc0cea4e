package storeclient

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/kv"
)

// PrefixGroups is the prefix of group records' keys, below the service's prefix; see GroupKey.
const PrefixGroups = "groups/"

// GroupKey returns the key of a group's record, below the service's prefix.
func GroupKey(id api.GroupID) string { return fmt.Sprintf("%s%d", PrefixGroups, id) }

// parseGroupKey returns the group of a record's full key.
func parseGroupKey(prefix, key string) (id api.GroupID, err error) {
	_, err = fmt.Sscanf(strings.TrimPrefix(key, prefix), PrefixGroups+"%d", &id)
	return id, err
}

// GroupLeader is the leader in a group's record. Term is 0 if there was none yet.
type GroupLeader struct {
	Node    api.NodeID `json:"node"`
	Address string     `json:"address"`
	Term    uint64     `json:"term"`
}

// Leaders caches the leaders that groups publish with a key-value service; it is a
// catalog.View and safe for concurrent use. A newly started process gets them with its
// configuration, long before its membership view is complete. The view takes precedence if
// its term is as high.
type Leaders struct {
	Prefix string // of the service's keys

	mutex   sync.Mutex // guards leaders
	leaders map[api.GroupID]GroupLeader
}

// Reset adds all records of a complete listing.
func (l *Leaders) Reset(result kv.RangeResult) {
	for _, pair := range result.Pairs {
		l.put(pair)
	}
}

// Apply applies updates of records; deletions are ignored.
func (l *Leaders) Apply(batch kv.Batch) {
	for _, event := range batch.Events {
		if !event.Deleted {
			l.put(event.Pair)
		}
	}
}

// put stores a record's leader if its term is newer. Invalid records are ignored, since the
// membership view shows leaders too.
func (l *Leaders) put(pair kv.Pair) {
	var record struct {
		Leader GroupLeader `json:"leader"`
	}
	id, err := parseGroupKey(l.Prefix, pair.Key)
	if err != nil || json.Unmarshal(pair.Value, &record) != nil {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.leaders == nil {
		l.leaders = map[api.GroupID]GroupLeader{}
	}
	if record.Leader.Term > l.leaders[id].Term {
		l.leaders[id] = record.Leader
	}
}

// Leader returns the leader of a group with the highest term, from the membership view or the
// published records; false if none is known.
func (l *Leaders) Leader(nodes []api.Node, group api.GroupID) (api.Node, bool) {
	seen, term, ok := leader(nodes, group)
	l.mutex.Lock()
	published := l.leaders[group]
	l.mutex.Unlock()
	if published.Term <= term {
		return seen, ok
	}
	for _, node := range nodes {
		if node.ID == published.Node {
			return node, true
		}
	}
	return api.Node{ID: published.Node, Role: api.RoleStore, Address: published.Address}, true
}

// All returns the leaders of the groups 0 to n-1, chosen as for a single group and omitting
// unknown ones, with a single pass over the view.
func (l *Leaders) All(nodes []api.Node, n int) map[api.GroupID]api.Node {
	known, terms := map[api.GroupID]api.Node{}, map[api.GroupID]uint64{}
	byID := map[api.NodeID]api.Node{}
	for _, node := range nodes {
		byID[node.ID] = node
		for _, summary := range node.Summary.Groups {
			if _, seen := known[summary.Group]; summary.Leading && (!seen || summary.Term > terms[summary.Group]) {
				known[summary.Group], terms[summary.Group] = node, summary.Term
			}
		}
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for group, published := range l.leaders {
		if published.Term <= terms[group] || int(group) >= n {
			continue
		}
		node, seen := byID[published.Node]
		if !seen {
			node = api.Node{ID: published.Node, Role: api.RoleStore, Address: published.Address}
		}
		known[group] = node
	}
	return known
}
