package machinelist

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/dykewing/dykewing/internal/discovery"
)

// Paths of the control port.
const (
	PathFaults  = "/control/faults"  // GET, PUT Faults
	PathTargets = "/control/targets" // PUT the list, as service-discovery JSON
)

// Faults are injected into responses; the zero value injects none.
type Faults struct {
	Outage    bool `json:"outage"`    // respond with 503
	Hang      bool `json:"hang"`      // do not respond
	Malformed bool `json:"malformed"` // respond with truncated JSON
	Empty     bool `json:"empty"`     // respond with an empty list
	Stale     bool `json:"frozen"`    // show no further changes
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
}

// Faults returns the injected faults.
func (s *Server) Faults() Faults {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults
}

// SetLag sets the delay until later changes become visible.
func (s *Server) SetLag(lag time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lag = lag
}

// injectFault responds as the current fault requires. It returns false if there is none.
func (s *Server) injectFault(w http.ResponseWriter, r *http.Request) bool {
	faults := s.Faults()
	switch {
	case faults.Hang:
		<-r.Context().Done()
	case faults.Outage:
		http.Error(w, "outage", http.StatusServiceUnavailable)
	case faults.Malformed:
		_, _ = w.Write([]byte(`[{"targets":["127.0.0.1`))
	case faults.Empty:
		_, _ = w.Write([]byte(`[]`))
	default:
		return false
	}
	return true
}

// Control returns the handler of the control port.
func (s *Server) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathFaults, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.Faults())
	})
	mux.HandleFunc("PUT "+PathFaults, func(w http.ResponseWriter, r *http.Request) {
		var faults Faults
		if decode(w, r, &faults) {
			s.SetFaults(faults)
		}
	})
	mux.HandleFunc("PUT "+PathTargets, func(w http.ResponseWriter, r *http.Request) {
		var groups []discovery.Group
		if !decode(w, r, &groups) {
			return
		}
		workers, err := discovery.ParseWorkers(groups)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.Set(workers)
	})
	return mux
}

func decode(w http.ResponseWriter, r *http.Request, value any) bool {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
