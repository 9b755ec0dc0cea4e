package sidecar

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
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
	var failed []api.NodeID
	for number := range resumeAttempts {
		if !sleep.For(ctx, time.Duration(number)*resumeBackoff) {
			break
		}
		router, ok := chooseRouter(s.homes.Load().routers, failed)
		if !ok {
			failure.Err = fmt.Errorf("%w; no router is known", cause)
			continue
		}
		response, err := s.requestResume(ctx, request, router, answer.worker, passed)
		if err == nil {
			answer.response.Body.Close()
			answer.response = response
			answer.events = engine.NewEventReader(response.Body)
			s.metrics.resumed.Inc()
			return nil
		}
		failed = append(failed, router.ID)
		failure.Err = fmt.Errorf("%w; %w", cause, err)
	}
	return failure
}

// chooseRouter returns a random router, one that has not failed if there is one: the stream of a
// router that has just ended is resumed while it still counts as alive.
func chooseRouter(routers []api.Node, failed []api.NodeID) (api.Node, bool) {
	untried := slices.DeleteFunc(slices.Clone(routers), func(router api.Node) bool { return slices.Contains(failed, router.ID) })
	if len(untried) > 0 {
		routers = untried
	}
	if len(routers) == 0 {
		return api.Node{}, false
	}
	return routers[rand.IntN(len(routers))], true
}

func (s *Sidecar) requestResume(ctx context.Context, request *onlineRequest, router api.Node, worker string, from int) (*http.Response, error) {
	const step = "ask router to resume"
	address := fmt.Sprintf("http://%s%s%s?from=%d", router.Address, api.PathResumes, url.PathEscape(string(request.routed.ID)), from)
	outgoing, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, api.NewError(step, string(router.ID), api.CodeInternal, api.OutcomeUnknown, "%w", err)
	}
	outgoing.Header.Set(api.HeaderWorker, worker)
	outgoing.Header.Set(api.HeaderDeadline, remainingMilliseconds(request.deadline))
	response, failure := transport.Send(s.online, outgoing, string(request.routed.ID), step, string(router.ID))
	if failure != nil {
		return nil, failure
	}
	if response.Header.Get(api.HeaderOutcome) != string(api.OutcomeRan) || response.Header.Get(api.HeaderRequestID) != string(request.routed.ID) {
		defer response.Body.Close()
		return nil, transport.ReadError(step, string(router.ID), response.Response)
	}
	return response.Response, nil
}
