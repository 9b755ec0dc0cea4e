package frontend

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/backend"
	"github.com/dykewing/dykewing/pressure"
)

const (
	// maxResponseBytes limits a response, maxErrorBytes one that is an error.
	maxResponseBytes = 64 << 20
	maxErrorBytes    = 1 << 20
)

// readErrorResponse buffers a worker's error response, which is passed on unless
// another worker may be tried.
func (x *exchange) readErrorResponse(ctx context.Context, ticket *backend.Assignment, incoming *backend.WorkerResponse) attemptResult {
	chunks, err := x.readWhole(ctx, ticket, incoming, maxErrorBytes)
	failure := api.NewError("read answer", ticket.Worker.ID, api.CodeUpstream, api.OutcomeUnknown, "status %d", incoming.Response.StatusCode)
	if err != nil {
		failure.Code, failure.Err = readErrorCode(err), err
		return attemptResult{status: attemptMaybeRun, failure: failure}
	}
	return attemptResult{status: attemptWorkerError, failure: failure, incoming: incoming, body: chunks}
}

// readErrorCode returns the error code for a response that could not be read. A lack of
// memory in this process is no fault of the worker.
func readErrorCode(err error) api.ErrorCode {
	if errors.Is(err, errMemoryBudget) {
		return api.CodeInternal
	}
	return api.CodeUpstream
}

// relayResponse buffers the whole response before it writes to the caller.
func (x *exchange) relayResponse(ctx context.Context, ticket *backend.Assignment, incoming *backend.WorkerResponse) attemptResult {
	chunks, err := x.readWhole(ctx, ticket, incoming, maxResponseBytes)
	if err != nil {
		failure := api.NewError("read answer", ticket.Worker.ID, readErrorCode(err), api.OutcomeUnknown, "%w", err)
		return attemptResult{status: attemptMaybeRun, failure: failure}
	}
	ticket.End()
	x.writeResponse(incoming, chunks)
	return attemptResult{status: attemptServed}
}

// readWhole buffers the body of a response of at most limit bytes. It returns an error unless it has the whole
// body.
func (x *exchange) readWhole(ctx context.Context, ticket *backend.Assignment, incoming *backend.WorkerResponse, limit int64) (net.Buffers, error) {
	if length := incoming.Response.ContentLength; length > limit && x.r.Method != http.MethodHead {
		return nil, fmt.Errorf("%w of %d bytes: %d bytes", errResponseTooLong, limit, length)
	}
	chunks, err := x.allocateResponse().readResponse(ctx, incoming.Response.Body, limit)
	if err == nil && !incoming.Complete(ctx, ticket.Worker) {
		err = errWorkerGone
	}
	return chunks, err
}

// allocateResponse releases the memory of the previous attempt and returns a new
// allocation.
func (x *exchange) allocateResponse() allocation {
	x.responseMemory.free()
	x.responseMemory, _ = x.frontend.memory.allocate(pressure.Response, 0)
	return x.responseMemory
}

// writeResponse passes on a worker's status, header and body, and releases memory as
// the caller reads.
func (x *exchange) writeResponse(incoming *backend.WorkerResponse, chunks net.Buffers) {
	x.copyHeader(incoming.Response.Header)
	length := 0
	for _, chunk := range chunks {
		length += len(chunk)
	}
	x.w.Header().Set("Content-Length", fmt.Sprint(length))
	x.writeHeader(incoming.Response.StatusCode)
	controller := http.NewResponseController(x.w)
	x.responseMemory.beginWrite(func() { _ = controller.SetWriteDeadline(time.Now()) })
	for _, chunk := range chunks {
		if _, err := x.w.Write(chunk); err != nil {
			x.abortCallerGone("write answer", err)
		}
		x.responseMemory.recordWritten(len(chunk))
	}
}

func (x *exchange) copyHeader(from http.Header) {
	backend.DropConnectionHeaders(from)
	x.frontend.protocol.StripResponse(from)
	header := x.w.Header()
	for name, values := range from {
		if name != "Content-Length" {
			header[name] = values
		}
	}
}

func (x *exchange) writeHeader(status int) {
	x.headerWritten = true
	x.timeToFirstByte = time.Since(x.arrived)
	x.frontend.metrics.firstByte.WithLabelValues(string(x.route.Kind)).Observe(time.Since(x.arrived).Seconds())
	x.w.WriteHeader(status)
}

// isFailure tells whether a status that a worker gave may be passed on as its failure. A success without
// the worker's signature may be anybody's.
func isFailure(status int) bool {
	return status/100 != 2 && !promisesNotRun(status)
}

// promisesNotRun tells whether a status promises that the request has not run.
func promisesNotRun(status int) bool {
	return slices.Contains([]int{
		http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest,
	}, status)
}
