package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/jobs"
)

// recorder writes a response to the caller and keeps a bounded copy. It continues after
// the caller has disconnected.
type recorder struct {
	http.ResponseWriter
	status       int
	body         bytes.Buffer
	overLimit    bool // the body is too large to be recorded
	disconnected bool // writing to the caller failed
}

// WriteHeader implements http.ResponseWriter.
func (w *recorder) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// Write never fails, so that the response is read to its end.
func (w *recorder) Write(data []byte) (int, error) {
	if w.body.Len()+len(data) > maxRecordBody {
		w.overLimit = true
	}
	if !w.overLimit {
		w.body.Write(data)
	}
	if !w.disconnected {
		_, err := w.ResponseWriter.Write(data)
		w.disconnected = err != nil
	}
	return len(data), nil
}

// Unwrap lets http.ResponseController reach the connection.
func (w *recorder) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// relayClaimed relays the response and records it. A complete response is recorded before
// its first byte is sent, so that a resend gets what the caller has already seen.
func (s *Sidecar) relayClaimed(ctx context.Context, w http.ResponseWriter, request *onlineRequest, answer *upstreamResponse) {
	if answer.complete {
		record := jobs.RecordAnswer{
			Outcome: api.OutcomeRan, Status: answer.response.StatusCode,
			ContentType: answer.response.Header.Get("Content-Type"), Body: answer.head,
		}
		s.recordAndWait(request, record)
		if err := s.relay(ctx, w, request, answer); err != nil {
			s.abort(request, err)
		}
		s.metrics.requests.WithLabelValues(resultOK).Inc()
		return
	}
	recorder := &recorder{ResponseWriter: w}
	contentType := answer.response.Header.Get("Content-Type")
	if err := s.relay(ctx, recorder, request, answer); err != nil {
		s.recordAndWait(request, unknownRecord(api.AsError("relay answer", err)))
		s.abort(request, err)
	}
	record := jobs.RecordAnswer{Outcome: api.OutcomeRan, Status: recorder.status, ContentType: contentType, Body: recorder.body.Bytes()}
	if recorder.overLimit {
		record.Body, record.Status = nil, 0
	}
	s.recordAndWait(request, record)
	s.metrics.requests.WithLabelValues(resultOK).Inc()
}

// unknownRecord returns a record that replays the failure to every resend.
func unknownRecord(failure *api.Error) jobs.RecordAnswer {
	recorded := *failure
	recorded.Outcome = api.OutcomeUnknown
	body, _ := json.Marshal(transport.NewErrorBody(&recorded))
	return jobs.RecordAnswer{Outcome: api.OutcomeUnknown, Status: recorded.Code.HTTPStatus(), ContentType: "application/json", Body: body}
}

// replay responds to a resend with the recorded response.
func (s *Sidecar) replay(w http.ResponseWriter, request *onlineRequest, recorded *jobs.RecordAnswer) {
	if recorded.Tenant != request.routed.Tenant || recorded.Key != request.key {
		s.metrics.mismatched.Inc()
		s.refuse(w, api.NewError("replay answer", "", api.CodeOutcomeUnknown, api.OutcomeUnknown, "the recorded response belongs to another key"))
		return
	}
	if recorded.Status == 0 {
		s.refuse(w, api.NewError("replay answer", "", api.CodeConflict, api.OutcomeRan, "the request ran, but its answer was over %d bytes and is not kept", maxRecordBody))
		return
	}
	header := w.Header()
	header.Set("Content-Type", recorded.ContentType)
	header.Set(api.HeaderOutcome, string(recorded.Outcome))
	header.Set(api.HeaderReplayed, "true")
	w.WriteHeader(recorded.Status)
	_, _ = w.Write(recorded.Body)
	s.metrics.replayed.Inc()
}
