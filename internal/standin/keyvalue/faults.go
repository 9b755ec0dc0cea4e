package keyvalue

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/dykewing/dykewing/internal/kv"
)

// Paths of the control port.
const (
	PathFaults  = "/control/faults"  // GET, PUT Faults
	PathCompact = "/control/compact" // POST: drop all past revisions
	PathStats   = "/control/stats"   // GET Stats
)

// Faults are injected into calls; the zero value injects none.
type Faults struct {
	// Outage makes every call fail with 503 and ends watches.
	Outage bool `json:"outage"`
	// Hang accepts calls without responding until the client cancels.
	Hang bool `json:"hang"`
	// DelayMilliseconds delays each call before it takes effect.
	DelayMilliseconds int `json:"delay_ms"`
	// DropResponses is the probability (0 to 1) that a txn takes effect and its connection
	// breaks before the response.
	DropResponses float64 `json:"lose_answers"`
	// DropRequests is the probability (0 to 1) that a txn's connection breaks and it has no
	// effect.
	DropRequests float64 `json:"lose_requests"`
	// DelayTxns is the probability (0 to 1) that a txn's connection breaks immediately and
	// it takes effect TxnDelayMilliseconds later.
	DelayTxns            float64 `json:"late_effects"`
	TxnDelayMilliseconds int     `json:"late_ms"`
	// RequestsPerSecond limits the rate of calls; others fail with 429. 0 means no limit.
	RequestsPerSecond float64 `json:"requests_per_second"`
	// StuckWatches keeps watches open without delivering anything.
	StuckWatches bool `json:"stuck_watches"`
}

// Validate returns an error for the first field that is out of range.
func (f Faults) Validate() error {
	for _, chance := range []struct {
		name  string
		value float64
	}{{"lose_answers", f.DropResponses}, {"lose_requests", f.DropRequests}, {"late_effects", f.DelayTxns}} {
		if chance.value < 0 || chance.value > 1 {
			return fmt.Errorf("%s is %v, not within 0 to 1", chance.name, chance.value)
		}
	}
	if f.DelayMilliseconds < 0 || f.TxnDelayMilliseconds < 0 || f.RequestsPerSecond < 0 {
		return fmt.Errorf("a delay or limit is negative")
	}
	return nil
}

// Stats holds the number of calls by path, including rejected ones, and the state of the store.
type Stats struct {
	Calls    map[string]int `json:"calls"`
	Revision int64          `json:"revision"`
	Keys     int            `json:"keys"`
	Watches  int            `json:"watches"`
}

// SetFaults replaces the injected faults and refills the rate limit.
func (s *Server) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
	s.tokens, s.refilled = faults.RequestsPerSecond, time.Now()
	s.notify()
}

// Faults returns the injected faults.
func (s *Server) Faults() Faults {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults
}

// Stats returns a snapshot of the statistics.
func (s *Server) Stats() Stats {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	stats := Stats{Calls: map[string]int{}, Revision: s.revision, Keys: len(s.pairs), Watches: s.watches}
	for path, count := range s.calls {
		stats.Calls[path] = count
	}
	return stats
}

// Control returns the handler of the control port.
func (s *Server) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathFaults, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Faults()) })
	mux.HandleFunc("PUT "+PathFaults, func(w http.ResponseWriter, r *http.Request) {
		var faults Faults
		decoder := json.NewDecoder(r.Body)
		decoder.DisallowUnknownFields()
		err := decoder.Decode(&faults)
		if err == nil {
			err = faults.Validate()
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFaults(faults)
		writeJSON(w, faults)
	})
	mux.HandleFunc("POST "+PathCompact, func(w http.ResponseWriter, _ *http.Request) {
		s.Compact()
		writeJSON(w, s.Stats())
	})
	mux.HandleFunc("GET "+PathStats, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Stats()) })
	return mux
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// injectFault delays or fails a call as the current faults require. It returns true if it has
// responded.
func (s *Server) injectFault(w http.ResponseWriter, r *http.Request) bool {
	faults, limited := s.countCall(r.URL.Path)
	if faults.Hang {
		// The server notices that a client has gone only once the body is read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return true
	}
	if faults.DelayMilliseconds > 0 {
		time.Sleep(time.Duration(faults.DelayMilliseconds) * time.Millisecond)
	}
	switch {
	case faults.Outage:
		writeError(w, http.StatusServiceUnavailable, "etcdserver: no leader")
	case limited:
		writeError(w, http.StatusTooManyRequests, "etcdserver: too many requests")
	default:
		return false
	}
	return true
}

func writeError(w http.ResponseWriter, status int, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(kv.WireError{Code: status, Message: message})
}

// countCall counts a call and takes a token of the rate limit. It returns true if none was left.
func (s *Server) countCall(path string) (Faults, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls[path]++
	limit := s.faults.RequestsPerSecond
	if limit <= 0 {
		return s.faults, false
	}
	now := time.Now()
	s.tokens = min(s.tokens+limit*now.Sub(s.refilled).Seconds(), max(limit, 1))
	s.refilled = now
	if s.tokens < 1 {
		return s.faults, true
	}
	s.tokens--
	return s.faults, false
}

// drawTxnFault selects the fault of a txn at random.
func (s *Server) drawTxnFault() txnFault {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	draw := s.random.Float64()
	for _, candidate := range []struct {
		fault  txnFault
		chance float64
	}{
		{txnResponseLost, s.faults.DropResponses},
		{txnRequestLost, s.faults.DropRequests},
		{txnDelayed, s.faults.DelayTxns},
	} {
		if draw < candidate.chance {
			return candidate.fault
		}
		draw -= candidate.chance
	}
	return txnFaultNone
}

// drawTxnFault is what happens to a txn.
type txnFault int

const (
	txnFaultNone txnFault = iota
	txnResponseLost
	txnRequestLost
	txnDelayed
)
