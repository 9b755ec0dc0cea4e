package retry

import (
	"net/http"

	"github.com/dykewing/dykewing/api"
)

// AttemptProgress describes how far an attempt without a response got.
type AttemptProgress struct {
	Connected    bool // the request got a connection
	BytesWritten bool // a byte of the request was written to it
}

// OutcomeWithoutResponse returns the outcome of an attempt without a response. It is
// api.OutcomeNotRun only if no byte of the request can have reached the peer.
func OutcomeWithoutResponse(evidence AttemptProgress) api.Outcome {
	if !evidence.Connected || !evidence.BytesWritten {
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
