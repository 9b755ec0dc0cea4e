package sidecar

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/tidwall/gjson"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/engine"
	"github.com/dykewing/dykewing/internal/transport"
)

const (
	// maximumHeldAnswer bounds an answer that is read whole before its first
	// byte goes to the caller, so that one that breaks off can be had again.
	maximumHeldAnswer = 1 << 20
	// maximumHeldAnswers bounds such answers of all requests together; past it
	// they are passed on as they come.
	maximumHeldAnswers = 256 << 20
)

var errNotJSON = errors.New("the answer is not whole JSON")

// answer is a back end's answer whose beginning is sure.
type answer struct {
	response *http.Response
	worker   string
	stream   bool                // server-sent events
	first    []byte              // held part: the whole answer, or a stream's first event
	whole    bool                // first is all
	events   *engine.EventReader // the rest of a stream
	release  func()
	resumes  int // how often the stream was gone on with
}

// begin checks that the router's answer is the back end's, and for this
// request; it reads a short answer whole and a stream's first event.
func (s *Sidecar) begin(ctx context.Context, response *http.Response, request *onlineRequest, home string) (*answer, *api.Error) {
	const step = "read answer of router"
	if response.Header.Get(api.HeaderOutcome) != string(api.OutcomeRan) {
		defer response.Body.Close()
		return nil, transport.ReadError(step, home, response)
	}
	if echoed := response.Header.Get(api.HeaderRequestID); echoed != string(request.routed.ID) && !s.takeCrossed {
		response.Body.Close()
		s.metrics.crossed.Inc()
		return nil, api.NewError(step, home, api.CodeOutcomeUnknown, api.OutcomeUnknown, "the answer is for request %q", echoed)
	}
	result := &answer{response: response, worker: response.Header.Get(api.HeaderWorker), release: func() {}}
	var err error
	if result.stream = engine.IsEventStream(response.Header); result.stream {
		err = s.beginStream(ctx, request, result)
	} else {
		err = s.hold(result)
	}
	if err != nil {
		result.close()
		return nil, api.NewError(step, home, api.CodeUpstream, api.OutcomeUnknown, "answer broke off: %w", err)
	}
	return result, nil
}

func (a *answer) close() {
	a.response.Body.Close()
	a.release()
}

// beginStream reads the first event. A model's stream without one has broken
// off: the engine is asked for it before the request is sent anywhere again.
func (s *Sidecar) beginStream(ctx context.Context, request *onlineRequest, a *answer) error {
	a.events = engine.NewEventReader(a.response.Body)
	event, err := a.events.Next()
	for err != nil {
		if err == io.EOF && !request.modelPath() {
			return nil
		}
		if err = s.resume(ctx, request, a, 0, err); err != nil {
			return err
		}
		event, err = a.events.Next()
	}
	a.first = bytes.Clone(event)
	return nil
}

// hold reads a short answer whole; a longer one is passed on as it comes.
func (s *Sidecar) hold(a *answer) error {
	length := a.response.ContentLength
	room := int64(maximumHeldAnswer)
	if length >= 0 {
		room = length + bytes.MinRead
	}
	if length > maximumHeldAnswer || !s.holdBytes(room) {
		return nil
	}
	a.release = func() { s.held.Add(-room) }
	buffer := bytes.NewBuffer(make([]byte, 0, max(length, 0)+bytes.MinRead))
	if _, err := io.Copy(buffer, io.LimitReader(a.response.Body, maximumHeldAnswer)); err != nil {
		return err
	}
	a.first = buffer.Bytes()
	a.whole = len(a.first) < maximumHeldAnswer || a.response.ContentLength == maximumHeldAnswer
	if a.whole && isJSON(a.response.Header) && !gjson.ValidBytes(a.first) && !s.takeTruncated {
		s.metrics.truncated.Inc()
		return errNotJSON
	}
	return nil
}

func (s *Sidecar) holdBytes(bytes int64) bool {
	if s.held.Add(bytes) <= maximumHeldAnswers {
		return true
	}
	s.held.Add(-bytes)
	return false
}

func isJSON(header http.Header) bool {
	return strings.HasPrefix(header.Get("Content-Type"), "application/json")
}
