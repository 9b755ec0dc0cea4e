package frontend

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/backend"
	"github.com/dykewing/dykewing/internal/engine"
)

// relayStream passes on complete events as they arrive. The response header is written
// with the first event, so that a stream that breaks before it can be retried.
func (x *exchange) relayStream(ctx context.Context, ticket *backend.Assignment, incoming *backend.WorkerResponse) attemptResult {
	memory, controller := x.allocateResponse(), http.NewResponseController(x.w)
	if err := memory.grow(ctx, streamBufferBytes); err != nil {
		failure := api.NewError("relay stream", ticket.Worker.ID, readErrorCode(err), api.OutcomeUnknown, "%w", err)
		return attemptResult{status: attemptMaybeRun, failure: failure}
	}
	events := engine.NewEventReader(incoming.Response.Body)
	cancel := func() { _ = controller.SetWriteDeadline(time.Now()) }
	var pace streamPace
	for {
		event, err := events.Next()
		if err == io.EOF && !events.Truncated() && !x.wholeStream(ctx, ticket, incoming, pace.events) {
			err = errWorkerGone
		}
		if err == io.EOF && !events.Truncated() {
			if !x.headerWritten {
				x.writeResponse(incoming, nil)
			}
			x.recordStream(ticket, pace)
			return attemptResult{status: attemptServed}
		}
		if err != nil {
			failure := api.NewError("relay stream", ticket.Worker.ID, api.CodeUpstream, api.OutcomeUnknown, "after event %q: %w", x.lastEventID, err)
			return attemptResult{status: attemptMaybeRun, failure: failure}
		}
		ticket.RecordPromptRead()
		pace.received(time.Now())
		if !x.headerWritten {
			x.copyHeader(incoming.Response.Header)
			_ = controller.SetWriteDeadline(x.deadline)
			x.recordOrigin(ticket)
			x.writeHeader(incoming.Response.StatusCode)
		}
		if err := memory.beginEvent(ctx, len(event), cancel); err != nil {
			x.abortCallerGone("relay stream", err)
		}
		if _, err := x.w.Write(event); err != nil {
			x.abortCallerGone("relay stream", err)
		}
		if err := controller.Flush(); err != nil {
			x.abortCallerGone("relay stream", err)
		}
		memory.endEvent()
		pace.forwarded(time.Now())
		x.events++
		if id, ok := eventID(event); ok {
			x.lastEventID = id
		}
	}
}

// errWorkerGone means that a response ended with its connection, which the crash of its worker
// closes as well.
var errWorkerGone = errors.New("the response has neither a length nor chunks, and its worker is gone")

// wholeStream reports whether a stream that ended after some events is whole. Without a length or
// chunks, one that has no event is not, unless it had only to confirm the end of a resumed one.
func (x *exchange) wholeStream(ctx context.Context, ticket *backend.Assignment, incoming *backend.WorkerResponse, events int) bool {
	if events == 0 && x.lastEventID == "" && !incoming.Framed() {
		return false
	}
	return incoming.Complete(ctx, ticket.Worker)
}

// eventID returns the id field of an event.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(id)), true
		}
	}
	return "", false
}
