package frontend

import (
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/limiter"
)

// limitRetryAfter is the advice where no owner of a limit could be asked: other
// processes can, so that the caller is best off there at once.
const limitRetryAfter = 10 * time.Millisecond

// holders is about how many frontends admit requests: those of this zone for each zone.
func (f *Frontend) holders() int {
	inZone, zones := 0, map[api.Location]bool{}
	for _, node := range f.node.Nodes() {
		zones[node.Location] = true
		if node.Role == api.RoleFrontend && node.Location == f.node.Settings.Node.Location() {
			inZone++
		}
	}
	return max(inZone, 1) * max(len(zones), 1)
}

// self is this process as peers see it.
func (f *Frontend) self() api.Node {
	return api.Node{ID: f.node.ID(), Role: api.RoleFrontend, Location: f.node.Settings.Node.Location()}
}

// admitted tells whether the request is within its tenant's limit; else it has been
// answered.
func (x *exchange) admitted() bool {
	tenant := x.identity.tenant
	if !tenant.Limit.Bounded() {
		return true
	}
	verdict, err := x.frontend.limiter.Admit(x.r.Context(), tenant, x.version)
	if err != nil {
		x.gone("await limit", err)
	}
	if !verdict.Admitted {
		x.refuse(x.overLimit(verdict))
	}
	return verdict.Admitted
}

// overLimit is the refusal of a request that is over its tenant's limit, or that may be
// for all that could be learned.
func (x *exchange) overLimit(verdict limiter.Verdict) *api.Error {
	limit := x.identity.tenant.Limit
	if verdict.RetryAfter <= 0 {
		failure := api.NewError("ask for tokens", "", api.CodeNoContact, api.OutcomeNotRun, "no owner of the limit of %g a second and %g answers", limit.Rate, limit.Burst)
		failure.RetryAfter = limitRetryAfter
		return failure
	}
	failure := api.NewError("ask for tokens", string(verdict.Owner), api.CodeRateLimit, api.OutcomeNotRun,
		"over the limit of %g a second and %g; %.1f tokens are left", limit.Rate, limit.Burst, verdict.Level)
	failure.RetryAfter = verdict.RetryAfter
	return failure
}

// returnToken gives back what was taken of the limit for a request that has not run.
func (x *exchange) returnToken() {
	if x.identity.tenant.Limit.Bounded() && x.runs == 0 {
		x.frontend.limiter.Returned(x.identity.tenant.Name)
	}
}
