package transport

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"sync"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/retry"
)

// replayHeaders make net/http take a POST for idempotent, so that it may send
// it a second time by itself. They never leave a process under these names.
var replayHeaders = []string{api.HeaderIdempotencyKey, "X-Idempotency-Key"}

// Send sends the request at most once and gives the answer when its header is
// there. net/http resends a request on a reused connection that broke when it
// can rewind the body or when a header calls the request idempotent; both are
// taken away here, since only package retry may decide to send again. A
// failure says whether any byte of the request can have left.
func Send(client *http.Client, request *http.Request, step, peer string) (*http.Response, *api.Error) {
	request.GetBody = nil
	for _, name := range replayHeaders {
		request.Header.Del(name)
	}
	var watch sendWatch
	trace := &httptrace.ClientTrace{GotConn: watch.gotConn}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	response, err := roundTrip(client, request)
	if err != nil {
		return nil, sendFailure(step, peer, err, watch.evidence())
	}
	return response, nil
}

// roundTrip leaves out what http.Client adds for redirects and cookies, which
// are not used here and cost a copy of the header.
func roundTrip(client *http.Client, request *http.Request) (*http.Response, error) {
	if client.Transport == nil || client.Timeout != 0 {
		return client.Do(request)
	}
	return client.Transport.RoundTrip(request)
}

// sendWatch follows the connections that one request was given.
type sendWatch struct {
	mutex  sync.Mutex
	conns  []*countingConn
	before []int64
	blind  bool // a connection whose bytes are not counted
}

func (w *sendWatch) gotConn(info httptrace.GotConnInfo) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	conn, ok := info.Conn.(*countingConn)
	if !ok {
		w.blind = true
		return
	}
	w.conns = append(w.conns, conn)
	w.before = append(w.before, conn.attempted.Load())
}

// evidence ends the request's connections and reads whether a byte left.
func (w *sendWatch) evidence() retry.Evidence {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	evidence := retry.Evidence{Connected: w.blind || len(w.conns) > 0, BytesLeft: w.blind}
	for i, conn := range w.conns {
		conn.forbid()
		if conn.attempted.Load() != w.before[i] {
			evidence.BytesLeft = true
		}
	}
	return evidence
}

func sendFailure(step, peer string, err error, evidence retry.Evidence) *api.Error {
	return &api.Error{Step: step, Peer: peer, Code: codeOf(err), Outcome: retry.OutcomeOf(evidence), Err: err}
}

func codeOf(err error) api.ErrorCode {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return api.CodeDeadline
	case errors.Is(err, context.Canceled):
		return api.CodeClientCancelled
	}
	return api.CodeUpstream
}
