package store

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/internal/kv"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/placement"
	"github.com/dykewing/dykewing/replication"
)

const (
	membersInterval = 250 * time.Millisecond // between looks at the members
	// silentAfter is how long a member is not heard before it is asked whether
	// its disk is still the same.
	silentAfter     = 500 * time.Millisecond
	changeTimeout   = 10 * time.Second // until a change of members is committed
	identityTimeout = time.Second
)

// lookAfterMembers replaces lost replicas of the groups that are led here, until
// ctx ends. It needs no key-value service.
func (s *Store) lookAfterMembers(ctx context.Context) {
	ticker := time.NewTicker(min(membersInterval, s.node.Settings.Membership.Interval))
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		s.shared.peers.observe(s.node.Nodes())
		s.learnRegistered()
		if s.node.Leaving() {
			continue
		}
		if s.decommissions != nil {
			s.decommission(ctx)
		}
		s.askSilent(ctx)
		for _, group := range s.list() {
			s.lookAfter(ctx, group)
		}
	}
}

// learnRegistered takes what registrations tell of machines that no view shows.
func (s *Store) learnRegistered() {
	if s.registrations != nil {
		s.shared.peers.register(s.registrations.Records())
	}
}

// askSilent asks members that were not heard lately, at the address where they
// were last, for their identity: a machine that came back with an empty disk is
// known at once and not only when the view of nodes shows it.
func (s *Store) askSilent(ctx context.Context) {
	asked := map[replication.ReplicaID]bool{}
	for _, group := range s.list() {
		if !group.leads() {
			continue
		}
		for _, member := range group.members().Members.Voters {
			if member != s.shared.database.identity && !asked[member] && s.shared.peers.silent(time.Now(), member, silentAfter) {
				asked[member] = true
				s.askSuccessor(ctx, member)
			}
		}
	}
}

// askSuccessor learns which disk now answers at a silent member's address.
func (s *Store) askSuccessor(ctx context.Context, member replication.ReplicaID) {
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
	if answer.Replica != member && s.shared.peers.succeeded(member, answer, address) {
		s.log.WithFields(logrus.Fields{"event": "disk_lost", "member": member, "successor": answer.Replica, "address": address}).
			Warn("A member's machine came back with another disk.")
	}
}

func (s *Store) lookAfter(ctx context.Context, group *group) {
	if !group.leads() {
		return
	}
	at, since := group.members(), group.leadingSince()
	change, ok := placement.NextChange(placement.GroupView{
		Group: group.id, Self: group.database.identity, Members: at.Members,
		Stores: s.shared.peers.stores(time.Now()), Replicas: s.node.Settings.Store.Voters(), Gathered: s.node.Settings.Store.Gathered(),
		Lost:    func(replica replication.ReplicaID) bool { return s.lost(replica, since) },
		Leaving: s.leaves,
	})
	if !ok || !s.newcomersAnswer(ctx, at.Members, change) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	if failure := group.changeMembers(ctx, change); failure != nil {
		group.log.WithError(failure).Debug("A change of members was not taken yet.")
		return
	}
	group.log.WithField("voters", change.Voters).WithField("learners", change.Learners).Info("The group's members changed.")
	s.unregisterRemoved(ctx, at.Members, change)
	s.publishSoon()
}

// publishSoon lets what is published of the groups be looked at.
func (s *Store) publishSoon() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// unregisterRemoved removes the registrations of members that a change left out.
// What the service refuses stays: a registration without a disk behind it only
// costs a question.
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
			s.log.WithError(err).Debug("A registration could not be removed.")
		}
	}
}

// lost tells whether a replica is given up: not heard for too long, while this
// store led, which all members answer. This store itself never is.
func (s *Store) lost(replica replication.ReplicaID, since time.Time) bool {
	if replica == s.shared.database.identity {
		return false
	}
	return s.shared.peers.lost(time.Now(), replica, since, s.node.Settings.Store.ReplaceAfter)
}

// leaves tells whether a replica's machine is to be emptied. This store itself hands its
// leadership over first.
func (s *Store) leaves(replica replication.ReplicaID) bool {
	return replica != s.shared.database.identity && s.shared.peers.leaves(replica)
}

// newcomersAnswer asks stores that are to join whether they are there and still
// have the disk that the view says. The view may be late.
func (s *Store) newcomersAnswer(ctx context.Context, from, to replication.Members) bool {
	for _, learner := range to.Learners {
		if !slices.Contains(from.Learners, learner) && !s.answers(ctx, learner) {
			return false
		}
	}
	return true
}

// answers asks a store for its identity; one that does not answer with it is no
// candidate for a while.
func (s *Store) answers(ctx context.Context, replica replication.ReplicaID) bool {
	if replica == s.shared.database.identity {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, identityTimeout)
	defer cancel()
	var answer identityAnswer
	address, ok := s.shared.peers.address(time.Now(), replica)
	if ok {
		ok = transport.Get(ctx, s.node.Control, "ask identity", address, pathIdentity, &answer) == nil
	}
	if !ok || answer.Replica != replica {
		s.shared.peers.avoid(replica, time.Now().Add(s.node.Settings.Store.ReplaceAfter))
		return false
	}
	return true
}
