package slopes

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"

	"github.com/dykewing/dykewing/internal/transport"
)

// WireOverhead holds the HTTP overhead of one exchange over a persistent connection, in
// addition to its JSON bodies. It excludes TCP and IP headers.
type WireOverhead struct {
	RequestHeader  int `json:"request_header_bytes"`
	ResponseHeader int `json:"response_header_bytes"`
}

// Header returns the overhead of both directions.
func (w WireOverhead) Header() int { return w.RequestHeader + w.ResponseHeader }

// PacketHeaderBytes is the size of the TCP and IPv4 headers, with timestamps, of an
// exchange of one segment each way: two segments and two acknowledgements.
const PacketHeaderBytes = 4 * 52

// countingConnection counts the bytes sent and received.
type countingConnection struct {
	net.Conn
	sent, received *atomic.Int64
}

func (c countingConnection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

func (c countingConnection) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

const sampleBody = 300

// MeasureWireOverhead measures the average overhead of transport.Call over one loopback
// connection.
func MeasureWireOverhead(ctx context.Context) (WireOverhead, error) {
	body := strings.Repeat("x", sampleBody)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var request string
		if failure := transport.ReadJSON(w, r, "measure exchange", 1<<20, &request); failure != nil {
			transport.WriteError(w, failure)
			return
		}
		transport.WriteJSON(w, http.StatusOK, request)
	}))
	defer server.Close()
	var sent, received atomic.Int64
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		var dialer net.Dialer
		connection, err := dialer.DialContext(ctx, network, address)
		return countingConnection{Conn: connection, sent: &sent, received: &received}, err
	}
	client := &http.Client{Transport: &http.Transport{DialContext: dial, DisableCompression: true}}
	defer client.CloseIdleConnections()
	const exchanges = 20
	for range exchanges {
		var answer string
		err := transport.Call(ctx, client, "measure exchange", server.Listener.Addr().String(), "/internal/v1/gossip", body, &answer)
		if err != nil {
			return WireOverhead{}, fmt.Errorf("measure wire: %w", err)
		}
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		return WireOverhead{}, fmt.Errorf("measure wire: %w", err)
	}
	return WireOverhead{
		RequestHeader:  int(sent.Load())/exchanges - len(encoded),
		ResponseHeader: int(received.Load())/exchanges - len(encoded),
	}, nil
}
