package engine

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	adapter "github.com/dykewing/dykewing/internal/engine"
	"github.com/dykewing/dykewing/internal/standin/engine/model"
)

// bytesPerToken is the assumed length of a prompt token.
const bytesPerToken = 4

// driver runs the model in real time. It is safe for concurrent use.
type driver struct {
	mutex   sync.Mutex
	engine  *model.Engine
	faults  *atomic.Pointer[Faults]
	runs    map[model.Handle]*run
	next    model.Handle
	stalled bool // a step ended while the Hang fault was set
}

// run is the state of an execution for the HTTP handlers, guarded by the driver's mutex.
type run struct {
	handle   model.Handle
	produced int
	rejected string
	dead     bool
	changed  chan struct{} // closed at the next change
}

func newDriver(settings model.Settings, faults *atomic.Pointer[Faults]) *driver {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &driver{engine: model.New(settings, random), faults: faults, runs: map[model.Handle]*run{}}
}

// start submits an execution. With resume, it continues after the tokens of a cancelled execution
// with the same ID.
func (s *driver) start(id string, body []byte, request chatRequest, resume bool) *run {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.next++
	started := &run{handle: s.next, changed: make(chan struct{})}
	s.runs[started.handle] = started
	if resume {
		started.produced = s.engine.Produced(id)
	}
	prompt := (len(request.Messages)+len(request.Prompt))/bytesPerToken + 1
	s.step(model.Submit{Request: model.Request{
		Handle: started.handle, ID: id, Priority: -request.Priority, Blocks: adapter.PromptPrefix(body),
		PromptTokens: prompt, OutputTokens: request.MaxTokens, Resume: resume,
	}})
	return started
}

func (s *driver) cancel(stopped *run) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, ok := s.runs[stopped.handle]; ok {
		delete(s.runs, stopped.handle)
		s.step(model.Cancel{Handle: stopped.handle})
	}
}

// step passes a message to the model and performs the resulting actions. The mutex must be held.
func (s *driver) step(message model.Message) []model.Action {
	actions := s.engine.Step(time.Now(), message)
	for _, action := range actions {
		switch action := action.(type) {
		case model.StartStep:
			time.AfterFunc(s.faults.Load().scale(action.Duration), s.stepDone)
		case model.Emit:
			for _, token := range action.Tokens {
				s.recordToken(token)
			}
		case model.Reject:
			if rejected, ok := s.runs[action.Handle]; ok {
				delete(s.runs, action.Handle)
				rejected.rejected = action.Reason
				rejected.notify()
			}
		}
	}
	return actions
}

func (s *driver) stepDone() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.faults.Load().Hang {
		s.stalled = true
		return
	}
	s.step(model.StepDone{})
}

func (s *driver) recordToken(token model.Token) {
	if found, ok := s.runs[token.Handle]; ok {
		found.produced = token.Index + 1
		if token.Last {
			delete(s.runs, token.Handle)
		}
		found.notify()
	}
}

func (r *run) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// applyFaults applies changed faults.
func (s *driver) applyFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.step(model.SetDraining{Draining: faults.Drain})
	if faults.Crash {
		for handle, lost := range s.runs {
			delete(s.runs, handle)
			lost.dead = true
			lost.notify()
			s.step(model.Cancel{Handle: handle})
		}
	}
	if s.stalled && !faults.Hang {
		s.stalled = false
		s.step(model.StepDone{})
	}
}

// waitResult is the result of a wait for tokens.
type waitResult int

const (
	waitTokens waitResult = iota
	waitRejected
	waitEngineDead
	waitCancelled // the client disconnected
)

// await waits until the run has generated the given number of tokens, fails, or ctx ends.
func (s *driver) await(ctx context.Context, waited *run, tokens int) waitResult {
	for {
		s.mutex.Lock()
		produced, rejected, dead, changed := waited.produced, waited.rejected, waited.dead, waited.changed
		s.mutex.Unlock()
		switch {
		case dead:
			return waitEngineDead
		case rejected != "":
			return waitRejected
		case produced >= tokens:
			return waitTokens
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return waitCancelled
		}
	}
}

func (s *driver) load() model.Load {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.engine.Load(time.Now())
}

func (s *driver) leaving() bool { return s.faults.Load().Drain }

func (s *driver) cacheEvents(after uint64) []model.CacheEvent {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.engine.CacheEvents(time.Now(), after)
}

func (s *driver) order(order model.Order) model.OrderResponse {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, action := range s.step(order) {
		if answer, ok := action.(model.OrderResponse); ok {
			return answer
		}
	}
	return model.OrderResponse{}
}
