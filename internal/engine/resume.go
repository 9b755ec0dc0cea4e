package engine

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/transport"
)

// ResumePath returns the path at which an engine serves the events of a request again,
// starting at an event counted from 0. It is an extension: the OpenAI API has no such path
// for chat completions.
func ResumePath(request api.RequestID, from int) string {
	return fmt.Sprintf("/v1/requests/%s/events?from=%d", url.PathEscape(string(request)), from)
}

// Resume requests the rest of a stream.
func (b *HTTPBackend) Resume(ctx context.Context, call Call, id api.RequestID, from int) (*http.Response, error) {
	const step = "resume at worker"
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+call.Address+ResumePath(id, from), nil)
	if err != nil {
		return nil, api.NewError(step, string(call.Worker), api.CodeInternal, api.OutcomeUnknown, "%w", err)
	}
	request.Header.Set(api.HeaderRequestID, string(id))
	response, failure := transport.Send(b.Client, request, string(id), step, string(call.Worker))
	if failure != nil {
		failure.Outcome = api.OutcomeUnknown // the request was already sent
		return nil, failure
	}
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close()
		failure := transport.ReadError(step, string(call.Worker), response.Response)
		failure.Code, failure.Outcome = api.CodeUpstream, api.OutcomeUnknown
		return nil, failure
	}
	if echoed := response.Header.Get(api.HeaderRequestID); echoed != "" && echoed != string(id) {
		response.Body.Close()
		return nil, api.NewError(step, string(call.Worker), api.CodeOutcomeUnknown, api.OutcomeUnknown, "the stream is of request %q, not %q", echoed, id)
	}
	return response.Response, nil
}
