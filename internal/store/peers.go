package store

import (
	"sync"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/placement"
	"github.com/dykewing/dykewing/replication"
)

// peers knows where replicas are reached: from the view of live nodes and from
// the batches that they send. The key-value service is not needed for it.
type peers struct {
	mutex     sync.Mutex // guards all below
	addresses map[replication.ReplicaID]string
	nodes     map[replication.ReplicaID]api.Node // live ones, of the last view
	full      map[replication.ReplicaID]bool     // disks that take nothing new
	lastSeen  map[replication.ReplicaID]time.Time
	since     time.Time // when this process began to watch
}

func newPeers() *peers {
	return &peers{
		addresses: map[replication.ReplicaID]string{}, nodes: map[replication.ReplicaID]api.Node{},
		full: map[replication.ReplicaID]bool{}, lastSeen: map[replication.ReplicaID]time.Time{}, since: time.Now(),
	}
}

// observe takes a view.
func (p *peers) observe(now time.Time, view []api.Node) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	clear(p.nodes)
	clear(p.full)
	for _, node := range view {
		replica := replication.ReplicaID(node.Summary.Replica)
		if node.Role != api.RoleStore || replica == "" {
			continue
		}
		p.nodes[replica] = node
		p.addresses[replica] = node.Address
		p.full[replica] = node.Summary.DiskFull
		p.lastSeen[replica] = now
	}
}

// heard notes the address that a replica gives of itself.
func (p *peers) heard(replica replication.ReplicaID, address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.addresses[replica] = address
}

func (p *peers) address(replica replication.ReplicaID) (string, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	address, ok := p.addresses[replica]
	return address, ok
}

// node gives the id of the live node that holds the replica; empty when not known.
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
		if p.full[replica] {
			return true
		}
	}
	return false
}

// stores lists the live stores as candidates for replicas.
func (p *peers) stores() []placement.Store {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	stores := make([]placement.Store, 0, len(p.nodes))
	for replica, node := range p.nodes {
		stores = append(stores, placement.Store{
			Replica: replica, Location: node.Location, Leaving: node.Leaving || node.Summary.DiskFull,
			Groups: len(node.Summary.Groups),
		})
	}
	return stores
}

// lost tells whether a replica has not been seen for the given time.
func (p *peers) lost(now time.Time, replica replication.ReplicaID, after time.Duration) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	seen, ok := p.lastSeen[replica]
	if !ok {
		seen = p.since
	}
	return now.Sub(seen) > after
}
