package node

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/membership"
)

// maxHeaderBytesPerExchange is hollow.HeaderBytes, the overhead that simulations assume.
const maxHeaderBytesPerExchange = 240

type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{Conn: conn, bytes: l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.bytes.Add(int64(n))
	return n, err
}

// TestHeartbeatOnTheWire bounds the bytes of HTTP/1.1 headers of an exchange, request
// and response together.
func TestHeartbeatOnTheWire(t *testing.T) {
	services := make([]api.ServiceSummary, 4)
	for i := range services {
		services[i] = api.ServiceSummary{Service: "tutor-model", Place: "cairo-west", Workers: 5, Slots: 160, Online: 40 + i, Batch: 7 * i}
	}
	exchange := membership.Exchange{From: "router-07-12", Updates: []membership.Record{{Node: api.Node{
		ID: "router-07-12", Role: api.RoleRouter, Address: "10.20.30.40:7000", Incarnation: 1796198526781, Summary: api.LoadSummary{Services: services},
	}}}}
	body, compressed, err := EncodeExchange(exchange)
	if err != nil || !compressed {
		t.Fatalf("compressed %v, %v", compressed, err)
	}
	var bytes atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received, err := decodeExchange(r.Body, r.Header.Get("Content-Encoding"))
		if err != nil {
			t.Error(err)
		}
		writeExchange(w, received)
	}))
	server.Listener = countingListener{Listener: server.Listener, bytes: &bytes}
	server.Start()
	defer server.Close()
	client := transport.NewClient(1)
	defer client.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	const exchanges = 20
	for range exchanges {
		answer, err := postExchange(ctx, client, membership.Send{Address: server.Listener.Addr().String(), Exchange: exchange})
		if err != nil || len(answer.Updates) != 1 {
			t.Fatalf("answer %v, %v", answer, err)
		}
	}
	headers := int(bytes.Load())/exchanges - 2*len(body)
	t.Logf("bodies of %d bytes each, headers of %d bytes per exchange", len(body), headers)
	if headers > maxHeaderBytesPerExchange {
		t.Errorf("headers of an exchange take %d bytes; simulations assume %d", headers, maxHeaderBytesPerExchange)
	}
}
