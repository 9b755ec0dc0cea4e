package kv

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/dykewing/dykewing/internal/transport"
)

const (
	maxErrorBytes    = 512
	maxResponseBytes = 64 << 20
)

// readOnlyPaths are the calls without side effects, which may be retried at another
// endpoint after any failure. Other calls fail over only if no connection to the first
// endpoint was made, since otherwise they may have taken effect there.
var readOnlyPaths = map[string]bool{PathRange: true, PathWatch: true}

// call posts a request within the timeout and decodes the response. Errors wrap
// ErrOutcomeUnknown if the request may have taken effect.
func (e *Etcd) call(ctx context.Context, path string, request, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, e.timeout)
	defer cancel()
	body, err := json.Marshal(request)
	if err != nil {
		return err
	}
	response, err := e.post(ctx, path, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	limited := io.LimitReader(response.Body, maxResponseBytes)
	if err := json.NewDecoder(limited).Decode(answer); err != nil {
		return fmt.Errorf("%w: read answer: %w", ErrOutcomeUnknown, err)
	}
	return nil
}

// post tries the endpoints in order for as long as it is safe to retry.
func (e *Etcd) post(ctx context.Context, path string, body []byte) (*http.Response, error) {
	failure := errors.New("no endpoint is configured")
	for _, endpoint := range e.endpoints {
		if err := e.limiter.Wait(ctx); err != nil {
			return nil, errors.Join(failure, fmt.Errorf("%w: %w", ErrRateLimited, err))
		}
		response, err := e.attempt(ctx, endpoint, path, body)
		if e.Observe != nil {
			e.Observe(path, err)
		}
		if err == nil {
			return response, nil
		}
		failure = fmt.Errorf("%s: %w", endpoint, err)
		if !readOnlyPaths[path] && errors.Is(err, ErrOutcomeUnknown) {
			return nil, failure
		}
	}
	return nil, failure
}

// attempt posts to one endpoint. Its errors wrap
// ErrOutcomeUnknown unless the request certainly had no effect: no connection was made, or the
// service rejected it.
func (e *Etcd) attempt(ctx context.Context, endpoint, path string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, endpoint+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := e.client.Do(request)
	if err != nil && transport.IsDialError(err) {
		return nil, err
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	failure := fmt.Errorf("status %d: %s", response.StatusCode, bytes.TrimSpace(text))
	switch {
	case response.StatusCode == http.StatusTooManyRequests:
		return nil, fmt.Errorf("%w: %w", ErrRateLimited, failure)
	case response.StatusCode >= http.StatusInternalServerError:
		return nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, failure)
	}
	return nil, failure
}
