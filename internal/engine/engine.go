// Package engine is the client of back ends, which are inference engines and applications.
// It forwards a caller's request with its priority and id and returns the response with
// its body unread.
package engine

import (
	"bytes"
	"context"
	"net/http"
	"strings"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/jobs"
	"github.com/dykewing/dykewing/retry"
	"github.com/dykewing/dykewing/routing"
)

// PathLoad is the path at which an engine serves its Load.
const PathLoad = "/load"

// Load is an engine's load report. It may be stale.
type Load struct {
	Running int  `json:"running"`
	Waiting int  `json:"waiting"`
	Slots   int  `json:"slots"`
	Leaving bool `json:"leaving"`
}

// Call is one request to a back end.
type Call struct {
	Worker   api.WorkerID
	Address  string
	Path     string // as sent by the caller, with the query
	Body     []byte
	Header   http.Header // content headers and the request id
	Priority int
}

// Backend is the interface to engines and applications.
type Backend interface {
	// Send sends a request once, without retries, and returns when the response header
	// has arrived. Closing the body cancels the request. Errors are *api.Error.
	Send(ctx context.Context, call Call) (*http.Response, error)
	// Resume returns the stream of a request that was sent before, starting at the given
	// event, counted from 0. It never starts the request. Only Worker and Address of the
	// call are used. Errors are *api.Error.
	Resume(ctx context.Context, call Call, request api.RequestID, from int) (*http.Response, error)
	Load(ctx context.Context, address string) (Load, error)
	// CacheEvents returns the events of the engine's prefix cache after a sequence
	// number.
	CacheEvents(ctx context.Context, address string, after uint64) ([]routing.CacheEvent, error)
}

// HTTPBackend is a Backend over the OpenAI HTTP API.
type HTTPBackend struct {
	Client  *http.Client // for requests
	Control *http.Client // for load reports and cache events
}

// Send posts the request. A response that refuses the request, or leaves open whether it
// ran, is returned as an error.
func (b *HTTPBackend) Send(ctx context.Context, call Call) (*http.Response, error) {
	const step = "send to worker"
	body, err := withPriority(call)
	if err != nil {
		return nil, api.NewError(step, string(call.Worker), api.CodeBadRequest, api.OutcomeNotRun, "%w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+call.Address+call.Path, bytes.NewReader(body))
	if err != nil {
		return nil, api.NewError(step, string(call.Worker), api.CodeInternal, api.OutcomeNotRun, "%w", err)
	}
	for name, values := range call.Header {
		request.Header[name] = values
	}
	response, failure := transport.Send(b.Client, request, call.Header.Get(api.HeaderRequestID), step, string(call.Worker))
	if failure != nil {
		return nil, failure
	}
	if failure := checkResponse(response, call); failure != nil {
		response.Body.Close()
		return nil, failure
	}
	return response.Response, nil
}

// checkResponse rejects responses to another request and those whose outcome is not ran.
func checkResponse(response *transport.Response, call Call) *api.Error {
	const step = "read answer of worker"
	sent, echoed := call.Header.Get(api.HeaderRequestID), response.Header.Get(api.HeaderRequestID)
	if echoed != "" && echoed != sent {
		return api.NewError(step, string(call.Worker), api.CodeOutcomeUnknown, api.OutcomeUnknown, "the answer is for request %q, not %q", echoed, sent)
	}
	outcome := retry.OutcomeOfResponse(retry.BackendResponse{
		Status: response.StatusCode, Outcome: api.Outcome(response.Header.Get(api.HeaderOutcome)),
		RetryAfter:  response.Header.Get("Retry-After") != "",
		Application: strings.HasPrefix(call.Path, jobs.ServicesPath),
	})
	if outcome == api.OutcomeRan {
		return nil
	}
	response.Evidence.ResponseID = echoed
	if !response.Evidence.Ties(sent) {
		outcome = api.OutcomeUnknown
	}
	failure := transport.ReadError(step, string(call.Worker), response.Response)
	failure.Outcome = outcome
	failure.Code = api.CodeUpstream
	if outcome == api.OutcomeNotRun {
		failure.Code = api.CodeNoCapacity
	}
	return failure
}

// Load reads the engine's load report.
func (b *HTTPBackend) Load(ctx context.Context, address string) (Load, error) {
	var load Load
	err := transport.Get(ctx, b.Control, "read load of worker", address, PathLoad, &load)
	return load, err
}
