package transport

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/retry"
)

// idempotencyHeaders make net/http treat a POST as idempotent and retry it. Send removes
// them.
var idempotencyHeaders = []string{api.HeaderIdempotencyKey, "X-Idempotency-Key"}

// idempotentMethods are those that net/http retries if the request has no body.
var idempotentMethods = []string{"", http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace}

// emptyBody is a body without bytes that net/http does not take for a missing one.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }

// Send sends the request at most once and returns the response once its header has
// arrived. net/http retries a request on a broken reused connection if GetBody is set, if a
// header marks it as idempotent, or if its method is idempotent and it has no body. Send
// changes the request so that none holds, since only package retry decides about retries.
// The outcome of the error says whether any byte of the request may have been sent.
func Send(client *http.Client, request *http.Request, step, peer string) (*http.Response, *api.Error) {
	preventRetries(request)
	var watch connTrace
	trace := &httptrace.ClientTrace{GotConn: watch.gotConn}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	response, err := roundTrip(client, request)
	if err != nil {
		return nil, sendFailure(step, peer, err, watch.progress())
	}
	return response, nil
}

func preventRetries(request *http.Request) {
	request.GetBody = nil
	for _, name := range idempotencyHeaders {
		request.Header.Del(name)
	}
	if (request.Body == nil || request.Body == http.NoBody) && slices.Contains(idempotentMethods, request.Method) {
		request.Body = emptyBody{}
	}
}

// roundTrip bypasses http.Client, whose handling of redirects and cookies is not needed and
// copies the header.
func roundTrip(client *http.Client, request *http.Request) (*http.Response, error) {
	if client.Transport == nil || client.Timeout != 0 {
		return client.Do(request)
	}
	return client.Transport.RoundTrip(request)
}

// connTrace records the connections that a request was assigned.
type connTrace struct {
	mutex     sync.Mutex
	conns     []*countingConn
	baseline  []int64 // bytes attempted on each connection before the request
	untracked bool    // a connection does not count bytes
}

func (w *connTrace) gotConn(info httptrace.GotConnInfo) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	conn, ok := info.Conn.(*countingConn)
	if !ok {
		w.untracked = true
		return
	}
	w.conns = append(w.conns, conn)
	w.baseline = append(w.baseline, conn.attempted.Load())
}

// progress blocks further writes on the request's connections and reports whether any byte
// may have been sent.
func (w *connTrace) progress() retry.AttemptProgress {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	progress := retry.AttemptProgress{Connected: w.untracked || len(w.conns) > 0, BytesWritten: w.untracked}
	for i, conn := range w.conns {
		conn.blockWrites()
		if conn.attempted.Load() != w.baseline[i] {
			progress.BytesWritten = true
		}
	}
	return progress
}

func sendFailure(step, peer string, err error, progress retry.AttemptProgress) *api.Error {
	return &api.Error{Step: step, Peer: peer, Code: errorCode(err), Outcome: retry.OutcomeWithoutResponse(progress), Err: err}
}

func errorCode(err error) api.ErrorCode {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return api.CodeDeadline
	case errors.Is(err, context.Canceled):
		return api.CodeClientCancelled
	}
	return api.CodeUpstream
}
