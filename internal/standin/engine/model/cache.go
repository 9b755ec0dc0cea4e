package model

import (
	"container/list"
	"math/rand/v2"
	"time"
)

// CacheEvent reports prefix blocks that were stored in or removed from the cache. A gap in Sequence
// means that events were lost.
type CacheEvent struct {
	Sequence uint64    `json:"sequence"` // starts at 1
	At       time.Time `json:"at"`
	Stored   []uint64  `json:"stored,omitempty"`
	Removed  []uint64  `json:"removed,omitempty"`
}

// maxEvents is the number of events kept for readers. Older ones are dropped.
const maxEvents = 1024

// block is a prefix block in the cache.
type block struct {
	hash  uint64
	users int  // running sequences that use it
	valid bool // its content was computed
}

// cache accounts for the engine's memory in blocks. Blocks that no running sequence uses are evicted
// in LRU order.
type cache struct {
	capacity int
	private  int // unshared blocks of running sequences
	used     int // shared blocks with users
	blocks   map[uint64]*list.Element
	recent   *list.List // of *block, most recently used first
	delay    time.Duration
	loss     float64
	random   *rand.Rand
	sequence uint64
	events   []CacheEvent
	evicted  []uint64 // since the last event
}

func newCache(settings Settings, random *rand.Rand) *cache {
	return &cache{
		capacity: settings.CacheBlocks, blocks: map[uint64]*list.Element{}, recent: list.New(),
		delay: settings.EventDelay, loss: settings.EventLoss, random: random,
	}
}

// canAllocate reports whether count blocks can be allocated by evicting unused ones.
func (c *cache) canAllocate(count int) bool { return c.used+c.private+count <= c.capacity }

// acquire references the blocks for a sequence and returns the number of leading ones that are
// already computed.
func (c *cache) acquire(hashes []uint64) int {
	cached, leading := 0, true
	for _, hash := range hashes {
		element, ok := c.blocks[hash]
		if !ok {
			element = c.recent.PushFront(&block{hash: hash})
			c.blocks[hash] = element
		}
		held := element.Value.(*block)
		leading = leading && held.valid
		if leading {
			cached++
		}
		if held.users == 0 {
			c.used++
		}
		held.users++
		c.recent.MoveToFront(element)
	}
	c.evict()
	return cached
}

// reserve allocates private blocks; canAllocate must hold.
func (c *cache) reserve(count int) {
	c.private += count
	c.evict()
}

// markComputed makes the blocks usable by other sequences and publishes an event.
func (c *cache) markComputed(now time.Time, hashes []uint64) {
	var stored []uint64
	for _, hash := range hashes {
		if element, ok := c.blocks[hash]; ok && !element.Value.(*block).valid {
			element.Value.(*block).valid = true
			stored = append(stored, hash)
		}
	}
	c.publish(now, stored)
}

// release drops a sequence's references. The first computed blocks stay cached.
func (c *cache) release(hashes []uint64, computed int) {
	for i, hash := range hashes {
		element, ok := c.blocks[hash]
		if !ok {
			continue
		}
		held := element.Value.(*block)
		held.users--
		if held.users > 0 {
			continue
		}
		c.used--
		held.valid = held.valid || i < computed
		if !held.valid {
			c.remove(element)
		}
	}
}

// insertComputed caches computed blocks that were private.
func (c *cache) insertComputed(hashes []uint64) {
	for _, hash := range hashes {
		if _, ok := c.blocks[hash]; !ok {
			c.blocks[hash] = c.recent.PushFront(&block{hash: hash, valid: true})
		}
	}
	c.evict()
}

func (c *cache) evict() {
	element := c.recent.Back()
	for element != nil && len(c.blocks)+c.private > c.capacity {
		previous := element.Prev()
		if held := element.Value.(*block); held.users == 0 {
			if held.valid {
				c.evicted = append(c.evicted, held.hash)
			}
			c.remove(element)
		}
		element = previous
	}
}

func (c *cache) remove(element *list.Element) {
	delete(c.blocks, element.Value.(*block).hash)
	c.recent.Remove(element)
}

func (c *cache) publish(now time.Time, stored []uint64) {
	if len(stored) == 0 && len(c.evicted) == 0 {
		return
	}
	c.sequence++
	event := CacheEvent{Sequence: c.sequence, At: now, Stored: stored, Removed: c.evicted}
	c.evicted = nil
	if c.loss > 0 && c.random.Float64() < c.loss {
		return
	}
	c.events = append(c.events, event)
	if len(c.events) > maxEvents {
		c.events = append(c.events[:0], c.events[len(c.events)-maxEvents/2:]...)
	}
}

// CacheEvents returns the events after a sequence number that are older than Settings.EventDelay. A
// sequence number that the engine has not reached counts as 0.
func (e *Engine) CacheEvents(now time.Time, after uint64) []CacheEvent {
	if after > e.cache.sequence {
		after = 0 // the reader saw an earlier incarnation of the engine
	}
	published := now.Add(-e.cache.delay)
	var events []CacheEvent
	for _, event := range e.cache.events {
		if event.Sequence > after && !event.At.After(published) {
			events = append(events, event)
		}
	}
	return events
}
