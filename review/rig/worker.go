//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/dykewing/dykewing/internal/standin/address"
)

// heartbeat is the time between two writes of a worker's entry.
const heartbeat = 1200 * time.Millisecond

// worker is a stand-in of a worker that follows PROTOCOL.md: it runs a request only if it is meant for
// it and a slot is free, echoes the id, signs its answers and tells its load.
type worker struct {
	fleet   *fleet
	id      string
	service string
	slots   int
	events  int           // of a stream; 0: a plain answer
	step    time.Duration // work on a plain answer, or before each event
	at      string
	server  *http.Server

	mutex    sync.Mutex // guards the fields below
	running  int
	sequence int
	lose     float64 // share of the answers of requests that it ran which are lost
	unsigned float64 // share of its answers that lack the signature
	runs     []run
}

// run is a request that a worker began to work on.
type run struct {
	id     string
	method string
	at     time.Time
	worker string
	last   string
}

func (f *fleet) addWorker(id, service string, slots, events int, step time.Duration) (*worker, error) {
	listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", address.New().Addr(), portFront))
	if err != nil {
		return nil, err
	}
	w := &worker{fleet: f, id: id, service: service, slots: slots, events: events, step: step, at: listener.Addr().String()}
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve)}
	go w.server.Serve(listener)
	f.workers = append(f.workers, w)
	w.beat()
	go func() {
		for {
			select {
			case <-time.After(heartbeat):
				w.beat()
			case <-f.stopped:
				return
			}
		}
	}()
	return w, nil
}

// beat writes the worker's entry in the platform's store.
func (w *worker) beat() {
	w.mutex.Lock()
	w.sequence++
	entry := map[string]any{
		"service": w.service, "address": w.at, "zone": "cai-a", "version": "v1", "slots": w.slots, "state": "ready", "coldLeftMs": 0, "sequence": w.sequence,
	}
	w.mutex.Unlock()
	raw, _ := json.Marshal(entry)
	w.fleet.platform.Put("servers/"+w.id, raw)
}

func (w *worker) close() { w.server.Close() }

func (w *worker) setLoss(share float64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.lose = share
}

// begin takes a slot; lost reports whether the answer will be lost.
func (w *worker) begin(r *http.Request, id string) (free, lost bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.running >= w.slots {
		return false, false
	}
	w.running++
	last := r.Header.Get("Last-Event-Id")
	w.runs = append(w.runs, run{id: id, method: r.Method, at: time.Now(), worker: w.id, last: last})
	w.fleet.record.log("%s: runs %s %s %s last=%q", w.id, r.Method, r.URL.RequestURI(), id, last)
	return true, rand.Float64() < w.lose
}

func (w *worker) end() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.running--
}

func (w *worker) load() string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return fmt.Sprintf("%d,0,%d", w.running, w.slots)
}

func (w *worker) serve(out http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/-/report" {
		w.mutex.Lock()
		running := w.running
		w.mutex.Unlock()
		out.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(out).Encode(map[string]any{"stage": "hybrid", "running": running, "waiting": 0, "kvUsed": 0, "kvTotal": 147261})
		return
	}
	header := out.Header()
	if r.URL.Path == "/healthz" {
		header.Set("X-Dykewing-Instance-Id", w.id)
		header.Set("X-Dykewing-Instance-Load", w.load())
		return
	}
	_, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Dykewing-Request-Id")
	if id == "" {
		header.Set("X-Dykewing-Not-Executed", "1")
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	header.Set("X-Dykewing-Request-Id", id)
	if expected := r.Header.Get("X-Dykewing-Expect-Instance"); expected != "" && expected != w.id {
		header.Set("X-Dykewing-Instance-Id", w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	free, lost := w.begin(r, id)
	if !free {
		header.Set("X-Dykewing-Not-Executed", "1")
		header.Set("X-Dykewing-Instance-Load", w.load())
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer w.end()
	if lost {
		time.Sleep(w.step)
		w.fleet.record.log("%s: ran %s, its answer is lost", w.id, id)
		w.reset(out)
		return
	}
	w.mutex.Lock()
	signed := rand.Float64() >= w.unsigned
	w.mutex.Unlock()
	if signed {
		header.Set("X-Dykewing-Response-Stamp", "stamp."+w.id+"."+id)
	}
	header.Set("X-Dykewing-Instance-Load", w.load())
	if w.events == 0 {
		time.Sleep(w.step)
		_, _ = io.WriteString(out, "answer to "+id)
		return
	}
	w.stream(out, r, id)
}

// reset resets the connection instead of an answer.
func (w *worker) reset(out http.ResponseWriter) {
	conn, _, err := out.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_ = conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
}

func (w *worker) stream(out http.ResponseWriter, r *http.Request, id string) {
	out.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for event := last + 1; event <= w.events; event++ {
		select {
		case <-time.After(w.step):
		case <-r.Context().Done():
			return
		}
		_, _ = fmt.Fprintf(out, "id: %d\ndata: piece %d of %s\n\n", event, event, id)
		_ = http.NewResponseController(out).Flush()
	}
}

// allRuns returns the runs of each request at all workers.
func (f *fleet) allRuns() map[string][]run {
	runs := map[string][]run{}
	for _, w := range f.workers {
		w.mutex.Lock()
		for _, each := range w.runs {
			runs[each.id] = append(runs[each.id], each)
		}
		w.mutex.Unlock()
	}
	return runs
}
