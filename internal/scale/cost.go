package scale

import (
	"maps"
	"time"
)

// Part is one of the control mechanisms that costs are booked to.
type Part string

// The parts.
const (
	PartMembership Part = "membership" // steps of the machine and its views
	PartCodec      Part = "codec"      // JSON of all control messages
	PartTable      Part = "table"
	PartHomes      Part = "homes"
	PartSummary    Part = "summary" // what a node reports of itself
	PartClaims     Part = "claims"
)

// Cost is what one node has spent on control.
type Cost struct {
	Processor     map[Part]time.Duration
	BytesSent     int64 // JSON and HTTP headers, without TCP and IP
	BytesReceived int64
	Messages      int64            // exchanges begun
	SentFor       map[string]int64 // BytesSent by what they were for
}

func newCost() *Cost {
	return &Cost{Processor: map[Part]time.Duration{}, SentFor: map[string]int64{}}
}

// sent books bytes that leave the node.
func (c *Cost) sent(purpose string, bytes int) {
	c.BytesSent += int64(bytes)
	c.SentFor[purpose] += int64(bytes)
}

// timed books the processor time of f.
func (c *Cost) timed(part Part, f func()) {
	start := time.Now()
	f()
	c.Processor[part] += time.Since(start)
}

// Total is the processor time of all parts.
func (c *Cost) Total() time.Duration {
	total := time.Duration(0)
	for _, spent := range c.Processor {
		total += spent
	}
	return total
}

// clone gives a copy, so that a later one can be compared with it.
func (c *Cost) clone() *Cost {
	copied := newCost()
	copied.BytesSent, copied.BytesReceived, copied.Messages = c.BytesSent, c.BytesReceived, c.Messages
	maps.Copy(copied.Processor, c.Processor)
	maps.Copy(copied.SentFor, c.SentFor)
	return copied
}

// since gives what was spent after the earlier copy.
func (c *Cost) since(earlier *Cost) *Cost {
	spent := c.clone()
	spent.BytesSent -= earlier.BytesSent
	spent.BytesReceived -= earlier.BytesReceived
	spent.Messages -= earlier.Messages
	for part, before := range earlier.Processor {
		spent.Processor[part] -= before
	}
	for purpose, before := range earlier.SentFor {
		spent.SentFor[purpose] -= before
	}
	return spent
}
