// Package verify checks answers received by a caller against the deterministic
// answers of the stand-in engines.
package verify

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/openai/openai-go/v3"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/standin/engine"
)

// Stream requests a streamed chat completion with the given number of tokens and
// checks its text. A complete answer with incorrect text is reported by a distinct
// error type, any other failure by a plain error.
func Stream(ctx context.Context, client openai.Client, model api.ServiceName, prompt string, tokens int) error {
	messages := []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)}
	stream := client.Chat.Completions.NewStreaming(ctx, openai.ChatCompletionNewParams{
		Model: string(model), Messages: messages, MaxTokens: openai.Int(int64(tokens)),
	})
	defer stream.Close()
	var text strings.Builder
	for stream.Next() {
		for _, choice := range stream.Current().Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	if err := stream.Err(); err != nil {
		return fmt.Errorf("stream %q: %w", prompt, err)
	}
	return checkText(messages, text.String(), tokens)
}

// WrongAnswerError is the error for a complete answer with incorrect text.
type WrongAnswerError struct{ Got, Want string }

func (w *WrongAnswerError) Error() string {
	return fmt.Sprintf("got answer %q, want %q", w.Got, w.Want)
}

func checkText(messages any, text string, tokens int) error {
	raw, err := json.Marshal(messages)
	if err != nil {
		return fmt.Errorf("check answer: %w", err)
	}
	if want := strings.Join(engine.Tokens(raw, tokens), ""); text != want {
		return &WrongAnswerError{Got: text, Want: want}
	}
	return nil
}

// BatchInput returns a batch input file and the expected answers by custom id.
func BatchInput(model api.ServiceName, name string, items, tokens int) ([]byte, map[string]string) {
	var input strings.Builder
	want := map[string]string{}
	for i := range items {
		id := fmt.Sprintf("%s-%d", name, i)
		messages := fmt.Sprintf(`[{"role":"user","content":"%s %d"}]`, name, i)
		want[id] = strings.Join(engine.Tokens([]byte(messages), tokens), "")
		fmt.Fprintf(&input, `{"custom_id":%q,"method":"POST","url":"/v1/chat/completions","body":{"model":%q,"max_tokens":%d,"messages":%s}}`+"\n",
			id, model, tokens, messages)
	}
	return []byte(input.String()), want
}

// outputLine is a line of a batch output file.
type outputLine struct {
	CustomID string `json:"custom_id"`
	Response struct {
		Body openai.ChatCompletion `json:"body"`
	} `json:"response"`
}

// Results downloads a batch's output file and checks that each line has the
// expected answer and that no item occurs twice. It returns the number of items.
func Results(ctx context.Context, client openai.Client, batch string, want map[string]string) (int, error) {
	object, err := client.Batches.Get(ctx, batch)
	if err != nil {
		return 0, fmt.Errorf("read batch: %w", err)
	}
	content, err := client.Files.Content(ctx, object.OutputFileID)
	if err != nil {
		return 0, fmt.Errorf("read results: %w", err)
	}
	defer content.Body.Close()
	decoder := json.NewDecoder(content.Body)
	seen := map[string]bool{}
	for decoder.More() {
		var line outputLine
		if err := decoder.Decode(&line); err != nil {
			return 0, fmt.Errorf("read results: %w", err)
		}
		if err := checkLine(line, want, seen); err != nil {
			return 0, err
		}
	}
	return len(seen), nil
}

func checkLine(line outputLine, want map[string]string, seen map[string]bool) error {
	if seen[line.CustomID] {
		return fmt.Errorf("item %s has two results", line.CustomID)
	}
	seen[line.CustomID] = true
	text := ""
	if choices := line.Response.Body.Choices; len(choices) > 0 {
		text = choices[0].Message.Content
	}
	if text != want[line.CustomID] {
		return fmt.Errorf("item %s: %w", line.CustomID, &WrongAnswerError{Got: text, Want: want[line.CustomID]})
	}
	return nil
}
