package frontend

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/backend"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/origin"
	"github.com/dykewing/dykewing/pressure"
	"github.com/dykewing/dykewing/quarantine"
	"github.com/dykewing/dykewing/route"
	"github.com/dykewing/dykewing/worker"
)

const (
	defaultTimeout   = 60 * time.Second // if neither route nor caller sets one
	defaultBodyBytes = 4 << 20
	// minBodyTimeout is the least time that a caller has to send a body.
	minBodyTimeout = time.Second
)

// serve handles a caller's request.
func (f *Frontend) serve(w http.ResponseWriter, r *http.Request) {
	f.metrics.inFlight.Inc()
	defer f.metrics.inFlight.Dec()
	if f.node.Leaving() {
		w.Header().Set("Connection", "close")
	}
	if call, ok := f.protocol.ReadJobCall(r); ok {
		f.serveJobCall(w, r, call)
		return
	}
	x := &exchange{frontend: f, w: w, r: r, arrived: time.Now(), request: f.protocol.ReadRequest(r.Header)}
	x.deadline = x.arrived.Add(x.timeLimit()) // until the route is known
	configuration := f.catalog.Configuration()
	if configuration == nil {
		x.refuse(api.NewError("match route", "", api.CodeNoTable, api.OutcomeNotRun, "no configuration loaded yet"))
		return
	}
	x.version = configuration.Version
	matched, ok := configuration.Match(hostOf(r), r.URL.EscapedPath())
	if !ok {
		x.refuse(api.NewError("match route", "", api.CodeNotFound, api.OutcomeNotRun, "no route for host %s and this path", hostOf(r)))
		return
	}
	x.route = matched
	if x.request.ID == "" {
		x.refuse(api.NewError("read request", "", api.CodeBadRequest, api.OutcomeNotRun, "the request has no id, by which its response could be recognized"))
		return
	}
	x.identity, ok = f.identify(configuration, x.request, matched.Public)
	if !ok {
		x.refuse(f.unknownKeyError(x.request))
		return
	}
	defer x.freeMemory()
	if !x.readBody(configuration.Limits.BodyBytes) {
		return
	}
	if matched.Kind == route.KindBatch {
		x.submitJob(configuration)
		return
	}
	if x.admit() {
		x.serveOnline()
	}
}

func hostOf(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.Host)
	if err != nil {
		return r.Host
	}
	return host
}

// exchange is a caller's request and the state of its processing.
type exchange struct {
	frontend *Frontend
	w        http.ResponseWriter
	r        *http.Request
	request  backend.Request
	route    route.Route
	identity identity
	version  int64 // of the configuration that matched the route
	service  string
	body     []byte
	digest   quarantine.Digest // of the request; computed on first use, like digests
	digests  []quarantine.Digest
	trial    quarantine.Digest // quarantined digest for which the next run is a trial; empty for none
	arrived  time.Time
	tokenAt  time.Time // limiter.Result.TokenAt; zero without a rate limit
	deadline time.Time

	runs  int      // attempts that may have run
	sends int      // all attempts
	tried []string // workers that rejected the request or failed
	// rejectedBy are the workers in tried that had no free slot.
	rejectedBy []string

	// refusal is the reason that no worker is available, with RetryAfter if known.
	refusal *api.Error

	bodyMemory, responseMemory allocation

	headerWritten   bool   // the response to the caller has begun
	lastEventID     string // of the last event written to the caller
	events          int
	timeToFirstByte time.Duration // since arrival

	origin        *origin.Origin // of the stream; nil before its first event
	originUnknown bool           // origin may be wrong: the stream must not go on
}

// timeLimit returns the time limit of the request, counted from its arrival.
func (x *exchange) timeLimit() time.Duration {
	left := defaultTimeout
	if x.route.Timeout > 0 {
		left = x.route.Timeout
	}
	if x.request.Remaining > 0 {
		left = min(left, x.request.Remaining)
	}
	return left
}

// readBody reads the whole body. If it returns false, it has written the response.
func (x *exchange) readBody(limit int64) bool {
	x.deadline = x.arrived.Add(x.timeLimit())
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if x.r.ContentLength == 0 {
		return true
	}
	if !x.allocateBody(limit) {
		return false
	}
	controller := http.NewResponseController(x.w)
	_ = controller.SetReadDeadline(x.arrived.Add(max(x.timeLimit(), minBodyTimeout)))
	body, err := x.readAll(http.MaxBytesReader(x.w, x.r.Body, limit))
	if err != nil {
		x.handleBodyError(err)
		return false
	}
	_ = controller.SetReadDeadline(time.Time{})
	x.body = body
	return true
}

// allocateBody reserves memory for the body before it is read. A body of unknown length
// starts with one chunk. If it returns false, it has written the response.
func (x *exchange) allocateBody(limit int64) (ok bool) {
	use, length := pressure.Body, min(x.r.ContentLength, limit)
	if x.route.Kind == route.KindBatch {
		use = pressure.Job
	}
	if length < 0 {
		length = readChunkBytes
	}
	if x.bodyMemory, ok = x.frontend.memory.allocate(use, length); !ok {
		x.refuse(memoryError(length))
	}
	return ok
}

// freeMemory releases all memory reserved for the request.
func (x *exchange) freeMemory() {
	x.bodyMemory.free()
	x.responseMemory.free()
}

func (x *exchange) readAll(body io.Reader) ([]byte, error) {
	if length := x.r.ContentLength; length >= 0 && length <= defaultBodyBytes {
		data := make([]byte, length)
		_, err := io.ReadFull(body, data)
		return data, err
	}
	var data []byte
	for {
		chunk, err := readChunk(body, readChunkBytes)
		data = append(data, chunk...)
		if err == io.EOF {
			return data, nil
		}
		if err != nil {
			return data, err
		}
		if x.r.ContentLength < 0 && !x.bodyMemory.growNow(readChunkBytes) {
			return nil, errMemoryBudget
		}
	}
}

func (x *exchange) handleBodyError(err error) {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		x.refuse(api.NewError("read body", "", api.CodeRequestTimeout, api.OutcomeNotRun, "%w", err))
		return
	}
	if errors.Is(err, errMemoryBudget) {
		x.refuse(memoryError(int64(readChunkBytes)))
		return
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		x.refuse(transport.BodyError("read body", err))
		return
	}
	x.abortCallerGone("read body", err)
}

// refuse writes an error response.
func (x *exchange) refuse(failure *api.Error) {
	f := x.frontend
	entry := x.logEntry("request_refused", failure)
	f.metrics.requests.WithLabelValues(string(x.route.Kind), string(failure.Code)).Inc()
	status := failure.Code.HTTPStatus()
	header := x.w.Header()
	promised := failure.Outcome == api.OutcomeNotRun && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests)
	if promised {
		f.metrics.refusalTime.Observe(time.Since(x.arrived).Seconds())
	}
	if promised || failure.Code == api.CodeQuarantined {
		retryAfter := failure.RetryAfter
		if retryAfter <= 0 {
			retryAfter = f.settings.RetryAfter
		}
		entry = entry.WithField("return_ms", retryAfter.Milliseconds())
		f.protocol.WriteRetryAfter(header, retryAfter)
	}
	entry.Warn("A request was not served.")
	header.Set("Content-Type", "text/plain; charset=utf-8")
	x.w.WriteHeader(status)
	_, _ = io.WriteString(x.w, failure.Error()+"\n")
}

// abortCallerGone logs that the caller left before the response was complete, and
// aborts the handler.
func (x *exchange) abortCallerGone(step string, err error) {
	failure := api.NewError(step, "", api.CodeClientCancelled, api.OutcomeUnknown, "%w", err)
	x.logEntry("caller_gone", failure).Info("The caller left before the response was complete.")
	x.frontend.metrics.requests.WithLabelValues(string(x.route.Kind), string(failure.Code)).Inc()
	panic(http.ErrAbortHandler)
}

// abortResponse aborts an incomplete response by breaking the connection, so that the
// caller does not take it for complete.
func (x *exchange) abortResponse(failure *api.Error) {
	x.logEntry("answer_cut", failure).Warn("Response aborted.")
	x.frontend.metrics.requests.WithLabelValues(string(x.route.Kind), "cut").Inc()
	panic(http.ErrAbortHandler)
}

// logEntry returns a log entry with the state of the request.
func (x *exchange) logEntry(event string, failure *api.Error) *logrus.Entry {
	entry := x.frontend.log.WithFields(logrus.Fields{
		"event": event, "request": x.request.ID, "route": x.route.Name, "service": x.service, "tenant": x.identity.tenant.Name, "version": x.version,
		"sends": x.sends, "runs": x.runs, "events": x.events,
		"age_ms": time.Since(x.arrived).Milliseconds(), "left_ms": time.Until(x.deadline).Milliseconds(),
		"known_ms": x.frontend.catalog.ContactAge().Milliseconds(),
	})
	if x.digest != "" {
		entry = entry.WithField("digest", x.digest)
	}
	if x.digest != "" && failure != nil {
		entry = entry.WithFields(logrus.Fields{"parts": worker.PartIDs(x.request.Parts), "part_digests": x.digests[1:]})
	}
	if x.request.LastEvent != "" {
		entry = entry.WithFields(logrus.Fields{"resumes": x.request.Resumes, "last_event": x.request.LastEvent})
	}
	if failure != nil {
		entry = entry.WithFields(logrus.Fields{"code": failure.Code, "outcome": failure.Outcome, "peer": failure.Peer, "step": failure.Step})
		if failure.Err != nil {
			entry = entry.WithField("error", failure.Err.Error())
		}
	}
	return entry
}

// callerCancelled tells whether the caller has cancelled the request.
func (x *exchange) callerCancelled() bool {
	return errors.Is(x.r.Context().Err(), context.Canceled)
}
