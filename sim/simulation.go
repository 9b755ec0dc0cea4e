// Package sim runs state machines on one seeded virtual clock with a network
// and disks that fail as told. Everything happens in one goroutine; the same
// seed gives the same trace, byte for byte.
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

// Epoch is the virtual time at which each simulation starts.
var Epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// Simulation is a virtual clock with its queue of events.
type Simulation struct {
	now     time.Time
	queue   eventQueue
	serial  uint64
	random  *rand.Rand
	trace   hash.Hash64
	writer  io.Writer // nil: only the hash is kept
	events  int
	stopped bool
}

type event struct {
	at     time.Time
	serial uint64 // orders events of the same time
	run    func()
}

// New starts a simulation; all its chance comes from the seed.
func New(seed uint64) *Simulation {
	return &Simulation{now: Epoch, random: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)), trace: fnv.New64a()}
}

// TraceTo also writes each trace line to w.
func (s *Simulation) TraceTo(w io.Writer) { s.writer = w }

// Now is the virtual time.
func (s *Simulation) Now() time.Time { return s.now }

// Elapsed is the virtual time since the start.
func (s *Simulation) Elapsed() time.Duration { return s.now.Sub(Epoch) }

// Random is the simulation's one source of chance.
func (s *Simulation) Random() *rand.Rand { return s.random }

// Fork gives a source of chance for one part, drawn from the simulation's.
func (s *Simulation) Fork() *rand.Rand {
	return rand.New(rand.NewPCG(s.random.Uint64(), s.random.Uint64()))
}

// After runs f once the delay has passed.
func (s *Simulation) After(delay time.Duration, f func()) {
	s.serial++
	heap.Push(&s.queue, &event{at: s.now.Add(max(delay, 0)), serial: s.serial, run: f})
}

// Tracef adds a line to the trace.
func (s *Simulation) Tracef(format string, arguments ...any) {
	line := fmt.Sprintf("%v ", s.Elapsed()) + fmt.Sprintf(format, arguments...) + "\n"
	_, _ = io.WriteString(s.trace, line)
	if s.writer != nil {
		_, _ = io.WriteString(s.writer, line)
	}
}

// Fingerprint is a hash of the trace so far.
func (s *Simulation) Fingerprint() string { return fmt.Sprintf("%016x", s.trace.Sum64()) }

// Events counts the events that ran.
func (s *Simulation) Events() int { return s.events }

// Stop ends Run after the present event.
func (s *Simulation) Stop() { s.stopped = true }

// Run runs events until the virtual time has moved on by duration, none is
// left, or Stop.
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
		return q[i].serial < q[j].serial
	}
	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push adds an event; for package heap.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(*event)) }

// Pop takes the last event; for package heap.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return last
}
