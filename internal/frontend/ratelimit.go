package frontend

import (
	"cmp"
	"slices"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/limiter"
	"github.com/dykewing/dykewing/internal/storeclient"
	"github.com/dykewing/dykewing/placement"
)

// ownerUnreachableRetryAfter is short because other frontends may still reach an owner
// of the limit.
const ownerUnreachableRetryAfter = 10 * time.Millisecond

// limitOwners returns the stores that may own a tenant's limit, in the tenant's placement order.
func (f *Frontend) limitOwners(tenant string) []api.Node {
	return placement.RankStores(tenant, storeclient.OwnerCandidates(f.node.Nodes(), f.registered.Extend))
}

// limitLeader returns the leader of a tenant's group.
func (f *Frontend) limitLeader(tenant string) (api.Node, bool) {
	return f.leaders.Leader(f.node.Nodes(), placement.TenantGroup(api.TenantID(tenant), f.node.Settings.Store.Groups))
}

// peerFrontends returns the other frontends that are believed alive.
func (f *Frontend) peerFrontends() []api.Node {
	return slices.DeleteFunc(slices.Clone(f.node.Nodes()), func(node api.Node) bool {
		return node.Role != api.RoleFrontend || node.ID == f.node.ID() || node.Suspected || node.Leaving
	})
}

// selfNode returns this process as other processes see it.
func (f *Frontend) selfNode() api.Node {
	return api.Node{ID: f.node.ID(), Role: api.RoleFrontend, Location: f.node.Settings.Node.Location()}
}

// admit checks the request against its tenant's rate limit. If it returns false, it has
// written the response.
func (x *exchange) admit() bool {
	tenant := x.identity.tenant
	if !tenant.Limit.Bounded() {
		return true
	}
	verdict, err := x.frontend.limiter.Admit(x.r.Context(), tenant, x.version)
	if err != nil {
		x.abortCallerGone("await limit", err)
	}
	if !verdict.Admitted {
		x.refuse(x.rateLimitError(verdict))
		return false
	}
	x.tokenAt = verdict.TokenAt
	return true
}

// rateLimitError returns the error for a request that is over its tenant's limit, or
// for which no owner of the limit could be reached.
func (x *exchange) rateLimitError(verdict limiter.Result) *api.Error {
	limit := x.identity.tenant.Limit
	if verdict.RetryAfter <= 0 {
		failure := api.NewError("ask for tokens", "", api.CodeKeyValueUnavailable, api.OutcomeNotRun, "no owner of the rate limit (%g/s, burst %g) answered", limit.Rate, limit.Burst)
		failure.RetryAfter = cmp.Or(verdict.OwnerIn, ownerUnreachableRetryAfter)
		return failure
	}
	failure := api.NewError("ask for tokens", string(verdict.Owner), api.CodeRateLimit, api.OutcomeNotRun,
		"rate limit exceeded (%g/s, burst %g); %.1f tokens left", limit.Rate, limit.Burst, verdict.Level)
	failure.RetryAfter = verdict.RetryAfter
	return failure
}

// refundToken returns the request's rate limit token if the request has not run.
func (x *exchange) refundToken() {
	if !x.tokenAt.IsZero() && x.runs == 0 {
		x.frontend.limiter.ReturnToken(x.identity.tenant.Name, x.tokenAt)
		x.tokenAt = time.Time{}
	}
}
