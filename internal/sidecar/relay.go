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
	writeTimeout      = 30 * time.Second // for a caller to take a part of an answer
	writeTimeoutSlack = 5 * time.Second  // how exact it is
)

var errNoDone = errors.New("the stream ended without its last event")

// callerWriter writes to a caller, who may take no longer than writeTimeout for
// a part.
type callerWriter struct {
	http.ResponseWriter
	controller *http.ResponseController
	deadline   time.Time
}

func newCallerWriter(w http.ResponseWriter) *callerWriter {
	return &callerWriter{ResponseWriter: w, controller: http.NewResponseController(w)}
}

// Write sets the deadline anew once it has come nearer.
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

// relay passes the answer to the caller and closes it. After an error the
// caller has a part of the answer: its connection must be cut.
func (s *Sidecar) relay(ctx context.Context, w http.ResponseWriter, request *onlineRequest, answer *answer) error {
	defer func() { answer.close() }()
	header := w.Header()
	for _, name := range []string{"Content-Type", "Content-Length", "Retry-After", api.HeaderOutcome, api.HeaderWorker} {
		if value := answer.response.Header.Get(name); value != "" {
			header.Set(name, value)
		}
	}
	if answer.stream {
		header.Del("Content-Length") // of the part that came before it broke
	}
	w.WriteHeader(answer.response.StatusCode)
	writer := newCallerWriter(w)
	if answer.stream {
		return s.relayStream(ctx, writer, request, answer)
	}
	if _, err := writer.Write(answer.first); err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	if answer.whole {
		return nil
	}
	return engine.CopyStream(writer, answer.response.Body)
}

// relayStream passes events on, and goes on by request id where the stream
// breaks, so that the caller misses none and gets none twice.
func (s *Sidecar) relayStream(ctx context.Context, w *callerWriter, request *onlineRequest, answer *answer) error {
	event, err := answer.first, error(nil)
	passed := 0 // events that count
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

// writeErrorEvent tells the caller in the stream why it ends here.
func writeErrorEvent(w *callerWriter, err error) {
	body, _ := json.Marshal(transport.BodyOf(api.AsError("relay stream", err)))
	_, _ = fmt.Fprintf(w, "data: %s\n\n", body)
	_ = w.controller.Flush()
}
