package node

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/dykewing/dykewing/api"
)

// Guards against a graceful shutdown that closes an idle connection while a caller, which
// has not yet noticed that the router leaves, writes a request to it.
func TestDataPathConnectionsAreCountedUntilClosed(t *testing.T) {
	tests := []struct {
		name string
		path string
		want int // connections with data path requests
	}{
		{"a request", api.PathRequests, 1},
		{"a heartbeat", api.PathGossip, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			n := &Node{connections: newConnTracker()}
			server := httptest.NewUnstartedServer(n.trackRequests(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})))
			server.Config.ConnContext = n.connections.connContext
			server.Config.ConnState = n.connections.connState
			server.Start()
			defer server.Close()
			client := server.Client()
			response, err := client.Get(server.URL + test.path)
			if err != nil {
				t.Fatal(err)
			}
			response.Body.Close()
			if got := n.connections.count(); got != test.want {
				t.Errorf("%d connections, want %d", got, test.want)
			}
			client.CloseIdleConnections()
			for n.connections.count() > 0 {
				time.Sleep(time.Millisecond) // until the server has seen the close
			}
		})
	}
}
