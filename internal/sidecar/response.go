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
	// maxBufferedResponse bounds a response that is buffered before its first byte goes
	// to the caller, so that an interrupted one can be retried.
	maxBufferedResponse = 1 << 20
	// maxBufferedBytes bounds the buffered responses of all requests. Beyond it,
	// responses are streamed.
	maxBufferedBytes = 256 << 20
)

var errInvalidJSON = errors.New("response is not valid JSON")

// upstreamResponse is a back end's response that has been checked and begun to be read.
type upstreamResponse struct {
	response *http.Response
	worker   string
	stream   bool                // server-sent events
	head     []byte              // buffered part: the body or a stream's first event
	complete bool                // head is the complete body
	events   *engine.EventReader // the rest of a stream
	release  func()
	resumes  int // number of times the stream was resumed
}

// openResponse checks that the response is from the back end and for this request. It buffers a
// short response, or the first event of a stream.
func (s *Sidecar) openResponse(ctx context.Context, response *http.Response, request *onlineRequest, home string) (*upstreamResponse, *api.Error) {
	const step = "read answer of router"
	if response.Header.Get(api.HeaderOutcome) != string(api.OutcomeRan) {
		defer response.Body.Close()
		return nil, transport.ReadError(step, home, response)
	}
	if echoed := response.Header.Get(api.HeaderRequestID); echoed != string(request.routed.ID) && !s.faultAcceptMismatched {
		response.Body.Close()
		s.metrics.mismatched.Inc()
		return nil, api.NewError(step, home, api.CodeOutcomeUnknown, api.OutcomeUnknown, "the answer is for request %q", echoed)
	}
	result := &upstreamResponse{response: response, worker: response.Header.Get(api.HeaderWorker), release: func() {}}
	var err error
	if result.stream = engine.IsEventStream(response.Header); result.stream {
		err = s.openStream(ctx, request, result)
	} else {
		err = s.bufferResponse(result)
	}
	if err != nil {
		result.close()
		return nil, api.NewError(step, home, api.CodeUpstream, api.OutcomeUnknown, "response interrupted: %w", err)
	}
	return result, nil
}

func (a *upstreamResponse) close() {
	a.response.Body.Close()
	a.release()
}

// openStream reads the first event. A model's stream without one was interrupted; it is
// resumed before the request is retried elsewhere.
func (s *Sidecar) openStream(ctx context.Context, request *onlineRequest, a *upstreamResponse) error {
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
	a.head = bytes.Clone(event)
	return nil
}

// bufferResponse buffers a response of at most maxBufferedResponse bytes; a longer one is streamed.
func (s *Sidecar) bufferResponse(a *upstreamResponse) error {
	length := a.response.ContentLength
	room := int64(maxBufferedResponse)
	if length >= 0 {
		room = length + bytes.MinRead
	}
	if length > maxBufferedResponse || !s.reserveBuffer(room) {
		return nil
	}
	a.release = func() { s.bufferedBytes.Add(-room) }
	buffer := bytes.NewBuffer(make([]byte, 0, max(length, 0)+bytes.MinRead))
	if _, err := io.Copy(buffer, io.LimitReader(a.response.Body, maxBufferedResponse)); err != nil {
		return err
	}
	a.head = buffer.Bytes()
	a.complete = len(a.head) < maxBufferedResponse || a.response.ContentLength == maxBufferedResponse
	if a.complete && isJSON(a.response.Header) && !gjson.ValidBytes(a.head) && !s.faultAcceptTruncated {
		s.metrics.truncated.Inc()
		return errInvalidJSON
	}
	return nil
}

func (s *Sidecar) reserveBuffer(bytes int64) bool {
	if s.bufferedBytes.Add(bytes) <= maxBufferedBytes {
		return true
	}
	s.bufferedBytes.Add(-bytes)
	return false
}

func isJSON(header http.Header) bool {
	return strings.HasPrefix(header.Get("Content-Type"), "application/json")
}
