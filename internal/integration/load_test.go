package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/standin/engine"
)

type kind int

const (
	kindStream  kind = iota // repeatable, streamed
	kindUnary               // repeatable, not streamed
	kindUnkeyed             // non-repeatable, without an idempotency key
	kindKeyed               // non-repeatable, with an idempotency key
	kindCount
)

const (
	answerTokens = 40
	callTimeout  = 15 * time.Second
	resendPause  = 30 * time.Millisecond
	callers      = 12
)

// result is the outcome of one attempt as seen by the caller.
type result struct {
	correct bool
	outcome api.Outcome // from the error response; unknown if the connection broke
	refused bool        // connection refused
	detail  string
}

// call is a request, identified by a marker that it sends as X-Request-Id.
type call struct {
	kind   kind
	marker string
	last   result
}

var httpClient = &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: callers}}

func (c *call) messages() string { return fmt.Sprintf(`[{"role":"user","content":%q}]`, c.marker) }

func (c *call) request(ctx context.Context, sidecar string) *http.Request {
	path, body := "/v1/services/calendar/book", fmt.Sprintf(`{"slot":%q}`, c.marker)
	if c.kind == kindStream || c.kind == kindUnary {
		path = "/v1/chat/completions"
		body = fmt.Sprintf(`{"model":"model","stream":%t,"max_tokens":%d,"messages":%s}`, c.kind == kindStream, answerTokens, c.messages())
	}
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+sidecar+path, bytes.NewReader([]byte(body)))
	request.GetBody = nil // prevents retries by net/http, since the test counts attempts
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(api.HeaderRequestID, c.marker)
	if c.kind == kindKeyed {
		// net/http retries requests that have an Idempotency-Key header and a GetBody.
		request.Header.Set(api.HeaderIdempotencyKey, c.marker)
	}
	return request
}

// send sends the call once.
func (c *call) send(ctx context.Context, sidecar string) result {
	response, err := httpClient.Do(c.request(ctx, sidecar))
	if err != nil {
		return result{outcome: api.OutcomeUnknown, refused: strings.Contains(err.Error(), "connection refused"), detail: err.Error()}
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return result{outcome: api.OutcomeUnknown, detail: err.Error() + ": " + string(raw[max(0, len(raw)-300):])}
	}
	if response.StatusCode != http.StatusOK {
		var body api.ErrorBody
		_ = json.Unmarshal(raw, &body)
		return result{outcome: body.Outcome, detail: string(raw)}
	}
	if text := c.text(raw); text != c.want() {
		return result{detail: fmt.Sprintf("answer %q", text)}
	}
	return result{correct: true}
}

func (c *call) want() string {
	if c.kind == kindUnkeyed || c.kind == kindKeyed {
		return fmt.Sprintf(`{"slot":%q}`, c.marker)
	}
	return strings.Join(engine.Tokens([]byte(c.messages()), answerTokens), "")
}

// text extracts the answer's text according to the call's kind.
func (c *call) text(raw []byte) string {
	type choice struct {
		Delta   struct{ Content string }
		Message struct{ Content string }
	}
	var body struct {
		Echo    string
		Choices []choice
	}
	if c.kind != kindStream {
		_ = json.Unmarshal(raw, &body)
		if len(body.Choices) == 1 {
			return body.Choices[0].Message.Content
		}
		return body.Echo
	}
	var text strings.Builder
	for _, event := range strings.Split(string(raw), "\n\n") {
		if json.Unmarshal([]byte(strings.TrimPrefix(event, "data: ")), &body) == nil && len(body.Choices) == 1 {
			text.WriteString(body.Choices[0].Delta.Content)
		}
		body.Choices = nil
	}
	if !strings.HasSuffix(string(raw), "data: [DONE]\n\n") {
		return "missing [DONE] event: " + text.String()
	}
	return text.String()
}

// run sends the call until its outcome is final. It retries after not_run and, if a
// resend is safe, after a broken connection to a sidecar; cut counts the latter.
func (c *call) run(ctx context.Context, sidecars []string) (cut int) {
	for turn := 0; ctx.Err() == nil; turn++ {
		c.last = c.send(ctx, sidecars[turn%len(sidecars)])
		switch {
		case c.last.correct:
			return cut
		case c.last.refused || c.last.outcome == api.OutcomeNotRun:
		case c.kind == kindKeyed && strings.Contains(c.last.detail, string(api.CodeInProgress)):
		case c.kind != kindUnkeyed && c.last.outcome == api.OutcomeUnknown && !strings.Contains(c.last.detail, "dykewing_outcome"):
			cut++
		default:
			return cut
		}
		time.Sleep(resendPause)
	}
	return cut
}

// runLoad runs concurrent callers that send calls of all kinds until stop is
// closed.
func runLoad(ctx context.Context, name string, sidecars []string, stop <-chan struct{}) (calls []*call, cut int) {
	var mutex sync.Mutex
	var running sync.WaitGroup
	for caller := range callers {
		running.Go(func() {
			own := append(sidecars[caller%len(sidecars):len(sidecars):len(sidecars)], sidecars[:caller%len(sidecars)]...)
			for number := 0; ; number++ {
				select {
				case <-stop:
					return
				default:
				}
				c := &call{kind: kind((caller + number) % int(kindCount)), marker: fmt.Sprintf("%s-%d-%d", name, caller, number)}
				cuts := c.run(ctx, own)
				mutex.Lock()
				calls = append(calls, c)
				cut += cuts
				mutex.Unlock()
			}
		})
	}
	running.Wait()
	return calls, cut
}
