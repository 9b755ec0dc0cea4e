package relayed

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/clock"
	"github.com/dykewing/dykewing/detour"
	"github.com/dykewing/dykewing/internal/transport"
)

// Path is the HTTP path under which requests of peers are forwarded.
const Path = "/internal/v1/relayed"

const (
	maximumMessageBytes = 64 << 10
	// maxForwardTime bounds the time of a forwarded request, whatever its timeout.
	maxForwardTime = time.Second
	// minConclusiveTime is the timeout from which a missing answer indicates that the process
	// is unreachable: some round trips between zones.
	minConclusiveTime = 20 * time.Millisecond
)

// ForwardRequest is the JSON body of a request to forward.
type ForwardRequest struct {
	Target  api.NodeID      `json:"target"` // the process to send it to
	Path    string          `json:"path"`
	Body    json.RawMessage `json:"body"`
	Timeout time.Duration   `json:"within"` // timeout, in nanoseconds on the wire
}

// ForwardReply is the JSON body of the response to a forwarded request.
type ForwardReply struct {
	Reached bool            `json:"reached"` // the process answered
	Body    json.RawMessage `json:"body,omitempty"`
	Failure string          `json:"failure,omitempty"` // error of the attempt, or of the process
	Outcome api.Outcome     `json:"outcome,omitempty"` // of the request if Failure is set
	// Code and Leader are those of the process's own error.
	Code   api.ErrorCode `json:"code,omitempty"`
	Leader api.NodeID    `json:"leader,omitempty"`
}

func (r ForwardReply) outcomeOrUnknown() api.Outcome {
	if r.Outcome == "" {
		return api.OutcomeUnknown
	}
	return r.Outcome
}

// ServeHTTP forwards a peer's request once: only to a known process that this one is believed
// to reach directly, and only under the paths of Settings.
func (a *Client) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var message ForwardRequest
	if failure := transport.ReadJSON(w, r, "read question to pass on", maximumMessageBytes, &message); failure != nil {
		transport.WriteError(w, failure)
		return
	}
	if !slices.Contains(a.settings.ForwardedPaths, message.Path) || message.Path == Path || message.Target == "" || message.Timeout <= 0 {
		a.metrics.forwarded.WithLabelValues("refused").Inc()
		transport.WriteError(w, api.NewError("pass on question", "", api.CodeBadRequest, api.OutcomeNotRun,
			"path %q, target %q, within %v", message.Path, message.Target, message.Timeout))
		return
	}
	select {
	case a.slots <- struct{}{}:
		defer func() { <-a.slots }()
	default:
		a.metrics.forwarded.WithLabelValues("busy").Inc()
		transport.WriteError(w, api.NewError("pass on question", "", api.CodeOverloaded, api.OutcomeNotRun, "%d requests are already being forwarded", maxForwarded))
		return
	}
	reply := a.forward(r.Context(), message)
	outcome := "unreached"
	if reply.Reached {
		outcome = "answered"
	}
	a.metrics.forwarded.WithLabelValues(outcome).Inc()
	transport.WriteJSON(w, http.StatusOK, reply)
}

// forward sends the request directly to its target.
func (a *Client) forward(ctx context.Context, message ForwardRequest) ForwardReply {
	target, found := findNode(a.settings.Nodes(), message.Target)
	a.mutex.Lock()
	reaches := a.paths.Reaches(clock.Now(), message.Target)
	a.mutex.Unlock()
	if !found || !reaches {
		return ForwardReply{Failure: "target unknown or unreachable from this process", Outcome: api.OutcomeNotRun}
	}
	ctx, cancel := context.WithTimeout(ctx, min(message.Timeout, maxForwardTime))
	defer cancel()
	request := Request{Step: "pass on question", Target: target, Path: message.Path}
	result := a.send(ctx, detour.Path{}, request, message.Body)
	conclusive := ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) && message.Timeout >= minConclusiveTime
	if conclusive || result.status == detour.Answered {
		a.recordForwarded(message.Target, result.status)
	}
	reply := ForwardReply{Reached: result.status == detour.Answered, Body: result.body}
	if result.err != nil {
		reply.Failure, reply.Outcome = result.err.Error(), outcomeOf(result.err)
		var failure *api.Error
		if reply.Reached && errors.As(result.err, &failure) {
			reply.Code, reply.Leader = failure.Code, failure.Leader
		}
	}
	return reply
}

// recordForwarded records the result of a forwarded request.
func (a *Client) recordForwarded(target api.NodeID, result detour.Result) {
	a.updatePath(target, attemptResult{status: result}, func(now time.Time) bool { return a.paths.RecordRelayed(now, target, result) })
}

// outcomeOf returns the outcome of an *api.Error; unknown for other errors.
func outcomeOf(err error) api.Outcome {
	var failure *api.Error
	if errors.As(err, &failure) {
		return failure.Outcome
	}
	return api.OutcomeUnknown
}
