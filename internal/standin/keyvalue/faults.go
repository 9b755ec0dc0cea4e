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
	PathCompact = "/control/compact" // POST: forget all past revisions
	PathStats   = "/control/stats"   // GET Stats
)

// Faults that the stand-in shows from now on; zero is none.
type Faults struct {
	// Outage refuses every call with 503 and breaks the watches.
	Outage bool `json:"outage"`
	// Hang takes calls and answers none until they are given up.
	Hang bool `json:"hang"`
	// DelayMilliseconds passes before each call takes effect.
	DelayMilliseconds int `json:"delay_ms"`
	// LoseAnswers is the chance (0 to 1) that a txn takes effect and its
	// connection breaks before the answer.
	LoseAnswers float64 `json:"lose_answers"`
	// LoseRequests is the chance (0 to 1) that a txn's connection breaks before
	// it takes effect.
	LoseRequests float64 `json:"lose_requests"`
	// LateEffects is the chance (0 to 1) that a txn's connection breaks at once
	// and it takes effect LateMilliseconds later.
	LateEffects      float64 `json:"late_effects"`
	LateMilliseconds int     `json:"late_ms"`
	// RequestsPerSecond refuses calls beyond it with 429; 0 is no limit.
	RequestsPerSecond float64 `json:"requests_per_second"`
	// StuckWatches keeps watches open and delivers nothing.
	StuckWatches bool `json:"stuck_watches"`
}

// Validate names the first fault that is out of range.
func (f Faults) Validate() error {
	for _, chance := range []struct {
		name  string
		value float64
	}{{"lose_answers", f.LoseAnswers}, {"lose_requests", f.LoseRequests}, {"late_effects", f.LateEffects}} {
		if chance.value < 0 || chance.value > 1 {
			return fmt.Errorf("%s is %v, not within 0 to 1", chance.name, chance.value)
		}
	}
	if f.DelayMilliseconds < 0 || f.LateMilliseconds < 0 || f.RequestsPerSecond < 0 {
		return fmt.Errorf("a delay or limit is negative")
	}
	return nil
}

// Stats counts the calls that arrived, by path, refused ones among them.
type Stats struct {
	Calls    map[string]int `json:"calls"`
	Revision int64          `json:"revision"`
	Keys     int            `json:"keys"`
	Watches  int            `json:"watches"`
}

// SetFaults shows the faults from now on.
func (s *Server) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
	s.tokens, s.refilled = faults.RequestsPerSecond, time.Now()
	s.notify()
}

// Faults gives the faults that are shown.
func (s *Server) Faults() Faults {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults
}

// Stats gives the counts so far.
func (s *Server) Stats() Stats {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	stats := Stats{Calls: map[string]int{}, Revision: s.revision, Keys: len(s.pairs), Watches: s.watches}
	for path, count := range s.calls {
		stats.Calls[path] = count
	}
	return stats
}

// Control serves the control port.
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

// refuse answers a call that a fault keeps from the service; true when it did.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request) bool {
	faults, limited := s.arrive(r.URL.Path)
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
		writeFailure(w, http.StatusServiceUnavailable, "etcdserver: no leader")
	case limited:
		writeFailure(w, http.StatusTooManyRequests, "etcdserver: too many requests")
	default:
		return false
	}
	return true
}

func writeFailure(w http.ResponseWriter, status int, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(kv.WireError{Code: status, Message: message})
}

// arrive counts a call and takes its token; limited when there was none.
func (s *Server) arrive(path string) (Faults, bool) {
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

// fate draws what happens to a txn.
func (s *Server) fate() fate {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	draw := s.random.Float64()
	for _, candidate := range []struct {
		fate   fate
		chance float64
	}{
		{fateAnswerLost, s.faults.LoseAnswers},
		{fateRequestLost, s.faults.LoseRequests},
		{fateLate, s.faults.LateEffects},
	} {
		if draw < candidate.chance {
			return candidate.fate
		}
		draw -= candidate.chance
	}
	return fateDone
}

// fate is what happens to a txn.
type fate int

const (
	fateDone fate = iota
	fateAnswerLost
	fateRequestLost
	fateLate
)
