// Package engine is a stand-in for a model engine and for an application back
// end: it speaks the OpenAI HTTP API with made-up tokens that depend only on
// the prompt, so that every answer can be checked. The time that tokens take
// comes from package model, in real time. Faults are set at PathControl.
package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/standin/engine/model"
)

// Paths beside the OpenAI API.
const (
	PathLoad        = "/load"             // GET, lagging load report
	PathCacheEvents = "/cache/events"     // GET, ?after=sequence
	PathOrders      = "/orders"           // POST model.Order: load a version
	PathControl     = "/control"          // GET and POST Faults
	PathExecutions  = "/debug/executions" // GET, by request id
)

// Settings of an Engine.
type Settings struct {
	Slots           int           // requests it runs at once at full speed
	ApplicationTime time.Duration // of a request to an application
	DefaultTokens   int
	Model           model.Settings
	// Running is told of each streamed request that begins to run (1) and, before
	// the last of it is written, that it ends (-1). May be nil.
	Running func(change int64)
}

// DefaultSettings are a small, quick engine: a millisecond a step.
func DefaultSettings() Settings {
	settings := Settings{Slots: 8, ApplicationTime: 5 * time.Millisecond, DefaultTokens: 16, Model: model.DefaultSettings()}
	settings.Model.StepBase = time.Millisecond
	settings.Model.StepSequence = 10 * time.Microsecond
	settings.Model.StepContext = 10 * time.Microsecond
	settings.Model.StepPrefill = 5 * time.Millisecond
	return settings
}

// Engine is an http.Handler.
type Engine struct {
	settings Settings
	mux      *http.ServeMux
	shell    *shell
	memory   *memory
	faults   atomic.Pointer[Faults]
	apps     atomic.Int64 // application requests that run
	served   atomic.Int64
}

// New makes an engine.
func New(settings Settings) *Engine {
	settings.Model.MaximumSequences = settings.Slots
	engine := &Engine{settings: settings, mux: http.NewServeMux(), memory: newMemory()}
	engine.faults.Store(&Faults{})
	engine.shell = newShell(settings.Model, &engine.faults)
	engine.mux.HandleFunc("POST /v1/chat/completions", engine.serveChat)
	engine.mux.HandleFunc("POST /v1/completions", engine.serveChat)
	engine.mux.HandleFunc("POST /v1/services/{service}/{path...}", engine.serveApplication)
	engine.mux.HandleFunc("GET /v1/requests/{request}/events", engine.serveResume)
	engine.mux.HandleFunc("GET "+PathLoad, engine.serveLoad)
	engine.mux.HandleFunc("GET "+PathCacheEvents, engine.serveCacheEvents)
	engine.mux.HandleFunc("POST "+PathOrders, engine.serveOrder)
	engine.mux.HandleFunc("GET "+PathControl, engine.serveFaults)
	engine.mux.HandleFunc("POST "+PathControl, engine.setFaults)
	engine.mux.HandleFunc("GET "+PathExecutions, engine.serveExecutions)
	return engine
}

// Served counts the requests that ran to their end.
func (e *Engine) Served() int64 { return e.served.Load() }

// ServeHTTP serves the engine's API.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e.faults.Load().Die && r.URL.Path != PathControl {
		panic(http.ErrAbortHandler)
	}
	e.observe(w, r)
}

type chatRequest struct {
	Model     string          `json:"model"`
	Messages  json.RawMessage `json:"messages"`
	Prompt    json.RawMessage `json:"prompt"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
	Priority  int             `json:"priority"` // lower goes first, as in the API's extensions
}

func (e *Engine) parse(body []byte) (chatRequest, error) {
	var request chatRequest
	err := json.Unmarshal(body, &request)
	if request.MaxTokens <= 0 {
		request.MaxTokens = e.settings.DefaultTokens
	}
	return request, err
}

func (r chatRequest) tokens() []string {
	return Tokens(append(r.Messages, r.Prompt...), r.MaxTokens)
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var request chatRequest
	if err == nil {
		request, err = e.parse(body)
	}
	if err != nil {
		writeEngineError(w, http.StatusBadRequest, err.Error())
		return
	}
	id := r.Header.Get(api.HeaderRequestID)
	run := e.shell.start(id, body, request, r.Header.Get(api.HeaderResume) == "true")
	defer e.shell.cancel(run)
	if request.Stream {
		e.stream(w, r, run, id, request, 0)
		return
	}
	e.answer(w, r, run, id, request)
}

// answer gives the whole answer once it is there.
func (e *Engine) answer(w http.ResponseWriter, r *http.Request, run *run, id string, request chatRequest) {
	if !e.await(w, r, run, id, request.MaxTokens) {
		return
	}
	e.writeCompletion(w, id, request)
	e.served.Add(1)
}

// await waits for so many tokens; when they will not come it answers or breaks
// the connection and is false.
func (e *Engine) await(w http.ResponseWriter, r *http.Request, run *run, id string, tokens int) bool {
	switch e.shell.await(r.Context(), run, tokens) {
	case awaitedTokens:
		return true
	case awaitedRejection:
		e.refuse(w, id, run.rejected)
	case awaitedDeath:
		panic(http.ErrAbortHandler)
	}
	return false
}

// refuse answers a request that has not run.
func (e *Engine) refuse(w http.ResponseWriter, id, reason string) {
	e.memory.update(id, func(known *remembered) { known.executions.Started-- })
	w.Header().Set("Retry-After", "1")
	w.Header().Set(api.HeaderOutcome, string(api.OutcomeNotRun))
	writeEngineError(w, http.StatusServiceUnavailable, reason)
}

// stream writes events from the given one on, as their tokens come.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, run *run, id string, request chatRequest, from int) {
	ended := e.counted()
	defer ended()
	tokens := request.tokens()
	controller := http.NewResponseController(w)
	for i := from; i < len(tokens); i++ {
		if !e.await(w, r, run, id, i+1) {
			return
		}
		if cut := e.faults.Load().TruncateAfter; cut > 0 && i >= cut {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Type", "text/event-stream")
		writeEvent(w, chunk(id, request.Model, map[string]any{"role": "assistant", "content": tokens[i]}, nil))
		_ = controller.Flush()
	}
	ended()
	w.Header().Set("Content-Type", "text/event-stream")
	if from <= len(tokens) {
		writeEvent(w, chunk(id, request.Model, map[string]any{}, "stop"))
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
	e.served.Add(1)
}

// counted counts a request as running until what it gives is called.
func (e *Engine) counted() (ended func()) {
	if e.settings.Running == nil {
		return func() {}
	}
	e.settings.Running(1)
	return sync.OnceFunc(func() { e.settings.Running(-1) })
}

func (e *Engine) serveApplication(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if e.shell.leaving() {
		e.refuse(w, r.Header.Get(api.HeaderRequestID), model.ReasonLeaving)
		return
	}
	e.apps.Add(1)
	defer e.apps.Add(-1)
	if !e.wait(r, e.settings.ApplicationTime) {
		return
	}
	e.served.Add(1)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"service": r.PathValue("service"), "path": r.PathValue("path"),
		"request_id": r.Header.Get(api.HeaderRequestID), "echo": string(body),
	})
}

// wait takes the time of an application's request.
func (e *Engine) wait(r *http.Request, duration time.Duration) bool {
	faults := e.faults.Load()
	if faults.Hang {
		<-r.Context().Done()
		return false
	}
	select {
	case <-time.After(faults.slowed(duration)):
		return true
	case <-r.Context().Done():
		return false
	}
}
