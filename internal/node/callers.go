package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// callers are the connections on which work has come. One that is idle when it is closed may
// lose a request that is just being written to it, so a planned stop waits until those who
// heeded its mark have closed them.
type callers struct {
	mutex sync.Mutex // guards open
	open  map[net.Conn]*atomic.Bool
}

// callerKey is of the mark in a connection's context that work has come on it.
type callerKey struct{}

func newCallers() *callers { return &callers{open: map[net.Conn]*atomic.Bool{}} }

// connected is a server's ConnContext.
func (c *callers) connected(ctx context.Context, conn net.Conn) context.Context {
	worked := &atomic.Bool{}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.open[conn] = worked
	return context.WithValue(ctx, callerKey{}, worked)
}

// changed is a server's ConnState.
func (c *callers) changed(conn net.Conn, state http.ConnState) {
	if state != http.StateClosed && state != http.StateHijacked {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.open, conn)
}

// worked notes that a request is work.
func (c *callers) worked(request *http.Request) {
	if worked, ok := request.Context().Value(callerKey{}).(*atomic.Bool); ok {
		worked.Store(true)
	}
}

// count is how many connections are open on which work has come.
func (c *callers) count() (n int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, worked := range c.open {
		if worked.Load() {
			n++
		}
	}
	return n
}
