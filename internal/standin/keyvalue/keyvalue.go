// Package keyvalue is an in-memory fake of the platform's key-value service. It implements the part
// of the etcd v3 HTTP/JSON gateway that dykewing uses, with injectable faults.
package keyvalue

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/dykewing/dykewing/internal/kv"
)

// maxHistory is the number of events kept for watches; older ones are compacted.
const maxHistory = 100_000

// Server is an http.Handler that implements the store. It is safe for concurrent use.
type Server struct {
	mux       *http.ServeMux
	mutex     sync.Mutex // guards the fields below
	revision  int64
	compacted int64 // revision up to which history was dropped
	pairs     map[string]kv.WirePair
	history   []kv.WireEvent // events after compacted, oldest first
	changed   chan struct{}  // closed and replaced at each change
	leases    map[int64]*lease
	faults    Faults
	tokens    float64 // tokens of the rate limit
	refilled  time.Time
	random    *rand.Rand
	calls     map[string]int
	watches   int
}

// NewServer returns an empty store at revision 1.
func NewServer() *Server {
	server := &Server{
		mux: http.NewServeMux(), revision: 1, pairs: map[string]kv.WirePair{}, changed: make(chan struct{}),
		leases: map[int64]*lease{}, random: rand.New(rand.NewPCG(1, 1)), calls: map[string]int{},
	}
	server.handle(kv.PathRange, server.serveRange)
	server.handle(kv.PathTxn, server.serveTxn)
	server.handle(kv.PathWatch, server.serveWatch)
	server.handle(kv.PathLeaseGrant, server.serveLeaseGrant)
	server.handle(kv.PathLeaseKeepAlive, server.serveLeaseKeepAlive)
	server.handle(kv.PathLeaseRevoke, server.serveLeaseRevoke)
	return server
}

// Seed seeds the random generator of faults and lease IDs.
func (s *Server) Seed(seed uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.random = rand.New(rand.NewPCG(seed, seed))
}

func (s *Server) handle(path string, handler http.HandlerFunc) {
	s.mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		if !s.injectFault(w, r) {
			handler(w, r)
		}
	})
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func decode[T any](w http.ResponseWriter, r *http.Request) (T, bool) {
	var request T
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
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
	answer := s.readRange(request)
	s.mutex.Unlock()
	writeJSON(w, answer)
}

func (s *Server) readRange(request kv.WireRangeRequest) kv.WireRangeResponse {
	s.expireLeases()
	answer := kv.WireRangeResponse{Header: kv.WireHeader{Revision: kv.Int64(s.revision)}}
	for key, pair := range s.pairs {
		if inRange(key, string(request.Key), string(request.RangeEnd)) {
			answer.Pairs = append(answer.Pairs, pair)
		}
	}
	answer.Count = kv.Int64(len(answer.Pairs))
	slices.SortFunc(answer.Pairs, func(a, b kv.WirePair) int { return strings.Compare(string(a.Key), string(b.Key)) })
	if request.SortTarget == kv.WireSortMod && request.SortOrder == kv.WireSortDescend {
		slices.SortStableFunc(answer.Pairs, func(a, b kv.WirePair) int { return int(b.ModRevision - a.ModRevision) })
	}
	if request.Limit > 0 && len(answer.Pairs) > int(request.Limit) {
		answer.Pairs = answer.Pairs[:request.Limit]
	}
	return answer
}

func inRange(key, from, end string) bool {
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
	fault := s.drawTxnFault()
	switch fault {
	case txnRequestLost:
		panic(http.ErrAbortHandler)
	case txnDelayed:
		time.AfterFunc(time.Duration(s.Faults().TxnDelayMilliseconds)*time.Millisecond, func() { s.applyTxn(txn) })
		panic(http.ErrAbortHandler)
	}
	answer := s.applyTxn(txn)
	if fault == txnResponseLost {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, answer)
}

func (s *Server) applyTxn(txn kv.WireTxn) kv.WireTxnResponse {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expireLeases()
	answer := kv.WireTxnResponse{Succeeded: s.compare(txn.Compare)}
	operations := txn.Failure
	if answer.Succeeded {
		operations = txn.Success
	}
	answer.Responses = s.applyOperations(operations)
	answer.Header.Revision = kv.Int64(s.revision)
	return answer
}

func (s *Server) compare(compares []kv.WireCompare) bool {
	for _, compare := range compares {
		if s.pairs[string(compare.Key)].ModRevision != compare.ModRevision {
			return false
		}
	}
	return true
}

func (s *Server) applyOperations(operations []kv.WireOperation) []kv.WireOperationResponse {
	var answers []kv.WireOperationResponse
	next := s.revision + 1
	before := len(s.history)
	for _, operation := range operations {
		var answer kv.WireOperationResponse
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
		s.commit(next)
	}
	return answers
}

// commit sets the revision, compacts the history and wakes watches.
func (s *Server) commit(revision int64) {
	s.revision = revision
	if excess := len(s.history) - maxHistory; excess > 0 {
		s.compacted = int64(s.history[excess-1].Pair.ModRevision)
		s.history = slices.Clone(s.history[excess:])
	}
	s.notify()
}

func (s *Server) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) put(put kv.WirePut, revision int64) {
	pair := s.pairs[string(put.Key)]
	if pair.ModRevision == 0 {
		pair = kv.WirePair{Key: put.Key, CreateRevision: kv.Int64(revision)}
	}
	pair.Value, pair.ModRevision, pair.Lease = put.Value, kv.Int64(revision), put.Lease
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
	deleted := kv.WirePair{Key: pair.Key, ModRevision: kv.Int64(revision)}
	s.history = append(s.history, kv.WireEvent{Type: kv.WireEventDelete, Pair: deleted})
}

// Compact drops all past revisions. Watches from these are cancelled.
func (s *Server) Compact() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.compacted, s.history = s.revision, nil
}

// Put writes a key as another client would.
func (s *Server) Put(key string, value []byte) {
	put := kv.WirePut{Key: []byte(key), Value: value}
	s.applyTxn(kv.WireTxn{Success: []kv.WireOperation{{Put: &put}}})
}
