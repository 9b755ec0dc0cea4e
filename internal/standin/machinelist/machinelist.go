// Package machinelist is a stand-in for the platform's lagging machine list.
package machinelist

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/discovery"
)

// Server is an http.Handler that shows changes only after Lag.
type Server struct {
	lag     time.Duration
	mutex   sync.Mutex // guards all below
	changes []change
	faults  Faults
}

type change struct {
	at      time.Time
	workers []api.Worker
}

// NewServer lists nothing until Set.
func NewServer(lag time.Duration) *Server {
	return &Server{lag: lag, changes: []change{{}}}
}

// Set replaces the list; it shows after the lag.
func (s *Server) Set(workers []api.Worker) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.changes = append(s.changes, change{at: time.Now().Add(s.lag), workers: workers})
}

// ServeHTTP answers the list as HTTP service-discovery JSON.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.refuse(w, r) {
		return
	}
	groups := []discovery.Group{}
	for _, worker := range s.shown() {
		groups = append(groups, groupOf(worker))
	}
	body, err := json.Marshal(groups)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	tag := fmt.Sprintf(`"%016x"`, xxhash.Sum64(body))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

func (s *Server) shown() []api.Worker {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	for !s.faults.Frozen && len(s.changes) > 1 && !s.changes[1].at.After(now) {
		s.changes = s.changes[1:]
	}
	return s.changes[0].workers
}

func groupOf(worker api.Worker) discovery.Group {
	state := discovery.StateLive
	if worker.Leaving {
		state = discovery.StateLeaving
	}
	return discovery.Group{
		Targets: []string{worker.Address},
		Labels: map[string]string{
			discovery.LabelID: string(worker.ID), discovery.LabelService: string(worker.Service),
			discovery.LabelPlace: string(worker.Place), discovery.LabelRegion: string(worker.Location.Region),
			discovery.LabelZone: string(worker.Location.Zone), discovery.LabelSlots: strconv.Itoa(worker.Slots),
			discovery.LabelState: state,
		},
	}
}
