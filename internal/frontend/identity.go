package frontend

import (
	"net/http"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/backend"
	"github.com/dykewing/dykewing/route"
)

// identity is whose a request is. The zero value is nobody's: the configuration has
// no tenants, or the route is public.
type identity struct {
	tenants bool         // the configuration has tenants
	tenant  route.Tenant // without a name: of nobody
	key     route.Key
}

// identify finds the tenant of a request by its key, which public routes do not need.
// False when the request is to be refused.
func (f *Frontend) identify(configuration *route.Configuration, request backend.Request, public bool) (identity, bool) {
	if !configuration.HasTenants() {
		return identity{}, true
	}
	found := identity{tenants: true, key: request.Key}
	if request.HasKey {
		tenant, known := configuration.Identify(request.Key)
		found.tenant = tenant
		return found, known || public
	}
	return found, public
}

// unknownKey is the refusal of a request without a key that is in force. A process
// that has been out of contact may lack a new key: it sends the caller to another one.
func (f *Frontend) unknownKey(request backend.Request) *api.Error {
	if f.catalog.OutOfContact() && request.HasKey {
		return api.NewError("identify tenant", "", api.CodeNoContact, api.OutcomeNotRun, "the key is not known here, and newer ones can't be learned now")
	}
	if request.HasKey {
		return api.NewError("identify tenant", "", api.CodeUnauthorized, api.OutcomeNotRun, "key %s is not in force", request.Key)
	}
	return api.NewError("identify tenant", "", api.CodeUnauthorized, api.OutcomeNotRun, "no key was given, or not one of the right form")
}

// keyGone tells whether the request's key was taken away while it waited. What has
// been sent to a worker before goes on.
func (x *exchange) keyGone() bool {
	if x.identity.tenant.Name == "" || x.route.Public {
		return false
	}
	configuration := x.frontend.catalog.Configuration()
	if configuration == nil || configuration.Version == x.version {
		return false
	}
	_, known := configuration.Identify(x.identity.key)
	return !known && configuration.HasTenants()
}

// identifyJobCall finds the tenant of a call about a batch job; public when the
// call's host takes jobs without a key. False when the call has been answered.
func (f *Frontend) identifyJobCall(w http.ResponseWriter, r *http.Request, call backend.JobCall) (api.TenantID, bool) {
	configuration := f.catalog.Configuration()
	if configuration == nil {
		f.jobFailed(w, "identify tenant", call, api.NewError("identify tenant", "", api.CodeNoTable, api.OutcomeNotRun, "no configuration is known yet"))
		return "", false
	}
	request := f.protocol.ReadRequest(r.Header)
	found, ok := f.identify(configuration, request, configuration.TakesPublicJobs(hostOf(r)))
	if !ok {
		f.jobFailed(w, "identify tenant", call, f.unknownKey(request))
		return "", false
	}
	return api.TenantID(found.tenant.Name), true
}
