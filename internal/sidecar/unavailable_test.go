package sidecar

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/dykewing/dykewing/api"
)

// Three of four homes refuse connections before membership detects their failure.
func TestUnreachableRoutersDoNotExhaustRetryBudget(t *testing.T) {
	f := newFixture(t, respondJSON)
	alive := f.nodes[0]
	for _, id := range []api.NodeID{"dead-1", "dead-2", "dead-3"} {
		dead := alive
		dead.ID, dead.Address = id, "127.0.0.1:1"
		f.nodes = append(f.nodes, dead)
	}
	f.sidecar.setHomes(f.nodes)
	for i := range 200 {
		if reply := f.postModel(); reply.status != http.StatusOK {
			t.Fatalf("request %d: %d %s", i, reply.status, reply.body)
		}
	}
}

// Requests were aborted at a stopping router, because they were sent there until the view
// showed it as leaving. A response with Connection: close must exclude it at once.
func TestRouterIsAvoidedAfterConnectionClose(t *testing.T) {
	var stopping atomic.Int64
	f := newFixture(t, respondJSON, func(w http.ResponseWriter, r *http.Request) {
		stopping.Add(1)
		w.Header().Set("Connection", "close")
		respondJSON(w, r)
	})
	for range 40 { // the chance that a router gets none is 2^-40
		f.postModel()
	}
	if got := stopping.Load(); got != 1 {
		t.Errorf("%d requests went to the stopping router, want 1", got)
	}
}
