package store

import (
	"sync"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/logform"
	"github.com/dykewing/dykewing/placement"
	"github.com/dykewing/dykewing/replication"
)

// peers tracks the addresses of replicas and when they were last heard from, based on
// received batches and on the membership view, which may lag for other zones. It works
// without the key-value service.
type peers struct {
	addressTTL time.Duration // how long a replica's own address takes precedence over the view's

	mutex            sync.Mutex // guards all below
	contacts         map[replication.ReplicaID]contact
	advertised       map[replication.ReplicaID]string    // addresses received from other replicas
	nodes            map[replication.ReplicaID]api.Node  // of the last view
	observedAt       time.Time                           // time of the last view
	listedAt         map[replication.ReplicaID]time.Time // time of the last view that listed a replica
	owners           map[replication.ReplicaID]api.NodeID
	current          map[api.NodeID]replication.ReplicaID // newest identity of a node's disk
	unavailableUntil map[replication.ReplicaID]time.Time  // failed a probe; not a candidate until then
	// successors are disks that answered at the address of a member that they
	// replace; replaced are those members.
	successors      map[replication.ReplicaID]api.Node
	replaced        map[replication.ReplicaID]bool
	decommissioning map[api.NodeID]bool // machines being decommissioned
	// levels is the log format that each replica's process last announced, lowered when it
	// rejects a frame.
	levels map[replication.ReplicaID]logform.Level
	// learnersSince is when the learners of each group led here were first seen as such.
	learnersSince map[api.GroupID]map[replication.ReplicaID]time.Time
}

// contactTimeout is the time within which a leader hears from a replica that works.
const contactTimeout = 500 * time.Millisecond

type contact struct {
	at      time.Time
	address string
}

func newPeers(trust time.Duration) *peers {
	return &peers{
		addressTTL: trust, listedAt: map[replication.ReplicaID]time.Time{}, contacts: map[replication.ReplicaID]contact{}, advertised: map[replication.ReplicaID]string{}, nodes: map[replication.ReplicaID]api.Node{},
		owners: map[replication.ReplicaID]api.NodeID{}, current: map[api.NodeID]replication.ReplicaID{},
		unavailableUntil: map[replication.ReplicaID]time.Time{}, successors: map[replication.ReplicaID]api.Node{},
		replaced: map[replication.ReplicaID]bool{}, decommissioning: map[api.NodeID]bool{},
		levels: map[replication.ReplicaID]logform.Level{}, learnersSince: map[api.GroupID]map[replication.ReplicaID]time.Time{},
	}
}

// observe takes a new membership view.
func (p *peers) observe(now time.Time, view []api.Node) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	clear(p.nodes)
	p.observedAt = now
	for _, node := range view {
		replica := replication.ReplicaID(node.Summary.Replica)
		if node.Role != api.RoleStore || replica == "" {
			continue
		}
		if successor, ok := p.successorOf(replica, node.ID); ok {
			replica, node = successor, p.successors[successor]
		}
		p.set(replica, node)
		p.listedAt[replica] = now
	}
	for replica, node := range p.successors {
		if _, seen := p.nodes[replica]; !seen && p.current[node.ID] == replica {
			p.set(replica, node)
		}
	}
}

// successorOf returns the disk that replaced the one that a stale view shows for a node; the
// mutex is held.
func (p *peers) successorOf(replica replication.ReplicaID, node api.NodeID) (replication.ReplicaID, bool) {
	successor := p.current[node]
	_, answered := p.successors[successor]
	return successor, p.replaced[replica] && answered
}

// silentFor reports whether a replica was not heard from for the given time.
func (p *peers) silentFor(now time.Time, replica replication.ReplicaID, after time.Duration) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return now.Sub(p.contacts[replica].at) > after
}

// observeLearners records since when the learners of a group are expected to be heard from.
func (p *peers) observeLearners(now time.Time, group api.GroupID, learners []replication.ReplicaID) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known := p.learnersSince[group]
	current := make(map[replication.ReplicaID]time.Time, len(learners))
	for _, learner := range learners {
		current[learner] = now
		if since, ok := known[learner]; ok {
			current[learner] = since
		}
	}
	p.learnersSince[group] = current
}

// inContact reports whether a replica was heard from within contactTimeout, and since a time.
func (p *peers) inContact(now time.Time, replica replication.ReplicaID, since time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	at := p.contacts[replica].at
	return at.After(since) && now.Sub(at) <= contactTimeout
}

// recordSuccessor records the disk that now answers at a member's address, ahead of the
// membership view. It returns false if that was known.
func (p *peers) recordSuccessor(member replication.ReplicaID, answer identityAnswer, address string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.successors[answer.Replica].ID != "" && p.owners[member] == answer.Node && p.current[answer.Node] == answer.Replica {
		return false
	}
	p.successors[answer.Replica] = api.Node{
		ID: answer.Node, Role: api.RoleStore, Address: address, Location: answer.Location,
		Summary: api.LoadSummary{Replica: string(answer.Replica)},
	}
	p.owners[member] = answer.Node
	p.replaced[member] = true
	p.set(answer.Replica, p.successors[answer.Replica])
	return true
}

// register takes registrations, the oldest first: a later one of the same machine replaces an
// earlier one. A disk in the view that is not registered yet is newer than all of them.
func (p *peers) register(records []storeRecord) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	newest := map[api.NodeID]storeRecord{}
	registered := map[replication.ReplicaID]bool{}
	for _, record := range records {
		p.owners[record.Replica] = record.Node
		newest[record.Node] = record
		registered[record.Replica] = true
	}
	for id, record := range newest {
		current := p.current[id]
		if _, shown := p.nodes[current]; current == record.Replica && shown || shown && !registered[current] {
			continue
		}
		delete(p.nodes, current)
		p.replaced[current] = true
		p.successors[record.Replica] = api.Node{
			ID: id, Role: api.RoleStore, Address: record.Address, Location: record.Location,
			Summary: api.LoadSummary{Replica: string(record.Replica)},
		}
		p.set(record.Replica, p.successors[record.Replica])
	}
}

// set makes a replica the current one of its node; the mutex is held.
func (p *peers) set(replica replication.ReplicaID, node api.Node) {
	p.nodes[replica] = node
	p.owners[replica] = node.ID
	p.current[node.ID] = replica
}

// recordContact records the time of a message and the address that its sender gave.
func (p *peers) recordContact(now time.Time, replica replication.ReplicaID, address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.contacts[replica] = contact{at: now, address: address}
}

// setLevel records the log format that a replica's process decodes. Older builds announce
// none, which is logform.Plain.
func (p *peers) setLevel(replica replication.ReplicaID, level logform.Level) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.levels[replica] = level
}

// level returns the log format that a replica's process is known to decode; logform.Plain if
// unknown.
func (p *peers) level(replica replication.ReplicaID) logform.Level {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.levels[replica]
}

// belowLevel returns the replicas, except self, whose processes are not known to decode a
// level.
func (p *peers) belowLevel(self replication.ReplicaID, level logform.Level, replicas []replication.ReplicaID) []replication.ReplicaID {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var unread []replication.ReplicaID
	for _, replica := range replicas {
		if replica != self && p.levels[replica] < level {
			unread = append(unread, replica)
		}
	}
	return unread
}

// recentAddresses returns the addresses of the replicas heard from within addressTTL, except
// one.
func (p *peers) recentAddresses(now time.Time, except replication.ReplicaID) map[replication.ReplicaID]string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	addresses := map[replication.ReplicaID]string{}
	for replica, last := range p.contacts {
		if replica != except && now.Sub(last.at) < p.addressTTL {
			addresses[replica] = last.address
		}
	}
	return addresses
}

// recordAdvertised records addresses received from another replica.
func (p *peers) recordAdvertised(addresses map[replication.ReplicaID]string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for replica, address := range addresses {
		p.advertised[replica] = address
	}
}

// markUnavailable excludes a store that failed a probe from the candidates until a time.
func (p *peers) markUnavailable(replica replication.ReplicaID, until time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.unavailableUntil[replica] = until
}

// address returns where a replica is reached: its own recent address, the view's, or one
// that another replica advertised. It returns false if none is known.
func (p *peers) address(now time.Time, replica replication.ReplicaID) (string, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	last, known := p.contacts[replica]
	node, seen := p.nodes[replica]
	if known && (!seen || now.Sub(last.at) < p.addressTTL) {
		return last.address, true
	}
	if address, known := p.advertised[replica]; known && !seen {
		return address, true
	}
	return node.Address, seen
}

// node returns the ID of the node that holds the replica; empty if unknown.
func (p *peers) node(replica replication.ReplicaID) api.NodeID {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.nodes[replica].ID
}

// anyFull reports whether the disk of one of the replicas is full.
func (p *peers) anyFull(replicas []replication.ReplicaID) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, replica := range replicas {
		if p.nodes[replica].Summary.DiskFull {
			return true
		}
	}
	return false
}

// stores returns the known stores as candidates for replicas.
func (p *peers) stores(now time.Time) []placement.Store {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	stores := make([]placement.Store, 0, len(p.nodes))
	for replica, node := range p.nodes {
		stores = append(stores, placement.Store{
			Replica: replica, Location: node.Location, Groups: len(node.Summary.Groups),
			Leaving:         node.Leaving || node.Summary.DiskFull || now.Before(p.unavailableUntil[replica]),
			Decommissioning: p.decommissioning[node.ID],
		})
	}
	return stores
}

// setDecommissioning replaces the set of machines being decommissioned.
func (p *peers) setDecommissioning(nodes []api.NodeID) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	clear(p.decommissioning)
	for _, id := range nodes {
		p.decommissioning[id] = true
	}
}

// owner returns the machine that a replica is on; empty if unknown.
func (p *peers) owner(replica replication.ReplicaID) api.NodeID {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.owners[replica]
}

// isDecommissioning reports whether a replica's machine is being decommissioned.
func (p *peers) isDecommissioning(replica replication.ReplicaID) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	owner, ok := p.owners[replica]
	return ok && p.decommissioning[owner]
}

// memberLost is lost for a member of a group. A learner's silence counts from when it was first seen as
// such: it is not heard from before.
func (p *peers) memberLost(now time.Time, group api.GroupID, replica replication.ReplicaID, since time.Time, after time.Duration) bool {
	p.mutex.Lock()
	joined := p.learnersSince[group][replica]
	p.mutex.Unlock()
	if joined.After(since) {
		since = joined
	}
	return p.lost(now, replica, since, after)
}

// lost reports whether a replica was silent for longer than after, or its machine has a new disk. Silence
// counts from since at the earliest, or from the last membership view that listed the replica: a new leader
// has not heard from the other followers before.
func (p *peers) lost(now time.Time, replica replication.ReplicaID, since time.Time, after time.Duration) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if owner, ok := p.owners[replica]; ok && p.current[owner] != replica {
		return true
	}
	last := p.contacts[replica].at
	listed := p.listedAt[replica]
	if listed.IsZero() || listed.Equal(p.observedAt) || now.Sub(since) < contactTimeout {
		listed = since
	}
	if last.Before(listed) {
		last = listed
	}
	return now.Sub(last) > after
}
