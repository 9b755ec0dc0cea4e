// Package reservation keeps what frontends hold at the workers that one process fills
// with batch, so that each request gets a slot that is free: a frontend asks that
// process for a place before it sends a request, and tells it what it holds with each
// message. A place that was given counts until a report of its frontend shows it.
// Requests for which there is no slot wait in a Queue.
//
// The machines have no clock, input or output.
package reservation

import (
	"maps"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/hold"
	"github.com/dykewing/dykewing/worker"
)

// Path takes a Message and answers an Answer; only processes that lead a group serve
// it.
const Path = "/internal/v1/places"

// Report is what a frontend holds at the workers that the asked process fills.
type Report struct {
	Node     api.NodeID     `json:"node"`
	Sequence uint64         `json:"sequence"`       // grows with each report, also over restarts
	Seen     uint64         `json:"seen,omitempty"` // the newest grant that Held counts
	Held     map[string]int `json:"held,omitempty"` // requests, by worker
	// Heard is what the frontend heard of workers there since its last report; of at most
	// MaximumWords.
	Heard []Word `json:"heard,omitempty"`
	// Born is when the workers of Held started, of those that tell it.
	Born map[string]time.Time `json:"born,omitempty"`
}

// MaximumWords of one report: more workers than a frontend hears of at one leader between
// two of its messages.
const MaximumWords = 64

// Word is what a frontend heard of one start of a worker.
type Word struct {
	Worker string    `json:"worker"`
	Born   time.Time `json:"born,omitzero"` // when it started, where it tells it
	// Pace that it told last, so long ago; 0: none.
	Pace    float64       `json:"pace,omitempty"`
	PaceAge time.Duration `json:"pace_age,omitempty"`
	// Streams that ended there, and the mean time between two of their events.
	Streams int           `json:"streams,omitempty"`
	Step    time.Duration `json:"step,omitempty"`
	worker.Outcomes
}

// Add counts n requests at a worker.
func (r *Report) Add(w worker.Incarnation, n int) {
	if r.Held == nil {
		r.Held = map[string]int{}
	}
	r.Held[w.ID] += n
	if w.Born.IsZero() {
		return
	}
	if r.Born == nil {
		r.Born = map[string]time.Time{}
	}
	r.Born[w.ID] = w.Born
}

// Ask asks for a place at a worker of a service.
type Ask struct {
	Service  string        `json:"service"`
	Worker   string        `json:"worker"` // that the frontend would choose
	Parts    []worker.Part `json:"parts,omitempty"`
	Tokens   int           `json:"tokens,omitempty"`
	Excluded []string      `json:"excluded,omitempty"`
	Zone     string        `json:"zone,omitempty"` // of the frontend
	Rank     hold.Rank     `json:"rank"`
	// Begin and Last are until when it must begin, to be in time and at all; they
	// may have passed.
	Begin time.Duration `json:"begin"`
	Last  time.Duration `json:"last"`
	// Wait is how long it waits for a place; 0: not at all.
	Wait time.Duration `json:"wait,omitempty"`
	// Returned: its caller was turned away before, as far as the time it has left
	// tells. Again: this attempt has waited here or at another leader before.
	Returned bool `json:"returned,omitempty"`
	Again    bool `json:"again,omitempty"`
	// Elsewhere: another leader is asked if this one has no place in time, so that it
	// promises none for a return.
	Elsewhere bool `json:"elsewhere,omitempty"`
	// Promise is the time until the slot that it was told to return for; it stays with
	// an attempt that asks again.
	Promise *time.Duration `json:"promise,omitempty"`
}

// Message is what a frontend sends: a report, and a question or none.
type Message struct {
	Report Report `json:"report"`
	Ask    *Ask   `json:"ask,omitempty"`
}

// Answer to a Message with an Ask; exactly one of Worker, Blind, Full and Hopeless is
// set.
type Answer struct {
	Worker string `json:"worker,omitempty"` // the place
	Grant  uint64 `json:"grant,omitempty"`  // number of the place
	// Blind: the process has only begun to lead and knows of no place yet.
	Blind bool `json:"blind,omitempty"`
	// Full: there is no slot; Waiting requests wait for one.
	Full    bool `json:"full,omitempty"`
	Waiting int  `json:"waiting,omitempty"`
	// Until is when this request would have a slot there, with Full; 0: not known.
	Until time.Duration `json:"until,omitempty"`
	// Promise is as in Ask.
	Promise *time.Duration `json:"promise,omitempty"`
	// Hopeless: there will be no slot in time; the request is best sent again after
	// RetryAfter.
	Hopeless   bool          `json:"hopeless,omitempty"`
	RetryAfter time.Duration `json:"retry_after,omitempty"`
	// Paces of some of the workers that the process fills, in turn: the part that is
	// their machines', as all frontends' words tell it. It comes beside the others.
	Paces map[string]float64 `json:"paces,omitempty"`
}

const (
	// reportLife is how long a report is believed: a frontend that is lost takes its
	// requests with it.
	reportLife = 1500 * time.Millisecond
	// grantLife is how long a place counts of which no report tells: its answer was
	// lost, or its frontend.
	grantLife = 500 * time.Millisecond
)

// Book is what is held at workers. The zero value is not usable; make it with New.
type Book struct {
	nodes  map[api.NodeID]*holder
	online map[string]int // by worker
	ended  map[string]int // by worker, since it was last asked for
	born   map[string]time.Time
	grants uint64
	// touched are the workers of which something was told since it was last asked for.
	touched map[string]bool
}

// holder is one frontend.
type holder struct {
	at       time.Time
	sequence uint64
	held     map[string]int
	born     map[string]time.Time // of the workers of held that tell it
	given    []given              // not yet in held
}

type given struct {
	grant  uint64
	worker string
	at     time.Time
}

// New gives an empty book.
func New() *Book {
	return &Book{nodes: map[api.NodeID]*holder{}, online: map[string]int{}, ended: map[string]int{}, born: map[string]time.Time{}, touched: map[string]bool{}}
}

// Touched gives the workers where what is held may have changed since it was last called.
func (b *Book) Touched() map[string]bool {
	touched := b.touched
	b.touched = map[string]bool{}
	return touched
}

// Ended gives how many requests ended at each worker since it was last called, as far
// as reports show.
func (b *Book) Ended() map[string]int {
	ended := b.ended
	b.ended = map[string]int{}
	return ended
}

// Began notes when a worker started: what was held there by an earlier start is held no
// more.
func (b *Book) Began(w worker.Incarnation) {
	if !w.Born.After(b.born[w.ID]) {
		return
	}
	_, restarted := b.born[w.ID]
	b.born[w.ID] = w.Born
	for _, h := range b.nodes {
		if b.outlived(h.born, w.ID) {
			b.add(w.ID, -h.held[w.ID])
			delete(h.held, w.ID)
		}
		if restarted {
			b.drop(h, func(g given) bool { return g.worker == w.ID })
		}
	}
}

// outlived tells whether what is told of a worker is of an earlier start than the known
// one.
func (b *Book) outlived(told map[string]time.Time, worker string) bool {
	at, ok := told[worker]
	return ok && at.Before(b.born[worker])
}

// Online is how many requests are at a worker, or on their way to it.
func (b *Book) Online(worker string) int { return b.online[worker] }

// Report takes what a frontend holds, unless a newer report of it has been taken.
func (b *Book) Report(now time.Time, report Report) {
	h := b.nodes[report.Node]
	if h == nil {
		h = &holder{}
		b.nodes[report.Node] = h
	}
	if report.Sequence <= h.sequence {
		return
	}
	held := maps.Clone(report.Held)
	maps.DeleteFunc(held, func(worker string, _ int) bool { return b.outlived(report.Born, worker) })
	b.end(h, held, report.Seen)
	b.count(h.held, -1)
	b.count(held, 1)
	h.at, h.sequence, h.held, h.born = now, report.Sequence, held, report.Born
	b.drop(h, func(g given) bool { return g.grant <= report.Seen })
}

// end counts those of a frontend that a new report shows no more.
func (b *Book) end(h *holder, held map[string]int, seen uint64) {
	had := maps.Clone(h.held)
	if had == nil {
		had = map[string]int{}
	}
	for _, g := range h.given {
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

// Give notes a place for a frontend and gives its number.
func (b *Book) Give(now time.Time, node api.NodeID, worker string) uint64 {
	h := b.nodes[node]
	if h == nil {
		h = &holder{at: now}
		b.nodes[node] = h
	}
	b.grants++
	b.touched[worker] = true
	h.given = append(h.given, given{grant: b.grants, worker: worker, at: now})
	b.online[worker]++
	return b.grants
}

// Expire forgets what is not believed any more.
func (b *Book) Expire(now time.Time) {
	for id, h := range b.nodes {
		b.drop(h, func(g given) bool { return now.Sub(g.at) > grantLife })
		if now.Sub(h.at) > reportLife {
			b.count(h.held, -1)
			h.held = nil
			if len(h.given) == 0 {
				delete(b.nodes, id)
			}
		}
	}
}

func (b *Book) drop(h *holder, ended func(given) bool) {
	kept := h.given[:0]
	for _, g := range h.given {
		if ended(g) {
			b.add(g.worker, -1)
			continue
		}
		kept = append(kept, g)
	}
	h.given = kept
}

func (b *Book) count(held map[string]int, sign int) {
	for worker, n := range held {
		b.add(worker, sign*n)
	}
}

func (b *Book) add(worker string, n int) {
	b.touched[worker] = true
	b.online[worker] += n
	if b.online[worker] == 0 {
		delete(b.online, worker)
	}
}
