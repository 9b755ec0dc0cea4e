package frontend

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/backend"
	"github.com/dykewing/dykewing/route"
)

const (
	// maxSends is how often a request is sent without a pause, including to workers
	// that reject it.
	maxSends = 5
	// minTimeLeft is the time before the deadline from which a request is not sent
	// again.
	minTimeLeft = 20 * time.Millisecond
)

// attemptStatus is how an attempt ended.
type attemptStatus int

const (
	attemptServed      attemptStatus = iota // the response was passed on to the caller
	attemptNotRun                           // the worker did not run the request
	attemptMaybeRun                         // the request may have run, without a response
	attemptWorkerError                      // the worker answered with an error, in attemptResult.incoming
)

// attemptResult is the result of sending a request to a worker once.
type attemptResult struct {
	status   attemptStatus
	failure  *api.Error              // with attemptNotRun and attemptMaybeRun
	incoming *backend.WorkerResponse // with attemptWorkerError
	body     net.Buffers             // with attemptWorkerError
}

// serveOnline sends the request to workers until one answers, or until the request must
// not be retried.
func (x *exchange) serveOnline() {
	f := x.frontend
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	defer context.AfterFunc(f.shutdownCtx, cancel)()
	x.service = f.drawService(x.route)
	x.lastEventID = x.request.LastEvent
	if !x.findOrigin(ctx) {
		return
	}
	last := attemptResult{failure: api.NewError("choose worker", "", api.CodeNoCapacity, api.OutcomeNotRun, "no worker of service %s is available", x.service)}
	wait := capacityWait{sendsLeft: maxSends}
	defer x.stopWaiting(&wait)
	defer x.returnTrial()
	for {
		// Checked before waiting for a slot, since the refusal is final.
		if refusal := x.checkSend(ctx); refusal != nil {
			x.reject(refusal)
			return
		}
		ticket, ok := x.takeWorker(ctx)
		if !ok {
			if x.callerCancelled() {
				x.abortCallerGone("wait for worker", x.r.Context().Err())
			}
			if x.refusal == nil && x.awaitCapacity(ctx, &wait, last) {
				continue
			}
			break
		}
		refusal := x.checkQuarantine(ctx)
		if x.keyRevoked() {
			refusal = x.frontend.unknownKeyError(x.request)
		}
		if refusal != nil {
			ticket.End()
			x.reject(refusal)
			return
		}
		x.sends++
		wait.sendsLeft--
		f.capacity.requestSent(time.Now(), x.service)
		events := x.events
		last = x.attempt(ctx, ticket)
		f.capacity.requestEnded(time.Now(), x.service, last.status != attemptNotRun)
		x.reportRun(ticket, last)
		x.recordOutcome(ticket, last)
		f.metrics.attempts.WithLabelValues(last.status.String()).Inc()
		if last.status == attemptServed {
			x.recordServed(ticket)
			return
		}
		x.tried = append(x.tried, ticket.Worker.ID)
		if x.events > events {
			x.verifyOrigin(ticket)
		}
		if x.callerCancelled() {
			x.abortCallerGone("send to worker", x.r.Context().Err())
		}
		if !x.canRetry(last) || wait.sendsLeft == 0 && !x.awaitCapacity(ctx, &wait, last) {
			break
		}
		x.logEntry("request_retried", last.failure).WithField("worker", ticket.Worker.ID).WithField("worker_version", ticket.Worker.Version).WithField("load", ticket.Load).
			WithField("load_age_ms", ticket.ReportAge.Milliseconds()).WithFields(paceFields(ticket)).WithFields(backend.EvidenceFields(last.failure)).Info("A request goes to another worker.")
	}
	if x.refusal != nil && last.status != attemptWorkerError && x.runs == 0 {
		last.failure = x.refusal
	}
	x.giveUp(last)
}

// checkSend returns an error if the request must not be sent to any worker.
func (x *exchange) checkSend(ctx context.Context) *api.Error {
	if refusal := x.checkVersion(); refusal != nil {
		return refusal
	}
	return x.checkQuarantine(ctx)
}

// reject answers a request that must not be sent, or not again.
func (x *exchange) reject(refusal *api.Error) {
	if x.headerWritten {
		x.abortResponse(refusal)
	}
	x.refundToken()
	x.refuse(refusal)
}

func (f *Frontend) drawService(matched route.Route) string {
	if len(matched.Shares) == 1 {
		return matched.Shares[0].Service
	}
	f.randomMutex.Lock()
	defer f.randomMutex.Unlock()
	return matched.Draw(f.random)
}

// takeWorker chooses a worker that was not tried yet. If there is none and the route
// allows repeats, it may choose one that was tried.
func (x *exchange) takeWorker(ctx context.Context) (*backend.Assignment, bool) {
	start := time.Now()
	ticket, refusal := x.reserveWorker(ctx)
	if ticket == nil && refusal == nil && ctx.Err() == nil && len(x.tried) > 0 && x.route.Repeatable() {
		x.tried = nil
		ticket, refusal = x.reserveWorker(ctx)
	}
	x.refusal = refusal
	x.recordSlotWait(start, ticket != nil)
	return ticket, ticket != nil
}

// reserveWorker chooses a worker. If the service also runs batch items, the slot is
// reserved at the worker's leader.
func (x *exchange) reserveWorker(ctx context.Context) (*backend.Assignment, *api.Error) {
	if x.frontend.usesReservations(x.service) {
		return x.frontend.reservations.reserve(ctx, x.workerQuery(), x.queueEntry(), attemptInfo{callerRetry: x.isRetry(), requeued: x.sends > 0}, x.logDropped)
	}
	ticket, _ := x.frontend.pool.Assign(x.workerQuery())
	return ticket, nil
}

func (x *exchange) logDropped(ticket *backend.Assignment) {
	x.logEntry("place_dropped", nil).WithField("worker", ticket.Worker.ID).Info("The worker left during the reservation of a slot; another one is chosen.")
}

// canRetry tells whether another worker may be tried: always if no worker ran the
// request, else only on repeatable routes and up to the route's maximum of attempts.
func (x *exchange) canRetry(last attemptResult) bool {
	if time.Until(x.deadline) < minTimeLeft || x.frontend.shutdownCtx.Err() != nil {
		return false
	}
	if last.status == attemptNotRun {
		return true
	}
	return x.repeatable() && x.runs < x.route.MaxAttempts
}

// repeatable reports whether the request may run more than once, by the configuration that matched it
// and by the current one.
func (x *exchange) repeatable() bool {
	if !x.route.Repeatable() {
		return false
	}
	configuration := x.frontend.catalog.Configuration()
	if configuration == nil || configuration.Version == x.version {
		return true
	}
	current, ok := configuration.Match(hostOf(x.r), x.r.URL.EscapedPath())
	return ok && current.Repeatable()
}

// attempt sends the request to the ticket's worker and relays the response.
func (x *exchange) attempt(ctx context.Context, ticket *backend.Assignment) attemptResult {
	defer ticket.End()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	call := backend.Call{Remaining: time.Until(x.deadline), HasTenants: x.identity.hasTenants, Tenant: x.identity.tenant.Name}
	if x.events > 0 {
		call.LastEvent = x.lastEventID
	}
	incoming, failure := x.frontend.caller.Send(ctx, backend.WorkerRequest{
		Method: x.r.Method, Path: x.r.URL.EscapedPath(), Query: x.r.URL.RawQuery, Host: x.r.Host,
		Header: x.r.Header.Clone(), Body: x.body, Call: call, ID: x.request.ID, Worker: ticket.Worker,
	})
	if failure != nil {
		return x.handleSendError(ticket, failure)
	}
	defer incoming.Response.Body.Close()
	if incoming.HasLoad {
		ticket.RecordLoad(incoming.Load)
		if x.frontend.usesReservations(x.service) {
			x.frontend.reservations.observations.recordLoad(time.Now(), ticket.Worker.Incarnation(), incoming.Load)
		}
	}
	if incoming.NotRun {
		return x.handleRejection(ticket, incoming)
	}
	x.runs++
	if status := incoming.Response.StatusCode; status < 200 || status > 299 || !incoming.Stamped {
		return x.readErrorResponse(ctx, ticket, incoming)
	}
	if x.route.Kind == route.KindStream && isEventStream(incoming.Response.Header) {
		return x.relayStream(ctx, ticket, incoming)
	}
	return x.relayResponse(ctx, ticket, incoming)
}

func isEventStream(header http.Header) bool {
	return strings.HasPrefix(header.Get("Content-Type"), "text/event-stream")
}

func (x *exchange) handleSendError(ticket *backend.Assignment, failure *api.Error) attemptResult {
	if failure.Outcome == api.OutcomeNotRun {
		if failure.Code == api.CodeUpstream {
			ticket.RecordRefused()
		}
		return attemptResult{status: attemptNotRun, failure: failure}
	}
	x.runs++
	if failure.Code == api.CodeUpstream {
		ticket.RecordInterrupted()
	}
	return attemptResult{status: attemptMaybeRun, failure: failure}
}

func (x *exchange) handleRejection(ticket *backend.Assignment, incoming *backend.WorkerResponse) attemptResult {
	if incoming.Moved {
		ticket.RecordMoved()
	} else {
		ticket.RecordFull()
	}
	x.rejectedBy = append(x.rejectedBy, ticket.Worker.ID)
	incoming.CloseRefusal()
	return attemptResult{status: attemptNotRun, failure: incoming.RefusalError(ticket.Worker.ID)}
}

// giveUp writes the final response of a request that no worker has served.
func (x *exchange) giveUp(last attemptResult) {
	if x.headerWritten {
		x.abortResponse(last.failure)
	}
	if last.status == attemptWorkerError && isFailure(last.incoming.Response.StatusCode) {
		x.logEntry("worker_failed", last.failure).Warn("A worker's error response is passed on.")
		x.frontend.metrics.requests.WithLabelValues(string(x.route.Kind), "worker_failed").Inc()
		x.writeResponse(last.incoming, last.body)
		return
	}
	x.refundToken()
	failure := *last.failure
	if x.runs > 0 {
		failure.Outcome = api.OutcomeUnknown
	}
	switch {
	case failure.Outcome == api.OutcomeNotRun:
		failure.Code = api.CodeNoCapacity
	case errors.Is(failure.Err, context.DeadlineExceeded) || time.Until(x.deadline) < minTimeLeft:
		failure.Code = api.CodeDeadline
	default:
		failure.Code = api.CodeUpstream
	}
	x.refuse(&failure)
}

func (x *exchange) recordServed(ticket *backend.Assignment) {
	kind := string(x.route.Kind)
	x.frontend.metrics.requests.WithLabelValues(kind, "served").Inc()
	x.frontend.metrics.duration.WithLabelValues(kind).Observe(time.Since(x.arrived).Seconds())
	if x.sends == 1 && !x.frontend.successLogs.Allow() {
		return
	}
	x.logEntry("request_served", nil).WithField("worker", ticket.Worker.ID).WithField("worker_version", ticket.Worker.Version).WithField("load", ticket.Load).WithField("unread", ticket.UncachedTokens).
		WithField("load_age_ms", ticket.ReportAge.Milliseconds()).WithField("first_ms", x.timeToFirstByte.Milliseconds()).WithFields(paceFields(ticket)).Info("A request was served.")
}

func (s attemptStatus) String() string {
	return [...]string{"served", "not_run", "may_have_run", "worker_failed"}[s]
}
