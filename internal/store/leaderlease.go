package store

import (
	"context"
	"sync"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/clock"
)

const (
	// leaderLeaseTTL is how long a confirmation of leadership counts. A new leader waits as long
	// before its lease starts.
	leaderLeaseTTL = 300 * time.Millisecond
	// leaderLeaseMargin allows for clocks of different rates.
	leaderLeaseMargin = 10 * time.Millisecond
)

// LeaderLease is a replica's exclusive lease on a group: no replica has a lease of another term
// at any time from Start to Until. Its times are those of package clock.
type LeaderLease struct {
	Term         uint64
	Start, Until time.Time
}

// leaseState is the lease of a group's replica.
type leaseState struct {
	mutex    sync.Mutex // guards all below
	lease    LeaderLease
	renewing bool
}

// LeaderLease returns the lease of this replica on a group. It fails with api.CodeNotLeader if
// the replica does not lead the group, or can't confirm its leadership before ctx ends. Start
// may be in the future. A lease in use is renewed in the background.
func (s *Store) LeaderLease(ctx context.Context, id api.GroupID) (LeaderLease, *api.Error) {
	group, ok := s.group(id)
	if !ok {
		return LeaderLease{}, api.NewError("lease group", "", api.CodeNotLeader, api.OutcomeNotRun, "no replica of group %d here", id)
	}
	return group.leaderLease(ctx)
}

// LeadingTerm returns the term in which this replica leads a group, as far as it knows.
func (s *Store) LeadingTerm(id api.GroupID) (term uint64, leads bool) {
	group, ok := s.group(id)
	if !ok {
		return 0, false
	}
	return group.leadingTerm()
}

func (g *group) leaderLease(ctx context.Context) (LeaderLease, *api.Error) {
	term, leads := g.leadingTerm()
	if !leads {
		g.mutex.Lock()
		defer g.mutex.Unlock()
		return LeaderLease{}, g.notLeader("lease group", api.OutcomeNotRun)
	}
	now := clock.Now()
	g.lease.mutex.Lock()
	lease := g.lease.lease
	valid := lease.Term == term && now.Before(lease.Until)
	renew := valid && !g.lease.renewing && lease.Until.Sub(now) < leaderLeaseTTL/2
	if renew {
		g.lease.renewing = true
	}
	g.lease.mutex.Unlock()
	if renew {
		go g.renewLeaseInBackground()
	}
	if valid {
		return lease, nil
	}
	return g.renewLease(ctx)
}

func (g *group) renewLeaseInBackground() {
	ctx, cancel := context.WithTimeout(g.ctx, leaderLeaseTTL)
	defer cancel()
	if _, failure := g.renewLease(ctx); failure != nil {
		g.log.WithError(failure).Debug("The leader's lease could not be renewed.")
	}
	g.lease.mutex.Lock()
	g.lease.renewing = false
	g.lease.mutex.Unlock()
}

// renewLease renews the lease by a quorum round. A round that begins after this replica was
// elected proves that no earlier leader completes one that began later, so the lease of any
// earlier leader has ended leaderLeaseTTL after its begin.
func (g *group) renewLease(ctx context.Context) (LeaderLease, *api.Error) {
	begin := clock.Now()
	term, _ := g.leadingTerm()
	if failure := g.confirmLeadership(ctx); failure != nil {
		return LeaderLease{}, failure
	}
	if after, leads := g.leadingTerm(); !leads || after != term {
		return LeaderLease{}, api.NewError("lease group", "", api.CodeNotLeader, api.OutcomeNotRun, "leadership of group %d has changed", g.id)
	}
	g.lease.mutex.Lock()
	defer g.lease.mutex.Unlock()
	if g.lease.lease.Term != term {
		g.lease.lease = LeaderLease{Term: term, Start: begin.Add(leaderLeaseTTL + leaderLeaseMargin)}
	}
	if until := begin.Add(leaderLeaseTTL); until.After(g.lease.lease.Until) {
		g.lease.lease.Until = until
	}
	return g.lease.lease, nil
}
