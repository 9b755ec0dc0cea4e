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

// Path takes a Message and answers a Reply.
const Path = "/internal/v1/relayed"

const (
	// maximumMessageBytes of a question with its envelope.
	maximumMessageBytes = 64 << 10
	// longestWithin bounds for how long a question is passed on, whatever it says.
	longestWithin = time.Second
	// tellingTime is how long a process must have had so that its silence says that it is
	// not reached: some round trips between zones.
	tellingTime = 20 * time.Millisecond
)

// Message is a question that is to be passed on to the process Target.
type Message struct {
	Target api.NodeID      `json:"target"`
	Path   string          `json:"path"`
	Body   json.RawMessage `json:"body"`
	Within time.Duration   `json:"within"`
}

// Reply to a Message.
type Reply struct {
	Reached bool            `json:"reached"` // the process answered
	Body    json.RawMessage `json:"body,omitempty"`
	Failure string          `json:"failure,omitempty"` // of the way, or that the process answered
	Outcome api.Outcome     `json:"outcome,omitempty"` // of the question where there is a failure
}

func (r Reply) outcome() api.Outcome {
	if r.Outcome == "" {
		return api.OutcomeUnknown
	}
	return r.Outcome
}

// ServeHTTP passes a peer's question on, once: only to a process that is known here and
// thought to be reached straight, only under the paths of Settings.
func (a *Asker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var message Message
	if failure := transport.ReadJSON(w, r, "read question to pass on", maximumMessageBytes, &message); failure != nil {
		transport.WriteError(w, failure)
		return
	}
	if !slices.Contains(a.settings.Paths, message.Path) || message.Path == Path || message.Target == "" || message.Within <= 0 {
		a.metrics.passed.WithLabelValues("refused").Inc()
		transport.WriteError(w, api.NewError("pass on question", "", api.CodeBadRequest, api.OutcomeNotRun,
			"path %q, target %q, within %v", message.Path, message.Target, message.Within))
		return
	}
	select {
	case a.room <- struct{}{}:
		defer func() { <-a.room }()
	default:
		a.metrics.passed.WithLabelValues("busy").Inc()
		transport.WriteError(w, api.NewError("pass on question", "", api.CodeOverloaded, api.OutcomeNotRun, "%d questions are passed on already", mostPassedOn))
		return
	}
	reply := a.passOn(r.Context(), message)
	outcome := "unreached"
	if reply.Reached {
		outcome = "answered"
	}
	a.metrics.passed.WithLabelValues(outcome).Inc()
	transport.WriteJSON(w, http.StatusOK, reply)
}

// passOn asks the process straight.
func (a *Asker) passOn(ctx context.Context, message Message) Reply {
	target, known := find(a.settings.Nodes(), message.Target)
	a.mutex.Lock()
	reaches := a.ways.Reaches(clock.Now(), message.Target)
	a.mutex.Unlock()
	if !known || !reaches {
		return Reply{Failure: "not known or not reached here", Outcome: api.OutcomeNotRun}
	}
	ctx, cancel := context.WithTimeout(ctx, min(message.Within, longestWithin))
	defer cancel()
	question := Question{Step: "pass on question", Target: target, Path: message.Path}
	end := a.send(ctx, detour.Way{}, question, message.Body)
	tells := ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) && message.Within >= tellingTime
	if tells || end.result == detour.Answered {
		a.passed(message.Target, end.result)
	}
	reply := Reply{Reached: end.result == detour.Answered, Body: end.body}
	if end.err != nil {
		reply.Failure, reply.Outcome = end.err.Error(), outcomeOf(end.err)
	}
	return reply
}

// passed takes what became of a question that was passed on.
func (a *Asker) passed(target api.NodeID, result detour.Result) {
	a.changed(target, outcome{result: result}, func(now time.Time) bool { return a.ways.Passed(now, target, result) })
}

// outcomeOf reads an error's outcome; unknown where it tells none.
func outcomeOf(err error) api.Outcome {
	var failure *api.Error
	if errors.As(err, &failure) {
		return failure.Outcome
	}
	return api.OutcomeUnknown
}
