package store

import (
	"context"
	"time"

	"github.com/dykewing/dykewing/placement"
	"github.com/dykewing/dykewing/replication"
)

// changeTimeout bounds the wait for one change of members to be committed.
const changeTimeout = 10 * time.Second

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
		s.shared.peers.observe(time.Now(), s.node.Nodes())
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
	at := group.members()
	change, ok := placement.NextChange(placement.GroupView{
		Group: group.id, Self: group.database.identity, Members: at.Members,
		Stores: s.shared.peers.stores(), Lost: s.lost, Replicas: s.node.Settings.Store.Replicas,
	})
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	if failure := group.changeMembers(ctx, change); failure != nil {
		group.log.WithError(failure).Debug("A change of members was not taken yet.")
		return
	}
	group.log.WithField("voters", change.Voters).WithField("learners", change.Learners).Info("The group's members changed.")
}

// lost tells whether a replica is given up: unseen for too long. This store
// itself never is.
func (s *Store) lost(replica replication.ReplicaID) bool {
	if replica == s.shared.database.identity {
		return false
	}
	return s.shared.peers.lost(time.Now(), replica, s.node.Settings.Store.ReplaceAfter)
}
