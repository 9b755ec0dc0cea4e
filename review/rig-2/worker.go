//go:build review

package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// workerFlags configure a worker process.
type workerFlags struct {
	id, address string
	slots       int
	events      int           // of a stream; 0: a plain answer of pieces
	pieces      int           // of a plain answer
	pause       time.Duration // before each event or piece
	unframed    bool          // answers end with their connection
}

// report is a line that a worker process writes about a request.
type report struct {
	Worker  string `json:"worker"`
	What    string `json:"what"` // run, whole, left or refused
	Request string `json:"request"`
	Last    string `json:"last,omitempty"`
	Sent    int    `json:"sent,omitempty"` // the last event or piece
	// Of a run: the target of the request line as received, and the host and path that it names.
	Target string `json:"target,omitempty"`
	Host   string `json:"host,omitempty"`
	Path   string `json:"path,omitempty"`
}

type workerServer struct {
	workerFlags
	running atomic.Int64
	mutex   sync.Mutex // guards the output
}

// runWorker serves as one incarnation of a worker, until the process is killed.
func runWorker(arguments []string) {
	w := &workerServer{}
	flags := flag.NewFlagSet("worker", flag.ExitOnError)
	flags.StringVar(&w.id, "id", "", "")
	flags.StringVar(&w.address, "address", "", "")
	flags.IntVar(&w.slots, "slots", 8, "")
	flags.IntVar(&w.events, "events", 0, "")
	flags.IntVar(&w.pieces, "pieces", 1, "")
	flags.DurationVar(&w.pause, "pause", 0, "")
	flags.BoolVar(&w.unframed, "unframed", false, "")
	_ = flags.Parse(arguments)
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		log.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(w.serve), ErrorLog: log.New(io.Discard, "", 0)}
	log.Fatal(server.Serve(listener))
}

func (w *workerServer) tell(r report) {
	r.Worker = w.id
	raw, _ := json.Marshal(r)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	fmt.Fprintln(os.Stdout, string(raw))
}

func (w *workerServer) serve(out http.ResponseWriter, r *http.Request) {
	header := out.Header()
	header.Set("X-Dykewing-Instance-Load", fmt.Sprintf("%d,0,%d", w.running.Load(), w.slots))
	switch r.URL.Path {
	case "/-/report":
		header.Set("Content-Type", "application/json")
		fmt.Fprintf(out, `{"stage":"hybrid","models":[],"busy":false,"sequence":0,"waiting":0,"running":%d,"kvUsed":0,"kvTotal":100000,"handles":0}`, w.running.Load())
		return
	case "/healthz":
		header.Set("X-Dykewing-Instance-Id", w.id)
		return
	}
	id := r.Header.Get("X-Dykewing-Request-Id")
	header.Set("X-Dykewing-Request-Id", id)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if expected := r.Header.Get("X-Dykewing-Expect-Instance"); expected != "" && expected != w.id {
		w.tell(report{What: "refused", Request: id})
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if w.running.Add(1) > int64(w.slots) {
		w.running.Add(-1)
		header.Set("X-Dykewing-Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer w.running.Add(-1)
	w.answer(out, r, id)
}

// answer runs a request.
func (w *workerServer) answer(out http.ResponseWriter, r *http.Request, id string) {
	header := out.Header()
	header.Set("X-Dykewing-Response-Stamp", "stamp."+w.id)
	if w.unframed {
		header.Set("Transfer-Encoding", "identity") // net/http then ends the answer with its connection
	}
	last, total := r.Header.Get("Last-Event-Id"), w.pieces
	if w.events > 0 {
		header.Set("Content-Type", "text/event-stream")
		total = w.events
	}
	first, _ := strconv.Atoi(last)
	w.tell(report{What: "run", Request: id, Last: last, Target: r.RequestURI, Host: r.Host, Path: r.URL.Path})
	for n := first + 1; n <= total; n++ {
		select {
		case <-time.After(w.pause):
		case <-r.Context().Done():
			w.tell(report{What: "left", Request: id, Sent: n - 1})
			return
		}
		text := piece(n, id)
		if w.events > 0 {
			text = fmt.Sprintf("id: %d\ndata: %s\n\n", n, text)
		}
		if _, err := io.WriteString(out, text); err != nil {
			return
		}
		_ = http.NewResponseController(out).Flush()
	}
	w.tell(report{What: "whole", Request: id, Sent: total})
}

// piece is the nth part of the answer to a request.
func piece(n int, id string) string { return fmt.Sprintf("piece %d of %s;", n, id) }
