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

// recorder passes an answer to the caller and keeps a bounded copy. It goes on
// when the caller is gone.
type recorder struct {
	http.ResponseWriter
	status int
	body   bytes.Buffer
	large  bool // the copy is left out
	gone   bool // the caller is
}

// WriteHeader notes the status.
func (w *recorder) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// Write never fails: the answer is read to its end for the record.
func (w *recorder) Write(data []byte) (int, error) {
	if w.body.Len()+len(data) > maximumRecordBody {
		w.large = true
	}
	if !w.large {
		w.body.Write(data)
	}
	if !w.gone {
		_, err := w.ResponseWriter.Write(data)
		w.gone = err != nil
	}
	return len(data), nil
}

// Unwrap lets http.ResponseController reach the connection.
func (w *recorder) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// relayClaimed passes the answer on and records it. A whole answer is recorded
// before its first byte goes out: a caller that has it never learns less from a
// resend.
func (s *Sidecar) relayClaimed(ctx context.Context, w http.ResponseWriter, request *onlineRequest, answer *answer) {
	if answer.whole {
		record := jobs.RecordRequest{
			Outcome: api.OutcomeRan, Status: answer.response.StatusCode,
			Type: answer.response.Header.Get("Content-Type"), Body: answer.first,
		}
		s.recordNow(request, record)
		if err := s.relay(ctx, w, request, answer); err != nil {
			s.broken(request, err)
		}
		s.metrics.requests.WithLabelValues(resultOK).Inc()
		return
	}
	recorder := &recorder{ResponseWriter: w}
	contentType := answer.response.Header.Get("Content-Type")
	if err := s.relay(ctx, recorder, request, answer); err != nil {
		s.recordNow(request, unknownRecord(api.AsError("relay answer", err)))
		s.broken(request, err)
	}
	record := jobs.RecordRequest{Outcome: api.OutcomeRan, Status: recorder.status, Type: contentType, Body: recorder.body.Bytes()}
	if recorder.large {
		record.Body, record.Status = nil, 0
	}
	s.recordNow(request, record)
	s.metrics.requests.WithLabelValues(resultOK).Inc()
}

// unknownRecord keeps a failure as the answer that every resend gets.
func unknownRecord(failure *api.Error) jobs.RecordRequest {
	kept := *failure
	kept.Outcome = api.OutcomeUnknown
	body, _ := json.Marshal(transport.BodyOf(&kept))
	return jobs.RecordRequest{Outcome: api.OutcomeUnknown, Status: kept.Code.HTTPStatus(), Type: "application/json", Body: body}
}

// replay answers a resend with what is recorded.
func (s *Sidecar) replay(w http.ResponseWriter, request *onlineRequest, recorded *jobs.RecordRequest) {
	if recorded.Tenant != request.routed.Tenant || recorded.Key != request.key {
		s.metrics.crossed.Inc()
		s.refuse(w, api.NewError("replay answer", "", api.CodeOutcomeUnknown, api.OutcomeUnknown, "the recorded answer is of another key"))
		return
	}
	if recorded.Status == 0 {
		s.refuse(w, api.NewError("replay answer", "", api.CodeConflict, api.OutcomeRan, "the request ran, but its answer was over %d bytes and is not kept", maximumRecordBody))
		return
	}
	header := w.Header()
	header.Set("Content-Type", recorded.Type)
	header.Set(api.HeaderOutcome, string(recorded.Outcome))
	header.Set(api.HeaderReplayed, "true")
	w.WriteHeader(recorded.Status)
	_, _ = w.Write(recorded.Body)
	s.metrics.replayed.Inc()
}
