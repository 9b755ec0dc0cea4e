package sidecar

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/pause"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/retry"
)

// passedHeaders go from the caller to the home router.
var passedHeaders = []string{"Content-Type", "Accept", "Authorization", "Traceparent"}

func (s *Sidecar) serveOnline(w http.ResponseWriter, r *http.Request) {
	request, release, failure := s.read(w, r)
	defer release()
	if failure != nil {
		s.refuse(w, failure)
		return
	}
	w.Header().Set(api.HeaderAttemptID, string(request.routed.ID))
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
	answer, failure := s.attempts(ctx, request)
	if failure != nil {
		s.refuse(w, failure)
		return
	}
	if err := s.relay(ctx, w, request, answer); err != nil {
		s.broken(request, err)
	}
	s.metrics.requests.WithLabelValues(resultOK).Inc()
}

// broken cuts the caller's connection, so that an answer that broke off is
// never taken for whole.
func (s *Sidecar) broken(request *onlineRequest, err error) {
	s.metrics.requests.WithLabelValues(resultBroken).Inc()
	s.log.WithError(err).WithField("request", request.routed.ID).Warn("An answer broke off; the caller's connection is cut.")
	panic(http.ErrAbortHandler)
}

func (s *Sidecar) refuse(w http.ResponseWriter, failure *api.Error) {
	s.metrics.requests.WithLabelValues(string(failure.Code)).Inc()
	transport.WriteError(w, failure)
}

// attempts sends the request until an answer begins or the policy gives up.
// The failure given back tells the worst of all attempts: unknown once one was.
func (s *Sidecar) attempts(ctx context.Context, request *onlineRequest) (*answer, *api.Error) {
	s.mutex.Lock()
	s.policy.FirstAttempt()
	s.mutex.Unlock()
	outcome := api.OutcomeNotRun
	for number := 1; ; number++ {
		answer, tried, failure := s.attempt(ctx, request, number)
		if failure == nil {
			return answer, nil
		}
		if failure.Outcome != api.OutcomeNotRun {
			outcome = api.OutcomeUnknown
		}
		decision := s.decide(request, number, failure)
		if !decision.Again || !pause.For(ctx, decision.Delay) {
			final := *failure
			final.Outcome = outcome
			return nil, &final
		}
		s.metrics.retries.Inc()
		request.exclude(tried)
	}
}

// tried is where an attempt went.
type tried struct {
	home   string
	worker string // empty when the home sent it to none
}

// exclude keeps later attempts from where this one failed: the worker when it
// was sent to one, since the home may have others, else the home.
func (q *onlineRequest) exclude(tried tried) {
	if tried.worker != "" {
		q.failedWorkers = append(q.failedWorkers, tried.worker)
		return
	}
	q.routed.Excluded = append(q.routed.Excluded, tried.home)
}

func (s *Sidecar) decide(request *onlineRequest, number int, failure *api.Error) retry.Decision {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.policy.Decide(retry.Attempt{
		Number: number, Failure: failure, Repeatable: request.routed.Repeatable,
		Remaining: time.Until(request.deadline),
	})
}

// attempt sends the request to one home router; the answer is the back end's.
func (s *Sidecar) attempt(ctx context.Context, request *onlineRequest, number int) (*answer, tried, *api.Error) {
	const step = "send to router"
	home, failure := s.chooseHome(&request.routed)
	if failure != nil {
		return nil, tried{}, failure
	}
	at := tried{home: home.Name}
	outgoing, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+home.Address+api.PathRequests+request.uri, bytes.NewReader(request.body))
	if err != nil {
		return nil, at, api.NewError(step, home.Name, api.CodeInternal, api.OutcomeNotRun, "%w", err)
	}
	outgoing.Header = outgoingHeader(request, number)
	if home.Location != s.node.Settings.Node.Location() {
		outgoing.Header.Set(api.HeaderHops, "0") // a gateway: it chooses the home
	}
	response, failure := transport.Send(s.online, outgoing, step, home.Name)
	if failure != nil {
		s.avoided.note(home.Name, failure)
		return nil, at, failure
	}
	if response.Close { // a router ends connections with its answers only while it stops
		s.avoided.leaves(home.Name)
	}
	at.worker = response.Header.Get(api.HeaderWorker)
	answer, failure := s.begin(ctx, response, request, home.Name)
	return answer, at, failure
}

// outgoingHeader is built anew, so that a caller sets no internal header.
func outgoingHeader(request *onlineRequest, number int) http.Header {
	header := make(http.Header, len(passedHeaders)+8)
	for _, name := range passedHeaders {
		if values := request.header[name]; len(values) > 0 {
			header[name] = values
		}
	}
	if request.key != "" {
		header.Set(api.HeaderBackendKey, request.key)
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
