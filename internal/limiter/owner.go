package limiter

import (
	"net/http"
	"sync"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/clock"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/placement"
	"github.com/dykewing/dykewing/ratelimit"
)

// PathTokens takes a ratelimit.Ask by POST and answers with a ratelimit.Grant.
const PathTokens = "/internal/v1/limits/tokens"

// maxRequestBytes limits the body of a token request.
const maxRequestBytes = 16 << 10

// Owner owns the limits of the tenants that are placed at one store. It is safe for concurrent
// use.
type Owner struct {
	self  api.NodeID
	nodes func() []api.Node // current view of the members

	mutex sync.Mutex // guards owner
	owner *ratelimit.Owner
}

// NewOwner returns the Owner of the store self. It determines from nodes whether it is the
// primary owner of a tenant.
func NewOwner(tolerance ratelimit.Tolerance, self api.NodeID, nodes func() []api.Node) *Owner {
	return &Owner{self: self, nodes: nodes, owner: ratelimit.NewOwner(tolerance)}
}

// ServeHTTP handles token requests.
func (o *Owner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var request ratelimit.TokenRequest
	if failure := transport.ReadJSON(w, r, "read question for tokens", maxRequestBytes, &request); failure != nil {
		transport.WriteError(w, failure)
		return
	}
	if failure := check(request); failure != nil {
		transport.WriteError(w, failure)
		return
	}
	backup := o.isBackup(request.Tenant)
	o.mutex.Lock()
	grant := o.owner.HandleRequest(clock.Now(), request, backup)
	o.mutex.Unlock()
	transport.WriteJSON(w, http.StatusOK, grant)
}

// check validates a token request.
func check(request ratelimit.TokenRequest) *api.Error {
	if request.Tenant == "" || request.Tokens < 0 || request.SpentElsewhere < 0 || !request.Limit.Bounded() || request.Limit.Burst < 0 {
		return api.NewError("read question for tokens", "", api.CodeBadRequest, api.OutcomeNotRun,
			"tenant %q, %d tokens, %d elsewhere, limit %g and %g", request.Tenant, request.Tokens, request.SpentElsewhere, request.Limit.Rate, request.Limit.Burst)
	}
	return nil
}

// isBackup reports whether a live owner of the tenant precedes this one in placement order.
func (o *Owner) isBackup(tenant string) bool {
	for _, node := range placement.RankStores(tenant, o.nodes()) {
		if node.ID == o.self {
			return false
		}
		if !node.Suspected && !node.Leaving {
			return true
		}
	}
	return false
}
