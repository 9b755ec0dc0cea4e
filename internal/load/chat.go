package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/standin/engine"
	"github.com/dykewing/dykewing/internal/transport"
)

// chatBody is a chat completion request. Messages is raw because the stand-in
// engine derives its answer from the exact bytes.
type chatBody struct {
	Model     api.ServiceName `json:"model"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
}

type chatChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

const (
	eventPrefix = "data: "
	doneMarker  = "[DONE]"
)

// messages returns a prompt that is unique to the request and item.
func (c *caller) messages(item int) json.RawMessage {
	text := fmt.Sprintf("request %d item %d seed %d ", c.number, item, c.options.Seed)
	text += strings.Repeat("x", max(c.options.PromptBytes-len(text), 0))
	return json.RawMessage(fmt.Sprintf(`[{"role":"user","content":%q}]`, text))
}

// streamedChat sends one streaming request and checks its answer.
func (c *caller) streamedChat(ctx context.Context) error {
	messages := c.messages(0)
	body, err := json.Marshal(chatBody{Model: c.options.Model, Messages: messages, MaxTokens: c.options.Tokens, Stream: true})
	if err != nil {
		return fmt.Errorf("encode request: %w", err)
	}
	response, err := c.send(ctx, http.MethodPost, "/chat/completions", "application/json", body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	answer, err := c.readStream(response.Body)
	if err != nil {
		return err
	}
	c.report.record(c.report.totals, time.Since(c.intended))
	return checkAnswer(answer, messages, c.options.Tokens)
}

func checkAnswer(answer string, messages json.RawMessage, tokens int) error {
	want := strings.Join(engine.Tokens(messages, tokens), "")
	if answer != want {
		return fmt.Errorf("%w: got %.60q of %d bytes, want %.60q of %d", errWrongAnswer, answer, len(answer), want, len(want))
	}
	return nil
}

// readStream returns the text of a stream and records its token latencies. A
// stream without its end marker is an error.
func (c *caller) readStream(body io.Reader) (string, error) {
	var answer strings.Builder
	last := c.intended
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		event, ok := strings.CutPrefix(lines.Text(), eventPrefix)
		if !ok {
			continue
		}
		if event == doneMarker {
			return answer.String(), nil
		}
		var chunk chatChunk
		if err := json.Unmarshal([]byte(event), &chunk); err != nil {
			return "", fmt.Errorf("%w: event %.60q: %w", errWrongAnswer, event, err)
		}
		if len(chunk.Choices) == 0 || chunk.Choices[0].Delta.Content == "" {
			continue
		}
		c.recordToken(answer.Len() == 0, &last)
		answer.WriteString(chunk.Choices[0].Delta.Content)
	}
	if err := lines.Err(); err != nil {
		return "", fmt.Errorf("read stream: %w", err)
	}
	return "", fmt.Errorf("read stream: %w", io.ErrUnexpectedEOF)
}

func (c *caller) recordToken(first bool, last *time.Time) {
	histogram := c.report.betweenTokens
	if first {
		histogram = c.report.firstToken
	}
	now := time.Now()
	c.report.record(histogram, now.Sub(*last))
	*last = now
}

// send sends one HTTP request. A response with an error status is returned as an
// *api.Error.
func (c *caller) send(ctx context.Context, method, path, contentType string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.options.URL+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("send request: %w", err)
	}
	request.Header.Set("Content-Type", contentType)
	request.Header.Set(api.HeaderTenant, string(c.options.Tenant))
	response, err := c.client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("send request: %w", err)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		defer response.Body.Close()
		return nil, transport.ReadError("send request", c.options.URL, response)
	}
	return response, nil
}
