package store

import (
	"sync"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/logform"
	"github.com/dykewing/dykewing/placement"
	"github.com/dykewing/dykewing/replication"
)

// peers knows where replicas are reached and when they were last heard: from
// the batches that they send, and from the view of nodes, which may be late
// about other zones. The key-value service is not needed for it.
type peers struct {
	trust time.Duration // how long an address that a replica gave goes before the view's

	mutex   sync.Mutex // guards all below
	heardOf map[replication.ReplicaID]sighting
	toldOf  map[replication.ReplicaID]string   // addresses that other replicas gave
	nodes   map[replication.ReplicaID]api.Node // of the last view
	owners  map[replication.ReplicaID]api.NodeID
	current map[api.NodeID]replication.ReplicaID // newest identity of a node's disk
	avoided map[replication.ReplicaID]time.Time  // did not answer; until then no candidate
	// answered are disks that answered at the address of a member that they
	// replace; replaced are those members.
	answered map[replication.ReplicaID]api.Node
	replaced map[replication.ReplicaID]bool
	emptying map[api.NodeID]bool // machines to be emptied
	// reads is what each replica's process said that it reads, until one that says
	// less answers in its place.
	reads map[replication.ReplicaID]logform.Level
}

type sighting struct {
	at      time.Time
	address string
}

func newPeers(trust time.Duration) *peers {
	return &peers{
		trust: trust, heardOf: map[replication.ReplicaID]sighting{}, toldOf: map[replication.ReplicaID]string{}, nodes: map[replication.ReplicaID]api.Node{},
		owners: map[replication.ReplicaID]api.NodeID{}, current: map[api.NodeID]replication.ReplicaID{},
		avoided: map[replication.ReplicaID]time.Time{}, answered: map[replication.ReplicaID]api.Node{},
		replaced: map[replication.ReplicaID]bool{}, emptying: map[api.NodeID]bool{},
		reads: map[replication.ReplicaID]logform.Level{},
	}
}

// observe takes a view.
func (p *peers) observe(view []api.Node) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	clear(p.nodes)
	for _, node := range view {
		replica := replication.ReplicaID(node.Summary.Replica)
		if node.Role != api.RoleStore || replica == "" {
			continue
		}
		if successor, ok := p.successorOf(replica, node.ID); ok {
			replica, node = successor, p.answered[successor]
		}
		p.take(replica, node)
	}
	for replica, node := range p.answered {
		if _, seen := p.nodes[replica]; !seen && p.current[node.ID] == replica {
			p.take(replica, node)
		}
	}
}

// successorOf is the disk that answered at a node's address while the view still
// shows the one before it; the mutex is held.
func (p *peers) successorOf(replica replication.ReplicaID, node api.NodeID) (replication.ReplicaID, bool) {
	successor := p.current[node]
	_, answered := p.answered[successor]
	return successor, p.replaced[replica] && answered
}

// silent tells whether a replica was not heard for the given time.
func (p *peers) silent(now time.Time, replica replication.ReplicaID, after time.Duration) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return now.Sub(p.heardOf[replica].at) > after
}

// succeeded notes the disk that now answers at a member's address, before the
// view of nodes shows it; false when that was known.
func (p *peers) succeeded(member replication.ReplicaID, answer identityAnswer, address string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.answered[answer.Replica].ID != "" && p.owners[member] == answer.Node && p.current[answer.Node] == answer.Replica {
		return false
	}
	p.answered[answer.Replica] = api.Node{
		ID: answer.Node, Role: api.RoleStore, Address: address, Location: answer.Location,
		Summary: api.Summary{Replica: string(answer.Replica)},
	}
	p.owners[member] = answer.Node
	p.replaced[member] = true
	p.take(answer.Replica, p.answered[answer.Replica])
	return true
}

// register takes registrations, the oldest first: a later one of the same machine
// replaces an earlier one. A disk that the view shows and that is not registered
// yet is newer than all of them.
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
		p.answered[record.Replica] = api.Node{
			ID: id, Role: api.RoleStore, Address: record.Address, Location: record.Location,
			Summary: api.Summary{Replica: string(record.Replica)},
		}
		p.take(record.Replica, p.answered[record.Replica])
	}
}

func (p *peers) take(replica replication.ReplicaID, node api.Node) {
	p.nodes[replica] = node
	p.owners[replica] = node.ID
	p.current[node.ID] = replica
}

// heard notes a sign of life and the address that a replica gives of itself.
func (p *peers) heard(now time.Time, replica replication.ReplicaID, address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.heardOf[replica] = sighting{at: now, address: address}
}

// saysReads notes what a replica's process reads; an older one says nothing, which is
// Plain.
func (p *peers) saysReads(replica replication.ReplicaID, level logform.Level) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.reads[replica] = level
}

// level is what a replica's process is known to read; Plain before it was heard.
func (p *peers) level(replica replication.ReplicaID) logform.Level {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.reads[replica]
}

// unread lists those of the replicas, but this one's, whose processes are not known to read
// a level.
func (p *peers) unread(self replication.ReplicaID, level logform.Level, replicas []replication.ReplicaID) []replication.ReplicaID {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var unread []replication.ReplicaID
	for _, replica := range replicas {
		if replica != self && p.reads[replica] < level {
			unread = append(unread, replica)
		}
	}
	return unread
}

// heardAddresses lists the replicas that were heard lately, but one.
func (p *peers) heardAddresses(now time.Time, but replication.ReplicaID) map[replication.ReplicaID]string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	addresses := map[replication.ReplicaID]string{}
	for replica, heard := range p.heardOf {
		if replica != but && now.Sub(heard.at) < p.trust {
			addresses[replica] = heard.address
		}
	}
	return addresses
}

// told takes addresses that another replica knows.
func (p *peers) told(addresses map[replication.ReplicaID]string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for replica, address := range addresses {
		p.toldOf[replica] = address
	}
}

// avoid takes a store that did not answer out of the candidates for a while.
func (p *peers) avoid(replica replication.ReplicaID, until time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.avoided[replica] = until
}

func (p *peers) address(now time.Time, replica replication.ReplicaID) (string, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	heard, known := p.heardOf[replica]
	node, seen := p.nodes[replica]
	if known && (!seen || now.Sub(heard.at) < p.trust) {
		return heard.address, true
	}
	if address, told := p.toldOf[replica]; told && !seen {
		return address, true
	}
	return node.Address, seen
}

// node gives the id of the node that holds the replica; empty when not known.
func (p *peers) node(replica replication.ReplicaID) api.NodeID {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.nodes[replica].ID
}

// anyFull tells whether the disk of one of the replicas is full.
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

// stores lists the known stores as candidates for replicas.
func (p *peers) stores(now time.Time) []placement.Store {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	stores := make([]placement.Store, 0, len(p.nodes))
	for replica, node := range p.nodes {
		stores = append(stores, placement.Store{
			Replica: replica, Location: node.Location, Groups: len(node.Summary.Groups),
			Leaving: p.emptying[node.ID] || node.Leaving || node.Summary.DiskFull || now.Before(p.avoided[replica]),
		})
	}
	return stores
}

// empty sets the machines that are to be emptied.
func (p *peers) empty(nodes []api.NodeID) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	clear(p.emptying)
	for _, id := range nodes {
		p.emptying[id] = true
	}
}

// owner is the machine that a replica is on; empty when not known.
func (p *peers) owner(replica replication.ReplicaID) api.NodeID {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.owners[replica]
}

// leaves tells whether a replica's machine is to be emptied.
func (p *peers) leaves(replica replication.ReplicaID) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	owner, ok := p.owners[replica]
	return ok && p.emptying[owner]
}

// lost tells whether a replica was not heard for the given time, counted from
// since at the earliest, or its machine came back with another disk.
func (p *peers) lost(now time.Time, replica replication.ReplicaID, since time.Time, after time.Duration) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if owner, ok := p.owners[replica]; ok && p.current[owner] != replica {
		return true
	}
	last := p.heardOf[replica].at
	if last.Before(since) {
		last = since
	}
	return now.Sub(last) > after
}
