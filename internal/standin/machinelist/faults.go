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

// Faults that the stand-in shows from now on; zero is none.
type Faults struct {
	Outage    bool `json:"outage"`    // refuse with 503
	Hang      bool `json:"hang"`      // answer nothing
	Malformed bool `json:"malformed"` // answer JSON that breaks off
	Empty     bool `json:"empty"`     // answer a list without machines
	Frozen    bool `json:"frozen"`    // show no change
}

// SetFaults shows the faults from now on.
func (s *Server) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
}

// Faults gives the faults that are shown.
func (s *Server) Faults() Faults {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults
}

// SetLag changes how late later changes show.
func (s *Server) SetLag(lag time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lag = lag
}

// refuse answers a call by the fault that is shown; true when there was one.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request) bool {
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

// Control serves the control port.
func (s *Server) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathFaults, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.Faults())
	})
	mux.HandleFunc("PUT "+PathFaults, func(w http.ResponseWriter, r *http.Request) {
		var faults Faults
		if read(w, r, &faults) {
			s.SetFaults(faults)
		}
	})
	mux.HandleFunc("PUT "+PathTargets, func(w http.ResponseWriter, r *http.Request) {
		var groups []discovery.Group
		if !read(w, r, &groups) {
			return
		}
		workers, err := discovery.WorkersOf(groups)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.Set(workers)
	})
	return mux
}

func read(w http.ResponseWriter, r *http.Request, value any) bool {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
