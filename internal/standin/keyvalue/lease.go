package keyvalue

import (
	"net/http"
	"slices"
	"time"

	"github.com/dykewing/dykewing/internal/kv"
)

// lease ends by itself unless it is kept.
type lease struct {
	lifetime time.Duration
	expires  time.Time
}

func (s *Server) serveLeaseGrant(w http.ResponseWriter, r *http.Request) {
	request, ok := decode[kv.WireLeaseGrant](w, r)
	if !ok {
		return
	}
	s.mutex.Lock()
	lifetime := time.Duration(request.TTL) * time.Second
	id := int64(request.ID)
	if id == 0 {
		id = s.random.Int64()
	}
	s.leases[id] = &lease{lifetime: lifetime, expires: time.Now().Add(lifetime)}
	s.mutex.Unlock()
	// Watches learn of an expiry without waiting for the next call.
	time.AfterFunc(lifetime, s.sweep)
	writeJSON(w, kv.WireLeaseGrant{TTL: request.TTL, ID: kv.Int64(id)})
}

func (s *Server) sweep() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expireLeases()
}

func (s *Server) serveLeaseKeep(w http.ResponseWriter, r *http.Request) {
	request, ok := decode[kv.WireLease](w, r)
	if !ok {
		return
	}
	s.mutex.Lock()
	s.expireLeases()
	answer := kv.WireLeaseKeepAnswer{Result: kv.WireLeaseGrant{ID: request.ID}}
	if held, ok := s.leases[int64(request.ID)]; ok {
		held.expires = time.Now().Add(held.lifetime)
		answer.Result.TTL = kv.Int64(held.lifetime / time.Second)
		time.AfterFunc(held.lifetime, s.sweep)
	}
	s.mutex.Unlock()
	writeJSON(w, answer)
}

func (s *Server) serveLeaseRevoke(w http.ResponseWriter, r *http.Request) {
	request, ok := decode[kv.WireLease](w, r)
	if !ok {
		return
	}
	s.mutex.Lock()
	s.endLease(int64(request.ID))
	s.mutex.Unlock()
	writeJSON(w, struct{}{})
}

// expireLeases ends the leases that were not kept, with their keys.
func (s *Server) expireLeases() {
	now := time.Now()
	var ended []int64
	for id, held := range s.leases {
		if !now.Before(held.expires) {
			ended = append(ended, id)
		}
	}
	slices.Sort(ended)
	for _, id := range ended {
		s.endLease(id)
	}
}

func (s *Server) endLease(id int64) {
	delete(s.leases, id)
	var keys []string
	for key, pair := range s.pairs {
		if pair.Lease == kv.Int64(id) {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return
	}
	slices.Sort(keys)
	for _, key := range keys {
		s.remove(key, s.revision+1)
	}
	s.advance(s.revision + 1)
}
