package store

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/kv"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/placement"
	"github.com/dykewing/dykewing/replication"
)

const (
	membersInterval = 250 * time.Millisecond // between membership checks
	// identityProbeDelay is how long a member must be silent before its identity is probed.
	identityProbeDelay = 500 * time.Millisecond
	changeTimeout      = 10 * time.Second // to commit a membership change
	identityTimeout    = time.Second
)

// maintainMembership replaces lost replicas of the groups led here until ctx ends. It works
// without the key-value service.
func (s *Store) maintainMembership(ctx context.Context) {
	ticker := time.NewTicker(min(membersInterval, s.node.Settings.Membership.Interval))
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		s.shared.peers.observe(time.Now(), s.node.Nodes())
		s.observeRegistrations()
		if s.node.Leaving() {
			continue
		}
		if s.decommissions != nil {
			s.decommission(ctx)
		}
		s.probeSilentMembers(ctx)
		for _, group := range s.sortedGroups() {
			s.maintainGroupMembers(ctx, group)
		}
	}
}

// observeRegistrations adds registered stores that are missing from the membership view.
func (s *Store) observeRegistrations() {
	if s.registrations != nil {
		s.shared.peers.register(s.registrations.Records())
	}
}

// probeSilentMembers asks silent members for their identity at their last known address.
// That detects a machine that restarted with an empty disk before the membership view does.
func (s *Store) probeSilentMembers(ctx context.Context) {
	asked := map[replication.ReplicaID]bool{}
	for _, group := range s.sortedGroups() {
		if !group.isLeading() {
			continue
		}
		for _, member := range group.members().Members.Voters {
			if member != s.shared.database.identity && !asked[member] && s.shared.peers.silentFor(time.Now(), member, identityProbeDelay) {
				asked[member] = true
				s.probeIdentity(ctx, member)
			}
		}
	}
}

// probeIdentity records which disk now answers at a silent member's address.
func (s *Store) probeIdentity(ctx context.Context, member replication.ReplicaID) {
	address, ok := s.shared.peers.address(time.Now(), member)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, membersInterval)
	defer cancel()
	var answer identityAnswer
	if err := transport.Get(ctx, s.node.Control, "ask identity", address, pathIdentity, &answer); err != nil {
		return
	}
	if answer.Replica != member && s.shared.peers.recordSuccessor(member, answer, address) {
		s.log.WithFields(logrus.Fields{"event": "disk_lost", "member": member, "successor": answer.Replica, "address": address}).
			Warn("A member's machine has a new disk; the old replica is lost.")
	}
}

func (s *Store) maintainGroupMembers(ctx context.Context, group *group) {
	if !group.isLeading() {
		s.shared.peers.observeLearners(time.Now(), group.id, nil)
		return
	}
	at, since := group.members(), group.leadingSince()
	s.shared.peers.observeLearners(time.Now(), group.id, at.Members.Learners)
	change, ok := placement.NextChange(placement.GroupView{
		Group: group.id, Self: group.database.identity, Members: at.Members,
		Stores: s.shared.peers.stores(time.Now()), Replicas: s.node.Settings.Store.Voters(), Compact: s.node.Settings.Store.ConcentrateVoters(),
		Lost:    func(replica replication.ReplicaID) bool { return s.lost(group.id, replica, since) },
		Leaving: s.isDecommissioning,
		Unheard: func(replica replication.ReplicaID) bool { return s.unheard(replica, since) },
	})
	if !ok || !s.newLearnersReachable(ctx, at.Members, change) || !s.mayRemoveVoter(ctx, group.id, at.Members, change, since) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	if failure := group.changeMembers(ctx, change); failure != nil {
		group.log.WithError(failure).Debug("Membership change not committed; retrying.")
		return
	}
	group.log.WithField("voters", change.Voters).WithField("learners", change.Learners).Info("Group membership changed.")
	s.unregisterRemoved(ctx, at.Members, change)
	s.requestPublish()
}

// requestPublish triggers a bootstrap round, which publishes members and leaders.
func (s *Store) requestPublish() {
	select {
	case s.publishRequests <- struct{}{}:
	default:
	}
}

// unregisterRemoved deletes the registrations of removed voters. Failures are not retried: a
// stale registration only costs a probe.
func (s *Store) unregisterRemoved(ctx context.Context, before, after replication.Members) {
	if s.registrations == nil {
		return
	}
	for _, member := range before.Voters {
		key, revision, registered := s.registrations.Key(member)
		if slices.Contains(after.Voters, member) || !registered {
			continue
		}
		if _, err := s.node.KeyValue.Swap(ctx, kv.Swap{Key: key, Expected: revision, Delete: true}); err != nil {
			s.log.WithError(err).Debug("Deleting the registration of a removed member failed.")
		}
	}
}

// lost reports whether a replica has been silent for the configured replacement delay while
// this store led, or its disk was replaced. This store's own replica is never lost.
func (s *Store) lost(group api.GroupID, replica replication.ReplicaID, since time.Time) bool {
	if replica == s.shared.database.identity {
		return false
	}
	return s.shared.peers.memberLost(time.Now(), group, replica, since, s.node.Settings.Store.ReplaceAfter)
}

// unheard reports whether this store has had no recent contact with a replica, or none since it leads.
// It is false for this store's own.
func (s *Store) unheard(replica replication.ReplicaID, leadingSince time.Time) bool {
	return replica != s.shared.database.identity && !s.shared.peers.inContact(time.Now(), replica, leadingSince)
}

// isDecommissioning reports whether a replica's machine is being decommissioned. It is false
// for this store, which first hands over (handOver).
func (s *Store) isDecommissioning(replica replication.ReplicaID) bool {
	return replica != s.shared.database.identity && s.shared.peers.isDecommissioning(replica)
}

// newLearnersReachable verifies the identity of stores that a change adds, since the
// membership view may be stale.
func (s *Store) newLearnersReachable(ctx context.Context, from, to replication.Members) bool {
	for _, learner := range to.Learners {
		if !slices.Contains(from.Learners, learner) && !s.verifyIdentity(ctx, learner) {
			return false
		}
	}
	return true
}

// mayRemoveVoter reports whether a change removes no voter, or a lost one, or the others answer now: one that
// has just died counts as a copy until it is lost.
func (s *Store) mayRemoveVoter(ctx context.Context, group api.GroupID, from, to replication.Members, since time.Time) bool {
	for _, voter := range from.Voters {
		if !slices.Contains(to.Voters, voter) && !s.lost(group, voter, since) {
			return s.votersAnswer(ctx, to.Voters)
		}
	}
	return true
}

// votersAnswer reports whether all voters but this store answer with their identity now.
func (s *Store) votersAnswer(ctx context.Context, voters []replication.ReplicaID) bool {
	for _, voter := range voters {
		if voter != s.shared.database.identity && !s.answers(ctx, voter, membersInterval) {
			return false
		}
	}
	return true
}

// verifyIdentity reports whether the replica's address answers with its identity. One that
// doesn't is no candidate for the configured replacement delay.
func (s *Store) verifyIdentity(ctx context.Context, replica replication.ReplicaID) bool {
	if replica == s.shared.database.identity || s.answers(ctx, replica, identityTimeout) {
		return true
	}
	s.shared.peers.markUnavailable(replica, time.Now().Add(s.node.Settings.Store.ReplaceAfter))
	return false
}

// answers reports whether the replica's address answers with its identity within a timeout.
func (s *Store) answers(ctx context.Context, replica replication.ReplicaID, timeout time.Duration) bool {
	address, ok := s.shared.peers.address(time.Now(), replica)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var answer identityAnswer
	return transport.Get(ctx, s.node.Control, "ask identity", address, pathIdentity, &answer) == nil && answer.Replica == replica
}
