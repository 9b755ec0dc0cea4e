package store

import (
	"context"
	"slices"
	"time"

	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/placement"
	"github.com/dykewing/dykewing/replication"
)

const (
	changeTimeout   = 10 * time.Second // until a change of members is committed
	identityTimeout = time.Second
)

// lookAfterMembers replaces lost replicas of the groups that are led here, until
// ctx ends. It needs no key-value service.
func (s *Store) lookAfterMembers(ctx context.Context) {
	ticker := time.NewTicker(s.node.Settings.Membership.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		s.shared.peers.observe(s.node.Nodes())
		if s.node.Leaving() {
			continue
		}
		for _, group := range s.list() {
			s.lookAfter(ctx, group)
		}
	}
}

func (s *Store) lookAfter(ctx context.Context, group *group) {
	if !group.leads() {
		return
	}
	at, since := group.members(), group.leadingSince()
	change, ok := placement.NextChange(placement.GroupView{
		Group: group.id, Self: group.database.identity, Members: at.Members,
		Stores: s.shared.peers.stores(time.Now()), Replicas: s.node.Settings.Store.Replicas,
		Lost: func(replica replication.ReplicaID) bool { return s.lost(replica, since) },
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
	select {
	case s.changed <- struct{}{}:
	default:
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
