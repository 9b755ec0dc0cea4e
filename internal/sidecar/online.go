package sidecar

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/sleep"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/retry"
)

// requestHeaders are forwarded from the caller to the home router.
var requestHeaders = []string{"Content-Type", "Accept", "Authorization", "Traceparent"}

func (s *Sidecar) serveOnline(w http.ResponseWriter, r *http.Request) {
	request, release, failure := s.read(w, r)
	defer release()
	if failure != nil {
		s.refuse(w, failure)
		return
	}
	w.Header().Set(api.HeaderAssignedRequestID, string(request.routed.ID))
	w.Header().Set(api.HeaderRequestID, string(request.routed.ID))
	if request.callerID != "" {
		w.Header().Set(api.HeaderRequestID, request.callerID)
	}
	if request.key != "" {
		s.serveClaimed(w, r, request)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), request.deadline)
	defer cancel()
	answer, failure := s.sendWithRetries(ctx, request)
	if failure != nil {
		s.refuse(w, failure)
		return
	}
	if err := s.relay(ctx, w, request, answer); err != nil {
		s.abort(request, err)
	}
	s.metrics.requests.WithLabelValues(resultOK).Inc()
}

// interrupted aborts the caller's connection, so that an interrupted response is not taken for
// complete.
func (s *Sidecar) abort(request *onlineRequest, err error) {
	s.metrics.requests.WithLabelValues(resultBroken).Inc()
	s.log.WithError(err).WithField("request", request.routed.ID).Warn("Response interrupted; aborting the caller's connection.")
	panic(http.ErrAbortHandler)
}

func (s *Sidecar) refuse(w http.ResponseWriter, failure *api.Error) {
	s.metrics.requests.WithLabelValues(string(failure.Code)).Inc()
	transport.WriteError(w, failure)
}

// sendWithRetries sends the request until a response begins or the retry policy gives up. The
// outcome of the returned failure is unknown if that of any attempt was.
func (s *Sidecar) sendWithRetries(ctx context.Context, request *onlineRequest) (*upstreamResponse, *api.Error) {
	s.mutex.Lock()
	s.policy.RecordFirstAttempt()
	s.mutex.Unlock()
	outcome := api.OutcomeNotRun
	for number := 1; ; number++ {
		answer, target, failure := s.attempt(ctx, request, number)
		if failure == nil {
			return answer, nil
		}
		if failure.Outcome != api.OutcomeNotRun {
			outcome = api.OutcomeUnknown
		}
		decision := s.decideRetry(request, number, failure)
		if !decision.Retry || !sleep.For(ctx, decision.Delay) {
			final := *failure
			final.Outcome = outcome
			return nil, &final
		}
		s.metrics.retries.Inc()
		request.exclude(target)
	}
}

// attemptTarget is where an attempt was sent.
type attemptTarget struct {
	home   string
	worker string // empty if the home did not send it to a worker
}

// exclude excludes the worker of a failed attempt from later ones, or the home if the
// attempt was not sent to a worker.
func (q *onlineRequest) exclude(target attemptTarget) {
	if target.worker != "" {
		q.failedWorkers = append(q.failedWorkers, target.worker)
		return
	}
	q.routed.Excluded = append(q.routed.Excluded, target.home)
}

func (s *Sidecar) decideRetry(request *onlineRequest, number int, failure *api.Error) retry.Decision {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.policy.Decide(retry.Attempt{
		Number: number, Failure: failure, Repeatable: request.routed.Repeatable,
		Remaining: time.Until(request.deadline),
	})
}

// attempt sends the request to one home router and returns the back end's response.
func (s *Sidecar) attempt(ctx context.Context, request *onlineRequest, number int) (*upstreamResponse, attemptTarget, *api.Error) {
	const step = "send to router"
	home, failure := s.chooseHome(&request.routed)
	if failure != nil {
		return nil, attemptTarget{}, failure
	}
	target := attemptTarget{home: home.Name}
	outgoing, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+home.Address+api.PathRequests+request.uri, bytes.NewReader(request.body))
	if err != nil {
		return nil, target, api.NewError(step, home.Name, api.CodeInternal, api.OutcomeNotRun, "%w", err)
	}
	outgoing.Header = outgoingHeader(request, number)
	if home.Location != s.node.Settings.Node.Location() {
		outgoing.Header.Set(api.HeaderHops, "0") // the router is a gateway, which chooses the home
	}
	response, failure := transport.Send(s.online, outgoing, string(request.routed.ID), step, home.Name)
	if failure != nil {
		s.unavailable.recordFailure(home.Name, failure)
		return nil, target, failure
	}
	if response.Close { // routers send Connection: close only while stopping
		s.unavailable.recordLeaving(home.Name)
	}
	target.worker = response.Header.Get(api.HeaderWorker)
	answer, failure := s.openResponse(ctx, response.Response, request, home.Name)
	return answer, target, failure
}

// outgoingHeader returns a new header, so that callers cannot set internal headers.
func outgoingHeader(request *onlineRequest, number int) http.Header {
	header := make(http.Header, len(requestHeaders)+8)
	for _, name := range requestHeaders {
		if values := request.header[name]; len(values) > 0 {
			header[name] = values
		}
	}
	if request.key != "" {
		header.Set(api.HeaderBackendIdempotencyKey, request.key)
	}
	header.Set(api.HeaderRequestID, string(request.routed.ID))
	header.Set(api.HeaderTenant, string(request.routed.Tenant))
	header.Set(api.HeaderService, string(request.routed.Service))
	header.Set(api.HeaderPlace, string(request.routed.Place))
	if number > 1 {
		header.Set(api.HeaderAttempt, strconv.Itoa(number))
	}
	if len(request.failedWorkers) > 0 {
		header.Set(api.HeaderExcluded, strings.Join(request.failedWorkers, api.ExcludedSeparator))
	}
	header.Set(api.HeaderDeadline, remainingMilliseconds(request.deadline))
	return header
}

func remainingMilliseconds(deadline time.Time) string {
	return strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10)
}
