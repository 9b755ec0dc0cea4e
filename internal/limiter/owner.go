package limiter

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/singleflight"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/clock"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/placement"
	"github.com/dykewing/dykewing/ratelimit"
)

// PathTokens takes a ratelimit.TokenRequest by POST and answers with a ratelimit.Grant, or with
// api.CodeNotLeader if the store does not own the tenant's limit.
const PathTokens = "/internal/v1/limits/tokens"

const (
	// maxRequestBytes limits the body of a token request, which may list the holder's leases.
	maxRequestBytes = 256 << 10
	// leaseTimeout is how long a request waits for the lease that it is answered under.
	leaseTimeout = 50 * time.Millisecond
)

// Lease is an exclusive lease on the limits of a group's tenants: from Start to Until no other
// store has one of another term. Terms grow. Its times are those of package clock.
type Lease struct {
	Term         uint64
	Start, Until time.Time
}

// includes reports whether the lease is in force.
func (l Lease) includes(now time.Time) bool { return !now.Before(l.Start) && now.Before(l.Until) }

// OwnerSettings are the parameters of NewOwner.
type OwnerSettings struct {
	Self      api.NodeID
	Tolerance ratelimit.Tolerance
	Groups    int // tenants are assigned to groups by placement.TenantGroup
	// Lease returns this store's lease on a group, or api.CodeNotLeader.
	Lease func(ctx context.Context, group api.GroupID) (Lease, *api.Error)
	// Holders returns the processes that have been registered with Register in a group and not
	// removed since. Both are called only by a store that has the group's lease.
	Holders  func(group api.GroupID) ([]string, *api.Error)
	Register func(ctx context.Context, group api.GroupID, holder string, removed bool) *api.Error
	// Leads returns the term in which this store leads a group, as far as it knows.
	Leads func(group api.GroupID) (term uint64, ok bool)
	// Leader returns the leader of a group as far as is known.
	Leader func(group api.GroupID) (api.Node, bool)
	// Nodes returns the membership view, and Stores all stores that may grant: also those that
	// are only registered with the platform's store.
	Nodes  func() []api.Node
	Stores func() []api.Node
	Client *http.Client // to other stores
	Log    *logrus.Entry
}

// Owner owns the limits of the tenants of those groups on which this store has a lease. While
// not all stores know leases, it grants by order, as far as the groups' leaders permit it. It is
// safe for concurrent use.
type Owner struct {
	settings  OwnerSettings
	renewals  singleflight.Group // of permits, by group
	startedAt time.Time

	mutex   sync.Mutex // guards all below
	terms   map[api.GroupID]*ownerTerm
	order   *ratelimit.OrderOwner
	permits map[api.GroupID]ratelimit.OrderPermit
	support *ratelimit.Support
	// checkedAt is when the stores were last checked for builds without leases.
	checkedAt time.Time
}

// ownerTerm is the state of a group's limits in one term.
type ownerTerm struct {
	term       uint64
	activation *ratelimit.Activation
	owner      *ratelimit.Owner // grants only while leases are active
	marked     bool             // leasesMarker is registered
	// changing are the holders whose registrations are being committed.
	changing map[string]bool
	sweptAt  time.Time // of expired holders
}

// NewOwner returns the Owner of a store.
func NewOwner(settings OwnerSettings) *Owner {
	return &Owner{
		settings: settings, terms: map[api.GroupID]*ownerTerm{}, order: ratelimit.NewOrderOwner(settings.Tolerance),
		permits: map[api.GroupID]ratelimit.OrderPermit{}, support: ratelimit.NewSupport(), startedAt: clock.Now(),
	}
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
	ctx, cancel := context.WithTimeout(r.Context(), leaseTimeout)
	defer cancel()
	group := placement.TenantGroup(api.TenantID(request.Tenant), o.settings.Groups)
	grant, failure := o.answer(ctx, group, request)
	if failure != nil {
		transport.WriteError(w, failure)
		return
	}
	transport.WriteJSON(w, http.StatusOK, grant)
}

// answer answers a request under this store's lease on the group, or else as a follower.
func (o *Owner) answer(ctx context.Context, group api.GroupID, request ratelimit.TokenRequest) (ratelimit.Grant, *api.Error) {
	lease, failure := o.settings.Lease(ctx, group)
	if now := clock.Now(); failure == nil && !lease.includes(now) {
		failure = api.NewError("grant tokens", "", api.CodeNotLeader, api.OutcomeNotRun,
			"the lease on group %d starts in %v and ends in %v", group, lease.Start.Sub(now), lease.Until.Sub(now))
	}
	switch {
	case failure == nil && request.Probe:
		return o.grantAsLeader(group, lease, request)
	case failure == nil:
		if primary, ok := o.primaryByOrder(request.Tenant); ok {
			return o.grantBeside(ctx, group, lease, primary, request)
		}
		return o.grantAsLeader(group, lease, request)
	case request.Probe:
		return ratelimit.Grant{}, failure
	default:
		return o.grantAsFollower(ctx, group, request, failure)
	}
}

// grantAsLeader answers a request under a lease. The lease is checked again, since time may have
// passed.
func (o *Owner) grantAsLeader(group api.GroupID, lease Lease, request ratelimit.TokenRequest) (ratelimit.Grant, *api.Error) {
	const step = "grant tokens"
	o.mutex.Lock()
	defer o.mutex.Unlock()
	now := clock.Now()
	if !lease.includes(now) {
		return ratelimit.Grant{}, api.NewError(step, "", api.CodeNotLeader, api.OutcomeNotRun, "the lease on group %d has ended", group)
	}
	state, failure := o.termState(group, lease)
	if failure != nil {
		return ratelimit.Grant{}, failure
	}
	orderFor := state.activation.Permit(now)
	switch {
	case request.Probe:
		return state.activation.AnswerProbe(now, lease.Term, request), nil
	case orderFor > 0:
		if o.order.ClaimDue(now, request.Tenant) {
			o.claimAsLeader(now, group, lease, state)
		}
		return o.grantByOrder(now, request), nil
	case !state.activation.Active():
		return ratelimit.Grant{}, api.NewError(step, "", api.CodeNotLeader, api.OutcomeNotRun, "leases on group %d are about to start", group)
	}
	return o.grantUnderLease(now, group, lease, state, request), nil
}

// claimAsLeader claims tenants of a group that this store leads; the mutex must be held.
func (o *Owner) claimAsLeader(now time.Time, group api.GroupID, lease Lease, state *ownerTerm) {
	claims := o.order.RequestClaims(now, o.belongsTo(group))
	probe := ratelimit.TokenRequest{Probe: true, Store: string(o.settings.Self), Claims: claims}
	o.order.ApplyClaims(now, claims, state.activation.AnswerProbe(now, lease.Term, probe))
}

// grantUnderLease grants tokens as the tenant's owner; the mutex must be held.
func (o *Owner) grantUnderLease(now time.Time, group api.GroupID, lease Lease, state *ownerTerm, request ratelimit.TokenRequest) ratelimit.Grant {
	o.updateHolders(now, group, state, request)
	opened := !state.owner.HasBucket(request.Tenant)
	grant := state.owner.HandleRequest(now, request)
	if opened {
		o.logOpened(request, grant, logrus.Fields{"term": lease.Term, "term_ms": now.Sub(lease.Start).Milliseconds()})
	}
	return grant
}

// termState returns the state of the lease's term; the mutex must be held.
func (o *Owner) termState(group api.GroupID, lease Lease) (*ownerTerm, *api.Error) {
	state := o.terms[group]
	switch {
	case state != nil && state.term == lease.Term:
		return state, nil
	case state != nil && state.term > lease.Term:
		return nil, api.NewError("grant tokens", "", api.CodeNotLeader, api.OutcomeNotRun, "the lease on group %d of term %d is over", group, lease.Term)
	}
	holders, failure := o.settings.Holders(group)
	if failure != nil {
		return nil, failure
	}
	byOrder, marked := slices.Contains(holders, byOrderMarker), slices.Contains(holders, leasesMarker)
	holders = slices.DeleteFunc(holders, func(holder string) bool { return holder == leasesMarker || holder == byOrderMarker })
	state = &ownerTerm{
		term: lease.Term, activation: ratelimit.NewActivation(lease.Start, marked || len(holders) > 0, byOrder),
		owner: ratelimit.NewOwner(o.settings.Tolerance, lease.Term, lease.Start, holders), marked: marked, changing: map[string]bool{},
	}
	if byOrder {
		state.owner.StopLeasing()
	}
	if now := clock.Now(); o.isChecked(now) {
		state.owner.Confirm(lease.Start, o.checkedAt.Add(evidenceTTL))
	}
	o.terms[group] = state
	return state, nil
}

// logOpened logs that this store began to grant the tokens of a tenant. Several stores that grant
// at the same time mean that the tenant has several owners.
func (o *Owner) logOpened(request ratelimit.TokenRequest, grant ratelimit.Grant, fields logrus.Fields) {
	o.settings.Log.WithFields(logrus.Fields{
		"event": "limit_bucket_opened", "tenant": request.Tenant, "rate": request.Limit.Rate, "burst": request.Limit.Burst, "version": request.Version,
		"holder": request.Holder, "granted": grant.Tokens, "left": grant.Level,
	}).WithFields(fields).Info("This store now grants the tokens of a tenant's limit.")
}

// check validates a token request.
func check(request ratelimit.TokenRequest) *api.Error {
	if err := request.Validate(); err != nil {
		return api.NewError("read question for tokens", "", api.CodeBadRequest, api.OutcomeNotRun, "%w", err)
	}
	return nil
}
