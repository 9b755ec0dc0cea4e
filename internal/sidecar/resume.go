package sidecar

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/engine"
	"github.com/dykewing/dykewing/internal/sleep"
	"github.com/dykewing/dykewing/internal/transport"
)

const (
	resumeAttempts = 4
	maxResumes     = 8                     // per stream
	resumeBackoff  = 50 * time.Millisecond // multiplied by the attempt number
)

// resume replaces answer's stream by one that continues after the passed events. Any
// router can serve it, since the engine still has the request and nothing is restarted.
func (s *Sidecar) resume(ctx context.Context, request *onlineRequest, answer *upstreamResponse, passed int, cause error) error {
	const step = "resume stream"
	if cause == io.EOF {
		cause = errUnterminatedStream
	}
	failure := api.NewError(step, answer.worker, api.CodeOutcomeUnknown, api.OutcomeUnknown, "%w", cause)
	s.metrics.interrupted.Inc()
	if !request.modelPath() || answer.resumes == maxResumes {
		return failure
	}
	answer.resumes++
	for number := range resumeAttempts {
		if !sleep.For(ctx, time.Duration(number)*resumeBackoff) {
			break
		}
		response, err := s.requestResume(ctx, request, answer.worker, passed)
		if err == nil {
			answer.response.Body.Close()
			answer.response = response
			answer.events = engine.NewEventReader(response.Body)
			s.metrics.resumed.Inc()
			return nil
		}
		failure.Err = fmt.Errorf("%w; %w", cause, err)
	}
	return failure
}

func (s *Sidecar) requestResume(ctx context.Context, request *onlineRequest, worker string, from int) (*http.Response, error) {
	const step = "ask router to resume"
	routers := s.homes.Load().routers
	if len(routers) == 0 {
		return nil, api.NewError(step, "", api.CodeNoCapacity, api.OutcomeUnknown, "no router is known")
	}
	router := routers[rand.IntN(len(routers))]
	address := fmt.Sprintf("http://%s%s%s?from=%d", router.Address, api.PathResumes, url.PathEscape(string(request.routed.ID)), from)
	outgoing, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, api.NewError(step, string(router.ID), api.CodeInternal, api.OutcomeUnknown, "%w", err)
	}
	outgoing.Header.Set(api.HeaderWorker, worker)
	outgoing.Header.Set(api.HeaderDeadline, remainingMilliseconds(request.deadline))
	response, failure := transport.Send(s.online, outgoing, step, string(router.ID))
	if failure != nil {
		return nil, failure
	}
	if response.Header.Get(api.HeaderOutcome) != string(api.OutcomeRan) || response.Header.Get(api.HeaderRequestID) != string(request.routed.ID) {
		defer response.Body.Close()
		return nil, transport.ReadError(step, string(router.ID), response)
	}
	return response, nil
}
