package frontend

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/backend"
	"github.com/dykewing/dykewing/internal/engine"
	"github.com/dykewing/dykewing/pressure"
	"github.com/dykewing/dykewing/route"
	"github.com/dykewing/dykewing/worker"
)

const (
	// maximumSends of one request in a row, counting workers that did not take it.
	maximumSends = 5
	// leastLeft is the time below which nothing is sent any more.
	leastLeft = 20 * time.Millisecond
	// maximumAnswerBytes of an answer that is read whole.
	maximumAnswerBytes = 64 << 20
)

// verdict is how a send ended.
type verdict int

const (
	done    verdict = iota // the caller has its answer
	notRun                 // the worker did not run it
	mayRun                 // it may have run, and there is no answer
	refused                // the worker's own failure, in failed
)

// attemptResult is how one send to a worker ended.
type attemptResult struct {
	verdict verdict
	failure *api.Error        // with notRun and mayRun
	failed  *backend.Incoming // with refused
	body    net.Buffers       // with refused
}

// online sends the request to workers until one has answered it, or it may not
// be sent again.
func (x *exchange) online() {
	f := x.frontend
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	defer context.AfterFunc(f.ending, cancel)()
	x.service = f.draw(x.route)
	x.lastEvent = x.request.LastEvent
	last := attemptResult{failure: api.NewError("choose worker", "", api.CodeNoCapacity, api.OutcomeNotRun, "no worker of %s takes it", x.service)}
	room := roomWait{sends: maximumSends}
	defer x.leaveRoom(&room)
	for {
		// Also before a place is waited for: the answer is final and comes at once.
		if refusal := x.quarantined(ctx); refusal != nil {
			x.stop(refusal)
			return
		}
		ticket, ok := x.take(ctx)
		if !ok {
			if x.callerLeft() {
				x.gone("wait for worker", x.r.Context().Err())
			}
			if x.refusal == nil && x.awaitRoom(ctx, &room, last) {
				continue
			}
			break
		}
		refusal := x.quarantined(ctx)
		if x.keyGone() {
			refusal = x.frontend.unknownKey(x.request)
		}
		if refusal != nil {
			ticket.End()
			x.stop(refusal)
			return
		}
		x.sends++
		room.sends--
		f.rooms.began(time.Now(), x.service)
		last = x.attempt(ctx, ticket)
		f.rooms.ended(time.Now(), x.service, last.verdict != notRun)
		x.noteRun(ticket, last)
		x.noteOutcome(ticket, last)
		f.metrics.attempts.WithLabelValues(last.verdict.String()).Inc()
		if last.verdict == done {
			x.served(ticket)
			return
		}
		x.tried = append(x.tried, ticket.Worker.ID)
		if x.callerLeft() {
			x.gone("send to worker", x.r.Context().Err())
		}
		if !x.maySendAgain(last) || room.sends == 0 && !x.awaitRoom(ctx, &room, last) {
			break
		}
		x.note("request_retried", last.failure).WithField("worker", ticket.Worker.ID).WithField("load", ticket.Load).
			WithField("load_age_ms", ticket.Age.Milliseconds()).WithFields(paceFields(ticket)).Info("A request goes to another worker.")
	}
	if x.refusal != nil && last.verdict != refused && x.runs == 0 {
		last.failure = x.refusal
	}
	x.giveUp(last)
}

// stop gives the final answer of a request that may not be sent, or not again.
func (x *exchange) stop(refusal *api.Error) {
	if x.begun {
		x.cut(refusal)
	}
	x.returnToken()
	x.refuse(refusal)
}

func (f *Frontend) draw(matched route.Route) string {
	if len(matched.Shares) == 1 {
		return matched.Shares[0].Service
	}
	f.randomMutex.Lock()
	defer f.randomMutex.Unlock()
	return matched.Draw(f.random)
}

// take chooses a worker that was not tried, or, for what may be repeated, any.
func (x *exchange) take(ctx context.Context) (*backend.Ticket, bool) {
	since := time.Now()
	ticket, refusal := x.place(ctx)
	if ticket == nil && refusal == nil && ctx.Err() == nil && len(x.tried) > 0 && x.route.Repeatable() {
		x.tried = nil
		ticket, refusal = x.place(ctx)
	}
	x.refusal = refusal
	x.noteHeld(since, ticket != nil)
	return ticket, ticket != nil
}

// place takes a worker, with its leader's word where the service runs batch.
func (x *exchange) place(ctx context.Context) (*backend.Ticket, *api.Error) {
	if x.frontend.givesPlaces(x.service) {
		return x.frontend.places.take(ctx, x.query(), x.order(), asking{returned: x.returned(), again: x.sends > 0}, x.noteDropped)
	}
	ticket, _ := x.frontend.pool.Take(x.query())
	return ticket, nil
}

func (x *exchange) noteDropped(ticket *backend.Ticket) {
	x.note("place_dropped", nil).WithField("worker", ticket.Worker.ID).Info("The worker left while its leader was asked for a place; another is chosen.")
}

func (x *exchange) query() worker.Query {
	return worker.Query{Service: x.service, Parts: x.request.Parts, Tokens: x.request.PromptTokens, Excluded: x.tried}
}

// maySendAgain tells whether another worker may be tried: always when none ran
// the request, else only what may be repeated, within its attempts.
func (x *exchange) maySendAgain(last attemptResult) bool {
	if time.Until(x.deadline) < leastLeft || x.frontend.ending.Err() != nil {
		return false
	}
	if last.verdict == notRun {
		return true
	}
	return x.route.Repeatable() && x.runs < x.route.MaxAttempts
}

// attempt sends the request to the ticket's worker and relays its answer.
func (x *exchange) attempt(ctx context.Context, ticket *backend.Ticket) attemptResult {
	defer ticket.End()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	call := backend.Call{Left: time.Until(x.deadline), Tenants: x.identity.tenants, Tenant: x.identity.tenant.Name}
	if x.events > 0 {
		call.LastEvent = x.lastEvent
	}
	incoming, failure := x.frontend.caller.Send(ctx, backend.Outgoing{
		Method: x.r.Method, Path: x.r.URL.EscapedPath(), Query: x.r.URL.RawQuery, Host: x.r.Host,
		Header: x.r.Header.Clone(), Body: x.body, Call: call, ID: x.request.ID, Worker: ticket.Worker,
	})
	if failure != nil {
		return x.sendFailed(ticket, failure)
	}
	defer incoming.Response.Body.Close()
	if incoming.Loaded {
		ticket.Report(incoming.Load)
		if x.frontend.givesPlaces(x.service) {
			x.frontend.places.heard.load(time.Now(), ticket.Worker.Incarnation(), incoming.Load)
		}
	}
	if incoming.NotRun {
		return x.turnedAway(ticket, incoming)
	}
	x.runs++
	if status := incoming.Response.StatusCode; status < 200 || status > 299 || !incoming.Stamped {
		return x.failedAnswer(ctx, ticket, incoming)
	}
	if x.route.Kind == route.KindStream && isEventStream(incoming.Response.Header) {
		return x.relayStream(ctx, ticket, incoming)
	}
	return x.relayWhole(ctx, ticket, incoming)
}

func isEventStream(header http.Header) bool {
	return strings.HasPrefix(header.Get("Content-Type"), "text/event-stream")
}

func (x *exchange) sendFailed(ticket *backend.Ticket, failure *api.Error) attemptResult {
	if failure.Outcome == api.OutcomeNotRun {
		if failure.Code == api.CodeUpstream {
			ticket.Refused()
		}
		return attemptResult{verdict: notRun, failure: failure}
	}
	x.runs++
	if failure.Code == api.CodeUpstream {
		ticket.Broke()
	}
	return attemptResult{verdict: mayRun, failure: failure}
}

func (x *exchange) turnedAway(ticket *backend.Ticket, incoming *backend.Incoming) attemptResult {
	if incoming.Moved {
		ticket.Moved()
	} else {
		ticket.Full()
	}
	x.turnedAwayBy = append(x.turnedAwayBy, ticket.Worker.ID)
	_, _ = io.Copy(io.Discard, io.LimitReader(incoming.Response.Body, engine.MaximumEventBytes))
	failure := api.NewError("send to worker", ticket.Worker.ID, api.CodeNoCapacity, api.OutcomeNotRun, "turned away with status %d", incoming.Response.StatusCode)
	return attemptResult{verdict: notRun, failure: failure}
}

// failedAnswer reads a worker's own failure whole: it is passed on unless
// another worker may be tried.
func (x *exchange) failedAnswer(ctx context.Context, ticket *backend.Ticket, incoming *backend.Incoming) attemptResult {
	pieces, err := x.hold().readAnswer(ctx, incoming.Response.Body, maximumAnswerBytes)
	failure := api.NewError("read answer", ticket.Worker.ID, api.CodeUpstream, api.OutcomeUnknown, "status %d", incoming.Response.StatusCode)
	if err != nil {
		failure.Code, failure.Err = readCode(err), err
		return attemptResult{verdict: mayRun, failure: failure}
	}
	return attemptResult{verdict: refused, failure: failure, failed: incoming, body: pieces}
}

// readCode is the class of an answer that could not be read: what this process has no
// memory for says nothing against its worker.
func readCode(err error) api.ErrorCode {
	if errors.Is(err, errMemory) {
		return api.CodeInternal
	}
	return api.CodeUpstream
}

// relayWhole reads the whole answer before a byte goes to the caller.
func (x *exchange) relayWhole(ctx context.Context, ticket *backend.Ticket, incoming *backend.Incoming) attemptResult {
	pieces, err := x.hold().readAnswer(ctx, incoming.Response.Body, maximumAnswerBytes)
	if err != nil {
		failure := api.NewError("read answer", ticket.Worker.ID, readCode(err), api.OutcomeUnknown, "%w", err)
		return attemptResult{verdict: mayRun, failure: failure}
	}
	ticket.End()
	x.answer(incoming, pieces)
	return attemptResult{verdict: done}
}

// hold gives what the exchange holds of an answer, anew for each send.
func (x *exchange) hold() held {
	x.answerHeld.end()
	x.answerHeld, _ = x.frontend.memory.begin(pressure.Answer, 0)
	return x.answerHeld
}

// answer passes a worker's status, header and whole body on, and gives back what the caller
// has taken.
func (x *exchange) answer(incoming *backend.Incoming, body net.Buffers) {
	x.copyHeader(incoming.Response.Header)
	length := 0
	for _, piece := range body {
		length += len(piece)
	}
	x.w.Header().Set("Content-Length", fmt.Sprint(length))
	x.begin(incoming.Response.StatusCode)
	controller := http.NewResponseController(x.w)
	x.answerHeld.writing(func() { _ = controller.SetWriteDeadline(time.Now()) })
	for _, piece := range body {
		if _, err := x.w.Write(piece); err != nil {
			x.gone("write answer", err)
		}
		x.answerHeld.written(len(piece))
	}
}

func (x *exchange) copyHeader(from http.Header) {
	backend.DropConnectionHeaders(from)
	x.frontend.protocol.StripAnswer(from)
	header := x.w.Header()
	for name, values := range from {
		if name != "Content-Length" {
			header[name] = values
		}
	}
}

func (x *exchange) begin(status int) {
	x.begun = true
	x.first = time.Since(x.arrived)
	x.frontend.metrics.firstByte.WithLabelValues(string(x.route.Kind)).Observe(time.Since(x.arrived).Seconds())
	x.w.WriteHeader(status)
}

// giveUp gives the final answer of a request that no worker has served.
func (x *exchange) giveUp(last attemptResult) {
	if x.begun {
		x.cut(last.failure)
	}
	if last.verdict == refused && !promises(last.failed.Response.StatusCode) {
		x.note("worker_failed", last.failure).Warn("A worker's own failure is passed on.")
		x.frontend.metrics.requests.WithLabelValues(string(x.route.Kind), "worker_failed").Inc()
		x.answer(last.failed, last.body)
		return
	}
	x.returnToken()
	failure := *last.failure
	if x.runs > 0 {
		failure.Outcome = api.OutcomeUnknown
	}
	switch {
	case failure.Outcome == api.OutcomeNotRun:
		failure.Code = api.CodeNoCapacity
	case errors.Is(failure.Err, context.DeadlineExceeded) || time.Until(x.deadline) < leastLeft:
		failure.Code = api.CodeDeadline
	default:
		failure.Code = api.CodeUpstream
	}
	x.refuse(&failure)
}

// promises tells whether a status says that the request has not run.
func promises(status int) bool {
	return slices.Contains([]int{
		http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest,
	}, status)
}

func (x *exchange) served(ticket *backend.Ticket) {
	kind := string(x.route.Kind)
	x.frontend.metrics.requests.WithLabelValues(kind, "served").Inc()
	x.frontend.metrics.duration.WithLabelValues(kind).Observe(time.Since(x.arrived).Seconds())
	if x.sends == 1 && !x.frontend.samples.Allow() {
		return
	}
	x.note("request_served", nil).WithField("worker", ticket.Worker.ID).WithField("load", ticket.Load).WithField("unread", ticket.Unread).
		WithField("load_age_ms", ticket.Age.Milliseconds()).WithField("first_ms", x.first.Milliseconds()).WithFields(paceFields(ticket)).Info("A request was served.")
}

func (v verdict) String() string {
	return [...]string{"served", "not_run", "may_have_run", "worker_failed"}[v]
}
