package sidecar

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/engine"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/jobs"
	"github.com/dykewing/dykewing/retry"
	"github.com/dykewing/dykewing/routing"
)

// onlineRequest is a caller's request while the sidecar works on it.
type onlineRequest struct {
	routed     routing.Request
	header     http.Header
	uri        string
	body       []byte
	deadline   time.Time
	repeatable bool
}

func (s *Sidecar) serveOnline(w http.ResponseWriter, r *http.Request) {
	request, failure := s.read(w, r)
	if failure != nil {
		s.refuse(w, failure)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), request.deadline)
	defer cancel()
	response, failure := s.attempts(ctx, request)
	if failure != nil {
		s.refuse(w, failure)
		return
	}
	s.metrics.requests.WithLabelValues("ok").Inc()
	s.relay(w, response, request.routed.ID)
}

func (s *Sidecar) refuse(w http.ResponseWriter, failure *api.Error) {
	s.metrics.requests.WithLabelValues(string(failure.Code)).Inc()
	transport.WriteError(w, failure)
}

// read takes the caller's request whole, so that it can be sent again.
func (s *Sidecar) read(w http.ResponseWriter, r *http.Request) (*onlineRequest, *api.Error) {
	const step = "read request"
	snapshot := s.node.Table()
	if snapshot == nil {
		return nil, noTable(step)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.node.Settings.Sidecar.MaximumBodyBytes))
	if err != nil {
		return nil, transport.BodyError(step, err)
	}
	service, err := jobs.ServiceOf(r.URL.Path, body)
	if err != nil {
		return nil, api.NewError(step, "", api.CodeBadRequest, api.OutcomeNotRun, "%w", err)
	}
	rows := snapshot.Service(service)
	if len(rows) == 0 {
		return nil, api.NewError(step, "", api.CodeUnknownService, api.OutcomeNotRun, "the model or service %q is not in the table", service)
	}
	repeatable, failure := repeatableOf(r, rows[0].Repeatable)
	if failure != nil {
		return nil, failure
	}
	id := r.Header.Get(api.HeaderRequestID)
	if id == "" {
		id = uuid.NewString()
	}
	return &onlineRequest{
		routed: routing.Request{
			ID: api.RequestID(id), Tenant: tenantOf(r), Service: service,
			Class: api.ClassOnline, Repeatable: repeatable,
		},
		header: r.Header, uri: r.URL.RequestURI(), body: body,
		deadline: time.Now().Add(s.node.Settings.Sidecar.DefaultDeadline), repeatable: repeatable,
	}, nil
}

func repeatableOf(r *http.Request, rowDefault bool) (bool, *api.Error) {
	text := r.Header.Get(api.HeaderRepeatable)
	if text == "" {
		return rowDefault, nil
	}
	repeatable, err := strconv.ParseBool(text)
	if err != nil {
		return false, api.NewError("read request", "", api.CodeBadRequest, api.OutcomeNotRun, "header %s %q is not true or false", api.HeaderRepeatable, text)
	}
	return repeatable, nil
}

// attempts sends the request until an answer begins or the policy gives up.
func (s *Sidecar) attempts(ctx context.Context, request *onlineRequest) (*http.Response, *api.Error) {
	s.mutex.Lock()
	s.policy.FirstAttempt()
	s.mutex.Unlock()
	for number := 1; ; number++ {
		response, home, failure := s.attempt(ctx, request, number)
		if failure == nil {
			return response, nil
		}
		decision := s.decide(request, number, failure)
		if !decision.Again {
			return nil, failure
		}
		s.metrics.retries.Inc()
		request.routed.Excluded = append(request.routed.Excluded, home)
	}
}

func (s *Sidecar) decide(request *onlineRequest, number int, failure *api.Error) retry.Decision {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.policy.Decide(retry.Attempt{
		Number: number, Failure: failure, Repeatable: request.repeatable,
		Remaining: time.Until(request.deadline),
	})
}

// attempt sends the request to one home router; the answer is the back end's.
func (s *Sidecar) attempt(ctx context.Context, request *onlineRequest, number int) (*http.Response, string, *api.Error) {
	const step = "send to router"
	home, failure := s.chooseHome(&request.routed)
	if failure != nil {
		return nil, "", failure
	}
	outgoing, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+home.Address+api.PathRequests+request.uri, bytes.NewReader(request.body))
	if err != nil {
		return nil, home.Name, api.NewError(step, home.Name, api.CodeInternal, api.OutcomeNotRun, "%w", err)
	}
	outgoing.Header = request.header.Clone()
	outgoing.Header.Set(api.HeaderRequestID, string(request.routed.ID))
	outgoing.Header.Set(api.HeaderTenant, string(request.routed.Tenant))
	outgoing.Header.Set(api.HeaderService, string(request.routed.Service))
	outgoing.Header.Set(api.HeaderPlace, string(home.Key.Place))
	outgoing.Header.Set(api.HeaderRepeatable, strconv.FormatBool(request.repeatable))
	outgoing.Header.Set(api.HeaderAttempt, strconv.Itoa(number))
	outgoing.Header.Set(api.HeaderDeadline, strconv.FormatInt(time.Until(request.deadline).Milliseconds(), 10))
	outgoing.GetBody = nil // the transport must not send again by itself
	response, err := s.online.Do(outgoing)
	if err != nil {
		return nil, home.Name, transport.SendError(step, home.Name, err)
	}
	if response.Header.Get(api.HeaderOutcome) != string(api.OutcomeRan) {
		defer response.Body.Close()
		return nil, home.Name, transport.ReadError(step, home.Name, response)
	}
	if response.Header.Get(api.HeaderRequestID) != string(request.routed.ID) {
		response.Body.Close()
		return nil, home.Name, api.NewError(step, home.Name, api.CodeOutcomeUnknown, api.OutcomeUnknown, "the answer is for another request")
	}
	return response, home.Name, nil
}

// chooseHome draws a place by weight and a home router in it.
func (s *Sidecar) chooseHome(routed *routing.Request) (routing.Endpoint, *api.Error) {
	const step = "choose router"
	snapshot := s.node.Table()
	endpoints := homes(s.node.Nodes())
	s.mutex.Lock()
	defer s.mutex.Unlock()
	rows := snapshot.Service(routed.Service)
	for len(rows) > 0 {
		row, ok := routing.ChoosePlace(rows, s.random)
		if !ok {
			break
		}
		routed.Place = row.Place
		if endpoint, ok := s.profile.Choose(*routed, endpoints); ok {
			return endpoint, nil
		}
		rows = without(rows, row)
	}
	failure := api.NewError(step, "", api.CodeNoCapacity, api.OutcomeNotRun, "no router has a worker for %q", routed.Service)
	failure.RetryAfter = time.Second
	return routing.Endpoint{}, failure
}

func without(rows []api.Row, left api.Row) []api.Row {
	var kept []api.Row
	for _, row := range rows {
		if row.Place != left.Place {
			kept = append(kept, row)
		}
	}
	return kept
}

// homes turns routers' summaries into endpoints, one for each row at each home.
func homes(nodes []api.Node) []routing.Endpoint {
	var endpoints []routing.Endpoint
	for _, node := range nodes {
		for _, summary := range node.Summary.Services {
			if summary.Workers == 0 {
				continue
			}
			endpoints = append(endpoints, routing.HomeEndpoint(node, summary))
		}
	}
	return endpoints
}

// relay passes the answer to the caller. A broken one breaks the caller's
// connection, so that it is never taken for whole.
func (s *Sidecar) relay(w http.ResponseWriter, response *http.Response, id api.RequestID) {
	defer response.Body.Close()
	header := w.Header()
	for _, name := range []string{"Content-Type", "Content-Length", "Retry-After", api.HeaderOutcome, api.HeaderWorker} {
		if value := response.Header.Get(name); value != "" {
			header.Set(name, value)
		}
	}
	header.Set(api.HeaderRequestID, string(id))
	w.WriteHeader(response.StatusCode)
	if err := engine.CopyStream(w, response.Body); err != nil {
		s.log.WithError(err).WithField("request", id).Warn("An answer broke off; the caller's connection is cut.")
		panic(http.ErrAbortHandler)
	}
}
