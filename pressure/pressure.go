// Package pressure bounds the memory that a process uses to buffer request bodies and
// responses that their callers have not read yet. Without a bound, slow readers and writers
// exhaust the machine's memory.
//
// Bytes are allocated before they are read and released at the end. When memory is short,
// new bodies are refused first, large and less urgent ones before others. Responses in
// progress wait, which applies backpressure to the workers. If that does not help, the
// response that has been unread for longest is aborted.
//
// A Budget does no I/O and reads no clock: callers pass the current time. It is not safe for
// concurrent use.
package pressure

import "time"

// Kind is what an allocation is used for.
type Kind int

// Kinds of use.
const (
	Body     Kind = iota // body of an online request, from arrival to answer
	Job                  // body of a batch job, until the job is accepted
	Response             // response of a worker, until the caller has read it
)

// String returns the name used in metrics and logs.
func (u Kind) String() string { return [...]string{"body", "job", "answer"}[u] }

const numUses = 3

// maxNewShare is the fraction of the free budget that one new body may take. Batch jobs can
// be retried later and leave more for online requests.
var maxNewShare = [numUses]float64{Body: 0.5, Job: 0.25}

const (
	// answerReserve is the fraction of the budget reserved for responses, since refusing
	// them wastes requests that have already run.
	answerReserve = 0.25
	// unreadTimeout is how long a caller may leave a response unread when memory is short.
	// It is far above a round trip and below the write timeout of workers.
	unreadTimeout = 2 * time.Second
)

// Allocation is the allocation of one exchange.
type Allocation struct {
	use      Kind
	bytes    int64
	lastRead time.Time // when the caller last read; zero if nothing has been sent
	waiting  bool      // waiting for bytes
	released bool
}

// Bytes returns the allocated size.
func (h *Allocation) Bytes() int64 { return h.bytes }

// Budget is the memory budget of one process. Use New to create one.
type Budget struct {
	limit  int64
	held   [numUses]int64
	active map[*Allocation]bool
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit, active: map[*Allocation]bool{}} }

// Limit returns the size of the budget in bytes.
func (b *Budget) Limit() int64 { return b.limit }

// Allocated returns the number of bytes allocated for a use.
func (b *Budget) Allocated(use Kind) int64 { return b.held[use] }

// Free returns the number of unallocated bytes.
func (b *Budget) Free() int64 {
	free := b.limit
	for _, held := range b.held {
		free -= held
	}
	return max(free, 0)
}

// Allocate allocates the bytes of a new exchange. It returns false if they are refused.
func (b *Budget) Allocate(use Kind, bytes int64) (*Allocation, bool) {
	free := float64(b.Free()) - answerReserve*float64(b.limit)
	if use != Response && float64(bytes) > maxNewShare[use]*free {
		return nil, false
	}
	h := &Allocation{use: use}
	b.active[h] = true
	b.add(h, bytes)
	return h, true
}

// Grow allocates more bytes. It returns false if there are too few: only responses may use
// the reserve. A response larger than the whole budget never fits.
func (b *Budget) Grow(h *Allocation, bytes int64) bool {
	free := b.Free()
	if h.use != Response {
		free -= int64(answerReserve * float64(b.limit))
	}
	if h.released || bytes > free {
		return false
	}
	b.add(h, bytes)
	return true
}

// NeverFits reports whether a hold could not grow by so many bytes even if it were the only one.
func (b *Budget) NeverFits(h *Allocation, bytes int64) bool {
	return h.released || h.bytes+bytes > b.limit
}

// Shrink releases part of the bytes.
func (b *Budget) Shrink(h *Allocation, bytes int64) {
	if !h.released {
		b.add(h, -min(bytes, h.bytes))
	}
}

// RecordProgress records that sending to the caller starts, or that the caller has read some bytes.
func (b *Budget) RecordProgress(now time.Time, h *Allocation) { h.lastRead = now }

// Release releases all bytes. Calling it again has no effect.
func (b *Budget) Release(h *Allocation) {
	if h.released {
		return
	}
	b.add(h, -h.bytes)
	h.released = true
	delete(b.active, h)
}

// Slowest returns the hold that its caller has left unread longest, if longer than
// unreadTimeout, or nil. It should be aborted if others wait for bytes.
func (b *Budget) Slowest(now time.Time) (slowest *Allocation) {
	for h := range b.active {
		if h.lastRead.IsZero() || now.Sub(h.lastRead) < unreadTimeout {
			continue
		}
		if slowest == nil || h.lastRead.Before(slowest.lastRead) || h.lastRead.Equal(slowest.lastRead) && h.bytes > slowest.bytes {
			slowest = h
		}
	}
	return slowest
}

// SetWaiting sets whether a hold waits for bytes.
func (b *Budget) SetWaiting(h *Allocation, waiting bool) { h.waiting = waiting }

// Deadlocked returns the response to abort on a deadlock, in which all responses wait for bytes
// and none is being sent. It is the smallest one, which wastes the least. It returns nil if
// there is no deadlock.
func (b *Budget) Deadlocked() (smallest *Allocation) {
	for h := range b.active {
		if h.use != Response {
			continue
		}
		if !h.waiting {
			return nil
		}
		if smallest == nil || h.bytes < smallest.bytes {
			smallest = h
		}
	}
	return smallest
}

func (b *Budget) add(h *Allocation, bytes int64) {
	h.bytes += bytes
	b.held[h.use] += bytes
}
