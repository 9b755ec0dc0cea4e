package frontend

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/backend"
	"github.com/dykewing/dykewing/internal/engine"
)

// relayStream passes whole events on as they come. The answer's head waits for
// the first one, so that a stream that breaks before it leaves no trace.
func (x *exchange) relayStream(ctx context.Context, ticket *backend.Ticket, incoming *backend.Incoming) attemptResult {
	hold, controller := x.hold(), http.NewResponseController(x.w)
	if err := hold.grow(ctx, streamBytes); err != nil {
		failure := api.NewError("relay stream", ticket.Worker.ID, readCode(err), api.OutcomeUnknown, "%w", err)
		return attemptResult{verdict: mayRun, failure: failure}
	}
	events := engine.NewEventReader(incoming.Response.Body)
	cut := func() { _ = controller.SetWriteDeadline(time.Now()) }
	var pace streamPace
	for {
		event, err := events.Next()
		if err == io.EOF && !events.Cut() {
			if !x.begun {
				x.answer(incoming, nil)
			}
			x.noteStream(ticket, pace)
			return attemptResult{verdict: done}
		}
		if err != nil {
			failure := api.NewError("relay stream", ticket.Worker.ID, api.CodeUpstream, api.OutcomeUnknown, "after event %q: %w", x.lastEvent, err)
			return attemptResult{verdict: mayRun, failure: failure}
		}
		ticket.Started()
		pace.came(time.Now())
		if !x.begun {
			x.copyHeader(incoming.Response.Header)
			_ = controller.SetWriteDeadline(x.deadline)
			x.begin(incoming.Response.StatusCode)
		}
		if err := hold.event(ctx, len(event), cut); err != nil {
			x.gone("relay stream", err)
		}
		if _, err := x.w.Write(event); err != nil {
			x.gone("relay stream", err)
		}
		if err := controller.Flush(); err != nil {
			x.gone("relay stream", err)
		}
		hold.eventRead()
		pace.passedOn(time.Now())
		x.events++
		if id, ok := eventID(event); ok {
			x.lastEvent = id
		}
	}
}

// eventID finds the id line of an event.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(id)), true
		}
	}
	return "", false
}
