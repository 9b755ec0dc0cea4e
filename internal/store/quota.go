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
	maximumReportBytes = 1 << 20
	shareTimeout       = 2 * time.Second
	silentInterval     = time.Minute // between looks for holders to remove
)

// shareOwner is the quota.Owner of a group. It owns the ceilings of the rows
// that fall to the group, and grants only while this replica leads.
type shareOwner struct {
	// registry orders the registrations and removals of holders in the log.
	registry sync.Mutex

	mutex   sync.Mutex // guards all below
	owner   *quota.Owner
	term    uint64 // that the owner was last told to lead in
	token   uint64
	answers map[uint64]chan quota.Answer
	looked  time.Time // for silent holders
}

func newShareOwner() *shareOwner {
	return &shareOwner{owner: quota.NewOwner(quota.DefaultSettings()), answers: map[uint64]chan quota.Answer{}}
}

// ceilingsOf gives the rows that have a ceiling.
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

// ledTerm is the term in which this replica leads; false when it does not.
func (g *group) ledTerm() (uint64, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.role.Term, g.leading != nil
}

// holders are the routers registered in the applied state.
func (g *group) holders() ([]api.NodeID, error) {
	g.mutex.Lock()
	state := g.jobs
	g.mutex.Unlock()
	return state.Holders()
}

// serveShares answers a router's report with its shares of the ceilings.
func serveShares(w http.ResponseWriter, r *http.Request, group *group) {
	var report quota.Report
	if failure := transport.ReadJSON(w, r, "read report of shares", maximumReportBytes, &report); failure != nil {
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

// grantShares takes a report through the owner: the round with a quorum begins
// after the report has arrived.
func (g *group) grantShares(ctx context.Context, report quota.Report) (quota.Grant, *api.Error) {
	const step = "grant shares"
	term, ok := g.ledTerm()
	if !ok {
		return quota.Grant{}, api.NewError(step, "", api.CodeNotLeader, api.OutcomeNotRun, "this replica does not lead group %d", g.id)
	}
	if failure := g.followTerm(ctx, term); failure != nil {
		return quota.Grant{}, failure
	}
	token, answer := g.shares.expect()
	defer g.shares.forget(token)
	for _, action := range g.shares.step(quota.Reported{Token: token, Report: report}) {
		if failure := g.carryOut(ctx, term, action); failure != nil {
			return quota.Grant{}, failure
		}
	}
	g.removeSilent(ctx)
	select {
	case told := <-answer:
		if !told.Refused {
			return told.Grant, nil
		}
	default:
	}
	return quota.Grant{}, api.NewError(step, "", api.CodeNotLeader, api.OutcomeNotRun, "leadership of group %d has changed", g.id)
}

// carryOut does what the owner asks for and tells it.
func (g *group) carryOut(ctx context.Context, term uint64, action quota.OwnerAction) *api.Error {
	switch action := action.(type) {
	case quota.Register:
		g.shares.registry.Lock()
		defer g.shares.registry.Unlock()
		_, failure := g.propose(ctx, jobs.Command{Holder: &jobs.HolderChange{Router: action.Router}})
		if failure == nil {
			g.shares.step(quota.Registered{Epoch: term, Router: action.Router})
		}
		return failure
	case quota.Confirm:
		if failure := g.confirm(ctx); failure != nil {
			return failure
		}
		// Terms only grow: if it is the same after the round, the round was in it.
		if now, ok := g.ledTerm(); ok && now == term {
			g.shares.step(quota.ConfirmedLeader{Token: action.Token, Epoch: term})
		}
	}
	return nil
}

// followTerm tells the owner of a term in which this replica leads, with the
// holders that earlier leaders registered.
func (g *group) followTerm(ctx context.Context, term uint64) *api.Error {
	if g.shares.follows(term) {
		return nil
	}
	if failure := g.confirm(ctx); failure != nil {
		return failure
	}
	holders, err := g.holders()
	if err != nil {
		return api.NewError("read holders", "", api.CodeInternal, api.OutcomeNotRun, "%w", err)
	}
	g.shares.lead(term, holders)
	return nil
}

// removeSilent unregisters, now and then, holders of which nothing can run.
func (g *group) removeSilent(ctx context.Context) {
	g.shares.registry.Lock()
	defer g.shares.registry.Unlock()
	for _, router := range g.shares.removeSilent() {
		if _, failure := g.propose(ctx, jobs.Command{Holder: &jobs.HolderChange{Router: router, Removed: true}}); failure != nil {
			return
		}
	}
}

// step steps the owner, hands answers to those who wait, and gives the other
// actions.
func (s *shareOwner) step(message quota.OwnerMessage) []quota.OwnerAction {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.stepLocked(message)
}

func (s *shareOwner) stepLocked(message quota.OwnerMessage) []quota.OwnerAction {
	var others []quota.OwnerAction
	for _, action := range s.owner.Step(time.Now(), message) {
		told, ok := action.(quota.Answer)
		if !ok {
			others = append(others, action)
			continue
		}
		if answer, waits := s.answers[told.Token]; waits {
			delete(s.answers, told.Token)
			answer <- told
		}
	}
	return others
}

// expect makes the token of a report and where its answer comes.
func (s *shareOwner) expect() (uint64, chan quota.Answer) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.token++
	answer := make(chan quota.Answer, 1)
	s.answers[s.token] = answer
	return s.token, answer
}

func (s *shareOwner) forget(token uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.answers, token)
}

func (s *shareOwner) follows(term uint64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.term == term
}

// lead begins a term once; a late caller of an older term is ignored.
func (s *shareOwner) lead(term uint64, holders []api.NodeID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if term > s.term {
		s.term = term
		s.stepLocked(quota.Led{Epoch: term, Holders: holders})
	}
}

// removeSilent forgets, at most once an interval, the holders of which nothing
// can run, and gives them for their registration to be taken back. One that
// reports again is registered anew, later in the log.
func (s *shareOwner) removeSilent() []api.NodeID {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	if now.Sub(s.looked) < silentInterval {
		return nil
	}
	s.looked = now
	silent := s.owner.Silent(now)
	for _, router := range silent {
		s.owner.Forget(router)
	}
	return silent
}
