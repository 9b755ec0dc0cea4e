package router

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/dykewing/dykewing/admission"
	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/engine"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/routing"
)

// requestHeaders are forwarded from the caller to the back end.
var requestHeaders = []string{"Content-Type", "Accept", "Authorization", "Traceparent", api.HeaderBackendIdempotencyKey}

// responseHeaders are forwarded from the back end to the caller.
var responseHeaders = []string{"Content-Type", "Content-Length", "Retry-After"}

// serveRequest serves one attempt of an online request from a sidecar.
func (r *Router) serveRequest(w http.ResponseWriter, request *http.Request) {
	body, release, failure := r.bodies.Read(w, request, "read request")
	defer release()
	if failure != nil {
		r.refuse(w, failure)
		return
	}
	routed := routing.Request{
		ID:      api.RequestID(request.Header.Get(api.HeaderRequestID)),
		Tenant:  api.TenantID(request.Header.Get(api.HeaderTenant)),
		Service: api.ServiceName(request.Header.Get(api.HeaderService)),
		Place:   api.PlaceName(request.Header.Get(api.HeaderPlace)),
		Class:   api.ClassOnline,
		Prefix:  engine.PromptPrefix(body),
	}
	if excluded := request.Header.Get(api.HeaderExcluded); excluded != "" {
		routed.Excluded = strings.Split(excluded, api.ExcludedSeparator)
	}
	if routed.ID == "" {
		r.refuse(w, api.NewError("read request", "", api.CodeBadRequest, api.OutcomeNotRun, "header %s is missing", api.HeaderRequestID))
		return
	}
	ctx, cancel := r.withDeadline(request.Context(), request.Header.Get(api.HeaderDeadline))
	defer cancel()
	if r.forwarder.forwardFromGateway(ctx, w, request, routed, body) {
		return
	}
	path := strings.TrimPrefix(request.URL.RequestURI(), api.PathRequests)
	response, dispatch, finish, failure := r.admitAndSend(ctx, routed, path, body, request.Header)
	if failure != nil {
		if r.forwarder.forwardRefused(ctx, w, request, routed, body, failure) {
			return
		}
		if dispatch.Worker != "" {
			w.Header().Set(api.HeaderWorker, string(dispatch.Worker))
		}
		r.refuse(w, failure)
		return
	}
	defer finish()
	r.relay(w, response, routed.ID, dispatch.Worker)
}

func (r *Router) refuse(w http.ResponseWriter, failure *api.Error) {
	r.metrics.refused.WithLabelValues(string(failure.Code)).Inc()
	transport.WriteError(w, failure)
}

func (r *Router) withDeadline(ctx context.Context, remaining string) (context.Context, context.CancelFunc) {
	milliseconds, err := strconv.ParseInt(remaining, 10, 64)
	if err != nil || milliseconds <= 0 {
		return context.WithTimeout(ctx, r.node.Settings.Router.EngineTimeout)
	}
	// Quotas rely on no request running longer than the engine timeout.
	remainingTime := time.Duration(milliseconds) * time.Millisecond
	return context.WithTimeout(ctx, min(remainingTime, r.node.Settings.Router.EngineTimeout))
}

// run admits a request and sends it to a worker. On success the caller must call the
// returned function once it has read the response.
func (r *Router) admitAndSend(ctx context.Context, routed routing.Request, path string, body []byte, header http.Header) (*http.Response, admission.Dispatch, func(), *api.Error) {
	dispatch, failure := r.admit(routed)
	if failure != nil {
		return nil, dispatch, nil, failure
	}
	ctx, cancel := context.WithCancel(ctx)
	finish := func() {
		cancel()
		r.admission.Tell(admission.Finished{Request: routed.ID})
	}
	response, failure := r.send(ctx, routed, dispatch, path, body, backendHeader(header, routed.ID))
	if failure != nil {
		finish()
		return nil, dispatch, nil, failure
	}
	return response, dispatch, finish, nil
}

// send sends an admitted request to its worker, without retries.
func (r *Router) send(ctx context.Context, routed routing.Request, dispatch admission.Dispatch, path string, body []byte, header http.Header) (*http.Response, *api.Error) {
	response, err := r.backendOf(routed.Class).Send(ctx, engine.Call{
		Worker: dispatch.Worker, Address: dispatch.Address, Path: path, Body: body,
		Header: header, Priority: dispatch.Priority,
	})
	if err != nil {
		failure := *api.AsError("send to worker", err)
		if ctx.Err() == nil {
			r.recordFailure(dispatch.Worker, err)
		}
		if errors.Is(context.Cause(ctx), errPreempted) {
			failure.Code = api.CodePreempted
		}
		return nil, &failure
	}
	r.admission.Tell(admission.FirstToken{Request: routed.ID})
	return response, nil
}

// recordFailure reports to admission that a worker did not respond.
func (r *Router) recordFailure(worker api.WorkerID, err error) {
	if transport.IsDialError(err) {
		r.admission.Tell(admission.Unreachable{Worker: worker})
		return
	}
	r.admission.Tell(admission.ResponseAborted{Worker: worker})
}

// backendOf returns the client for a class. Each class has its own connections.
func (r *Router) backendOf(class api.Class) engine.Backend {
	if class == api.ClassBatch {
		return r.batchBackend
	}
	return r.backend
}

func backendHeader(header http.Header, id api.RequestID) http.Header {
	passed := make(http.Header, len(requestHeaders)+1)
	for _, name := range requestHeaders {
		if values := header[http.CanonicalHeaderKey(name)]; len(values) > 0 {
			passed[name] = values
		}
	}
	passed.Set(api.HeaderRequestID, string(id))
	return passed
}

func (r *Router) admit(routed routing.Request) (admission.Dispatch, *api.Error) {
	actions, err := r.admission.Ask(admission.Arrive{Request: routed})
	if err != nil {
		return admission.Dispatch{}, api.NewError("admit request", "", api.CodeLeaving, api.OutcomeNotRun, "%w", err)
	}
	for _, action := range actions {
		switch action := action.(type) {
		case admission.Dispatch:
			r.metrics.admitted.WithLabelValues(string(routed.Class)).Inc()
			return action, nil
		case admission.Refuse:
			action.Failure.Peer = string(r.node.ID())
			return admission.Dispatch{}, action.Failure
		}
	}
	return admission.Dispatch{}, api.NewError("admit request", "", api.CodeInternal, api.OutcomeNotRun, "admission returned no decision")
}

// relay copies a back end's response to w. If the response is interrupted, relay aborts
// the connection so that the receiver does not take it for complete.
func (r *Router) relay(w http.ResponseWriter, response *http.Response, id api.RequestID, worker api.WorkerID) {
	defer response.Body.Close()
	header := w.Header()
	for _, name := range responseHeaders {
		if value := response.Header.Get(name); value != "" {
			header.Set(name, value)
		}
	}
	header.Set(api.HeaderOutcome, string(api.OutcomeRan))
	header.Set(api.HeaderRequestID, string(id))
	header.Set(api.HeaderWorker, string(worker))
	w.WriteHeader(response.StatusCode)
	if err := engine.CopyStream(w, engine.CheckedBody(response)); err != nil {
		r.metrics.interrupted.Inc()
		r.log.WithError(err).WithField("worker", worker).Debug("A worker's response was interrupted.")
		panic(http.ErrAbortHandler)
	}
}
