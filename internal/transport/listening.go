package transport

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// listenTimeout allows for a connection to another zone.
const listenTimeout = 300 * time.Millisecond

// Listening reports whether a process listens at an address (IP:port). Only a refused
// connection counts as not listening: a worker that resets connections, is partitioned or
// has run out of connections has not crashed.
func Listening(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, listenTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		conn.Close()
		return true
	}
	return !errors.Is(err, syscall.ECONNREFUSED)
}
