package sidecar

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/engine"
	"github.com/dykewing/dykewing/internal/transport"
)

const (
	writeTimeout      = 30 * time.Second // for one write to a caller
	writeTimeoutSlack = 5 * time.Second  // bounds how often the deadline is set
)

var errUnterminatedStream = errors.New("stream ended without [DONE] event")

// callerWriter writes to a caller with a timeout for each write.
type callerWriter struct {
	http.ResponseWriter
	controller *http.ResponseController
	deadline   time.Time
}

func newCallerWriter(w http.ResponseWriter) *callerWriter {
	return &callerWriter{ResponseWriter: w, controller: http.NewResponseController(w)}
}

// Write extends the write deadline when it is near enough.
func (w *callerWriter) Write(data []byte) (int, error) {
	now := time.Now()
	if w.deadline.Sub(now) < writeTimeout-writeTimeoutSlack {
		w.deadline = now.Add(writeTimeout)
		_ = w.controller.SetWriteDeadline(w.deadline)
	}
	return w.ResponseWriter.Write(data)
}

// Unwrap lets http.ResponseController reach the connection.
func (w *callerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// relay writes the response to the caller and closes it. After an error the caller has
// only part of the response, and its connection must be aborted.
func (s *Sidecar) relay(ctx context.Context, w http.ResponseWriter, request *onlineRequest, answer *upstreamResponse) error {
	defer func() { answer.close() }()
	header := w.Header()
	for _, name := range []string{"Content-Type", "Content-Length", "Retry-After", api.HeaderOutcome, api.HeaderWorker} {
		if value := answer.response.Header.Get(name); value != "" {
			header.Set(name, value)
		}
	}
	if answer.stream {
		header.Del("Content-Length") // a resumed stream may have another length
	}
	w.WriteHeader(answer.response.StatusCode)
	writer := newCallerWriter(w)
	if answer.stream {
		return s.relayStream(ctx, writer, request, answer)
	}
	if _, err := writer.Write(answer.head); err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	if answer.complete {
		return nil
	}
	return engine.CopyStream(writer, answer.response.Body)
}

// relayStream relays events and resumes an interrupted stream by request id, so that the
// caller gets each event exactly once.
func (s *Sidecar) relayStream(ctx context.Context, w *callerWriter, request *onlineRequest, answer *upstreamResponse) error {
	event, err := answer.head, error(nil)
	passed := 0 // events other than comments
	for {
		if err != nil {
			if err == io.EOF && !request.modelPath() {
				return nil
			}
			if err = s.resume(ctx, request, answer, passed, err); err != nil {
				writeErrorEvent(w, err)
				return err
			}
			event, err = answer.events.Next()
			continue
		}
		if _, err := w.Write(event); err != nil {
			return fmt.Errorf("write to caller: %w", err)
		}
		_ = w.controller.Flush()
		if engine.IsDone(event) {
			return nil
		}
		if !engine.IsComment(event) {
			passed++
		}
		event, err = answer.events.Next()
	}
}

// writeErrorEvent ends the stream with an event that holds the error.
func writeErrorEvent(w *callerWriter, err error) {
	body, _ := json.Marshal(transport.NewErrorBody(api.AsError("relay stream", err)))
	_, _ = fmt.Fprintf(w, "data: %s\n\n", body)
	_ = w.controller.Flush()
}
