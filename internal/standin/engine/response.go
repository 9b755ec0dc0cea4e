package engine

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Tokens returns the count tokens that an engine generates for a prompt. They depend on the prompt
// only.
func Tokens(prompt []byte, count int) []string {
	hash := fnv.New32a()
	_, _ = hash.Write(prompt)
	seed := hash.Sum32()
	tokens := make([]string, count)
	for i := range tokens {
		tokens[i] = fmt.Sprintf("t%08x-%d ", seed, i)
	}
	return tokens
}

// writeCompletion writes a complete response, or breaks it off if a fault is injected.
func (e *Engine) writeCompletion(w http.ResponseWriter, id string, request chatRequest) {
	raw, _ := json.Marshal(completion(id, request.Model, strings.Join(request.tokens(), ""), request.MaxTokens))
	raw = append(raw, '\n')
	w.Header().Set("Content-Type", "application/json")
	switch faults := e.faults.Load(); {
	case faults.TruncateAfter > 0:
		w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
		_, _ = w.Write(raw[:len(raw)/2])
		panic(http.ErrAbortHandler)
	case faults.WrongContentLength:
		w.Header().Set("Content-Length", strconv.Itoa(2*len(raw)))
		_, _ = w.Write(raw)
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(raw)
}

func completion(id, model, text string, tokens int) map[string]any {
	return map[string]any{
		"id": "chatcmpl-" + id, "object": "chat.completion", "created": time.Now().Unix(), "model": model,
		"choices": []any{map[string]any{
			"index": 0, "finish_reason": "stop", "text": text,
			"message": map[string]any{"role": "assistant", "content": text},
		}},
		"usage": map[string]any{"prompt_tokens": 1, "completion_tokens": tokens, "total_tokens": tokens + 1},
	}
}

func chunk(id, model string, delta map[string]any, finish any) map[string]any {
	return map[string]any{
		"id": "chatcmpl-" + id, "object": "chat.completion.chunk", "created": time.Now().Unix(), "model": model,
		"choices": []any{map[string]any{"index": 0, "delta": delta, "finish_reason": finish}},
	}
}

func writeEvent(w io.Writer, value any) {
	raw, _ := json.Marshal(value)
	_, _ = fmt.Fprintf(w, "data: %s\n\n", raw)
}

func writeEngineError(w http.ResponseWriter, status int, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"error": map[string]any{"message": message, "type": "invalid_request_error"}})
}
