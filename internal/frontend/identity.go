package frontend

import (
	"net/http"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/backend"
	"github.com/dykewing/dykewing/internal/storeclient"
	"github.com/dykewing/dykewing/route"
)

// identity is the tenant of a request and its key. The zero value is used if the
// configuration has no tenants.
type identity struct {
	hasTenants bool
	tenant     route.Tenant // empty name: no tenant
	key        route.Key
}

// identify looks up the tenant by the request's key, which is optional on public
// routes. It returns false if the request must be refused.
func (f *Frontend) identify(configuration *route.Configuration, request backend.Request, public bool) (identity, bool) {
	if !configuration.HasTenants() {
		return identity{}, true
	}
	found := identity{hasTenants: true, key: request.Key}
	if request.HasKey {
		tenant, known := configuration.Identify(request.Key)
		found.tenant = tenant
		return found, known || public
	}
	return found, public
}

// unknownKeyError returns the error for a request with a missing or unknown key. If
// this process has lost contact with the key-value service, the key may be new, and the
// error sends the caller to another frontend.
func (f *Frontend) unknownKeyError(request backend.Request) *api.Error {
	if f.catalog.OutOfContact() && request.HasKey {
		return api.NewError("identify tenant", "", api.CodeKeyValueUnavailable, api.OutcomeNotRun, "unknown key; this frontend has lost contact with the key-value service and may lack new keys")
	}
	if request.HasKey {
		return api.NewError("identify tenant", "", api.CodeUnauthorized, api.OutcomeNotRun, "key %s is not valid", request.Key)
	}
	return api.NewError("identify tenant", "", api.CodeUnauthorized, api.OutcomeNotRun, "missing or malformed key")
}

// keyRevoked tells whether the request's key was revoked while the request waited.
// Requests already sent to a worker are not affected.
func (x *exchange) keyRevoked() bool {
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

// identifyJobCall returns the caller of a call about a batch job. The key is optional
// if the host takes public jobs. If it returns false, it has written the response.
func (f *Frontend) identifyJobCall(w http.ResponseWriter, r *http.Request, call backend.JobCall) (storeclient.Caller, bool) {
	configuration := f.catalog.Configuration()
	if configuration == nil {
		f.writeJobError(w, "identify tenant", call, api.NewError("identify tenant", "", api.CodeNoTable, api.OutcomeNotRun, "no configuration loaded yet"))
		return storeclient.Caller{}, false
	}
	request := f.protocol.ReadRequest(r.Header)
	found, ok := f.identify(configuration, request, configuration.HasPublicBatchRoute(hostOf(r)))
	if !ok {
		f.writeJobError(w, "identify tenant", call, f.unknownKeyError(request))
		return storeclient.Caller{}, false
	}
	return storeclient.Caller{Tenant: api.TenantID(found.tenant.Name), Version: configuration.Version}, true
}
