package engine

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/dykewing/dykewing/api"
)

// maximumRemembered bounds the requests that an engine can go on with.
const maximumRemembered = 1 << 16

// Executions counts what an engine did under one request id.
type Executions struct {
	Started   int // requests that arrived with the id
	Completed int // of those, answered to the end
	Resumed   int // streams gone on with; no executions
}

// memory remembers requests by id, for resume and for the count of executions.
type memory struct {
	mutex    sync.Mutex
	requests map[string]*remembered
	order    []string // oldest first
}

type remembered struct {
	executions Executions
	body       []byte
}

func newMemory() *memory { return &memory{requests: map[string]*remembered{}} }

func (m *memory) update(id string, change func(*remembered)) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	known, ok := m.requests[id]
	if !ok {
		known = &remembered{}
		m.requests[id] = known
		m.order = append(m.order, id)
	}
	change(known)
	if len(m.order) > maximumRemembered {
		delete(m.requests, m.order[0])
		m.order = m.order[1:]
	}
}

// Executions gives the counts of each request id that the engine remembers.
func (e *Engine) Executions() map[string]Executions {
	e.memory.mutex.Lock()
	defer e.memory.mutex.Unlock()
	counts := make(map[string]Executions, len(e.memory.requests))
	for id, known := range e.memory.requests {
		counts[id] = known.executions
	}
	return counts
}

// observe counts an execution and echoes the request's id.
func (e *Engine) observe(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(api.HeaderRequestID)
	if id == "" || r.Method != http.MethodPost {
		e.mux.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		writeEngineError(w, http.StatusBadRequest, err.Error())
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	w.Header().Set(api.HeaderRequestID, id)
	resumed := r.Header.Get(api.HeaderResume) == "true"
	e.memory.update(id, func(known *remembered) {
		if resumed && known.executions.Started > 0 {
			known.executions.Resumed++
		} else {
			known.executions.Started++
		}
		known.body = body
	})
	e.mux.ServeHTTP(w, r)
	if r.Context().Err() == nil {
		e.memory.update(id, func(known *remembered) { known.executions.Completed++ })
	}
}

// serveResume goes on with a stream from an event on; events are counted from
// 0, the last one ends the stream.
func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("request")
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	e.memory.mutex.Lock()
	known, ok := e.memory.requests[id]
	e.memory.mutex.Unlock()
	var request chatRequest
	if err == nil && ok {
		request, err = e.parse(known.body)
	}
	if err != nil || !ok || from < 0 || !request.Stream {
		writeEngineError(w, http.StatusNotFound, "no such stream")
		return
	}
	e.memory.update(id, func(known *remembered) { known.executions.Resumed++ })
	w.Header().Set(api.HeaderRequestID, id)
	run := e.shell.start(id, known.body, request, true)
	defer e.shell.cancel(run)
	e.stream(w, r, run, id, request, from)
}
