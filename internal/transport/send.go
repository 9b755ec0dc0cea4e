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

// Response is a response whose header has arrived, with what is known of its request's attempt.
type Response struct {
	*http.Response
	Evidence retry.Evidence
}

// Send sends the request at most once and returns the response once its header has
// arrived. net/http retries a request on a broken reused connection if GetBody is set, if a
// header marks it as idempotent, or if its method is idempotent and it has no body. Send
// changes the request so that none holds, since only package retry decides about retries.
// The outcome of the error says whether any byte of the request may have been sent, and
// retry.EvidenceOf returns what it rests on.
//
// No connection carries two requests with the same id, so that an answer to an earlier one is not taken
// for that to a later one: a connection that has carried the id is closed, and another one is used. An
// empty id is not checked.
func Send(client *http.Client, request *http.Request, id, step, peer string) (*Response, *api.Error) {
	newBody := request.GetBody
	for {
		preventRetries(request)
		watch := connTrace{id: id}
		trace := &httptrace.ClientTrace{GotConn: watch.gotConn}
		response, err := roundTrip(client, request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
		if err == nil {
			evidence := watch.evidence()
			evidence.Status = response.StatusCode
			return &Response{Response: response, Evidence: evidence}, nil
		}
		evidence := watch.abandon()
		if !watch.lastConnUnsuitable() || !renewBody(request, newBody) {
			return nil, sendFailure(step, peer, err, evidence)
		}
	}
}

// renewBody gives the request its body once more. It returns false if that is not possible.
func renewBody(request *http.Request, newBody func() (io.ReadCloser, error)) bool {
	if newBody == nil {
		return request.ContentLength == 0
	}
	body, err := newBody()
	if err != nil {
		return false
	}
	request.Body = body
	return true
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
	id string // of the request; empty if connections may carry it twice

	mutex      sync.Mutex
	conns      []*countingConn
	baseline   []int64 // bytes attempted on each connection before the request
	reused     bool    // the last connection had carried other requests
	unsuitable bool    // the last connection must not carry the request, and nothing was written to it
	untracked  bool    // a connection does not count bytes
}

func (w *connTrace) gotConn(info httptrace.GotConnInfo) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.reused = info.Reused
	conn, ok := info.Conn.(*countingConn)
	if !ok {
		w.untracked = true
		return
	}
	if w.unsuitable = w.id != "" && !conn.carry(w.id); w.unsuitable {
		conn.blockWrites() // net/http closes it as broken
		return
	}
	w.conns = append(w.conns, conn)
	w.baseline = append(w.baseline, conn.attempted.Load())
}

// lastConnUnsuitable reports whether the last connection must not carry the request.
func (w *connTrace) lastConnUnsuitable() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.unsuitable
}

// abandon closes the request's connections, after blocking further writes, and returns the evidence, which
// is final then. net/http may keep the connection of a response without a body that RoundTripper rejects.
func (w *connTrace) abandon() retry.Evidence {
	w.mutex.Lock()
	for _, conn := range w.conns {
		conn.blockWrites()
		conn.Close()
	}
	w.mutex.Unlock()
	return w.evidence()
}

// evidence returns what is known of the attempt. More bytes may follow unless it was abandoned.
func (w *connTrace) evidence() retry.Evidence {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	evidence := retry.Evidence{Connected: w.untracked || len(w.conns) > 0, Reused: w.reused}
	if w.untracked {
		evidence.BytesWritten = 1
	}
	for i, conn := range w.conns {
		evidence.BytesWritten += conn.attempted.Load() - w.baseline[i]
	}
	return evidence
}

func sendFailure(step, peer string, err error, evidence retry.Evidence) *api.Error {
	return &api.Error{
		Step: step, Peer: peer, Code: errorCode(err), Outcome: retry.OutcomeWithoutResponse(evidence),
		Err: &retry.EvidenceError{Evidence: evidence, Err: err},
	}
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
