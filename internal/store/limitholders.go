package store

import (
	"context"
	"slices"
	"strings"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/jobs"
)

// limitHolderPrefix distinguishes holders of rate limits from routers that hold shares of
// ceilings, in the group's list of holders.
const limitHolderPrefix = "limits/"

// LimitHolders returns the processes registered by RegisterLimitHolder and not removed since,
// sorted. It must be called under this replica's LeaderLease on the group, which guarantees
// that all registrations of earlier leaders are included.
func (s *Store) LimitHolders(id api.GroupID) ([]string, *api.Error) {
	const step = "read holders"
	group, ok := s.group(id)
	if !ok {
		return nil, api.NewError(step, "", api.CodeNotLeader, api.OutcomeNotRun, "no replica of group %d here", id)
	}
	registered, err := group.registeredHolders()
	if err != nil {
		return nil, api.NewError(step, "", api.CodeInternal, api.OutcomeNotRun, "%w", err)
	}
	var holders []string
	for _, each := range registered {
		if name, ok := strings.CutPrefix(string(each), limitHolderPrefix); ok {
			holders = append(holders, name)
		}
	}
	return holders, nil
}

// RegisterLimitHolder registers a process that may hold leases of the group's rate limits, or
// removes it. It returns once the change is committed.
func (s *Store) RegisterLimitHolder(ctx context.Context, id api.GroupID, holder string, removed bool) *api.Error {
	group, ok := s.group(id)
	if !ok {
		return api.NewError("register holder", "", api.CodeNotLeader, api.OutcomeNotRun, "no replica of group %d here", id)
	}
	_, failure := group.propose(ctx, jobs.Command{Holder: &jobs.HolderChange{Router: api.NodeID(limitHolderPrefix + holder), Removed: removed}})
	return failure
}

// registeredHolders returns all holders registered in the applied state.
func (g *group) registeredHolders() ([]api.NodeID, error) {
	g.mutex.Lock()
	state := g.jobs
	g.mutex.Unlock()
	return state.Holders()
}

// isLimitHolder reports whether a registered holder is one of rate limits.
func isLimitHolder(holder api.NodeID) bool {
	return strings.HasPrefix(string(holder), limitHolderPrefix)
}

// holders returns the routers registered in the applied state.
func (g *group) holders() ([]api.NodeID, error) {
	registered, err := g.registeredHolders()
	return slices.DeleteFunc(registered, isLimitHolder), err
}
