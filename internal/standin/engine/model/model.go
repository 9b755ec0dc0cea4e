// Package model is a model engine as a pure state machine: continuous batching
// whose step time grows with the batch and its context, chunked prefill, a
// limited prefix cache, priorities, cancellation, lagging load reports, cache
// events that come late and with gaps, and fenced orders to load a version.
// The simulator runs it on virtual time, the HTTP stand-in in real time.
package model

import (
	"math/rand/v2"
	"time"
)

// Handle names one execution in the engine; the shell gives it and never
// uses it twice.
type Handle uint64

// Request is what the engine must know of a request to run it.
type Request struct {
	Handle   Handle
	ID       string
	Priority int // higher goes first
	// Blocks are hashes of the growing prefixes of the prompt, one for each
	// full block of Settings.BlockTokens tokens.
	Blocks       []uint64
	PromptTokens int
	OutputTokens int
	// Resume goes on after the output tokens that a cancelled execution of the
	// same id has made, while the engine remembers it.
	Resume bool
}

// Message is what an Engine is stepped with.
type Message interface{ engineMessage() }

// Submit asks for a request to be run.
type Submit struct{ Request Request }

// Cancel stops an execution wherever it is; an unknown one is ignored.
type Cancel struct{ Handle Handle }

// StepDone says that the running step's time has passed.
type StepDone struct{}

// Leave makes the engine refuse new work and finish what it has.
type Leave struct{ Leaving bool }

// Order tells the engine to load a version. An epoch that is not newer than
// the last one is refused, so that a late order never undoes a newer one.
type Order struct {
	Epoch   uint64
	Version string
}

func (Submit) engineMessage()   {}
func (Cancel) engineMessage()   {}
func (StepDone) engineMessage() {}
func (Leave) engineMessage()    {}
func (Order) engineMessage()    {}

// Action is what an Engine asks for.
type Action interface{ engineAction() }

// StartStep asks for a StepDone after the duration.
type StartStep struct{ Duration time.Duration }

// Emit gives the tokens that a step made.
type Emit struct{ Tokens []Token }

// Token is one output token of an execution.
type Token struct {
	Handle Handle
	Index  int // from 0
	Last   bool
}

// Reject ends a request that has not run.
type Reject struct {
	Handle Handle
	Reason string
}

// Answered tells whether an order was obeyed.
type Answered struct {
	Accepted bool
	Epoch    uint64 // newest that the engine has obeyed
}

func (StartStep) engineAction() {}
func (Emit) engineAction()      {}
func (Reject) engineAction()    {}
func (Answered) engineAction()  {}

// Engine is the state machine of one engine.
type Engine struct {
	settings   Settings
	cache      *cache
	waiting    []*sequence // by priority, then arrival
	running    []*sequence // by priority, then arrival
	byHandle   map[Handle]*sequence
	arrivals   uint64
	stepping   bool
	stepStart  time.Time
	leaving    bool
	epoch      uint64
	version    string
	reports    reports
	executions *executions
	statistics Statistics
	tokens     []Token // reused from step to step
}

// Statistics count since the start.
type Statistics struct {
	Busy         time.Duration // time in steps
	Steps        int64
	Prefilled    int64 // prompt tokens that were not in the cache
	Generated    int64
	Preemptions  int64
	Cancelled    int64
	Finished     int64
	Rejected     int64
	WaitedBehind int64 // steps in which a request waited while a lower priority ran
}

// New makes an idle engine; random draws the gaps of cache events.
func New(settings Settings, random *rand.Rand) *Engine {
	return &Engine{
		settings: settings, cache: newCache(settings, random),
		byHandle: map[Handle]*sequence{}, executions: newExecutions(settings.Retention),
	}
}

// Step takes one message. The actions are valid until the next step.
func (e *Engine) Step(now time.Time, message Message) []Action {
	var actions []Action
	switch message := message.(type) {
	case Submit:
		actions = e.submit(now, message.Request)
	case Cancel:
		e.cancel(now, message.Handle)
	case StepDone:
		actions = e.finishStep(now)
	case Leave:
		e.leaving = message.Leaving
	case Order:
		actions = e.order(now, message)
	}
	if !e.stepping {
		actions = e.startStep(now, actions)
	}
	e.reports.record(now, e.load(), e.settings.ReportLag)
	return actions
}

func (e *Engine) submit(now time.Time, request Request) []Action {
	if reason := e.refusal(request); reason != "" {
		e.statistics.Rejected++
		return []Action{Reject{Handle: request.Handle, Reason: reason}}
	}
	e.arrivals++
	sequence := &sequence{request: request, arrival: e.arrivals}
	if request.Resume {
		sequence.produced, sequence.counted = e.executions.resume(request.ID)
		sequence.produced = min(sequence.produced, request.OutputTokens-1)
	}
	e.byHandle[request.Handle] = sequence
	e.waiting = insert(e.waiting, sequence)
	e.executions.submitted(now, request.ID)
	return nil
}

func (e *Engine) refusal(request Request) string {
	switch {
	case e.leaving:
		return ReasonLeaving
	case len(e.waiting) >= e.settings.MaximumWaiting:
		return ReasonQueueFull
	case e.blocksOf(request.PromptTokens+request.OutputTokens) > e.settings.CacheBlocks:
		return ReasonTooLong
	}
	return ""
}

// The reasons of a Reject.
const (
	ReasonLeaving   = "leaving"
	ReasonQueueFull = "queue full"
	ReasonTooLong   = "context too long"
)

func (e *Engine) cancel(now time.Time, handle Handle) {
	sequence, ok := e.byHandle[handle]
	if !ok {
		return
	}
	e.statistics.Cancelled++
	e.drop(sequence)
	e.executions.finished(now, sequence.request.ID, sequence.produced, false)
}

// drop forgets a sequence and frees what it holds.
func (e *Engine) drop(sequence *sequence) {
	delete(e.byHandle, sequence.request.Handle)
	if sequence.active {
		e.running = remove(e.running, sequence)
		e.release(sequence)
		return
	}
	e.waiting = remove(e.waiting, sequence)
}

func (e *Engine) order(_ time.Time, order Order) []Action {
	if order.Epoch <= e.epoch {
		return []Action{Answered{Epoch: e.epoch}}
	}
	e.epoch, e.version = order.Epoch, order.Version
	return []Action{Answered{Accepted: true, Epoch: e.epoch}}
}

// Statistics gives the counts so far.
func (e *Engine) Statistics() Statistics { return e.statistics }

// Version is the loaded version and the epoch of its order.
func (e *Engine) Version() (string, uint64) { return e.version, e.epoch }

// InFlight counts the sequences that run or wait.
func (e *Engine) InFlight() int { return len(e.byHandle) }

// Produced is how many output tokens executions of a request id have made, as
// far as the engine remembers it.
func (e *Engine) Produced(id string) int {
	produced, _ := e.executions.resume(id)
	return produced
}

// Executions tells how often each recent request id was started.
func (e *Engine) Executions() map[string]int { return e.executions.counts() }
