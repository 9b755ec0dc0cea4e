package retry

import (
	"net/http"

	"github.com/dykewing/dykewing/api"
)

// Evidence is what is known of an attempt that brought no answer.
type Evidence struct {
	Connected bool // a connection was given to the request
	BytesLeft bool // a byte of it was handed to that connection
}

// OutcomeOf reads the outcome of an attempt that brought no answer: not run
// only when no byte of the request can have reached the peer.
func OutcomeOf(evidence Evidence) api.Outcome {
	if !evidence.Connected || !evidence.BytesLeft {
		return api.OutcomeNotRun
	}
	return api.OutcomeUnknown
}

// BackendAnswer is the head of a back end's answer.
type BackendAnswer struct {
	Status     int
	Outcome    api.Outcome // the back end's own word, HeaderOutcome; may be empty
	RetryAfter bool        // the answer says when to come back
	// Application back ends run requests of their own, which may fail half
	// way; model engines refuse before they schedule.
	Application bool
}

// OutcomeOfAnswer reads a back end's answer. Ran means that the answer is
// given to the caller as it is. docs/design/retries.md has the reasons.
func OutcomeOfAnswer(answer BackendAnswer) api.Outcome {
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
