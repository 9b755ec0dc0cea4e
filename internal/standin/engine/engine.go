// Package engine is a fake of a model engine and of an application backend. It implements the OpenAI
// HTTP API with synthetic tokens that depend on the prompt only, so that every response can be
// verified. Token timing comes from package model, run in real time. Faults are injected at
// PathControl.
package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/standin/engine/model"
)

// Paths in addition to the OpenAI API.
const (
	PathLoad        = "/load"             // GET: load report with a lag
	PathCacheEvents = "/cache/events"     // GET ?after=sequence
	PathOrders      = "/orders"           // POST model.Order: load a version
	PathControl     = "/control"          // GET and POST Faults
	PathExecutions  = "/debug/executions" // GET: executions by request ID
)

// Settings of an Engine.
type Settings struct {
	Slots           int           // concurrent requests
	ApplicationTime time.Duration // duration of an application request
	DefaultTokens   int
	Model           model.Settings
	// OnRunningChange is called with 1 when a streamed request starts and with -1 before its last event
	// is written; may be nil.
	OnRunningChange func(change int64)
	// BeforeLastEvent is called with the request ID once all tokens of a streamed request are
	// written; the request runs until it returns. ctx ends with the request. May be nil.
	BeforeLastEvent func(ctx context.Context, id string)
}

// DefaultSettings returns the settings of a small, fast engine with steps of 1 ms.
func DefaultSettings() Settings {
	settings := Settings{Slots: 8, ApplicationTime: 5 * time.Millisecond, DefaultTokens: 16, Model: model.DefaultSettings()}
	settings.Model.StepBase = time.Millisecond
	settings.Model.StepSequence = 10 * time.Microsecond
	settings.Model.StepContext = 10 * time.Microsecond
	settings.Model.StepPrefill = 5 * time.Millisecond
	return settings
}

// Engine is an http.Handler that implements the API. It is safe for concurrent use.
type Engine struct {
	settings            Settings
	mux                 *http.ServeMux
	driver              *driver
	log                 *requestLog
	faults              atomic.Pointer[Faults]
	applicationRequests atomic.Int64 // running application requests
	served              atomic.Int64
}

// New returns an engine. Settings.Slots overrides Settings.Model.MaximumSequences.
func New(settings Settings) *Engine {
	settings.Model.MaxSequences = settings.Slots
	engine := &Engine{settings: settings, mux: http.NewServeMux(), log: newRequestLog()}
	engine.faults.Store(&Faults{})
	engine.driver = newDriver(settings.Model, &engine.faults)
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

// Completed returns the number of completed requests.
func (e *Engine) Completed() int64 { return e.served.Load() }

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e.faults.Load().Crash && r.URL.Path != PathControl {
		panic(http.ErrAbortHandler)
	}
	if id := r.Header.Get(api.HeaderRequestID); id != "" {
		w.Header().Set(api.HeaderRequestID, id)
	}
	e.record(w, r)
}

type chatRequest struct {
	Model     string          `json:"model"`
	Messages  json.RawMessage `json:"messages"`
	Prompt    json.RawMessage `json:"prompt"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
	Priority  int             `json:"priority"` // lower values first, as in the API's extensions
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
	run := e.driver.start(id, body, request, r.Header.Get(api.HeaderResume) == "true")
	defer e.driver.cancel(run)
	if request.Stream {
		e.stream(w, r, run, id, request, 0)
		return
	}
	e.respond(w, r, run, id, request)
}

// respond writes the complete response once all tokens are generated.
func (e *Engine) respond(w http.ResponseWriter, r *http.Request, run *run, id string, request chatRequest) {
	if !e.await(w, r, run, id, request.MaxTokens) {
		return
	}
	e.writeCompletion(w, id, request)
	e.served.Add(1)
}

// await waits until the run has generated the given number of tokens. If the run fails, it writes an
// error response or breaks the connection, and returns false.
func (e *Engine) await(w http.ResponseWriter, r *http.Request, run *run, id string, tokens int) bool {
	switch e.driver.await(r.Context(), run, tokens) {
	case waitTokens:
		return true
	case waitRejected:
		e.reject(w, id, run.rejected)
	case waitEngineDead:
		panic(http.ErrAbortHandler)
	}
	return false
}

// reject responds to a request that has not run.
func (e *Engine) reject(w http.ResponseWriter, id, reason string) {
	e.log.update(id, func(known *requestRecord) { known.executions.Started-- })
	w.Header().Set("Retry-After", "1")
	w.Header().Set(api.HeaderOutcome, string(api.OutcomeNotRun))
	writeEngineError(w, http.StatusServiceUnavailable, reason)
}

// stream writes events, starting with number from, as their tokens are generated.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, run *run, id string, request chatRequest, from int) {
	ended := e.trackRunning()
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
	if e.settings.BeforeLastEvent != nil {
		e.settings.BeforeLastEvent(r.Context(), id)
	}
	ended()
	w.Header().Set("Content-Type", "text/event-stream")
	if from <= len(tokens) {
		writeEvent(w, chunk(id, request.Model, map[string]any{}, "stop"))
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
	e.served.Add(1)
}

// trackRunning counts a request as running until the returned function is called.
func (e *Engine) trackRunning() (ended func()) {
	if e.settings.OnRunningChange == nil {
		return func() {}
	}
	e.settings.OnRunningChange(1)
	return sync.OnceFunc(func() { e.settings.OnRunningChange(-1) })
}

func (e *Engine) serveApplication(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if e.driver.leaving() {
		e.reject(w, r.Header.Get(api.HeaderRequestID), model.ReasonDraining)
		return
	}
	e.applicationRequests.Add(1)
	defer e.applicationRequests.Add(-1)
	if !e.simulateApplication(r, e.settings.ApplicationTime) {
		return
	}
	e.served.Add(1)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"service": r.PathValue("service"), "path": r.PathValue("path"),
		"request_id": r.Header.Get(api.HeaderRequestID), "echo": string(body),
	})
}

// simulateApplication waits for the duration of an application request. It returns false if the
// client cancels first.
func (e *Engine) simulateApplication(r *http.Request, duration time.Duration) bool {
	faults := e.faults.Load()
	if faults.Hang {
		<-r.Context().Done()
		return false
	}
	select {
	case <-time.After(faults.scale(duration)):
		return true
	case <-r.Context().Done():
		return false
	}
}
