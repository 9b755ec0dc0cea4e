// Package transport implements the common parts of the internal HTTP/JSON protocol: HTTP
// clients, calls with typed bodies and errors, limits on request bodies, and traffic counts.
package transport

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/dykewing/dykewing/api"
)

// MaxControlBytes is the maximum size of the body of a control message.
const MaxControlBytes = 64 << 20

// maxErrorBytes is the number of bytes that are read of an error body.
const maxErrorBytes = 64 << 10

// maxRetryAfterSeconds caps the Retry-After header of a peer's response.
const maxRetryAfterSeconds = 24 * 60 * 60

// Call posts request as JSON to address+path and decodes the response into answer, which
// may be nil. Errors are *api.Error with the step and with the address as peer.
func Call(ctx context.Context, client *http.Client, step, address, path string, request, answer any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return api.NewError(step, address, api.CodeInternal, api.OutcomeNotRun, "encode: %w", err)
	}
	return exchange(ctx, client, step, http.MethodPost, address, path, body, answer)
}

// Post sends a body of the given content type and discards the response body.
func Post(ctx context.Context, client *http.Client, step, address, path, contentType string, body []byte) *api.Error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return api.NewError(step, address, api.CodeInternal, api.OutcomeNotRun, "%w", err)
	}
	request.Header.Set("Content-Type", contentType)
	// Omits the default User-Agent of net/http, which no peer uses.
	request.Header["User-Agent"] = nil
	response, err := client.Do(request)
	if err != nil {
		return SendError(step, address, err)
	}
	defer response.Body.Close()
	if response.StatusCode >= 300 {
		return ReadError(step, address, response)
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxErrorBytes))
	return nil
}

// Get reads address+path and decodes the response into answer. Errors are as of Call.
func Get(ctx context.Context, client *http.Client, step, address, path string, answer any) error {
	return exchange(ctx, client, step, http.MethodGet, address, path, nil, answer)
}

// GetWithIdleTimeout is like Get for large responses: the header must arrive within headerTimeout,
// and the body must not pause for longer than idleTimeout, but its total time is not
// limited.
func GetWithIdleTimeout(ctx context.Context, client *http.Client, step, address, path string, headerTimeout, idleTimeout time.Duration, answer any) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(headerTimeout, func() { cancel(context.DeadlineExceeded) })
	defer timer.Stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return api.NewError(step, address, api.CodeInternal, api.OutcomeNotRun, "%w", err)
	}
	response, err := client.Do(request)
	if err != nil {
		return SendError(step, address, err)
	}
	defer response.Body.Close()
	timer.Reset(idleTimeout)
	if response.StatusCode >= http.StatusMultipleChoices {
		return ReadError(step, address, response)
	}
	raw, err := io.ReadAll(io.LimitReader(ResetOnRead(response.Body, timer, idleTimeout), MaxControlBytes))
	timer.Stop()
	if err == nil {
		err = json.Unmarshal(raw, answer)
	}
	if err != nil {
		return api.NewError(step, address, api.CodeUpstream, api.OutcomeUnknown, "read answer: %w", err)
	}
	return nil
}

// ResetOnRead returns a body that resets the timer to timeout each time that data arrives.
func ResetOnRead(body io.ReadCloser, timer *time.Timer, timeout time.Duration) io.ReadCloser {
	return &idleTimeoutBody{ReadCloser: body, timer: timer, timeout: timeout}
}

type idleTimeoutBody struct {
	io.ReadCloser
	timer   *time.Timer
	timeout time.Duration
}

func (b *idleTimeoutBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.timer.Reset(b.timeout)
	}
	return n, err
}

func exchange(ctx context.Context, client *http.Client, step, method, address, path string, body []byte, answer any) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return api.NewError(step, address, api.CodeInternal, api.OutcomeNotRun, "%w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return SendError(step, address, err)
	}
	defer response.Body.Close()
	if response.StatusCode >= 300 {
		return ReadError(step, address, response)
	}
	if answer == nil {
		_, err = io.Copy(io.Discard, io.LimitReader(response.Body, maxErrorBytes))
	} else {
		err = json.NewDecoder(io.LimitReader(response.Body, MaxControlBytes)).Decode(answer)
	}
	if err != nil {
		return api.NewError(step, address, api.CodeUpstream, api.OutcomeUnknown, "read answer: %w", err)
	}
	return nil
}

// SendError returns the api.Error of a failed round trip. Its outcome is not run only if
// no connection was made, so that no byte of the request was sent.
func SendError(step, peer string, err error) *api.Error {
	outcome := api.OutcomeUnknown
	if IsDialError(err) {
		outcome = api.OutcomeNotRun
	}
	return &api.Error{Step: step, Peer: peer, Code: errorCode(err), Outcome: outcome, Err: err}
}

// IsDialError reports whether the error occurred while dialing.
func IsDialError(err error) bool {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return true
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// WriteError responds with the status, JSON body, outcome and Retry-After of the error.
func WriteError(w http.ResponseWriter, err *api.Error) {
	header := w.Header()
	header.Del("Content-Length")
	header.Set("Content-Type", "application/json")
	header.Set(api.HeaderOutcome, string(err.Outcome))
	if err.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(err.RetryAfter.Seconds()))))
	}
	status := err.Code.HTTPStatus()
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(NewErrorBody(err))
}

// NewErrorBody returns the JSON body of an error response.
func NewErrorBody(err *api.Error) api.ErrorBody {
	message := err.Error()
	return api.ErrorBody{
		Error: api.ErrorDetail{
			Message: message, Type: errorType(err.Code), Code: err.Code,
			Outcome: err.Outcome, Step: err.Step, Peer: err.Peer, Leader: err.Leader,
		},
		Outcome: err.Outcome,
	}
}

func errorType(code api.ErrorCode) string {
	switch status := code.HTTPStatus(); {
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < 500:
		return "invalid_request_error"
	}
	return "server_error"
}

// ReadError decodes an error response of another node. It does not close the body.
func ReadError(step, peer string, response *http.Response) *api.Error {
	raw, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	failure := &api.Error{Step: step, Peer: peer, Code: api.CodeUpstream, Outcome: api.OutcomeUnknown}
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil && seconds > 0 {
		failure.RetryAfter = min(time.Duration(seconds), maxRetryAfterSeconds) * time.Second
	}
	var body api.ErrorBody
	if err := json.Unmarshal(raw, &body); err != nil || body.Error.Code == "" {
		failure.Err = fmt.Errorf("status %d: %s", response.StatusCode, strings.TrimSpace(string(raw)))
		return failure
	}
	failure.Code = body.Error.Code
	if body.Outcome != "" {
		failure.Outcome = body.Outcome
	}
	failure.Leader = body.Error.Leader
	failure.Err = errors.New(body.Error.Message)
	return failure
}

// WriteJSON responds with a JSON body.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// ReadJSON decodes a request body of at most limit bytes. The error, if any, can be passed
// to WriteError.
func ReadJSON(w http.ResponseWriter, r *http.Request, step string, limit int64, value any) *api.Error {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit)).Decode(value)
	if err == nil {
		return nil
	}
	return BodyError(step, err)
}

// BodyError returns the api.Error of a failure to read a request body.
func BodyError(step string, err error) *api.Error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return api.NewError(step, "", api.CodeTooLarge, api.OutcomeNotRun, "body is over %d bytes", tooLarge.Limit)
	}
	return api.NewError(step, "", api.CodeBadRequest, api.OutcomeNotRun, "read body: %w", err)
}
