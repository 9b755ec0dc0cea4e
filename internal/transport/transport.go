// Package transport has the small common parts of the internal HTTP/JSON
// protocol: calls with typed bodies, and typed errors on both sides.
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

// MaximumControlBytes bounds the body of a control message.
const MaximumControlBytes = 64 << 20

// maximumErrorBytes bounds how much of an error body is read.
const maximumErrorBytes = 64 << 10

// maximumRetryAfterSeconds bounds what a peer's advice is taken for.
const maximumRetryAfterSeconds = 24 * 60 * 60

// Call posts request as JSON to address+path and decodes the answer; answer
// may be nil. Failures are *api.Error with the step and the address as peer.
func Call(ctx context.Context, client *http.Client, step, address, path string, request, answer any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return api.NewError(step, address, api.CodeInternal, api.OutcomeNotRun, "encode: %w", err)
	}
	return exchange(ctx, client, step, http.MethodPost, address, path, body, answer)
}

// Post sends a body of a content type of its own; what the answer holds is not read.
func Post(ctx context.Context, client *http.Client, step, address, path, contentType string, body []byte) *api.Error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return api.NewError(step, address, api.CodeInternal, api.OutcomeNotRun, "%w", err)
	}
	request.Header.Set("Content-Type", contentType)
	// Nobody reads net/http's own name: 36 bytes of a message of 500.
	request.Header["User-Agent"] = nil
	response, err := client.Do(request)
	if err != nil {
		return SendError(step, address, err)
	}
	defer response.Body.Close()
	if response.StatusCode >= 300 {
		return ReadError(step, address, response)
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maximumErrorBytes))
	return nil
}

// Get reads address+path and decodes the answer.
func Get(ctx context.Context, client *http.Client, step, address, path string, answer any) error {
	return exchange(ctx, client, step, http.MethodGet, address, path, nil, answer)
}

// GetSteadily is Get for an answer that may be long: it is to begin within head, and to go on
// without a pause over mostPause, however long it takes in all.
func GetSteadily(ctx context.Context, client *http.Client, step, address, path string, head, mostPause time.Duration, answer any) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	late := time.AfterFunc(head, func() { cancel(context.DeadlineExceeded) })
	defer late.Stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return api.NewError(step, address, api.CodeInternal, api.OutcomeNotRun, "%w", err)
	}
	response, err := client.Do(request)
	if err != nil {
		return SendError(step, address, err)
	}
	defer response.Body.Close()
	late.Reset(mostPause)
	if response.StatusCode >= http.StatusMultipleChoices {
		return ReadError(step, address, response)
	}
	body := &steadyReader{from: io.LimitReader(response.Body, MaximumControlBytes), late: late, mostPause: mostPause}
	raw, err := io.ReadAll(body)
	late.Stop()
	if err == nil {
		err = json.Unmarshal(raw, answer)
	}
	if err != nil {
		return api.NewError(step, address, api.CodeUpstream, api.OutcomeUnknown, "read answer: %w", err)
	}
	return nil
}

// steadyReader begins the time of a pause anew with each piece that comes.
type steadyReader struct {
	from      io.Reader
	late      *time.Timer
	mostPause time.Duration
}

func (r *steadyReader) Read(p []byte) (int, error) {
	n, err := r.from.Read(p)
	if n > 0 {
		r.late.Reset(r.mostPause)
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
		_, err = io.Copy(io.Discard, response.Body)
	} else {
		err = json.NewDecoder(io.LimitReader(response.Body, MaximumControlBytes)).Decode(answer)
	}
	if err != nil {
		return api.NewError(step, address, api.CodeUpstream, api.OutcomeUnknown, "read answer: %w", err)
	}
	return nil
}

// SendError classifies a failed round trip: not run only when no connection
// was made, so that no byte of the request left.
func SendError(step, peer string, err error) *api.Error {
	outcome := api.OutcomeUnknown
	if NeverConnected(err) {
		outcome = api.OutcomeNotRun
	}
	return &api.Error{Step: step, Peer: peer, Code: codeOf(err), Outcome: outcome, Err: err}
}

// NeverConnected tells whether the error arose while dialling.
func NeverConnected(err error) bool {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return true
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// WriteError answers with the error's JSON body, outcome and Retry-After.
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
	_ = json.NewEncoder(w).Encode(BodyOf(err))
}

// BodyOf gives the error's JSON body.
func BodyOf(err *api.Error) api.ErrorBody {
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

// ReadError decodes an error answer of another node and closes nothing.
func ReadError(step, peer string, response *http.Response) *api.Error {
	raw, _ := io.ReadAll(io.LimitReader(response.Body, maximumErrorBytes))
	failure := &api.Error{Step: step, Peer: peer, Code: api.CodeUpstream, Outcome: api.OutcomeUnknown}
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil && seconds > 0 {
		failure.RetryAfter = min(time.Duration(seconds), maximumRetryAfterSeconds) * time.Second
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

// WriteJSON answers with a JSON body.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// ReadJSON decodes a bounded request body; the error is ready to be written.
func ReadJSON(w http.ResponseWriter, r *http.Request, step string, limit int64, value any) *api.Error {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit)).Decode(value)
	if err == nil {
		return nil
	}
	return BodyError(step, err)
}

// BodyError classifies a failure to read a request's body.
func BodyError(step string, err error) *api.Error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return api.NewError(step, "", api.CodeTooLarge, api.OutcomeNotRun, "body is over %d bytes", tooLarge.Limit)
	}
	return api.NewError(step, "", api.CodeBadRequest, api.OutcomeNotRun, "read body: %w", err)
}
