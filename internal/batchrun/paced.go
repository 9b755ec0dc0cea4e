package batchrun

import (
	"context"
	"io"
	"time"

	"github.com/dykewing/dykewing/internal/pause"
)

// readInterval is the time between two reads of an item's stream. Nobody waits for
// its single events, and a leader runs hundreds of items: a wake-up for each event
// would take most of a small processor.
const readInterval = 200 * time.Millisecond

// pacedReader reads at most once an interval; what comes meanwhile waits in the
// connection. Use it from one goroutine.
type pacedReader struct {
	ctx      context.Context // ends a wait
	source   io.Reader
	interval time.Duration
	next     time.Time
}

// Read waits for its turn, then reads what is there.
func (p *pacedReader) Read(into []byte) (int, error) {
	if wait := time.Until(p.next); wait > 0 {
		pause.For(p.ctx, wait)
	}
	count, err := p.source.Read(into)
	p.next = time.Now().Add(p.interval)
	return count, err
}
