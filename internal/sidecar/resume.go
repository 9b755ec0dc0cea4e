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
	"github.com/dykewing/dykewing/internal/pause"
	"github.com/dykewing/dykewing/internal/transport"
)

const (
	resumeAttempts = 4
	maximumResumes = 8                     // of one stream
	resumePause    = 50 * time.Millisecond // times the attempt's number
)

// resume puts a stream that goes on after the passed events into answer. It
// asks any router: the engine has the request, and nothing is started again.
func (s *Sidecar) resume(ctx context.Context, request *onlineRequest, answer *answer, passed int, cause error) error {
	const step = "resume stream"
	if cause == io.EOF {
		cause = errNoDone
	}
	failure := api.NewError(step, answer.worker, api.CodeOutcomeUnknown, api.OutcomeUnknown, "%w", cause)
	s.metrics.broken.Inc()
	if !request.modelPath() || answer.resumes == maximumResumes {
		return failure
	}
	answer.resumes++
	for number := range resumeAttempts {
		if !pause.For(ctx, time.Duration(number)*resumePause) {
			break
		}
		response, err := s.askResume(ctx, request, answer.worker, passed)
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

func (s *Sidecar) askResume(ctx context.Context, request *onlineRequest, worker string, from int) (*http.Response, error) {
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
