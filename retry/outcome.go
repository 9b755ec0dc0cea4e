package retry

import (
	"errors"
	"net/http"

	"github.com/dykewing/dykewing/api"
)

// Evidence is what a sender knows of one attempt. Its decision whether the request may have run
// rests on nothing else.
type Evidence struct {
	Connected    bool   // the request got a connection
	Reused       bool   // the connection had carried other requests
	BytesWritten int64  // upper bound of the request's bytes that were passed to the kernel
	Status       int    // of the response; 0 without one
	ResponseID   string // request ID in the response; empty if it has none
}

// Ties reports whether the response is certainly the answer to this attempt. Servers may answer a request
// more than once, and the surplus answer comes in place of the next one due on its connection. An ID ties
// a response to the attempt only if the connection has carried no other request with it, which
// transport.Send ensures; without an ID, only the first response on a connection is tied.
func (e Evidence) Ties(requestID string) bool {
	if e.ResponseID == "" {
		return !e.Reused
	}
	return e.ResponseID == requestID
}

// EvidenceError is the error of an attempt together with what is known of the attempt.
type EvidenceError struct {
	Evidence Evidence
	Err      error
}

// Error implements error.
func (e *EvidenceError) Error() string { return e.Err.Error() }

// Unwrap returns the error without the evidence.
func (e *EvidenceError) Unwrap() error { return e.Err }

// EvidenceOf returns the evidence in the chain of err.
func EvidenceOf(err error) (Evidence, bool) {
	var found *EvidenceError
	if !errors.As(err, &found) {
		return Evidence{}, false
	}
	return found.Evidence, true
}

// OutcomeWithoutResponse returns the outcome of an attempt without a response. It is
// api.OutcomeNotRun only if no byte of the request can have reached the peer.
func OutcomeWithoutResponse(evidence Evidence) api.Outcome {
	if !evidence.Connected || evidence.BytesWritten == 0 {
		return api.OutcomeNotRun
	}
	return api.OutcomeUnknown
}

// BackendResponse is the header of a backend's response.
type BackendResponse struct {
	Status     int
	Outcome    api.Outcome // from HeaderOutcome; may be empty
	RetryAfter bool        // a Retry-After header is present
	// Application marks a backend that sends requests of its own, which may fail
	// halfway. Model engines reject a request before they run it.
	Application bool
}

// OutcomeOfResponse returns the outcome for a backend's response. After
// api.OutcomeRan the response is forwarded unchanged. See docs/design/retries.md.
func OutcomeOfResponse(answer BackendResponse) api.Outcome {
	if answer.Outcome == api.OutcomeNotRun || answer.Outcome == api.OutcomeUnknown {
		return answer.Outcome
	}
	switch {
	case answer.Status == http.StatusTooManyRequests:
		return api.OutcomeNotRun
	case answer.Status == http.StatusServiceUnavailable && answer.RetryAfter && !answer.Application:
		return api.OutcomeNotRun
	case answer.Status >= http.StatusInternalServerError:
		return api.OutcomeUnknown
	}
	return api.OutcomeRan
}
