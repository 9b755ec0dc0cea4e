package dev

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/config"
	"github.com/dykewing/dykewing/internal/logging"
	"github.com/dykewing/dykewing/internal/standin/engine"
)

// startClientFleet starts a fleet and an OpenAI client for it.
func startClientFleet(t *testing.T) (*Fleet, openai.Client) {
	t.Helper()
	logger, err := logging.New(config.Log{Level: "error", Format: "text"}, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	fleet, err := Start(t.Context(), DefaultOptions(logger))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Stop)
	return fleet, openai.NewClient(option.WithBaseURL(fleet.URL()), option.WithAPIKey("test"), option.WithMaxRetries(0))
}

func chatOf(model, prompt string, tokens int64) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model: model, MaxTokens: openai.Int(tokens),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
	}
}

func TestPublishedClient(t *testing.T) {
	fleet, client := startClientFleet(t)
	ctx := t.Context()
	parameters := chatOf(string(ModelService), "hello", answerTokens)
	raw, _ := json.Marshal(parameters.Messages)
	want := strings.Join(engine.Tokens(raw, answerTokens), "")

	t.Run("complete", func(t *testing.T) {
		completion, err := client.Chat.Completions.New(ctx, parameters)
		if err != nil || completion.Choices[0].Message.Content != want {
			t.Fatalf("%v, %v", completion, err)
		}
	})
	t.Run("resend under a key", func(t *testing.T) {
		key := option.WithHeader(api.HeaderIdempotencyKey, "one")
		before := started(fleet)
		for range 2 {
			completion, err := client.Chat.Completions.New(ctx, parameters, key)
			if err != nil || completion.Choices[0].Message.Content != want {
				t.Fatalf("%v, %v", completion, err)
			}
		}
		if got := started(fleet) - before; got != 1 {
			t.Fatalf("%d executions, want 1", got)
		}
	})
	t.Run("models", func(t *testing.T) {
		page, err := client.Models.List(ctx)
		if err != nil || len(page.Data) != 2 {
			t.Fatalf("%v, %v", page, err)
		}
	})
	t.Run("unknown model", func(t *testing.T) {
		_, err := client.Chat.Completions.New(ctx, chatOf("nothing", "hello", 1))
		var failure *openai.Error
		if !errors.As(err, &failure) || failure.StatusCode != 404 || failure.Code != string(api.CodeUnknownService) || !strings.Contains(failure.RawJSON(), string(api.OutcomeNotRun)) {
			t.Fatalf("error %v", err)
		}
	})
	t.Run("cancel", func(t *testing.T) { cancelStream(t, fleet, client) })
}

func started(fleet *Fleet) int {
	total := 0
	for _, stub := range fleet.engines {
		for _, counts := range stub.Executions() {
			total += counts.Started
		}
	}
	return total
}

// cancelStream closes a long stream after its first token and checks that its execution is cancelled.
func cancelStream(t *testing.T, fleet *Fleet, client openai.Client) {
	const endless = 20_000 // tokens of a millisecond each
	ctx, cancel := context.WithCancel(t.Context())
	stream := client.Chat.Completions.NewStreaming(ctx, chatOf(string(ModelService), "long", endless))
	if !stream.Next() {
		t.Fatal(stream.Err())
	}
	cancel()
	stream.Close()
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		running := 0
		for _, node := range fleet.sidecar.Node.Nodes() {
			for _, summary := range node.Summary.Services {
				running += summary.Online
			}
		}
		if running == 0 {
			return
		}
		time.Sleep(heartbeatInterval)
	}
	t.Fatal("cancelled stream is still running")
}
