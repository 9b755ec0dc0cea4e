package sidecar

import (
	"net/http"
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
