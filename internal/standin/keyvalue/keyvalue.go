// Package keyvalue is a stand-in for the platform's key-value service: the part
// of the etcd v3 HTTP/JSON mapping that dykewing uses, in memory.
package keyvalue

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"

	"github.com/dykewing/dykewing/internal/kv"
)

// Server is an http.Handler that holds the pairs.
type Server struct {
	mux      *http.ServeMux
	mutex    sync.Mutex
	revision int64
	pairs    map[string]kv.WirePair
	history  []kv.WireEvent // all events, oldest first
	changed  chan struct{}  // closed and replaced at each change
}

// NewServer starts at revision 1 without pairs.
func NewServer() *Server {
	server := &Server{mux: http.NewServeMux(), revision: 1, pairs: map[string]kv.WirePair{}, changed: make(chan struct{})}
	server.mux.HandleFunc("POST "+kv.PathRange, server.serveRange)
	server.mux.HandleFunc("POST "+kv.PathTxn, server.serveTxn)
	server.mux.HandleFunc("POST "+kv.PathWatch, server.serveWatch)
	return server
}

// ServeHTTP serves the mapping.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func decode[T any](w http.ResponseWriter, r *http.Request) (T, bool) {
	var request T
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		_ = json.NewEncoder(w).Encode(kv.WireError{Code: 3, Message: err.Error()})
		return request, false
	}
	return request, true
}

func (s *Server) serveRange(w http.ResponseWriter, r *http.Request) {
	request, ok := decode[kv.WireRangeRequest](w, r)
	if !ok {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	_ = json.NewEncoder(w).Encode(s.readRange(request))
}

func (s *Server) readRange(request kv.WireRangeRequest) kv.WireRangeAnswer {
	answer := kv.WireRangeAnswer{Header: kv.WireHeader{Revision: s.revision}}
	for key, pair := range s.pairs {
		if within(key, string(request.Key), string(request.RangeEnd)) {
			answer.Pairs = append(answer.Pairs, pair)
		}
	}
	slices.SortFunc(answer.Pairs, func(a, b kv.WirePair) int { return strings.Compare(string(a.Key), string(b.Key)) })
	answer.Count = int64(len(answer.Pairs))
	return answer
}

func within(key, from, end string) bool {
	if end == "" {
		return key == from
	}
	return key >= from && (key < end || end == "\x00")
}

func (s *Server) serveTxn(w http.ResponseWriter, r *http.Request) {
	txn, ok := decode[kv.WireTxn](w, r)
	if !ok {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	answer := kv.WireTxnAnswer{Succeeded: s.holds(txn.Compare)}
	operations := txn.Failure
	if answer.Succeeded {
		operations = txn.Success
	}
	answer.Responses = s.perform(operations)
	answer.Header.Revision = s.revision
	_ = json.NewEncoder(w).Encode(answer)
}

func (s *Server) holds(compares []kv.WireCompare) bool {
	for _, compare := range compares {
		if s.pairs[string(compare.Key)].ModRevision != compare.ModRevision {
			return false
		}
	}
	return true
}

func (s *Server) perform(operations []kv.WireOperation) []kv.WireOperationAnswer {
	var answers []kv.WireOperationAnswer
	next := s.revision + 1
	before := len(s.history)
	for _, operation := range operations {
		var answer kv.WireOperationAnswer
		switch {
		case operation.Range != nil:
			found := s.readRange(*operation.Range)
			answer.Range = &found
		case operation.Put != nil:
			s.put(*operation.Put, next)
		case operation.Delete != nil:
			s.remove(string(operation.Delete.Key), next)
		}
		answers = append(answers, answer)
	}
	if len(s.history) > before {
		s.revision = next
		close(s.changed)
		s.changed = make(chan struct{})
	}
	return answers
}

func (s *Server) put(put kv.WirePut, revision int64) {
	pair := s.pairs[string(put.Key)]
	if pair.ModRevision == 0 {
		pair = kv.WirePair{Key: put.Key, CreateRevision: revision}
	}
	pair.Value, pair.ModRevision, pair.Lease = put.Value, revision, put.Lease
	pair.Version++
	s.pairs[string(put.Key)] = pair
	s.history = append(s.history, kv.WireEvent{Pair: pair})
}

func (s *Server) remove(key string, revision int64) {
	pair, ok := s.pairs[key]
	if !ok {
		return
	}
	delete(s.pairs, key)
	s.history = append(s.history, kv.WireEvent{Type: kv.WireEventDelete, Pair: kv.WirePair{Key: pair.Key, ModRevision: revision}})
}

func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	request, ok := decode[kv.WireWatchRequest](w, r)
	if !ok {
		return
	}
	controller := http.NewResponseController(w)
	encoder := json.NewEncoder(w)
	_ = encoder.Encode(kv.WireWatchAnswer{Result: &kv.WireWatchResult{Header: kv.WireHeader{Revision: s.current()}, Created: true}})
	_ = controller.Flush()
	next := 0
	for {
		events, revision, changed := s.eventsSince(&next, request.Create)
		if len(events) > 0 {
			result := kv.WireWatchResult{Header: kv.WireHeader{Revision: revision}, Events: events}
			if err := encoder.Encode(kv.WireWatchAnswer{Result: &result}); err != nil {
				return
			}
			_ = controller.Flush()
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) current() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.revision
}

func (s *Server) eventsSince(next *int, create kv.WireWatchCreate) ([]kv.WireEvent, int64, <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var events []kv.WireEvent
	for ; *next < len(s.history); *next++ {
		event := s.history[*next]
		if event.Pair.ModRevision >= create.StartRevision && within(string(event.Pair.Key), string(create.Key), string(create.RangeEnd)) {
			events = append(events, event)
		}
	}
	return events, s.revision, s.changed
}
