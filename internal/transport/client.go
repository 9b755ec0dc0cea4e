package transport

import (
	"context"
	"errors"
	"hash/maphash"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	dialTimeout            = 2 * time.Second
	keepAlivePeriod        = 15 * time.Second
	idleConnectionTimeout  = 90 * time.Second
	maxResponseHeaderBytes = 64 << 10
)

// maxCarriedIDs bounds the memory of a connection to some 20 KB. A connection that has carried so many
// requests is replaced.
const maxCarriedIDs = 1024

// idSeed makes the hashes of IDs unpredictable to those who choose the IDs.
var idSeed = maphash.MakeSeed()

// errWritesBlocked is returned for writes after countingConn.blockWrites.
var errWritesBlocked = errors.New("write after the request was abandoned")

// NewClient returns a client with its own connection pool, which keeps up to
// connectionsPerHost idle connections to each host. Callers use one client for each class
// of traffic, so that classes do not wait for each other. It does not follow redirects. Its Transport is a
// *RoundTripper.
func NewClient(connectionsPerHost int) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlivePeriod}
	return &http.Client{
		Transport: &RoundTripper{Transport: &http.Transport{
			DialContext:            countingDial(dialer),
			MaxIdleConnsPerHost:    connectionsPerHost,
			IdleConnTimeout:        idleConnectionTimeout,
			MaxResponseHeaderBytes: maxResponseHeaderBytes,
			DisableCompression:     true,
		}},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// ClientOptions configure a client that detects dead peers.
type ClientOptions struct {
	ConnectionsPerHost int           // maximum idle connections
	DialTimeout        time.Duration // for opening a connection
	IdleTimeout        time.Duration // after which an idle connection is closed
	// KeepAliveTimeout is the approximate time without replies to TCP keep-alive probes after
	// which a connection is closed.
	KeepAliveTimeout time.Duration
	// AcceptGzip accepts responses with gzip encoding and decodes them transparently.
	AcceptGzip bool
}

// keepAliveProbes is the number of unanswered TCP keep-alive probes before a connection is
// closed.
const keepAliveProbes = 3

// NewKeepAliveClient returns a client that detects dead peers by TCP keep-alive probes.
func NewKeepAliveClient(options ClientOptions) *http.Client {
	client := NewClient(options.ConnectionsPerHost)
	interval := options.KeepAliveTimeout / (keepAliveProbes + 1)
	dialer := &net.Dialer{Timeout: options.DialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: interval, Interval: interval, Count: keepAliveProbes,
	}}
	pool := client.Transport.(*RoundTripper)
	pool.DialContext = countingDial(dialer)
	pool.IdleConnTimeout = options.IdleTimeout
	pool.DisableCompression = !options.AcceptGzip
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

// countingConn counts the bytes that may have been passed to the kernel. After blockWrites
// has returned, only writes that attempted already includes can reach the network.
type countingConn struct {
	net.Conn
	attempted     atomic.Int64
	writesBlocked atomic.Bool
	carried       map[uint64]bool // hashes of the IDs of the requests; used by one request at a time
	meter         *connMeter      // nil if traffic is not counted by kind

	writeMutex sync.Mutex // held during a write; guards writeError
	writeError error      // of a write that found the connection broken, by other than an end of the peer
}

// Write counts before it writes, so that attempted is never too low.
func (c *countingConn) Write(data []byte) (int, error) {
	c.attempted.Add(int64(len(data)))
	if c.writesBlocked.Load() {
		return 0, errWritesBlocked
	}
	c.writeMutex.Lock()
	defer c.writeMutex.Unlock()
	n, err := c.Conn.Write(data)
	if breaksConnection(err) {
		c.writeError = err
	}
	c.meter.sent(n)
	return n, err
}

// Read reads from the connection and counts the bytes received. It returns io.EOF only if the peer closed
// the connection in an orderly way.
func (c *countingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.meter.received(n)
	if err == io.EOF {
		err = c.endOfStream()
	}
	return n, err
}

// breaksConnection reports whether the error of a write is the kernel's for a connection that its peer has not
// ended in order, such as a reset or a time-out. EPIPE follows an orderly end or an error that a read has
// returned.
func breaksConnection(err error) bool {
	var code syscall.Errno
	return errors.As(err, &code) && code != syscall.EPIPE
}

// endOfStream returns the error of a read that found the end of the stream. The kernel reports what broke a
// connection only once: if a write was told, the next read finds an end like that of an orderly close.
func (c *countingConn) endOfStream() error {
	// Unblocks a write to a peer that does not read. Nothing is to follow on a connection that its peer has
	// closed.
	_ = c.Conn.SetWriteDeadline(time.Unix(1, 0))
	c.writeMutex.Lock()
	defer c.writeMutex.Unlock()
	if c.writeError != nil {
		return c.writeError
	}
	return io.EOF
}

// carry notes that a request with the ID is to be written. It returns false if the connection must not
// carry it, since it has carried one with this ID, or as many as it can remember.
func (c *countingConn) carry(id string) bool {
	hash := maphash.String(idSeed, id)
	if c.carried[hash] || len(c.carried) == maxCarriedIDs {
		return false
	}
	if c.carried == nil {
		c.carried = map[uint64]bool{}
	}
	c.carried[hash] = true
	return true
}

// blockWrites makes later writes fail.
func (c *countingConn) blockWrites() { c.writesBlocked.Store(true) }
