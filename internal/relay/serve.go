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

// ServeChanges answers PathChanges: changes after a revision as soon as there are
// any, or the whole state. It answers only what the service itself has told this
// process, and only while that is fresh, so that nobody relies on a chain.
func (r *Relay) ServeChanges(w http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	if !query.Has(parameterAfter) {
		r.serveWhole(w, request)
		return
	}
	revision, err := strconv.ParseInt(query.Get(parameterAfter), 10, 64)
	if err != nil {
		transport.WriteError(w, api.NewError("read question for changes", "", api.CodeBadRequest, api.OutcomeNotRun, "%s: %w", parameterAfter, err))
		return
	}
	milliseconds, err := strconv.ParseInt(query.Get(parameterWait), 10, 64)
	if err != nil || milliseconds < 0 {
		transport.WriteError(w, api.NewError("read question for changes", "", api.CodeBadRequest, api.OutcomeNotRun, "%s is no number of milliseconds", parameterWait))
		return
	}
	wait := min(time.Duration(milliseconds)*time.Millisecond, r.settings.Fresh)
	r.serveChanges(w, request, revision, wait)
}

func (r *Relay) serveWhole(w http.ResponseWriter, request *http.Request) {
	state := r.mirror.after(0)
	if !r.serves(state, clock.Now()) {
		r.refuse(w, state)
		return
	}
	r.tell(w, request, asked{whole: true, revision: state.revision}, r.mirror.whole)
}

// serveChanges answers at the latest after wait; without changes, as soon as the
// service has answered this process since the question came.
func (r *Relay) serveChanges(w http.ResponseWriter, request *http.Request, revision int64, wait time.Duration) {
	came := clock.Now()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for expired := wait == 0; ; {
		state := r.mirror.after(revision)
		switch {
		case state.compacted && r.serves(state, clock.Now()):
			r.write(w, request, answer{Revision: state.revision, Compacted: true})
			return
		case state.news && r.serves(state, clock.Now()):
			r.tell(w, request, asked{after: revision, revision: state.revision}, func() answer { return r.mirror.changes(revision) })
			return
		case !state.usable || expired && !r.serves(state, clock.Now()):
			r.refuse(w, state)
			return
		case expired || state.contact.After(came):
			r.write(w, request, answer{Revision: state.revision})
			return
		}
		select {
		case <-state.changed:
		case <-timer.C:
			expired = true
		case <-request.Context().Done():
			return
		}
	}
}

// serves tells whether others may rely on what this process knows.
func (r *Relay) serves(state standing, now time.Time) bool {
	return state.usable && now.Sub(state.contact) <= r.settings.Fresh
}

func (r *Relay) refuse(w http.ResponseWriter, state standing) {
	transport.WriteError(w, api.NewError("tell changes", "", api.CodeNoContact, api.OutcomeNotRun,
		"the service answered this process last %v ago", clock.Since(state.contact).Round(time.Millisecond)))
}

// tell answers a question that all processes of the zone ask alike.
func (r *Relay) tell(w http.ResponseWriter, request *http.Request, question asked, build func() answer) {
	body, err := r.told.answer(question, build)
	if err != nil {
		r.fail(w, err)
		return
	}
	r.send(w, request, body)
}

// write answers a question with a body that is its own.
func (r *Relay) write(w http.ResponseWriter, request *http.Request, body answer) {
	raw, err := json.Marshal(body)
	if err != nil {
		r.fail(w, err)
		return
	}
	r.send(w, request, encoded{plain: raw})
}

func (r *Relay) fail(w http.ResponseWriter, err error) {
	transport.WriteError(w, api.NewError("tell changes", "", api.CodeInternal, api.OutcomeNotRun, "encode: %w", err))
}

// send gives the body, compressed where it is and the asker reads that.
func (r *Relay) send(w http.ResponseWriter, request *http.Request, body encoded) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	raw := body.plain
	if body.packed != nil && strings.Contains(request.Header.Get("Accept-Encoding"), gzipEncoding) {
		raw = body.packed
		header.Set("Content-Encoding", gzipEncoding)
	}
	header.Set("Content-Length", strconv.Itoa(len(raw)))
	_, _ = w.Write(raw)
}
