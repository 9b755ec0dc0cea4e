// Package pressure decides what a process may hold in memory for others: bodies that come
// in, and answers that their callers have not read yet. A process that holds without a
// bound for slow readers and writers is ended by its machine, with all its requests.
//
// Bytes are taken before they are read and given back at the end. Where they are short,
// new bodies are refused first, the largest and the least urgent ones before others;
// answers that are being read wait, so that their workers are slowed; and where that does
// not help, the answer that its caller has left unread longest is cut.
//
// Budget has no input or output and no clock, and is not safe for concurrent use.
package pressure

import "time"

// Use is what bytes are held for.
type Use int

// The uses.
const (
	Body   Use = iota // of an online request, from its arrival to its answer
	Job               // the body of a batch job, until it is accepted
	Answer            // of a worker, until its caller has read it
)

// String is the use's name in metrics and logs.
func (u Use) String() string { return [...]string{"body", "job", "answer"}[u] }

// uses is how many there are.
const uses = 3

// newShare is the part of what is free that one new body may take. A body that takes half
// of the rest leaves room for one more like it; jobs can come later and leave more to
// callers that wait.
var newShare = [uses]float64{Body: 0.5, Job: 0.25}

const (
	// answerReserve of the budget is only for answers: their requests have run, and what
	// refuses them wastes that.
	answerReserve = 0.25
	// unreadBound is how long a caller may leave an answer unread where bytes are short.
	// Callers that are there read in round trips; workers give up after some seconds.
	unreadBound = 2 * time.Second
)

// Hold is what is held for one exchange.
type Hold struct {
	use     Use
	bytes   int64
	writing time.Time // since when its caller has read nothing; zero: nothing is sent yet
	waiting bool      // for bytes
	ended   bool
}

// Bytes is how many are held.
func (h *Hold) Bytes() int64 { return h.bytes }

// Budget is the bytes of one process. Make it with New.
type Budget struct {
	limit int64
	held  [uses]int64
	open  map[*Hold]bool
}

// New gives a budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit, open: map[*Hold]bool{}} }

// Limit is the whole budget in bytes.
func (b *Budget) Limit() int64 { return b.limit }

// Held is how many bytes are held for a use.
func (b *Budget) Held(use Use) int64 { return b.held[use] }

// Free is how many bytes are not held.
func (b *Budget) Free() int64 {
	free := b.limit
	for _, held := range b.held {
		free -= held
	}
	return max(free, 0)
}

// Begin takes the bytes of a new body, or refuses it: false.
func (b *Budget) Begin(use Use, bytes int64) (*Hold, bool) {
	free := float64(b.Free()) - answerReserve*float64(b.limit)
	if use != Answer && float64(bytes) > newShare[use]*free {
		return nil, false
	}
	h := &Hold{use: use}
	b.open[h] = true
	b.add(h, bytes)
	return h, true
}

// Grow takes more bytes for a hold, or tells that there are none: false. An answer may
// take all that is free; one that alone is over the whole budget never fits.
func (b *Budget) Grow(h *Hold, bytes int64) bool {
	free := b.Free()
	if h.use != Answer {
		free -= int64(answerReserve * float64(b.limit))
	}
	if h.ended || bytes > free {
		return false
	}
	b.add(h, bytes)
	return true
}

// Never tells that a hold could not grow by so much if it were the only one.
func (b *Budget) Never(h *Hold, bytes int64) bool { return h.ended || h.bytes+bytes > b.limit }

// Shrink gives a part back.
func (b *Budget) Shrink(h *Hold, bytes int64) {
	if !h.ended {
		b.add(h, -min(bytes, h.bytes))
	}
}

// Writing notes that a hold's bytes go to its caller from now on, or that the caller has
// read some.
func (b *Budget) Writing(now time.Time, h *Hold) { h.writing = now }

// End gives all back; more than once changes nothing.
func (b *Budget) End(h *Hold) {
	if h.ended {
		return
	}
	b.add(h, -h.bytes)
	h.ended = true
	delete(b.open, h)
}

// Slowest is the hold whose caller has left it unread longest, over the bound; nil without
// one. It is to be cut where others wait for bytes.
func (b *Budget) Slowest(now time.Time) (slowest *Hold) {
	for h := range b.open {
		if h.writing.IsZero() || now.Sub(h.writing) < unreadBound {
			continue
		}
		if slowest == nil || h.writing.Before(slowest.writing) || h.writing.Equal(slowest.writing) && h.bytes > slowest.bytes {
			slowest = h
		}
	}
	return slowest
}

// Wait notes whether a hold waits for bytes.
func (b *Budget) Wait(h *Hold, waiting bool) { h.waiting = waiting }

// Stuck is the answer that is to be given up where all that are being read wait for bytes
// and none goes to a caller, so that nothing would come free: the smallest, which wastes
// the least. Nil while something can come free.
func (b *Budget) Stuck() (smallest *Hold) {
	for h := range b.open {
		if h.use != Answer {
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

func (b *Budget) add(h *Hold, bytes int64) {
	h.bytes += bytes
	b.held[h.use] += bytes
}
