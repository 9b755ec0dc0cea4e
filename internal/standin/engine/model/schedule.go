package model

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// sequence is a running or waiting execution.
type sequence struct {
	request   Request
	arrival   uint64
	active    bool     // in the running batch
	counted   bool     // its start was counted
	produced  int      // output tokens so far
	prefilled int      // tokens of target that are computed or cached
	target    int      // prompt and output tokens to compute before the next one
	chunk     int      // prefill tokens in the current step
	shared    []uint64 // leading blocks in the prefix cache
	private   int      // other blocks
}

func (s *sequence) decoding() bool { return s.prefilled >= s.target }

func (s *sequence) context() int { return s.request.PromptTokens + s.produced }

// before orders sequences: higher priority first, then earlier arrival.
func (s *sequence) before(other *sequence) bool {
	if s.request.Priority != other.request.Priority {
		return s.request.Priority > other.request.Priority
	}
	return s.arrival < other.arrival
}

func insert(list []*sequence, added *sequence) []*sequence {
	at, _ := slices.BinarySearchFunc(list, added, func(a, b *sequence) int {
		if a.before(b) {
			return -1
		}
		return 1
	})
	return slices.Insert(list, at, added)
}

func remove(list []*sequence, removed *sequence) []*sequence {
	if at := slices.Index(list, removed); at >= 0 {
		return slices.Delete(list, at, at+1)
	}
	return list
}

// startStep fills the batch and starts a step if there is work.
func (e *Engine) startStep(now time.Time, actions []Action) []Action {
	e.admitWaiting()
	if len(e.running) == 0 {
		return actions
	}
	decoding, context := 0, 0
	for _, sequence := range e.running {
		if sequence.decoding() {
			decoding++
			context += sequence.context()
		}
	}
	prefill := e.planPrefill(e.settings.StepTokens - decoding)
	e.stepping = true
	e.stepStart = now
	return append(actions, StartStep{Duration: e.settings.StepTime(decoding, context, prefill)})
}

// planPrefill divides the step's token budget among prefilling sequences by priority. It returns
// the total.
func (e *Engine) planPrefill(budget int) int {
	total := 0
	for _, sequence := range e.running {
		if sequence.decoding() {
			continue
		}
		sequence.chunk = max(min(sequence.target-sequence.prefilled, budget-total), 0)
		total += sequence.chunk
	}
	return total
}

// admitWaiting moves waiting sequences into the batch, preempting running ones of lower priority.
func (e *Engine) admitWaiting() {
	for len(e.waiting) > 0 {
		next := e.waiting[0]
		if e.settings.IgnorePriority {
			next = slices.MinFunc(e.waiting, func(a, b *sequence) int { return int(a.arrival) - int(b.arrival) })
		}
		if !e.makeRoom(next) {
			break
		}
		e.waiting = remove(e.waiting, next)
		e.activate(next)
	}
	if len(e.waiting) > 0 && len(e.running) > 0 &&
		e.waiting[0].request.Priority > e.running[len(e.running)-1].request.Priority {
		e.statistics.WaitedBehind++
	}
}

// makeRoom preempts sequences of lower priority until next fits. It returns false if it does not.
func (e *Engine) makeRoom(next *sequence) bool {
	for len(e.running) >= e.settings.MaxSequences || !e.cache.canAllocate(e.requiredBlocks(next)) {
		if len(e.running) == 0 {
			return false
		}
		victim := e.running[len(e.running)-1]
		if e.settings.IgnorePriority || victim.request.Priority >= next.request.Priority {
			return false
		}
		e.preempt(victim)
	}
	return true
}

func (e *Engine) preempt(victim *sequence) {
	e.statistics.Preemptions++
	e.running = remove(e.running, victim)
	e.release(victim)
	e.waiting = insert(e.waiting, victim)
}

// requiredBlocks returns an upper bound of the blocks that a sequence needs on admission.
func (e *Engine) requiredBlocks(next *sequence) int { return e.blocksFor(next.context() + 1) }

func (e *Engine) blocksFor(tokens int) int {
	return (tokens + e.settings.BlockTokens - 1) / e.settings.BlockTokens
}

func (e *Engine) activate(next *sequence) {
	next.active = true
	next.shared = e.hashes(next)
	cached := e.cache.acquire(next.shared)
	next.private = max(e.requiredBlocks(next)-len(next.shared), 0)
	e.cache.reserve(next.private)
	next.target = next.context()
	// The last token is always computed, since the next one depends on it.
	next.prefilled = min(cached*e.settings.BlockTokens, next.target-1)
	e.running = insert(e.running, next)
	e.executions.started(next)
}

// hashes returns the hashes of a sequence's full blocks of prompt and output.
func (e *Engine) hashes(sequence *sequence) []uint64 {
	full := sequence.context() / e.settings.BlockTokens
	blocks := sequence.request.Blocks
	if full <= len(blocks) || sequence.produced == 0 {
		return blocks
	}
	hashes := slices.Clone(blocks)
	id := xxhash.Sum64String(sequence.request.ID)
	for i := len(blocks); i < full; i++ {
		hashes = append(hashes, id+uint64(i)*outputBlockStride)
	}
	return hashes
}

// outputBlockStride separates the hashes of an execution's output blocks.
const outputBlockStride = 0x9e3779b97f4a7c15

// release frees a sequence's blocks. Computed ones stay cached until evicted, including those of the
// output if the sequence has not ended.
func (e *Engine) release(sequence *sequence) {
	sequence.active = false
	sequence.chunk = 0
	computed := sequence.prefilled / e.settings.BlockTokens
	e.cache.release(sequence.shared, computed)
	e.cache.private -= sequence.private
	if sequence.produced > 0 && sequence.produced < sequence.request.OutputTokens {
		e.cache.insertComputed(e.hashes(sequence)[len(sequence.shared):])
	}
	sequence.shared, sequence.private = nil, 0
}

// finishStep emits the step's tokens and removes completed sequences.
func (e *Engine) finishStep(now time.Time) []Action {
	if !e.stepping {
		return nil
	}
	e.stepping = false
	e.statistics.Steps++
	e.statistics.BusyTime += now.Sub(e.stepStart)
	e.tokens = e.tokens[:0]
	for _, sequence := range slices.Clone(e.running) {
		if sequence.active {
			e.advance(now, sequence)
		}
	}
	if len(e.tokens) == 0 {
		return nil
	}
	return []Action{Emit{Tokens: e.tokens}}
}

func (e *Engine) advance(now time.Time, sequence *sequence) {
	if !sequence.decoding() {
		sequence.prefilled += sequence.chunk
		e.statistics.Prefilled += int64(sequence.chunk)
		sequence.chunk = 0
		if !sequence.decoding() {
			return
		}
		e.cache.markComputed(now, sequence.shared)
	}
	sequence.produced++
	sequence.target = sequence.context()
	sequence.prefilled = sequence.target
	e.statistics.Generated++
	last := sequence.produced >= sequence.request.OutputTokens
	e.tokens = append(e.tokens, Token{Handle: sequence.request.Handle, Index: sequence.produced - 1, Last: last})
	if last {
		e.statistics.Finished++
		e.drop(sequence)
		e.executions.finished(now, sequence.request.ID, sequence.produced, true)
		return
	}
	e.grow(sequence)
}

// grow allocates a block when the sequence's context needs it. If none is free, the last sequence of
// the batch is preempted.
func (e *Engine) grow(sequence *sequence) {
	for e.requiredBlocks(sequence) > len(sequence.shared)+sequence.private {
		if e.cache.canAllocate(1) {
			sequence.private++
			e.cache.reserve(1)
			continue
		}
		victim := e.running[len(e.running)-1]
		e.preempt(victim)
		if victim == sequence {
			return
		}
	}
}
