package api

import (
	"errors"
	"fmt"
	"time"
)

// Outcome is what is known about a request's execution at a back end.
type Outcome string

// Outcomes. OutcomeNotRun is reported only with evidence; see package retry.
const (
	OutcomeNotRun  Outcome = "not_run"
	OutcomeRan     Outcome = "ran"
	OutcomeUnknown Outcome = "unknown"
)

// ErrorCode classifies a rejection or failure; it is the code in error bodies.
type ErrorCode string

// Error codes seen by callers, operators and other nodes, with their HTTP status.
const (
	CodeBadRequest          ErrorCode = "bad_request"         // 400
	CodeUnauthorized        ErrorCode = "unauthorized"        // 401: no valid API key
	CodeTooLarge            ErrorCode = "request_too_large"   // 413
	CodeNotFound            ErrorCode = "not_found"           // 404
	CodeConflict            ErrorCode = "conflict"            // 409
	CodeUnknownService      ErrorCode = "model_not_found"     // 404
	CodeCeiling             ErrorCode = "ceiling_reached"     // 429
	CodeRateLimit           ErrorCode = "rate_limit"          // 429: the tenant's request limit is exceeded
	CodeQueueFull           ErrorCode = "queue_full"          // 429: the route's queue is full
	CodeNoCapacity          ErrorCode = "no_capacity"         // 503
	CodeNoTable             ErrorCode = "no_table"            // 503
	CodeNotLeader           ErrorCode = "not_leader"          // 503, internal
	CodeNoQuorum            ErrorCode = "no_quorum"           // 503
	CodeKeyValueUnavailable ErrorCode = "no_contact"          // 503, internal: the key-value service does not respond
	CodeLeaving             ErrorCode = "leaving"             // 503
	CodePreempted           ErrorCode = "preempted"           // 503, batch only
	CodeDiskFull            ErrorCode = "disk_full"           // 507
	CodeDeadline            ErrorCode = "deadline_exceeded"   // 504
	CodeUpstream            ErrorCode = "upstream_failed"     // 502
	CodeOutcomeUnknown      ErrorCode = "outcome_unknown"     // 502
	CodeClientCancelled     ErrorCode = "client_cancelled"    // 499
	CodeInProgress          ErrorCode = "in_progress"         // 409
	CodeInternal            ErrorCode = "internal_error"      // 500
	CodeOverloaded          ErrorCode = "overloaded"          // 503: this process is at its capacity
	CodeQuarantined         ErrorCode = "quarantined"         // 502: the request is suspected of crashing workers
	CodeVersionUnavailable  ErrorCode = "version_unavailable" // 503: a stream can't go on at the software version that began it
	CodeRequestTimeout      ErrorCode = "request_timeout"     // 408: the caller sends too slowly
)

var httpStatus = map[ErrorCode]int{
	CodeBadRequest: 400, CodeUnauthorized: 401, CodeTooLarge: 413, CodeNotFound: 404, CodeConflict: 409,
	CodeUnknownService: 404, CodeCeiling: 429, CodeRateLimit: 429, CodeQueueFull: 429, CodeNoCapacity: 503, CodeNoTable: 503,
	CodeNotLeader: 503, CodeNoQuorum: 503, CodeKeyValueUnavailable: 503, CodeLeaving: 503, CodePreempted: 503,
	CodeDiskFull: 507, CodeDeadline: 504, CodeUpstream: 502, CodeOutcomeUnknown: 502,
	CodeClientCancelled: 499, CodeInProgress: 409, CodeInternal: 500,
	CodeOverloaded: 503, CodeQuarantined: 502, CodeVersionUnavailable: 503, CodeRequestTimeout: 408,
}

// HTTPStatus returns the HTTP status for the code; 500 if the code is unknown.
func (c ErrorCode) HTTPStatus() int {
	if status, ok := httpStatus[c]; ok {
		return status
	}
	return 500
}

// Error is a failure with the step and the peer at which it occurred, the outcome of the
// request and, optionally, when to retry.
type Error struct {
	Step       string        // what was being done, e.g. "dispatch to worker"
	Peer       string        // node, worker or address; empty means this process
	Code       ErrorCode     // class of the failure
	Outcome    Outcome       // what is known about the execution at a back end
	RetryAfter time.Duration // 0 means no advice
	Leader     NodeID        // with CodeNotLeader: the leader, if known
	Err        error         // cause; may be nil
}

// Error returns one line with step, peer, code and cause.
func (e *Error) Error() string {
	text := e.Step
	if e.Peer != "" {
		text += " at " + e.Peer
	}
	text += ": " + string(e.Code)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// NewError returns an Error whose cause is formatted as by fmt.Errorf.
func NewError(step, peer string, code ErrorCode, outcome Outcome, format string, arguments ...any) *Error {
	return &Error{Step: step, Peer: peer, Code: code, Outcome: outcome, Err: fmt.Errorf(format, arguments...)}
}

// AsError returns the first *Error in err's chain, or wraps err as an internal error with
// an unknown outcome.
func AsError(step string, err error) *Error {
	var typed *Error
	if errors.As(err, &typed) {
		return typed
	}
	return &Error{Step: step, Code: CodeInternal, Outcome: OutcomeUnknown, Err: err}
}

// ErrorBody is the JSON body of every error response: that of the OpenAI API, extended
// by the outcome.
type ErrorBody struct {
	Error   ErrorDetail `json:"error"`
	Outcome Outcome     `json:"dykewing_outcome"`
}

// ErrorDetail is the error object of the OpenAI API. It repeats the outcome because
// OpenAI clients expose only this object to their callers.
type ErrorDetail struct {
	Message string    `json:"message"`
	Type    string    `json:"type"`
	Param   *string   `json:"param"`
	Code    ErrorCode `json:"code"`
	Outcome Outcome   `json:"dykewing_outcome"`
	Step    string    `json:"step,omitempty"`
	Peer    string    `json:"peer,omitempty"`
	Leader  NodeID    `json:"leader,omitempty"`
}
