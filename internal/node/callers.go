package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// connTracker tracks the connections that have carried data path requests. Closing an idle
// connection may lose a request that is being written to it, so that a graceful shutdown
// waits until callers have closed theirs.
type connTracker struct {
	mutex sync.Mutex                // guards open
	open  map[net.Conn]*atomic.Bool // true once a data path request has arrived
}

// connKey is the context key of a connection's entry in connTracker.open.
type connKey struct{}

func newConnTracker() *connTracker { return &connTracker{open: map[net.Conn]*atomic.Bool{}} }

// connContext implements http.Server.ConnContext.
func (c *connTracker) connContext(ctx context.Context, conn net.Conn) context.Context {
	used := &atomic.Bool{}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.open[conn] = used
	return context.WithValue(ctx, connKey{}, used)
}

// connState implements http.Server.ConnState.
func (c *connTracker) connState(conn net.Conn, state http.ConnState) {
	if state != http.StateClosed && state != http.StateHijacked {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.open, conn)
}

// recordRequest marks the request's connection as used by the data path.
func (c *connTracker) recordRequest(request *http.Request) {
	if used, ok := request.Context().Value(connKey{}).(*atomic.Bool); ok {
		used.Store(true)
	}
}

// count returns the number of open connections that have carried data path requests.
func (c *connTracker) count() (n int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, used := range c.open {
		if used.Load() {
			n++
		}
	}
	return n
}
