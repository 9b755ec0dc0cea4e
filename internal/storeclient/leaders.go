package storeclient

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/kv"
)

// PrefixGroups is where groups of stores keep their records, under the service's prefix;
// GroupKey gives a record's key.
const PrefixGroups = "groups/"

// GroupKey is the key of a group's record under the service's prefix.
func GroupKey(id api.GroupID) string { return fmt.Sprintf("%s%d", PrefixGroups, id) }

// groupOf is the group whose record a key is, below prefix.
func groupOf(prefix, key string) (id api.GroupID, err error) {
	_, err = fmt.Sscanf(strings.TrimPrefix(key, prefix), PrefixGroups+"%d", &id)
	return id, err
}

// GroupLeader is what a group's record says of its leader. Term is 0 before the first.
type GroupLeader struct {
	Node    api.NodeID `json:"node"`
	Address string     `json:"address"`
	Term    uint64     `json:"term"`
}

// Leaders knows the leaders that groups have published with a key-value service; it is a
// catalog.View. A process that has just started learns them with the configuration,
// while its view of nodes takes seconds to be whole on a fleet of hundreds: until then
// it would fill workers without their leaders' word. The view goes first where it knows
// of a newer term, as while the service is away.
type Leaders struct {
	Prefix string // of the service's keys

	mutex   sync.Mutex // guards leaders
	leaders map[api.GroupID]GroupLeader
}

// Whole takes all records.
func (l *Leaders) Whole(result kv.RangeResult) {
	for _, pair := range result.Pairs {
		l.put(pair)
	}
}

// Changes takes records that changed.
func (l *Leaders) Changes(batch kv.Batch) {
	for _, event := range batch.Events {
		if !event.Deleted {
			l.put(event.Pair)
		}
	}
}

// put takes a record; what can't be read is left out, since the view of nodes tells of
// leaders, too.
func (l *Leaders) put(pair kv.Pair) {
	var record struct {
		Leader GroupLeader `json:"leader"`
	}
	id, err := groupOf(l.Prefix, pair.Key)
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

// Of is the leader of a group with the highest term, by a view of nodes or published.
func (l *Leaders) Of(nodes []api.Node, group api.GroupID) (api.Node, bool) {
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

// All are the leaders of the groups 0 to n-1 as Of gives them; those that are not known
// are missing. One look at the view serves all groups.
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
