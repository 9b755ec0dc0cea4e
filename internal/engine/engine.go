// Package engine reaches back ends: it passes a caller's request on with its
// priority and id, and gives the answer's stream back unread.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/transport"
)

// PathLoad is where an engine publishes its Load.
const PathLoad = "/load"

// Load is an engine's report; it lags.
type Load struct {
	Running int  `json:"running"`
	Waiting int  `json:"waiting"`
	Slots   int  `json:"slots"`
	Leaving bool `json:"leaving"`
}

// Call is one request to a back end.
type Call struct {
	Worker   api.WorkerID
	Address  string
	Path     string // as the caller sent it, with its query
	Body     []byte
	Header   http.Header // content headers and the request's id
	Priority int
}

// Backend is how the rest of dykewing reaches engines and applications.
type Backend interface {
	// Send sends once and gives the answer when its header is there; closing
	// its body cancels the request. Errors are *api.Error.
	Send(ctx context.Context, call Call) (*http.Response, error)
	Load(ctx context.Context, address string) (Load, error)
}

// HTTPBackend is a Backend over the OpenAI HTTP API.
type HTTPBackend struct {
	Client  *http.Client // requests
	Control *http.Client // load reports
}

// Send posts the request.
func (b *HTTPBackend) Send(ctx context.Context, call Call) (*http.Response, error) {
	const step = "send to worker"
	body, err := withPriority(call)
	if err != nil {
		return nil, api.NewError(step, string(call.Worker), api.CodeBadRequest, api.OutcomeNotRun, "%w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+call.Address+call.Path, bytes.NewReader(body))
	if err != nil {
		return nil, api.NewError(step, string(call.Worker), api.CodeInternal, api.OutcomeNotRun, "%w", err)
	}
	for name, values := range call.Header {
		request.Header[name] = values
	}
	// The transport must not send again by itself: that is package retry's.
	request.GetBody = nil
	response, err := b.Client.Do(request)
	if err != nil {
		return nil, transport.SendError(step, string(call.Worker), err)
	}
	return response, nil
}

// withPriority sets the engine's priority field in JSON bodies of the model
// API; application requests stay as they are. Lower numbers go first there.
func withPriority(call Call) ([]byte, error) {
	if strings.HasPrefix(call.Path, "/v1/services/") {
		return call.Body, nil
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(call.Body, &fields); err != nil {
		return nil, fmt.Errorf("set priority: %w", err)
	}
	fields["priority"] = json.RawMessage(fmt.Sprint(-call.Priority))
	return json.Marshal(fields)
}

// Load reads the engine's report.
func (b *HTTPBackend) Load(ctx context.Context, address string) (Load, error) {
	var load Load
	err := transport.Get(ctx, b.Control, "read load of worker", address, PathLoad, &load)
	return load, err
}

// CopyStream passes an answer's body on as it comes.
func CopyStream(w http.ResponseWriter, body io.Reader) error {
	controller := http.NewResponseController(w)
	buffer := make([]byte, 32<<10)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, writeError := w.Write(buffer[:n]); writeError != nil {
				return fmt.Errorf("write to caller: %w", writeError)
			}
			_ = controller.Flush()
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read answer: %w", err)
		}
	}
}
