package engine

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/dykewing/dykewing/api"
)

// maxRecords limits the requests that can be resumed.
const maxRecords = 1 << 16

// Executions counts the executions of a request ID.
type Executions struct {
	Started   int // requests received with the ID
	Completed int // requests completed
	Resumed   int // resumed streams, which are not new executions
}

// requestLog records requests by ID for resumption and for the count of executions. The oldest are
// evicted.
type requestLog struct {
	mutex    sync.Mutex
	requests map[string]*requestRecord
	order    []string // oldest first
}

type requestRecord struct {
	executions Executions
	body       []byte
}

func newRequestLog() *requestLog { return &requestLog{requests: map[string]*requestRecord{}} }

func (m *requestLog) update(id string, change func(*requestRecord)) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	known, ok := m.requests[id]
	if !ok {
		known = &requestRecord{}
		m.requests[id] = known
		m.order = append(m.order, id)
	}
	change(known)
	if len(m.order) > maxRecords {
		delete(m.requests, m.order[0])
		m.order = m.order[1:]
	}
}

// Executions returns the counts of each recorded request ID.
func (e *Engine) Executions() map[string]Executions {
	e.log.mutex.Lock()
	defer e.log.mutex.Unlock()
	counts := make(map[string]Executions, len(e.log.requests))
	for id, known := range e.log.requests {
		counts[id] = known.executions
	}
	return counts
}

// record serves a request, counts its execution and echoes its ID.
func (e *Engine) record(w http.ResponseWriter, r *http.Request) {
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
	e.log.update(id, func(known *requestRecord) {
		if resumed && known.executions.Started > 0 {
			known.executions.Resumed++
		} else {
			known.executions.Started++
		}
		known.body = body
	})
	e.mux.ServeHTTP(w, r)
	if r.Context().Err() == nil {
		e.log.update(id, func(known *requestRecord) { known.executions.Completed++ })
	}
}

// serveResume continues a stream from an event; events are numbered from 0.
func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("request")
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	e.log.mutex.Lock()
	known, ok := e.log.requests[id]
	e.log.mutex.Unlock()
	var request chatRequest
	if err == nil && ok {
		request, err = e.parse(known.body)
	}
	if err != nil || !ok || from < 0 || !request.Stream {
		writeEngineError(w, http.StatusNotFound, "no such stream")
		return
	}
	e.log.update(id, func(known *requestRecord) { known.executions.Resumed++ })
	w.Header().Set(api.HeaderRequestID, id)
	run := e.driver.start(id, known.body, request, true)
	defer e.driver.cancel(run)
	e.stream(w, r, run, id, request, from)
}
