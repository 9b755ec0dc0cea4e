package routing

import (
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dykewing/dykewing/api"
)

// PrefixSettings bound a PrefixIndex.
type PrefixSettings struct {
	MaximumBlocks int           // hashes kept; the least recently seen go first
	Lifetime      time.Duration // a block not seen for longer counts as evicted
	// GapTrust is what is left of Lifetime at a worker whose events had a gap:
	// its evictions may have been missed, and the blocks seen last go last.
	GapTrust time.Duration
}

// DefaultPrefixSettings take some ten megabytes when full.
func DefaultPrefixSettings() PrefixSettings {
	return PrefixSettings{MaximumBlocks: 65536, Lifetime: time.Minute, GapTrust: 10 * time.Second}
}

// PrefixIndex keeps which workers are thought to hold which prompt blocks in
// their cache, from their events and from what was sent to them. It is a hint:
// events come late and with gaps.
type PrefixIndex struct {
	settings PrefixSettings
	blocks   map[uint64]*list.Element
	recent   *list.List // of *prefixBlock, the last seen in front
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

// prefixWorker is what is known of a worker's events.
type prefixWorker struct {
	sequence uint64    // of the last event
	distrust time.Time // blocks seen before count as evicted
	gone     bool      // its blocks count for nothing
	blocks   int       // leading blocks of the prompt that Match looks for
}

// NewPrefixIndex starts with nothing known.
func NewPrefixIndex(settings PrefixSettings) *PrefixIndex {
	return &PrefixIndex{
		settings: settings, blocks: map[uint64]*list.Element{}, recent: list.New(),
		workers: map[api.WorkerID]*prefixWorker{},
	}
}

// CacheEvent is a change of a worker's cache, as its engine publishes it.
type CacheEvent struct {
	Sequence uint64   `json:"sequence"` // a jump is a gap; a fall is a restart
	Stored   []uint64 `json:"stored,omitempty"`
	Removed  []uint64 `json:"removed,omitempty"`
}

// Apply takes a worker's events in the order of their sequence numbers.
func (x *PrefixIndex) Apply(now time.Time, worker api.WorkerID, events []CacheEvent) {
	state := x.worker(worker)
	for _, event := range events {
		x.follow(now, state, event.Sequence)
		for _, hash := range event.Removed {
			x.remove(hash, state)
		}
		x.add(now, state, event.Stored)
	}
}

// follow checks that no event is missing before this one.
func (x *PrefixIndex) follow(now time.Time, state *prefixWorker, sequence uint64) {
	switch {
	case sequence <= state.sequence:
		state.distrust = now // the engine began again with an empty cache
	case state.sequence > 0 && sequence > state.sequence+1:
		state.distrust = later(state.distrust, now.Add(-x.settings.GapTrust))
	}
	state.sequence = sequence
}

// Sequence is that of the worker's last event.
func (x *PrefixIndex) Sequence(worker api.WorkerID) uint64 {
	if state, ok := x.workers[worker]; ok {
		return state.sequence
	}
	return 0
}

// Sent notes that the worker computes the prompt and then has it cached.
func (x *PrefixIndex) Sent(now time.Time, worker api.WorkerID, prefix []uint64) {
	x.add(now, x.worker(worker), prefix)
}

// Forget drops all that is known of a worker.
func (x *PrefixIndex) Forget(worker api.WorkerID) {
	if state, ok := x.workers[worker]; ok {
		state.gone = true
		delete(x.workers, worker)
	}
}

// Match finds the leading blocks of the prompt at all workers; Cached then
// tells them for each.
func (x *PrefixIndex) Match(now time.Time, prefix []uint64) {
	for _, state := range x.workers {
		state.blocks = 0
	}
	for i, hash := range prefix {
		element, ok := x.blocks[hash]
		if !ok || !x.extend(now, element.Value.(*prefixBlock), i) {
			return
		}
	}
}

// extend counts the block for the workers that have all blocks before it.
func (x *PrefixIndex) extend(now time.Time, block *prefixBlock, position int) bool {
	oldest := now.Add(-x.settings.Lifetime)
	found := false
	for i := range block.holders {
		holder := &block.holders[i]
		if holder.worker.blocks == position && !holder.worker.gone && holder.seen.After(oldest) && !holder.seen.Before(holder.worker.distrust) {
			holder.worker.blocks++
			found = true
		}
	}
	return found
}

// Cached is how many leading blocks the worker has, by the last Match.
func (x *PrefixIndex) Cached(worker api.WorkerID) int {
	if state, ok := x.workers[worker]; ok {
		return state.blocks
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
			element = x.recent.PushFront(&prefixBlock{hash: hash})
			x.blocks[hash] = element
		}
		x.recent.MoveToFront(element)
		element.Value.(*prefixBlock).hold(worker, now)
	}
	for x.recent.Len() > x.settings.MaximumBlocks {
		oldest := x.recent.Back()
		delete(x.blocks, oldest.Value.(*prefixBlock).hash)
		x.recent.Remove(oldest)
	}
}

func (b *prefixBlock) hold(worker *prefixWorker, now time.Time) {
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
		x.recent.Remove(element)
		delete(x.blocks, hash)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Bounds of the work that hashing a prompt takes.
const (
	PrefixBlockBytes    = 64  // of prompt text in a block
	MaximumPrefixBlocks = 128 // more of a prompt is not looked at
)

// PrefixHashes gives the hashes of the growing prefixes of a prompt, block by
// block; what does not fill a block is left out.
func PrefixHashes(prompt []byte) []uint64 {
	count := min(len(prompt)/PrefixBlockBytes, MaximumPrefixBlocks)
	hashes := make([]uint64, count)
	digest := xxhash.New()
	for i := range hashes {
		_, _ = digest.Write(prompt[i*PrefixBlockBytes : (i+1)*PrefixBlockBytes])
		hashes[i] = digest.Sum64()
	}
	return hashes
}
