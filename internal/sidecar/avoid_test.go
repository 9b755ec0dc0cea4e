package sidecar

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/dykewing/dykewing/api"
)

// TestRackOfDeadRoutersCostsFewRetries has three of four homes refuse
// connections before membership has noticed.
func TestRackOfDeadRoutersCostsFewRetries(t *testing.T) {
	f := newFixture(t, answerJSON)
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

// Symptom: requests were cut at a router that stopped. Sequence: a router that stops answers
// and ends the connection; the caller's view shows its mark only later, and the next request
// goes there on another connection. Cause: only the view told of the mark.
func TestARouterThatStopsIsKnownByItsAnswers(t *testing.T) {
	var stopping atomic.Int64
	f := newFixture(t, answerJSON, func(w http.ResponseWriter, r *http.Request) {
		stopping.Add(1)
		w.Header().Set("Connection", "close")
		answerJSON(w, r)
	})
	for range 40 { // that none goes to one of two by chance is one in 10^12
		f.postModel()
	}
	if got := stopping.Load(); got != 1 {
		t.Errorf("%d requests went to the router that stops, want 1", got)
	}
}
