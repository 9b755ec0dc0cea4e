package guard

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// probeTimeout allows for a connection to another zone.
	probeTimeout = 300 * time.Millisecond
	// probeInterval is the time between the two probes of a worker: one that has just crashed
	// may still accept a connection.
	probeInterval = 200 * time.Millisecond
)

// listening reports whether a process listens at an address (IP:port). Only a refused
// connection counts as not listening: a worker that resets connections, is partitioned or
// has run out of connections has not crashed.
func listening(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		conn.Close()
		return true
	}
	return !errors.Is(err, syscall.ECONNREFUSED)
}
