// Package machinelist is a fake of the platform's machine list, in which changes become visible
// after a delay.
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

// Server is an http.Handler that serves the machine list. It is safe for concurrent use.
type Server struct {
	lag      time.Duration
	mutex    sync.Mutex // guards the fields below
	versions []listVersion
	faults   Faults
}

type listVersion struct {
	at      time.Time
	workers []api.Worker
}

// NewServer returns a server with an empty list, whose changes become visible after lag.
func NewServer(lag time.Duration) *Server {
	return &Server{lag: lag, versions: []listVersion{{}}}
}

// Set replaces the list. The change becomes visible after the lag.
func (s *Server) Set(workers []api.Worker) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.versions = append(s.versions, listVersion{at: time.Now().Add(s.lag), workers: workers})
}

// ServeHTTP serves the visible list as HTTP service-discovery JSON, with an ETag.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.injectFault(w, r) {
		return
	}
	groups := []discovery.Group{}
	for _, worker := range s.visible() {
		groups = append(groups, toGroup(worker))
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

func (s *Server) visible() []api.Worker {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	for !s.faults.Stale && len(s.versions) > 1 && !s.versions[1].at.After(now) {
		s.versions = s.versions[1:]
	}
	return s.versions[0].workers
}

func toGroup(worker api.Worker) discovery.Group {
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
