package routing

import (
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dykewing/dykewing/api"
)

// PrefixSettings configures a PrefixIndex.
type PrefixSettings struct {
	MaxBlocks int           // maximum hashes kept; the least recently seen are evicted first
	TTL       time.Duration // time after which an unseen block counts as evicted
	// TTLAfterGap replaces the lifetime after a gap in a worker's events, which may have
	// contained evictions. Recently seen blocks are evicted last.
	TTLAfterGap time.Duration
}

// DefaultPrefixSettings returns settings that limit the index to about 10 MB.
func DefaultPrefixSettings() PrefixSettings {
	return PrefixSettings{MaxBlocks: 65536, TTL: time.Minute, TTLAfterGap: 10 * time.Second}
}

// PrefixIndex estimates which workers have which prompt blocks in their prefix
// cache, from cache events and dispatched requests. It is approximate, since
// events may be late or missing. It is not safe for concurrent use.
type PrefixIndex struct {
	settings PrefixSettings
	blocks   map[uint64]*list.Element
	lru      *list.List // of *prefixBlock, most recently seen first
	workers  map[api.WorkerID]*prefixWorker
}

type prefixBlock struct {
	hash    uint64
	holders []holder
}

type holder struct {
	worker *prefixWorker
	seen   time.Time
}

// prefixWorker is the state of one worker.
type prefixWorker struct {
	sequence       uint64    // of the latest event
	distrustBefore time.Time // blocks last seen earlier count as evicted
	removed        bool      // its blocks are ignored
	matched        int       // leading blocks found by the latest Match
}

// NewPrefixIndex returns an empty index.
func NewPrefixIndex(settings PrefixSettings) *PrefixIndex {
	return &PrefixIndex{
		settings: settings, blocks: map[uint64]*list.Element{}, lru: list.New(),
		workers: map[api.WorkerID]*prefixWorker{},
	}
}

// CacheEvent is a change of a worker's cache published by its engine.
type CacheEvent struct {
	Sequence uint64   `json:"sequence"` // a jump indicates a gap, a decrease a restart
	Stored   []uint64 `json:"stored,omitempty"`
	Removed  []uint64 `json:"removed,omitempty"`
}

// Apply applies a worker's events, which must be in order of sequence number.
func (x *PrefixIndex) Apply(now time.Time, worker api.WorkerID, events []CacheEvent) {
	state := x.worker(worker)
	for _, event := range events {
		x.checkSequence(now, state, event.Sequence)
		for _, hash := range event.Removed {
			x.remove(hash, state)
		}
		x.add(now, state, event.Stored)
	}
}

// checkSequence detects gaps and restarts before the event.
func (x *PrefixIndex) checkSequence(now time.Time, state *prefixWorker, sequence uint64) {
	switch {
	case sequence <= state.sequence:
		state.distrustBefore = now // the engine restarted with an empty cache
	case state.sequence > 0 && sequence > state.sequence+1:
		state.distrustBefore = maxTime(state.distrustBefore, now.Add(-x.settings.TTLAfterGap))
	}
	state.sequence = sequence
}

// Sequence returns the sequence number of the worker's last event, or 0.
func (x *PrefixIndex) Sequence(worker api.WorkerID) uint64 {
	if state, ok := x.workers[worker]; ok {
		return state.sequence
	}
	return 0
}

// RecordPrompt records that a prompt was sent to the worker, which then caches it.
func (x *PrefixIndex) RecordPrompt(now time.Time, worker api.WorkerID, prefix []uint64) {
	x.add(now, x.worker(worker), prefix)
}

// Remove removes a worker.
func (x *PrefixIndex) Remove(worker api.WorkerID) {
	if state, ok := x.workers[worker]; ok {
		state.removed = true
		delete(x.workers, worker)
	}
}

// Match looks up the leading blocks of a prompt at all workers and stores their number
// for each worker.
func (x *PrefixIndex) Match(now time.Time, prefix []uint64) {
	for _, state := range x.workers {
		state.matched = 0
	}
	for i, hash := range prefix {
		element, ok := x.blocks[hash]
		if !ok || !x.extendMatch(now, element.Value.(*prefixBlock), i) {
			return
		}
	}
}

// extendMatch counts the block for the workers that have all blocks before it. It
// reports whether there are any.
func (x *PrefixIndex) extendMatch(now time.Time, block *prefixBlock, position int) bool {
	oldest := now.Add(-x.settings.TTL)
	found := false
	for i := range block.holders {
		holder := &block.holders[i]
		if holder.worker.matched == position && !holder.worker.removed && holder.seen.After(oldest) && !holder.seen.Before(holder.worker.distrustBefore) {
			holder.worker.matched++
			found = true
		}
	}
	return found
}

// CachedBlocks returns the number of leading blocks at the worker, by the latest Match.
func (x *PrefixIndex) CachedBlocks(worker api.WorkerID) int {
	if state, ok := x.workers[worker]; ok {
		return state.matched
	}
	return 0
}

func (x *PrefixIndex) worker(id api.WorkerID) *prefixWorker {
	state, ok := x.workers[id]
	if !ok {
		state = &prefixWorker{}
		x.workers[id] = state
	}
	return state
}

func (x *PrefixIndex) add(now time.Time, worker *prefixWorker, hashes []uint64) {
	for _, hash := range hashes {
		element, ok := x.blocks[hash]
		if !ok {
			element = x.lru.PushFront(&prefixBlock{hash: hash})
			x.blocks[hash] = element
		}
		x.lru.MoveToFront(element)
		element.Value.(*prefixBlock).addHolder(worker, now)
	}
	for x.lru.Len() > x.settings.MaxBlocks {
		oldest := x.lru.Back()
		delete(x.blocks, oldest.Value.(*prefixBlock).hash)
		x.lru.Remove(oldest)
	}
}

func (b *prefixBlock) addHolder(worker *prefixWorker, now time.Time) {
	for i := range b.holders {
		if b.holders[i].worker == worker {
			b.holders[i].seen = now
			return
		}
	}
	b.holders = append(b.holders, holder{worker: worker, seen: now})
}

func (x *PrefixIndex) remove(hash uint64, worker *prefixWorker) {
	element, ok := x.blocks[hash]
	if !ok {
		return
	}
	block := element.Value.(*prefixBlock)
	for i := range block.holders {
		if block.holders[i].worker == worker {
			last := len(block.holders) - 1
			block.holders[i] = block.holders[last]
			block.holders = block.holders[:last]
			break
		}
	}
	if len(block.holders) == 0 {
		x.lru.Remove(element)
		delete(x.blocks, hash)
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Bounds of prompt hashing.
const (
	PrefixBlockBytes = 64  // size of a block of prompt text
	MaxPrefixBlocks  = 128 // maximum blocks hashed per prompt
)

// PrefixHashes returns the hashes of the prefixes of a prompt that end at block
// boundaries. An incomplete last block is ignored.
func PrefixHashes(prompt []byte) []uint64 {
	count := min(len(prompt)/PrefixBlockBytes, MaxPrefixBlocks)
	hashes := make([]uint64, count)
	digest := xxhash.New()
	for i := range hashes {
		_, _ = digest.Write(prompt[i*PrefixBlockBytes : (i+1)*PrefixBlockBytes])
		hashes[i] = digest.Sum64()
	}
	return hashes
}
