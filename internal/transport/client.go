package transport

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	dialTimeout            = 2 * time.Second
	keepAlivePeriod        = 15 * time.Second
	idleConnectionLifetime = 90 * time.Second
	maximumResponseHeader  = 64 << 10
)

// errForbidden answers writes on a connection whose request was given up.
var errForbidden = errors.New("connection was given up")

// NewClient gives a client with a connection pool of its own; callers use one
// client for each class of traffic, so that none waits for another's. It
// follows no redirect: a back end names no other place to send a request to.
func NewClient(connectionsPerHost int) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlivePeriod}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:            countingDial(dialer),
			MaxIdleConnsPerHost:    connectionsPerHost,
			IdleConnTimeout:        idleConnectionLifetime,
			MaxResponseHeaderBytes: maximumResponseHeader,
			DisableCompression:     true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Options of a client whose peers may fall silent at any moment.
type Options struct {
	ConnectionsPerHost int           // kept idle
	DialTimeout        time.Duration // until a connection is up
	IdleLifetime       time.Duration // of a connection without a request
	// SilenceLimit is about how long a peer may not answer the probes of the
	// network before a connection counts as broken.
	SilenceLimit time.Duration
	// Compressed: answers may come compressed; they are read as if they had not.
	Compressed bool
}

// probes of a silent connection before it is given up.
const probes = 3

// NewProbingClient gives a client that finds out by probes that a peer is gone.
func NewProbingClient(options Options) *http.Client {
	client := NewClient(options.ConnectionsPerHost)
	interval := options.SilenceLimit / (probes + 1)
	dialer := &net.Dialer{Timeout: options.DialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: interval, Interval: interval, Count: probes,
	}}
	pool := client.Transport.(*http.Transport)
	pool.DialContext = countingDial(dialer)
	pool.IdleConnTimeout = options.IdleLifetime
	pool.DisableCompression = !options.Compressed
	return client
}

func countingDial(dialer *net.Dialer) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: conn}, nil
	}
}

// countingConn counts the bytes that were handed to the kernel or may have
// been. Invariant: once forbid has returned, the count does not grow by a write
// that leaves.
type countingConn struct {
	net.Conn
	attempted atomic.Int64
	forbidden atomic.Bool
	meter     *meter // nil: nobody asks for the count by kind
}

// Write counts before it writes, so that the count is never too low.
func (c *countingConn) Write(data []byte) (int, error) {
	c.attempted.Add(int64(len(data)))
	if c.forbidden.Load() {
		return 0, errForbidden
	}
	n, err := c.Conn.Write(data)
	c.meter.sent(n)
	return n, err
}

// Read counts what has come.
func (c *countingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.meter.received(n)
	return n, err
}

// forbid refuses every later write.
func (c *countingConn) forbid() { c.forbidden.Store(true) }
