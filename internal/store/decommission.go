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

// DecommissionState is the progress of a machine's decommission.
type DecommissionState string

const (
	DecommissionActive    DecommissionState = "active"
	DecommissionCompleted DecommissionState = "completed" // no group has a member there
)

// Decommissions tracks operators' requests to decommission machines and the statuses
// written for them. It is a catalog.View over the requests, one key per machine, and safe
// for concurrent use.
type Decommissions struct {
	// Prefix of the request keys, followed by the machine's ID.
	Prefix string
	// StatusPrefix of the status keys, followed by the machine's ID.
	StatusPrefix string
	// Encode returns the value of a status key.
	Encode func(state DecommissionState) ([]byte, error)

	mutex     sync.Mutex // guards all below
	requested map[api.NodeID]bool
	written   map[api.NodeID]DecommissionState
}

// Reset replaces the requests by a complete listing.
func (d *Decommissions) Reset(result kv.RangeResult) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.requested = map[api.NodeID]bool{}
	for _, pair := range result.Pairs {
		d.requested[d.node(pair.Key)] = true
	}
}

// Apply adds new requests and removes withdrawn ones.
func (d *Decommissions) Apply(batch kv.Batch) {
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

// nodes returns the machines to decommission, sorted.
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

func (d *Decommissions) markWritten(id api.NodeID, state DecommissionState) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.written == nil {
		d.written = map[api.NodeID]DecommissionState{}
	}
	d.written[id] = state
}

// decommission advances the requests: replicas on those machines are replaced, leaders
// there hand over, and the leader of group 0 writes the statuses.
func (s *Store) decommission(ctx context.Context) {
	nodes := s.decommissions.nodes()
	s.shared.peers.setDecommissioning(nodes)
	if len(nodes) == 0 {
		return
	}
	if slices.Contains(nodes, s.node.ID()) {
		for _, group := range s.sortedGroups() {
			s.handOver(group)
		}
	}
	first, ok := s.group(0)
	if !ok || !first.isLeading() {
		return
	}
	for _, id := range nodes {
		if s.decommissions.isWritten(id, DecommissionCompleted) {
			continue
		}
		used, err := s.hasMemberOn(ctx, id)
		switch {
		case err != nil:
			s.log.WithField("machine", id).WithError(err).Debug("Reading the groups' members failed; the decommission status stays as it is.")
		case used:
			s.reportDecommission(ctx, id, DecommissionActive)
		case s.votersInContact(ctx):
			s.reportDecommission(ctx, id, DecommissionCompleted)
		}
	}
}

// handOver transfers the leadership of a group to a voter that stays. While there is none, the group keeps
// its leader: a leader that hands over changes no members, so that no other voter would be added.
func (s *Store) handOver(group *group) {
	if !group.isLeading() {
		return
	}
	since := group.leadingSince()
	for _, voter := range group.members().Members.Voters {
		if voter != s.shared.database.identity && !s.shared.peers.isDecommissioning(voter) && !s.unheard(voter, since) {
			group.transferLeadership(voter)
			return
		}
	}
}

// hasMemberOn reports whether a group has a member on the machine, according to the groups led here and
// the published records.
func (s *Store) hasMemberOn(ctx context.Context, id api.NodeID) (bool, error) {
	hasMemberThere := func(members replication.Members) bool {
		return slices.ContainsFunc(slices.Concat(members.Voters, members.Learners), func(replica replication.ReplicaID) bool {
			return s.shared.peers.owner(replica) == id
		})
	}
	for _, group := range s.sortedGroups() {
		if group.isLeading() && hasMemberThere(group.members().Members) {
			return true, nil
		}
	}
	if s.node.Settings.Store.Groups == 1 {
		return false, nil
	}
	records, _, err := s.readGroups(ctx)
	for _, record := range records {
		if hasMemberThere(record.Members) {
			return true, nil
		}
	}
	return false, err
}

// votersInContact reports whether all voters of the groups led here are in contact and answer now. A
// machine that is reported empty may be gone at once, so that they must do without it.
func (s *Store) votersInContact(ctx context.Context) bool {
	for _, group := range s.sortedGroups() {
		if !group.isLeading() {
			continue
		}
		voters, since := group.members().Members.Voters, group.leadingSince()
		if slices.ContainsFunc(voters, func(voter replication.ReplicaID) bool { return s.unheard(voter, since) }) || !s.votersAnswer(ctx, voters) {
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
		s.log.WithError(err).Error("Encoding the decommission status failed.")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if err := s.overwrite(ctx, s.decommissions.StatusPrefix+string(id), value); err != nil {
		s.log.WithField("event", "status_not_written").WithError(err).Warn("Writing the decommission status failed; retrying.")
		return
	}
	s.decommissions.markWritten(id, state)
	s.log.WithField("event", "decommission").WithField("machine", id).WithField("state", state).Info("Decommission status changed.")
}

// overwrite puts a key regardless of its current value.
func (s *Store) overwrite(ctx context.Context, key string, value []byte) error {
	result, err := s.node.KeyValue.Swap(ctx, kv.Swap{Key: key, Value: value})
	if err != nil || result.Succeeded || result.Current == nil {
		return err
	}
	_, err = s.node.KeyValue.Swap(ctx, kv.Swap{Key: key, Value: value, Expected: result.Current.Revision})
	return err
}
