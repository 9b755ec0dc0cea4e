package batchrun

import (
	"context"
	"io"
	"time"

	"github.com/dykewing/dykewing/internal/sleep"
)

// readInterval is the time between two reads of an item's stream. Batch output is not
// latency-sensitive, and with hundreds of running items a wake-up for each event would use most of
// a small CPU.
const readInterval = 200 * time.Millisecond

// pacedReader reads from source at most once per interval; unread data stays in the connection. It
// is not safe for concurrent use.
type pacedReader struct {
	ctx      context.Context // cancels the delay
	source   io.Reader
	interval time.Duration
	next     time.Time
}

// Read waits until the interval since the last read has passed, then reads once from source.
func (p *pacedReader) Read(into []byte) (int, error) {
	if wait := time.Until(p.next); wait > 0 {
		sleep.For(p.ctx, wait)
	}
	count, err := p.source.Read(into)
	p.next = time.Now().Add(p.interval)
	return count, err
}
