// Package reservation grants worker slots to requests. The process that leads a group of
// workers tracks how many requests each frontend has at them: a frontend requests a slot
// before it dispatches a request, and reports its requests in flight with each message. A
// grant counts until a report of its frontend includes it. Requests for which no slot is
// free wait in a Queue.
//
// The package performs no I/O and reads no clock. Its types are not safe for concurrent
// use.
package reservation

import (
	"maps"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/waitorder"
	"github.com/dykewing/dykewing/worker"
)

// Path is the HTTP path for reports and slot requests. Only processes that lead a group
// serve it.
const Path = "/internal/v1/places"

// Report is the number of requests that a frontend has at the workers led by the receiver.
type Report struct {
	Node      api.NodeID     `json:"node"`
	Sequence  uint64         `json:"sequence"`       // increases with each report, also across restarts
	LastGrant uint64         `json:"seen,omitempty"` // latest grant included in this report
	InFlight  map[string]int `json:"held,omitempty"` // requests in flight by worker
	// Observations is what the frontend has observed of these workers since its last report, at
	// most reservation.MaxObservations entries.
	Observations []Observation `json:"heard,omitempty"`
	// StartedAt is the start time, by worker, of those that report one.
	StartedAt map[string]time.Time `json:"born,omitempty"`
}

// MaxObservations is the maximum number of worker observations in one report. It exceeds the
// number of workers that a frontend observes at one leader between two messages.
const MaxObservations = 64

// Observation is what a frontend has observed of one incarnation of a worker.
type Observation struct {
	Worker    string    `json:"worker"`
	StartedAt time.Time `json:"born,omitzero"` // start time of the worker, if reported
	// Pace is the pace last reported by the worker, PaceAge ago; 0 if none.
	Pace          float64       `json:"pace,omitempty"`
	PaceAge       time.Duration `json:"pace_age,omitempty"`
	Streams       int           `json:"streams,omitempty"` // number of streams that ended
	EventInterval time.Duration `json:"step,omitempty"`    // mean interval between their events
	worker.Outcomes
}

// Add counts n requests at a worker.
func (r *Report) Add(w worker.Incarnation, n int) {
	if r.InFlight == nil {
		r.InFlight = map[string]int{}
	}
	r.InFlight[w.ID] += n
	if w.StartedAt.IsZero() {
		return
	}
	if r.StartedAt == nil {
		r.StartedAt = map[string]time.Time{}
	}
	r.StartedAt[w.ID] = w.StartedAt
}

// Request is a request for a slot at a worker of a service.
type Request struct {
	Service  string        `json:"service"`
	Worker   string        `json:"worker"` // the frontend's choice
	Parts    []worker.Part `json:"parts,omitempty"`
	Tokens   int           `json:"tokens,omitempty"`
	Excluded []string      `json:"excluded,omitempty"`
	// Version is the only software version that may serve the request if HasVersion is set. A
	// process of an earlier build ignores it, so the frontend checks what it is granted.
	Version    string         `json:"version,omitempty"`
	HasVersion bool           `json:"has_version,omitempty"`
	Zone       string         `json:"zone,omitempty"` // of the frontend
	Rank       waitorder.Rank `json:"rank"`
	// TimeToTarget is the time left until the request must start to meet its target. It is
	// negative once that has passed.
	TimeToTarget time.Duration `json:"begin"`
	// TimeToDeadline is the time left until the request must start to be served at all. It is
	// negative once that has passed.
	TimeToDeadline time.Duration `json:"last"`
	Wait           time.Duration `json:"wait,omitempty"` // maximum time in the queue; 0 disables queueing
	// Returning reports that the caller was probably rejected before, judging by the time
	// it has left.
	Returning bool `json:"returned,omitempty"`
	// Requeued reports that this attempt has queued at a leader before.
	Requeued bool `json:"again,omitempty"`
	// HasAlternative reports that the frontend tries another leader if this one has no slot in
	// time, so that a rejection records no promise.
	HasAlternative bool `json:"elsewhere,omitempty"`
	// Promise is the time until the slot that the caller was told to return for. An
	// attempt that queues again keeps it.
	Promise *time.Duration `json:"promise,omitempty"`
}

// Message is a frontend's report with an optional request for a slot.
type Message struct {
	Report  Report   `json:"report"`
	Request *Request `json:"ask,omitempty"`
}

// Response is the reply to a Message that requests a slot. It grants a slot at a worker, or
// sets exactly one of the three flags that say why none was granted.
type Response struct {
	Worker string `json:"worker,omitempty"` // where the slot was granted
	Grant  uint64 `json:"grant,omitempty"`  // number of the grant
	// WarmingUp reports that the process became leader recently and has no slot counts yet.
	WarmingUp bool `json:"blind,omitempty"`
	// Full reports that no slot is free. Waiting is the length of the queue.
	Full    bool `json:"full,omitempty"`
	Waiting int  `json:"waiting,omitempty"`
	// ExpectedWait is the expected wait for a slot, set with Full; 0 if unknown.
	ExpectedWait time.Duration `json:"until,omitempty"`
	// Promise is the time until the slot promised to the request, set with Full.
	Promise *time.Duration `json:"promise,omitempty"`
	// NoSlotInTime reports that no slot is expected in time. The caller should retry after
	// RetryAfter.
	NoSlotInTime bool          `json:"hopeless,omitempty"`
	RetryAfter   time.Duration `json:"retry_after,omitempty"`
	// Paces is the machine part of the pace of some workers led by the process, estimated
	// from the observations of all frontends. Consecutive responses cover the workers
	// in turn. It may accompany any response.
	Paces map[string]float64 `json:"paces,omitempty"`
}

const (
	// reportTTL is how long a report remains valid: the requests of a failed frontend end
	// with it.
	reportTTL = 1500 * time.Millisecond
	// grantTTL is how long an unreported grant counts: either its response was lost or its
	// frontend failed.
	grantTTL = 500 * time.Millisecond
)

// Ledger counts the requests at each worker from reports and grants. The zero value is not
// usable; create one with New.
type Ledger struct {
	frontends map[api.NodeID]*frontend
	online    map[string]int // requests by worker
	ended     map[string]int // finished requests by worker, until they are read
	startedAt map[string]time.Time
	lastGrant uint64
	// changed holds the workers whose count may have changed, until they are read.
	changed map[string]bool
}

// frontend holds the counts of one frontend.
type frontend struct {
	reportedAt time.Time
	sequence   uint64
	held       map[string]int
	startedAt  map[string]time.Time // of the workers in held that report it
	pending    []pendingGrant       // grants not yet included in held
}

type pendingGrant struct {
	grant     uint64
	worker    string
	grantedAt time.Time
}

// New returns an empty value without reports and grants.
func New() *Ledger {
	return &Ledger{frontends: map[api.NodeID]*frontend{}, online: map[string]int{}, ended: map[string]int{}, startedAt: map[string]time.Time{}, changed: map[string]bool{}}
}

// TakeChanged returns the workers whose count may have changed since the last call.
func (b *Ledger) TakeChanged() map[string]bool {
	touched := b.changed
	b.changed = map[string]bool{}
	return touched
}

// TakeEnded returns the number of requests that ended at each worker since the last call,
// according to the reports.
func (b *Ledger) TakeEnded() map[string]int {
	ended := b.ended
	b.ended = map[string]int{}
	return ended
}

// RecordStart records the start time of a worker. Requests and grants of an earlier incarnation
// no longer count.
func (b *Ledger) RecordStart(w worker.Incarnation) {
	if !w.StartedAt.After(b.startedAt[w.ID]) {
		return
	}
	_, restarted := b.startedAt[w.ID]
	b.startedAt[w.ID] = w.StartedAt
	for _, f := range b.frontends {
		if b.isStale(f.startedAt, w.ID) {
			b.add(w.ID, -f.held[w.ID])
			delete(f.held, w.ID)
		}
		if restarted {
			b.removePending(f, func(g pendingGrant) bool { return g.worker == w.ID })
		}
	}
}

// isStale reports whether a start time in reported precedes the known start of the worker.
func (b *Ledger) isStale(reported map[string]time.Time, worker string) bool {
	at, ok := reported[worker]
	return ok && at.Before(b.startedAt[worker])
}

// InFlight returns the number of requests at a worker, including those that were granted a
// slot and have not been reported yet.
func (b *Ledger) InFlight(worker string) int { return b.online[worker] }

// Report replaces the counts of a frontend, unless a newer report was received before.
func (b *Ledger) Report(now time.Time, report Report) {
	f := b.frontends[report.Node]
	if f == nil {
		f = &frontend{}
		b.frontends[report.Node] = f
	}
	if report.Sequence <= f.sequence {
		return
	}
	held := maps.Clone(report.InFlight)
	maps.DeleteFunc(held, func(worker string, _ int) bool { return b.isStale(report.StartedAt, worker) })
	b.recordEnded(f, held, report.LastGrant)
	b.addAll(f.held, -1)
	b.addAll(held, 1)
	f.reportedAt, f.sequence, f.held, f.startedAt = now, report.Sequence, held, report.StartedAt
	b.removePending(f, func(g pendingGrant) bool { return g.grant <= report.LastGrant })
}

// recordEnded counts the requests that are missing from a frontend's new report.
func (b *Ledger) recordEnded(f *frontend, held map[string]int, seen uint64) {
	had := maps.Clone(f.held)
	if had == nil {
		had = map[string]int{}
	}
	for _, g := range f.pending {
		if g.grant <= seen {
			had[g.worker]++
		}
	}
	for worker, n := range had {
		if n > held[worker] {
			b.ended[worker] += n - held[worker]
		}
	}
}

// Grant records a grant to a frontend and returns its number.
func (b *Ledger) Grant(now time.Time, node api.NodeID, worker string) uint64 {
	f := b.frontends[node]
	if f == nil {
		f = &frontend{reportedAt: now}
		b.frontends[node] = f
	}
	b.lastGrant++
	b.changed[worker] = true
	f.pending = append(f.pending, pendingGrant{grant: b.lastGrant, worker: worker, grantedAt: now})
	b.online[worker]++
	return b.lastGrant
}

// Expire drops reports and grants that are older than their TTL.
func (b *Ledger) Expire(now time.Time) {
	for id, f := range b.frontends {
		b.removePending(f, func(g pendingGrant) bool { return now.Sub(g.grantedAt) > grantTTL })
		if now.Sub(f.reportedAt) > reportTTL {
			b.addAll(f.held, -1)
			f.held = nil
			if len(f.pending) == 0 {
				delete(b.frontends, id)
			}
		}
	}
}

func (b *Ledger) removePending(f *frontend, ended func(pendingGrant) bool) {
	kept := f.pending[:0]
	for _, g := range f.pending {
		if ended(g) {
			b.add(g.worker, -1)
			continue
		}
		kept = append(kept, g)
	}
	f.pending = kept
}

func (b *Ledger) addAll(held map[string]int, sign int) {
	for worker, n := range held {
		b.add(worker, sign*n)
	}
}

func (b *Ledger) add(worker string, n int) {
	b.changed[worker] = true
	b.online[worker] += n
	if b.online[worker] == 0 {
		delete(b.online, worker)
	}
}
