package store

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/jobs"
	"github.com/dykewing/dykewing/quota"
	"github.com/dykewing/dykewing/table"
)

const (
	maxReportBytes        = 1 << 20
	shareTimeout          = 2 * time.Second
	holderCleanupInterval = time.Minute
)

// shareOwner is the quota.Owner of a group. It owns the ceilings of the group's rows and
// grants shares only while this replica leads. It is safe for concurrent use.
type shareOwner struct {
	// registry serializes registrations and removals of holders, so that they are logged in
	// order.
	registry sync.Mutex

	mutex       sync.Mutex // guards all below
	owner       *quota.Owner
	term        uint64 // last term in which the owner led
	token       uint64
	answers     map[uint64]chan quota.SendGrant
	lastCleanup time.Time // of expired holders
}

func newShareOwner() *shareOwner {
	return &shareOwner{owner: quota.NewOwner(quota.DefaultSettings()), answers: map[uint64]chan quota.SendGrant{}}
}

// ceilingsOf returns the ceilings of the rows that have one.
func ceilingsOf(snapshot *table.Snapshot) map[api.RowKey]quota.Ceiling {
	ceilings := map[api.RowKey]quota.Ceiling{}
	for _, service := range snapshot.Services() {
		for _, row := range snapshot.Service(service) {
			if ceiling := quota.CeilingOf(row); ceiling.Bounded() {
				ceilings[row.Key()] = ceiling
			}
		}
	}
	return ceilings
}

// leaderTerm returns the current term, and whether this replica leads in it.
func (g *group) leaderTerm() (uint64, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.role.Term, g.leading != nil
}

// serveShares answers a router's report with its shares of the ceilings.
func serveShares(w http.ResponseWriter, r *http.Request, group *group) {
	var report quota.Report
	if failure := transport.ReadJSON(w, r, "read report of shares", maxReportBytes, &report); failure != nil {
		transport.WriteError(w, failure)
		return
	}
	if err := report.Validate(); err != nil {
		transport.WriteError(w, api.NewError("read report of shares", "", api.CodeBadRequest, api.OutcomeNotRun, "%w", err))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), shareTimeout)
	defer cancel()
	grant, failure := group.grantShares(ctx, report)
	if failure != nil {
		transport.WriteError(w, failure)
		return
	}
	transport.WriteJSON(w, http.StatusOK, grant)
}

// grantShares handles a report. Leadership is confirmed by a quorum round that begins after
// the report has arrived.
func (g *group) grantShares(ctx context.Context, report quota.Report) (quota.Grant, *api.Error) {
	const step = "grant shares"
	term, ok := g.leaderTerm()
	if !ok {
		return quota.Grant{}, api.NewError(step, "", api.CodeNotLeader, api.OutcomeNotRun, "this replica does not lead group %d", g.id)
	}
	if failure := g.ensureOwnerTerm(ctx, term); failure != nil {
		return quota.Grant{}, failure
	}
	token, answer := g.shareOwner.addWaiter()
	defer g.shareOwner.removeWaiter(token)
	for _, action := range g.shareOwner.step(quota.ReportReceived{Token: token, Report: report}) {
		if failure := g.executeOwnerAction(ctx, term, action); failure != nil {
			return quota.Grant{}, failure
		}
	}
	g.removeExpiredHolders(ctx)
	select {
	case reply := <-answer:
		if !reply.NotLeader {
			return reply.Grant, nil
		}
	default:
	}
	return quota.Grant{}, api.NewError(step, "", api.CodeNotLeader, api.OutcomeNotRun, "leadership of group %d has changed", g.id)
}

// executeOwnerAction carries out an action of the owner and reports its completion.
func (g *group) executeOwnerAction(ctx context.Context, term uint64, action quota.OwnerAction) *api.Error {
	switch action := action.(type) {
	case quota.RegisterHolder:
		g.shareOwner.registry.Lock()
		defer g.shareOwner.registry.Unlock()
		_, failure := g.propose(ctx, jobs.Command{Holder: &jobs.HolderChange{Router: action.Router}})
		if failure == nil {
			g.shareOwner.step(quota.HolderRegistered{Epoch: term, Router: action.Router})
		}
		return failure
	case quota.ConfirmLeadership:
		if failure := g.confirmLeadership(ctx); failure != nil {
			return failure
		}
		// Terms only grow, so an unchanged term covers the whole round.
		if now, ok := g.leaderTerm(); ok && now == term {
			g.shareOwner.step(quota.LeadershipConfirmed{Token: action.Token, Epoch: term})
		}
	}
	return nil
}

// ensureOwnerTerm makes the owner lead in a term, with the holders that earlier leaders
// registered.
func (g *group) ensureOwnerTerm(ctx context.Context, term uint64) *api.Error {
	if g.shareOwner.inTerm(term) {
		return nil
	}
	if failure := g.confirmLeadership(ctx); failure != nil {
		return failure
	}
	holders, err := g.holders()
	if err != nil {
		return api.NewError("read holders", "", api.CodeInternal, api.OutcomeNotRun, "%w", err)
	}
	g.shareOwner.beginTerm(term, holders)
	return nil
}

// removeExpiredHolders unregisters expired holders, at most once per holderCleanupInterval.
func (g *group) removeExpiredHolders(ctx context.Context) {
	g.shareOwner.registry.Lock()
	defer g.shareOwner.registry.Unlock()
	for _, router := range g.shareOwner.takeExpiredHolders() {
		if _, failure := g.propose(ctx, jobs.Command{Holder: &jobs.HolderChange{Router: router, Removed: true}}); failure != nil {
			return
		}
	}
}

// step steps the owner, delivers answers to their waiters and returns the other actions.
func (s *shareOwner) step(message quota.OwnerMessage) []quota.OwnerAction {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.stepLocked(message)
}

func (s *shareOwner) stepLocked(message quota.OwnerMessage) []quota.OwnerAction {
	var others []quota.OwnerAction
	for _, action := range s.owner.Step(time.Now(), message) {
		reply, ok := action.(quota.SendGrant)
		if !ok {
			others = append(others, action)
			continue
		}
		if answer, waiting := s.answers[reply.Token]; waiting {
			delete(s.answers, reply.Token)
			answer <- reply
		}
	}
	return others
}

// addWaiter allocates the token of a report and the channel of its answer.
func (s *shareOwner) addWaiter() (uint64, chan quota.SendGrant) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.token++
	answer := make(chan quota.SendGrant, 1)
	s.answers[s.token] = answer
	return s.token, answer
}

func (s *shareOwner) removeWaiter(token uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.answers, token)
}

func (s *shareOwner) inTerm(term uint64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.term == term
}

// beginTerm starts a term; calls with an older or the same term are ignored.
func (s *shareOwner) beginTerm(term uint64, holders []api.NodeID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if term > s.term {
		s.term = term
		s.stepLocked(quota.BecameLeader{Epoch: term, Holders: holders})
	}
}

// takeExpiredHolders removes and returns the holders whose shares have expired, at most once
// per holderCleanupInterval. A holder that reports again is registered anew, later in the log.
func (s *shareOwner) takeExpiredHolders() []api.NodeID {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	if now.Sub(s.lastCleanup) < holderCleanupInterval {
		return nil
	}
	s.lastCleanup = now
	silent := s.owner.ExpiredHolders(now)
	for _, router := range silent {
		s.owner.RemoveHolder(router)
	}
	return silent
}
