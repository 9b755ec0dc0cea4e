package store

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/kv"
	"github.com/dykewing/dykewing/replication"
)

// DecommissionState is how far the emptying of a machine has come.
type DecommissionState string

// The states.
const (
	DecommissionActive    DecommissionState = "active"
	DecommissionCompleted DecommissionState = "completed" // nothing is there that is needed
)

// Decommissions are the machines that operators want emptied, and how they are
// told. It is a catalog.View over the requests, one key a machine.
type Decommissions struct {
	// Prefix of the requests' keys; the machine's id follows.
	Prefix string
	// StatusPrefix of the keys that are written; the machine's id follows.
	StatusPrefix string
	// Encode gives a status as it is written.
	Encode func(state DecommissionState) ([]byte, error)

	mutex     sync.Mutex // guards all below
	requested map[api.NodeID]bool
	written   map[api.NodeID]DecommissionState
}

// Whole takes all requests.
func (d *Decommissions) Whole(result kv.RangeResult) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.requested = map[api.NodeID]bool{}
	for _, pair := range result.Pairs {
		d.requested[d.node(pair.Key)] = true
	}
}

// Changes takes requests that came or were taken back.
func (d *Decommissions) Changes(batch kv.Batch) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.requested == nil {
		d.requested = map[api.NodeID]bool{}
	}
	for _, event := range batch.Events {
		if event.Deleted {
			delete(d.requested, d.node(event.Pair.Key))
			delete(d.written, d.node(event.Pair.Key))
		} else {
			d.requested[d.node(event.Pair.Key)] = true
		}
	}
}

func (d *Decommissions) node(key string) api.NodeID {
	return api.NodeID(strings.TrimPrefix(key, d.Prefix))
}

// nodes lists the machines to be emptied, sorted.
func (d *Decommissions) nodes() []api.NodeID {
	if d == nil {
		return nil
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	list := make([]api.NodeID, 0, len(d.requested))
	for id := range d.requested {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}

func (d *Decommissions) isWritten(id api.NodeID, state DecommissionState) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.written[id] == state
}

func (d *Decommissions) noteWritten(id api.NodeID, state DecommissionState) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.written == nil {
		d.written = map[api.NodeID]DecommissionState{}
	}
	d.written[id] = state
}

// decommission carries the requests on: members on those machines count as lost,
// a leader there hands over, and the leader of the first group reports.
func (s *Store) decommission(ctx context.Context) {
	nodes := s.decommissions.nodes()
	s.shared.peers.empty(nodes)
	if len(nodes) == 0 {
		return
	}
	if slices.Contains(nodes, s.node.ID()) {
		for _, group := range s.list() {
			group.giveAway()
		}
		return
	}
	first, ok := s.group(0)
	if !ok || !first.leads() {
		return
	}
	for _, id := range nodes {
		if s.decommissions.isWritten(id, DecommissionCompleted) {
			continue
		}
		state := DecommissionActive
		if s.emptied(ctx, id) {
			state = DecommissionCompleted
		}
		s.reportDecommission(ctx, id, state)
	}
}

// emptied tells whether no group has a member on the machine any more, by what
// the groups' leaders have published and what is led here.
func (s *Store) emptied(ctx context.Context, id api.NodeID) bool {
	onMachine := func(members replication.Members) bool {
		return slices.ContainsFunc(slices.Concat(members.Voters, members.Learners), func(replica replication.ReplicaID) bool {
			return s.shared.peers.owner(replica) == id
		})
	}
	for _, group := range s.list() {
		if group.leads() && onMachine(group.members().Members) {
			return false
		}
	}
	if s.node.Settings.Store.Groups == 1 {
		return true
	}
	records, _, err := s.readGroups(ctx)
	if err != nil {
		return false
	}
	for _, record := range records {
		if onMachine(record.Members) {
			return false
		}
	}
	return true
}

func (s *Store) reportDecommission(ctx context.Context, id api.NodeID, state DecommissionState) {
	if s.decommissions.isWritten(id, state) {
		return
	}
	value, err := s.decommissions.Encode(state)
	if err != nil {
		s.log.WithError(err).Error("The status of an emptied machine could not be encoded.")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if err := s.overwrite(ctx, s.decommissions.StatusPrefix+string(id), value); err != nil {
		s.log.WithField("event", "status_not_written").WithError(err).Warn("The status of an emptied machine could not be written yet.")
		return
	}
	s.decommissions.noteWritten(id, state)
	s.log.WithField("event", "decommission").WithField("machine", id).WithField("state", state).Info("A machine is being emptied.")
}

// overwrite puts a key whatever stands there.
func (s *Store) overwrite(ctx context.Context, key string, value []byte) error {
	result, err := s.node.KeyValue.Swap(ctx, kv.Swap{Key: key, Value: value})
	if err != nil || result.Succeeded || result.Standing == nil {
		return err
	}
	_, err = s.node.KeyValue.Swap(ctx, kv.Swap{Key: key, Value: value, Expected: result.Standing.Revision})
	return err
}
