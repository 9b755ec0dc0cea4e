// Package sim runs state machines on a seeded virtual clock, with a network and disks
// into which faults can be injected. A simulation runs in a single goroutine; the same
// seed yields the same trace, byte for byte.
package sim

import (
	"container/heap"
	"fmt"
	"hash"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"time"
)

// Epoch is the virtual time at which every simulation starts.
var Epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// Simulation is a virtual clock with an event queue.
type Simulation struct {
	now          time.Time
	queue        eventQueue
	lastSequence uint64
	random       *rand.Rand
	trace        hash.Hash64
	writer       io.Writer // optional; see TraceTo
	events       int
	stopped      bool
}

type event struct {
	at       time.Time
	sequence uint64 // breaks ties between events of the same time
	run      func()
}

// New returns a simulation whose randomness is derived from the seed alone.
func New(seed uint64) *Simulation {
	return &Simulation{now: Epoch, random: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)), trace: fnv.New64a()}
}

// TraceTo also writes each trace line to w.
func (s *Simulation) TraceTo(w io.Writer) { s.writer = w }

// Now returns the virtual time.
func (s *Simulation) Now() time.Time { return s.now }

// Elapsed returns the virtual time since Epoch.
func (s *Simulation) Elapsed() time.Duration { return s.now.Sub(Epoch) }

// Random returns the simulation's random source.
func (s *Simulation) Random() *rand.Rand { return s.random }

// ForkRandom returns a new random source that is seeded from the simulation's.
func (s *Simulation) ForkRandom() *rand.Rand {
	return rand.New(rand.NewPCG(s.random.Uint64(), s.random.Uint64()))
}

// After schedules f to run after the delay.
func (s *Simulation) After(delay time.Duration, f func()) {
	s.lastSequence++
	heap.Push(&s.queue, &event{at: s.now.Add(max(delay, 0)), sequence: s.lastSequence, run: f})
}

// Tracef adds a line to the trace.
func (s *Simulation) Tracef(format string, arguments ...any) {
	line := fmt.Sprintf("%v ", s.Elapsed()) + fmt.Sprintf(format, arguments...) + "\n"
	_, _ = io.WriteString(s.trace, line)
	if s.writer != nil {
		_, _ = io.WriteString(s.writer, line)
	}
}

// Fingerprint returns a hash of the trace so far.
func (s *Simulation) Fingerprint() string { return fmt.Sprintf("%016x", s.trace.Sum64()) }

// Events returns the number of events that have run.
func (s *Simulation) Events() int { return s.events }

// Stop makes Run return after the current event.
func (s *Simulation) Stop() { s.stopped = true }

// Run runs events until the virtual time has advanced by duration, the queue is empty or
// Stop is called. Unless stopped, the virtual time then has advanced by duration.
func (s *Simulation) Run(duration time.Duration) {
	end := s.now.Add(duration)
	s.stopped = false
	for len(s.queue) > 0 && !s.stopped && !s.queue[0].at.After(end) {
		next := heap.Pop(&s.queue).(*event)
		s.now = next.at
		s.events++
		next.run()
	}
	if !s.stopped && s.now.Before(end) {
		s.now = end
	}
}

type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].sequence < q[j].sequence
	}
	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(*event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return last
}
