package keyvalue

import (
	"net/http"
	"slices"
	"time"

	"github.com/dykewing/dykewing/internal/kv"
)

// lease expires unless it is renewed.
type lease struct {
	ttl     time.Duration
	expires time.Time
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
	s.leases[id] = &lease{ttl: lifetime, expires: time.Now().Add(lifetime)}
	s.mutex.Unlock()
	// Watches must be notified of the expiry even without further calls.
	time.AfterFunc(lifetime, s.expireNow)
	writeJSON(w, kv.WireLeaseGrant{TTL: request.TTL, ID: kv.Int64(id)})
}

func (s *Server) expireNow() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expireLeases()
}

func (s *Server) serveLeaseKeepAlive(w http.ResponseWriter, r *http.Request) {
	request, ok := decode[kv.WireLease](w, r)
	if !ok {
		return
	}
	s.mutex.Lock()
	s.expireLeases()
	answer := kv.WireLeaseKeepAliveResponse{Result: kv.WireLeaseGrant{ID: request.ID}}
	if held, ok := s.leases[int64(request.ID)]; ok {
		held.expires = time.Now().Add(held.ttl)
		answer.Result.TTL = kv.Int64(held.ttl / time.Second)
		time.AfterFunc(held.ttl, s.expireNow)
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
	s.removeLease(int64(request.ID))
	s.mutex.Unlock()
	writeJSON(w, struct{}{})
}

// expireLeases removes expired leases and their keys, in order of ID. The mutex must be held.
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
		s.removeLease(id)
	}
}

func (s *Server) removeLease(id int64) {
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
	s.commit(s.revision + 1)
}
