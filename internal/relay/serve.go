package relay

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/clock"
	"github.com/dykewing/dykewing/internal/transport"
)

// ServeChanges handles PathChanges: it responds with the full state, or with the changes
// after a revision as soon as there are any. It serves only what this process has received
// and only while its own contact with the service is recent, so that staleness does not
// add up along a chain of processes.
func (r *Relay) ServeChanges(w http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	full, waits := !query.Has(parameterAfter), query.Has(parameterWait)
	if full && !waits { // a process of a version that knows of no incomplete states
		r.serveFullState(w, request, stateQuery{})
		return
	}
	milliseconds, err := strconv.ParseInt(query.Get(parameterWait), 10, 64)
	if err != nil || milliseconds < 0 {
		transport.WriteError(w, api.NewError("read question for changes", "", api.CodeBadRequest, api.OutcomeNotRun, "%s is not a number of milliseconds", parameterWait))
		return
	}
	wait := min(time.Duration(milliseconds)*time.Millisecond, r.settings.MaxStaleness)
	if full {
		r.serveFullState(w, request, stateQuery{wait: wait, watcher: query.Has(parameterWatcher), knowsLoading: true})
		return
	}
	revision, err := strconv.ParseInt(query.Get(parameterAfter), 10, 64)
	if err != nil {
		transport.WriteError(w, api.NewError("read question for changes", "", api.CodeBadRequest, api.OutcomeNotRun, "%s: %w", parameterAfter, err))
		return
	}
	r.serveChanges(w, request, revision, wait)
}

// stateQuery is a query for the full state.
type stateQuery struct {
	wait         time.Duration
	watcher      bool // other processes wait for the asking one
	knowsLoading bool // the asking process understands that the state is incomplete
}

// priorityPollInterval is the interval at which a query that others precede looks again.
const priorityPollInterval = 20 * time.Millisecond

// serveFullState responds with the full state as soon as peers may rely on it, to watchers first.
// If that is not so within the wait, it tells how far a state is that is on its way, and refuses if
// none is.
func (r *Relay) serveFullState(w http.ResponseWriter, request *http.Request, query stateQuery) {
	if query.watcher {
		r.watcherQueries.Add(1)
		defer r.watcherQueries.Add(-1)
	}
	timer := time.NewTimer(query.wait)
	defer timer.Stop()
	for expired := query.wait == 0; ; {
		state := r.mirror.statusAfter(0)
		preceded := query.knowsLoading && !query.watcher && r.precededByWatchers(state)
		switch {
		case r.isFresh(state, clock.Now()) && !preceded:
			r.respondCached(w, request, cacheKey{full: true, revision: state.revision}, r.mirror.fullState)
			r.mirror.addProgress(1)
			return
		case expired && query.knowsLoading && !state.withdrawn && state.progress > 0 && (preceded || !state.complete):
			r.respond(w, request, response{Loading: state.progress})
			return
		case expired || state.withdrawn:
			r.refuse(w, state)
			return
		}
		var again <-chan time.Time
		if preceded {
			again = time.After(priorityPollInterval)
		}
		select {
		case <-state.updated:
		case <-again:
		case <-timer.C:
			expired = true
		case <-request.Context().Done():
			return
		}
	}
}

// precededByWatchers reports whether queries of watchers are to be served first: for a short time
// after the state has become complete, so that the watchers of all zones serve theirs early.
func (r *Relay) precededByWatchers(state status) bool {
	return r.watcherQueries.Load() > 0 && state.complete && clock.Since(state.completeSince) < r.settings.PeerLoadWait()
}

// serveChanges responds within wait. Without changes it responds as soon as the service has
// answered this process since the query arrived.
func (r *Relay) serveChanges(w http.ResponseWriter, request *http.Request, revision int64, wait time.Duration) {
	arrived := clock.Now()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for expired := wait == 0; ; {
		state := r.mirror.statusAfter(revision)
		switch {
		case state.compacted && r.isFresh(state, clock.Now()):
			r.respond(w, request, response{Revision: state.revision, Compacted: true})
			return
		case state.hasChanges && r.isFresh(state, clock.Now()):
			r.respondCached(w, request, cacheKey{after: revision, revision: state.revision}, func() response { return r.mirror.changesAfter(revision) })
			return
		case !state.usable || expired && !r.isFresh(state, clock.Now()):
			r.refuse(w, state)
			return
		case expired || state.lastContact.After(arrived):
			r.respond(w, request, response{Revision: state.revision})
			return
		}
		select {
		case <-state.updated:
		case <-timer.C:
			expired = true
		case <-request.Context().Done():
			return
		}
	}
}

// isFresh reports whether peers may rely on the state of this process.
func (r *Relay) isFresh(state status, now time.Time) bool {
	return state.usable && now.Sub(state.lastContact) <= r.settings.MaxStaleness
}

func (r *Relay) refuse(w http.ResponseWriter, state status) {
	transport.WriteError(w, api.NewError("tell changes", "", api.CodeKeyValueUnavailable, api.OutcomeNotRun,
		"last answer of the service was %v ago", clock.Since(state.lastContact).Round(time.Millisecond)))
}

// respondCached responds to a query that all processes of the zone send alike.
func (r *Relay) respondCached(w http.ResponseWriter, request *http.Request, key cacheKey, build func() response) {
	body, err := r.responses.get(key, build)
	if err != nil {
		r.respondError(w, err)
		return
	}
	r.writeBody(w, request, body)
}

// respond encodes a body for one request.
func (r *Relay) respond(w http.ResponseWriter, request *http.Request, body response) {
	raw, err := json.Marshal(body)
	if err != nil {
		r.respondError(w, err)
		return
	}
	r.writeBody(w, request, encoded{plain: raw})
}

func (r *Relay) respondError(w http.ResponseWriter, err error) {
	transport.WriteError(w, api.NewError("tell changes", "", api.CodeInternal, api.OutcomeNotRun, "encode response: %w", err))
}

// writeBody writes a body, compressed if it is available so and the client accepts gzip.
func (r *Relay) writeBody(w http.ResponseWriter, request *http.Request, body encoded) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	raw := body.plain
	if body.gzipped != nil && strings.Contains(request.Header.Get("Accept-Encoding"), gzipEncoding) {
		raw = body.gzipped
		header.Set("Content-Encoding", gzipEncoding)
	}
	header.Set("Content-Length", strconv.Itoa(len(raw)))
	_, _ = w.Write(raw)
}
