package node

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/dykewing/dykewing/api"
)

// Symptom: a planned stop cut a request that came on a kept connection. Sequence: a caller
// keeps an idle connection to a router; the router stops and closes it while the caller,
// that does not know the mark yet, writes to it. Cause: nothing waited for callers.
func TestCallersAreCountedUntilTheyCloseTheirConnections(t *testing.T) {
	tests := []struct {
		name string
		path string
		want int // connections on which work has come
	}{
		{"a request", api.PathRequests, 1},
		{"a heartbeat", api.PathGossip, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			n := &Node{callers: newCallers()}
			server := httptest.NewUnstartedServer(n.drainable(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})))
			server.Config.ConnContext = n.callers.connected
			server.Config.ConnState = n.callers.changed
			server.Start()
			defer server.Close()
			client := server.Client()
			response, err := client.Get(server.URL + test.path)
			if err != nil {
				t.Fatal(err)
			}
			response.Body.Close()
			if got := n.callers.count(); got != test.want {
				t.Errorf("%d callers, want %d", got, test.want)
			}
			client.CloseIdleConnections()
			for n.callers.count() > 0 {
				time.Sleep(time.Millisecond) // until the server has seen the close
			}
		})
	}
}
