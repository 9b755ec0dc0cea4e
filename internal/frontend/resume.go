package frontend

import (
	"context"
	"slices"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/backend"
	"github.com/dykewing/dykewing/internal/resume"
	"github.com/dykewing/dykewing/internal/storeclient"
	"github.com/dykewing/dykewing/origin"
	"github.com/dykewing/dykewing/placement"
	"github.com/dykewing/dykewing/route"
	"github.com/dykewing/dykewing/worker"
)

const (
	// Holders of a stream's origin: stores, which all frontends know, and frontends of this zone,
	// which callers mostly come back to, for when the stores are away. One more of each is asked than
	// is told, since a holder that is gone may still be in the view of one of both.
	originStores    = 2
	originFrontends = 1
	// originTTLMargin is added to the time that a stream's caller waits, for the clocks of its caller and the
	// holders.
	originTTLMargin = time.Second
	// streamLifetime bounds the time from a stream's first event until its caller takes it up for the last
	// time. Callers may wait for longer than a route's time limit, and take a stream up again and again.
	streamLifetime = resume.MaxTTL
	// freshContact is the age of the worker list up to which this process relies on it to know all
	// software versions of a service.
	freshContact = 2 * time.Second
)

// originHolders returns the processes that keep the origin of a stream, and those to ask for it.
func (f *Frontend) originHolders(key origin.Key) (send, ask []api.Node) {
	stores := placement.RankStores(string(key), storeclient.OwnerCandidates(f.node.Nodes(), f.registered.Extend))
	peers := slices.DeleteFunc(f.peerFrontends(), func(node api.Node) bool { return node.Location != f.node.Settings.Node.Location() })
	placement.SortByScore(string(key), peers)
	send = slices.Concat(first(stores, originStores), first(peers, originFrontends))
	ask = slices.Concat(first(stores, originStores+1), first(peers, originFrontends+1))
	return send, ask
}

func first(nodes []api.Node, n int) []api.Node { return nodes[:min(len(nodes), n)] }

// streamKey identifies the stream to which the request belongs: by the request that received its
// first event, which is this one unless it resumes another. It returns false if that has no ID.
func (x *exchange) streamKey() (origin.Key, bool) {
	id := x.request.ID
	if x.request.LastEvent != "" {
		id = x.request.Resumes
	}
	return origin.KeyOf(x.identity.tenant.Name, hostOf(x.r), id), id != ""
}

// findOrigin finds out which software version began the stream that the request resumes, if it
// does. If it returns false, it has written the response: a stream whose origin is unknown must not
// go on anywhere.
func (x *exchange) findOrigin(ctx context.Context) bool {
	if x.request.LastEvent == "" || x.route.Kind != route.KindStream {
		return true
	}
	found, ok := x.knownOrigin(ctx)
	switch {
	case !ok:
		x.reject(x.versionError("the software version that began stream %q is not known", x.request.Resumes))
		return false
	case !x.route.Allows(found.Service):
		x.reject(x.versionError("stream %q began at service %s, to which the route no longer leads", x.request.Resumes, found.Service))
		return false
	}
	x.service, x.origin = found.Service, &found
	x.keepOrigin()
	return true
}

// knownOrigin returns the recorded origin of the stream. Without a record, it is known if the service has had
// workers of only one version for as long as a stream lives.
func (x *exchange) knownOrigin(ctx context.Context) (origin.Origin, bool) {
	f := x.frontend
	if key, ok := x.streamKey(); ok {
		if found, ok := f.origins.Find(ctx, key); ok {
			return found, true
		}
	}
	if len(x.route.Shares) != 1 || f.catalog.ContactAge() > freshContact || f.catalog.HistoryAge() < streamLifetime {
		return origin.Origin{}, false
	}
	version, ok := f.pool.SoleVersion(x.service, streamLifetime)
	return origin.Origin{Service: x.service, Version: version}, ok
}

// checkVersion returns an error if the stream has begun and no worker of its version accepts
// requests.
func (x *exchange) checkVersion() *api.Error {
	switch {
	case x.originUnknown:
		return x.versionError("the worker that began the stream was replaced by one of another software version")
	case x.origin == nil || x.frontend.pool.ServesVersion(x.service, x.origin.Version):
		return nil
	}
	return x.versionError("no worker of service %s has version %s, which began the stream", x.service, x.origin.Version)
}

// versionError returns the error for a stream that can't go on. Once this request has run, the error
// does not use a status that promises otherwise.
func (x *exchange) versionError(format string, args ...any) *api.Error {
	code, outcome := api.CodeVersionUnavailable, api.OutcomeNotRun
	if x.runs > 0 {
		code, outcome = api.CodeUpstream, api.OutcomeUnknown
	}
	return api.NewError("choose version", "", code, outcome, format, args...)
}

// recordOrigin records the version that has begun to write the stream, with its first event.
func (x *exchange) recordOrigin(ticket *backend.Assignment) {
	if x.origin != nil || !x.route.Repeatable() {
		return
	}
	x.origin = &origin.Origin{Service: x.service, Version: ticket.Worker.Version}
	x.keepOrigin()
}

// keepOrigin tells the holders of the stream's origin. They keep it for as long as the caller waits, which may be
// longer than the route's time limit.
func (x *exchange) keepOrigin() {
	key, ok := x.streamKey()
	if !ok {
		return
	}
	until := x.deadline
	if waits := x.arrived.Add(x.request.Remaining); waits.After(until) {
		until = waits
	}
	x.frontend.origins.Record(key, *x.origin, time.Until(until)+originTTLMargin)
}

// verifyOrigin checks, after a stream broke off, that its worker is still listed with the version
// that was recorded. Otherwise a worker of another version may have begun the stream under the same
// ID, and the stream must not go on.
func (x *exchange) verifyOrigin(ticket *backend.Assignment) {
	listed, ok := x.frontend.pool.VersionOf(ticket.Worker.ID)
	if x.origin == nil || !ok || listed == ticket.Worker.Version {
		return
	}
	x.originUnknown = true
	x.origin = &origin.Origin{Service: x.service, Version: listed}
	x.keepOrigin() // the origins contradict each other, so no process finds one
}

// workerQuery returns the query for the request's next worker. A stream that has begun is bound to
// its version.
func (x *exchange) workerQuery() worker.Query {
	query := worker.Query{Service: x.service, Parts: x.request.Parts, Tokens: x.request.PromptTokens, Excluded: x.tried}
	if x.origin != nil {
		query.Version, query.HasVersion = x.origin.Version, true
	}
	return query
}
