package frontend

import (
	"context"
	"errors"
	"fmt"
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
	body := &unreadEvent{ctx: ctx, source: incoming.Response.Body, memory: memory, reserved: streamBufferBytes}
	events, sequence, total := engine.NewEventReader(body), engine.NewSequence(x.lastEventID), 0
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
			return brokenStream(ticket, x.lastEventID, err)
		}
		body.taken(len(event))
		if total += len(event); total > maxResponseBytes {
			return brokenStream(ticket, x.lastEventID, fmt.Errorf("%w of %d bytes", errResponseTooLong, maxResponseBytes))
		}
		if _, err := sequence.Check(event); err != nil {
			return brokenStream(ticket, x.lastEventID, err)
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
		if id, ok := engine.EventID(event); ok {
			x.lastEventID = id
		}
	}
}

// brokenStream is the result of a stream that must not go on after its last event.
func brokenStream(ticket *backend.Assignment, lastEvent string, err error) attemptResult {
	failure := api.NewError("relay stream", ticket.Worker.ID, readErrorCode(err), api.OutcomeUnknown, "after event %q: %w", lastEvent, err)
	return attemptResult{status: attemptMaybeRun, failure: failure}
}

// unreadEvent reserves memory for the event that is being read.
type unreadEvent struct {
	ctx      context.Context
	source   io.Reader
	memory   allocation
	unread   int64 // bytes read since the last whole event
	reserved int64
}

// Read reads from the stream, and reserves as much again for what the reader of events may copy.
func (u *unreadEvent) Read(p []byte) (int, error) {
	n, err := u.source.Read(p)
	u.unread += int64(n)
	if more := 2*u.unread - u.reserved; more > 0 {
		if err := u.memory.grow(u.ctx, more); err != nil {
			return n, err
		}
		u.reserved += more
	}
	return n, err
}

// taken notes that an event was taken from the bytes read.
func (u *unreadEvent) taken(bytes int) { u.unread -= int64(bytes) }

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
