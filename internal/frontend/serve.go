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
	"github.com/dykewing/dykewing/pressure"
	"github.com/dykewing/dykewing/quarantine"
	"github.com/dykewing/dykewing/route"
)

const (
	defaultTimeout   = 60 * time.Second // of a request whose route and caller name none
	defaultBodyBytes = 4 << 20
	// bodyTimeoutShare of its time is given to a caller to send a body.
	minimumBodyTimeout = time.Second
)

// serve takes a caller's request.
func (f *Frontend) serve(w http.ResponseWriter, r *http.Request) {
	f.metrics.running.Inc()
	defer f.metrics.running.Dec()
	if f.node.Leaving() {
		w.Header().Set("Connection", "close")
	}
	if call, ok := f.protocol.ReadJobCall(r); ok {
		f.serveJobCall(w, r, call)
		return
	}
	x := &exchange{frontend: f, w: w, r: r, arrived: time.Now(), request: f.protocol.ReadRequest(r.Header)}
	x.deadline = x.arrived.Add(x.left()) // until its route may set another
	configuration := f.catalog.Configuration()
	if configuration == nil {
		x.refuse(api.NewError("match route", "", api.CodeNoTable, api.OutcomeNotRun, "no configuration is known yet"))
		return
	}
	x.version = configuration.Version
	matched, ok := configuration.Match(hostOf(r), r.URL.EscapedPath())
	if !ok {
		x.refuse(api.NewError("match route", "", api.CodeNotFound, api.OutcomeNotRun, "no route for host %s and this path", hostOf(r)))
		return
	}
	x.route = matched
	x.identity, ok = f.identify(configuration, x.request, matched.Public)
	if !ok {
		x.refuse(f.unknownKey(x.request))
		return
	}
	defer x.giveBack()
	if !x.readBody(configuration.Limits.BodyBytes) {
		return
	}
	if matched.Kind == route.KindBatch {
		x.submitJob()
		return
	}
	if x.admitted() {
		x.online()
	}
}

func hostOf(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.Host)
	if err != nil {
		return r.Host
	}
	return host
}

// exchange is one request of a caller with what was done about it.
type exchange struct {
	frontend *Frontend
	w        http.ResponseWriter
	r        *http.Request
	request  backend.Request
	route    route.Route
	identity identity
	version  int64 // of the configuration that matched
	service  string
	body     []byte
	digest   quarantine.Digest // empty until it is needed
	trial    bool              // its next run was granted though workers end under it
	arrived  time.Time
	deadline time.Time

	runs  int      // sends that may have run
	sends int      // all sends
	tried []string // workers that did not take it, or broke
	// turnedAwayBy are those of tried that said to have no room.
	turnedAwayBy []string

	// refusal says why there is no place at a worker, and when there may be one.
	refusal *api.Error

	bodyHeld, answerHeld held // of memory

	begun     bool   // a byte of the answer has gone to the caller
	lastEvent string // id of the last whole event that went to the caller
	events    int
	first     time.Duration // until the first byte for the caller
}

// left is how long the request may be held from its arrival on.
func (x *exchange) left() time.Duration {
	left := defaultTimeout
	if x.route.Timeout > 0 {
		left = x.route.Timeout
	}
	if x.request.Left > 0 {
		left = min(left, x.request.Left)
	}
	return left
}

// readBody reads the whole body; false when the request has been answered or
// the caller is gone.
func (x *exchange) readBody(limit int64) bool {
	x.deadline = x.arrived.Add(x.left())
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if x.r.ContentLength == 0 {
		return true
	}
	if !x.holdBody(limit) {
		return false
	}
	controller := http.NewResponseController(x.w)
	_ = controller.SetReadDeadline(x.arrived.Add(max(x.left(), minimumBodyTimeout)))
	body, err := x.readAll(http.MaxBytesReader(x.w, x.r.Body, limit))
	if err != nil {
		x.bodyFailed(err)
		return false
	}
	_ = controller.SetReadDeadline(time.Time{})
	x.body = body
	return true
}

// holdBody takes memory for a body before it is read; false when there is none and the
// request has been answered. One that does not tell its length takes it piece by piece.
func (x *exchange) holdBody(limit int64) (ok bool) {
	use, length := pressure.Body, min(x.r.ContentLength, limit)
	if x.route.Kind == route.KindBatch {
		use = pressure.Job
	}
	if length < 0 {
		length = heldStep
	}
	if x.bodyHeld, ok = x.frontend.memory.begin(use, length); !ok {
		x.refuse(memoryShort(length))
	}
	return ok
}

// giveBack gives back all memory that is held for the request.
func (x *exchange) giveBack() {
	x.bodyHeld.end()
	x.answerHeld.end()
}

func (x *exchange) readAll(body io.Reader) ([]byte, error) {
	if length := x.r.ContentLength; length >= 0 && length <= defaultBodyBytes {
		read := make([]byte, length)
		_, err := io.ReadFull(body, read)
		return read, err
	}
	var read []byte
	for {
		piece, err := readPiece(body, heldStep)
		read = append(read, piece...)
		if err == io.EOF {
			return read, nil
		}
		if err != nil {
			return read, err
		}
		if x.r.ContentLength < 0 && !x.bodyHeld.growNow(heldStep) {
			return nil, errMemory
		}
	}
}

func (x *exchange) bodyFailed(err error) {
	var slow net.Error
	if errors.As(err, &slow) && slow.Timeout() {
		x.refuse(api.NewError("read body", "", api.CodeRequestTimeout, api.OutcomeNotRun, "%w", err))
		return
	}
	if errors.Is(err, errMemory) {
		x.refuse(memoryShort(int64(heldStep)))
		return
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		x.refuse(transport.BodyError("read body", err))
		return
	}
	x.gone("read body", err)
}

// refuse answers with a failure of this system's own, at once.
func (x *exchange) refuse(failure *api.Error) {
	f := x.frontend
	entry := x.note("request_refused", failure)
	f.metrics.requests.WithLabelValues(string(x.route.Kind), string(failure.Code)).Inc()
	status := failure.Code.HTTPStatus()
	header := x.w.Header()
	promised := failure.Outcome == api.OutcomeNotRun && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests)
	if promised {
		f.metrics.refusedAfter.Observe(time.Since(x.arrived).Seconds())
	}
	if promised || failure.Code == api.CodeQuarantined {
		pause := failure.RetryAfter
		if pause <= 0 {
			pause = f.settings.RetryAfter
		}
		entry = entry.WithField("return_ms", pause.Milliseconds())
		f.protocol.WriteRetryAfter(header, pause)
	}
	entry.Warn("A request was not served.")
	header.Set("Content-Type", "text/plain; charset=utf-8")
	x.w.WriteHeader(status)
	_, _ = io.WriteString(x.w, failure.Error()+"\n")
}

// gone notes that the caller has left before its answer.
func (x *exchange) gone(step string, err error) {
	failure := api.NewError(step, "", api.CodeClientCancelled, api.OutcomeUnknown, "%w", err)
	x.note("caller_gone", failure).Info("A caller left before its answer.")
	x.frontend.metrics.requests.WithLabelValues(string(x.route.Kind), string(failure.Code)).Inc()
	panic(http.ErrAbortHandler)
}

// cut ends an answer that began and can't be finished: the connection breaks, so
// that it does not look whole.
func (x *exchange) cut(failure *api.Error) {
	x.note("answer_cut", failure).Warn("An answer was broken off.")
	x.frontend.metrics.requests.WithLabelValues(string(x.route.Kind), "cut").Inc()
	panic(http.ErrAbortHandler)
}

// note gives a log line about the request with all that decided.
func (x *exchange) note(event string, failure *api.Error) *logrus.Entry {
	entry := x.frontend.log.WithFields(logrus.Fields{
		"event": event, "request": x.request.ID, "route": x.route.Name, "service": x.service, "tenant": x.identity.tenant.Name, "version": x.version,
		"sends": x.sends, "runs": x.runs, "events": x.events,
		"age_ms": time.Since(x.arrived).Milliseconds(), "left_ms": time.Until(x.deadline).Milliseconds(),
		"known_ms": x.frontend.catalog.ContactAge().Milliseconds(),
	})
	if x.digest != "" {
		entry = entry.WithField("digest", x.digest)
	}
	if failure != nil {
		entry = entry.WithFields(logrus.Fields{"code": failure.Code, "outcome": failure.Outcome, "peer": failure.Peer, "step": failure.Step})
		if failure.Err != nil {
			entry = entry.WithField("error", failure.Err.Error())
		}
	}
	return entry
}

// callerLeft tells whether the caller has ended the request.
func (x *exchange) callerLeft() bool {
	return errors.Is(x.r.Context().Err(), context.Canceled)
}
