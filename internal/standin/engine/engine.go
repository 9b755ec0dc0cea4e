// Package engine is a stand-in for a model engine and for an application back
// end: it speaks the OpenAI HTTP API with made-up tokens that depend only on
// the prompt, so that every answer can be checked.
package engine

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/dykewing/dykewing/api"
)

// Settings of an Engine.
type Settings struct {
	Slots         int
	FirstToken    time.Duration // prefill time of a request
	BetweenTokens time.Duration // step time
	DefaultTokens int
}

// DefaultSettings are a small, quick engine.
func DefaultSettings() Settings {
	return Settings{Slots: 8, FirstToken: 5 * time.Millisecond, BetweenTokens: time.Millisecond, DefaultTokens: 16}
}

// Engine is an http.Handler.
type Engine struct {
	settings Settings
	mux      *http.ServeMux
	running  atomic.Int64
	served   atomic.Int64
	leaving  atomic.Bool
	memory   *memory
}

// New makes an engine.
func New(settings Settings) *Engine {
	engine := &Engine{settings: settings, mux: http.NewServeMux(), memory: newMemory()}
	engine.mux.HandleFunc("POST /v1/chat/completions", engine.serveChat)
	engine.mux.HandleFunc("POST /v1/completions", engine.serveChat)
	engine.mux.HandleFunc("POST /v1/services/{service}/{path...}", engine.serveApplication)
	engine.mux.HandleFunc("GET /v1/requests/{request}/events", engine.serveResume)
	engine.mux.HandleFunc("GET /load", engine.serveLoad)
	return engine
}

// Served counts the requests that ran to their end.
func (e *Engine) Served() int64 { return e.served.Load() }

// ServeHTTP serves the engine's API.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.observe(w, r) }

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	running := e.running.Load()
	waiting := max(running-int64(e.settings.Slots), 0)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"running": running - waiting, "waiting": waiting, "slots": e.settings.Slots, "leaving": e.leaving.Load(),
	})
}

type chatRequest struct {
	Model     string          `json:"model"`
	Messages  json.RawMessage `json:"messages"`
	Prompt    json.RawMessage `json:"prompt"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
}

// Tokens gives the answer that an engine makes for a prompt.
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

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	var request chatRequest
	if err == nil {
		err = json.Unmarshal(raw, &request)
	}
	if err != nil {
		writeEngineError(w, http.StatusBadRequest, err.Error())
		return
	}
	e.running.Add(1)
	defer e.running.Add(-1)
	if request.MaxTokens <= 0 {
		request.MaxTokens = e.settings.DefaultTokens
	}
	tokens := Tokens(append(request.Messages, request.Prompt...), request.MaxTokens)
	id := r.Header.Get(api.HeaderRequestID)
	if request.Stream {
		e.stream(w, r, id, request.Model, tokens)
		return
	}
	if !e.wait(r, e.settings.FirstToken+time.Duration(len(tokens))*e.settings.BetweenTokens) {
		return
	}
	e.served.Add(1)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(completion(id, request.Model, strings.Join(tokens, ""), len(tokens)))
}

func (e *Engine) wait(r *http.Request, duration time.Duration) bool {
	select {
	case <-time.After(duration):
		return true
	case <-r.Context().Done():
		return false
	}
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

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, id, model string, tokens []string) {
	w.Header().Set("Content-Type", "text/event-stream")
	e.streamFrom(w, r, id, model, tokens, 0)
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

func (e *Engine) serveApplication(w http.ResponseWriter, r *http.Request) {
	raw, _ := io.ReadAll(r.Body)
	e.running.Add(1)
	defer e.running.Add(-1)
	if !e.wait(r, e.settings.FirstToken) {
		return
	}
	e.served.Add(1)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"service": r.PathValue("service"), "path": r.PathValue("path"),
		"request_id": r.Header.Get(api.HeaderRequestID), "echo": string(raw),
	})
}

func writeEngineError(w http.ResponseWriter, status int, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"error": map[string]any{"message": message, "type": "invalid_request_error"}})
}
