package keyvalue

import (
	"encoding/json"
	"net/http"
	"sort"
	"time"

	"github.com/dykewing/dykewing/internal/kv"
)

// progressInterval is the time between progress notifications of an idle watch.
const progressInterval = 5 * time.Second

// watch is an open watch stream.
type watch struct {
	server     *Server
	create     kv.WireWatchCreate
	encoder    *json.Encoder
	controller *http.ResponseController
	next       int64 // first revision that has not been delivered
}

func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	request, ok := decode[kv.WireWatchRequest](w, r)
	if !ok {
		return
	}
	s.countWatch(1)
	defer s.countWatch(-1)
	stream := &watch{
		server: s, create: request.Create, encoder: json.NewEncoder(w),
		controller: http.NewResponseController(w), next: int64(request.Create.StartRevision),
	}
	stream.run(r)
}

func (s *Server) countWatch(by int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.watches += by
}

func (s *watch) run(r *http.Request) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	created := kv.WireWatchResult{Created: true}
	for progress := false; ; {
		result, changed, end := s.collect()
		created.Header = result.Header
		if created.Created && s.send(created) != nil {
			return
		}
		created.Created = false
		progress = progress && result.Header.Revision > 0
		if (len(result.Events) > 0 || progress || end) && s.send(result) != nil {
			return
		}
		if end {
			return
		}
		progress = false
		select {
		case <-changed:
		case <-ticker.C:
			progress = s.create.ProgressNotify
		case <-r.Context().Done():
			return
		}
	}
}

func (s *watch) send(result kv.WireWatchResult) error {
	if err := s.encoder.Encode(kv.WireWatchResponse{Result: &result}); err != nil {
		return err
	}
	return s.controller.Flush()
}

// collect returns the undelivered events, a channel that is closed at the next change, and whether
// the watch must end. A stuck watch gets no revision.
func (s *watch) collect() (kv.WireWatchResult, <-chan struct{}, bool) {
	s.server.mutex.Lock()
	defer s.server.mutex.Unlock()
	s.server.expireLeases()
	result := kv.WireWatchResult{Header: kv.WireHeader{Revision: kv.Int64(s.server.revision)}}
	faults := s.server.faults
	if faults.Outage {
		result.Canceled = true
		return result, s.server.changed, true
	}
	if faults.StuckWatches {
		result.Header.Revision = 0
		return result, s.server.changed, false
	}
	if s.next > 0 && s.next <= s.server.compacted {
		result.Canceled, result.CompactRevision = true, kv.Int64(s.server.compacted+1)
		return result, s.server.changed, true
	}
	history := s.server.history
	first := sort.Search(len(history), func(i int) bool { return int64(history[i].Pair.ModRevision) >= s.next })
	for _, event := range history[first:] {
		if inRange(string(event.Pair.Key), string(s.create.Key), string(s.create.RangeEnd)) {
			result.Events = append(result.Events, event)
		}
	}
	s.next = s.server.revision + 1
	return result, s.server.changed, false
}
