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

// bytesPerToken is how much prompt text counts as a token.
const bytesPerToken = 4

// shell runs the model in real time.
type shell struct {
	mutex   sync.Mutex
	engine  *model.Engine
	faults  *atomic.Pointer[Faults]
	runs    map[model.Handle]*run
	next    model.Handle
	stalled bool // a step has ended while the engine hangs
}

// run is an execution as the HTTP side sees it; its fields are the shell's.
type run struct {
	handle   model.Handle
	produced int
	rejected string
	dead     bool
	changed  chan struct{} // closed at the next change
}

func newShell(settings model.Settings, faults *atomic.Pointer[Faults]) *shell {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &shell{engine: model.New(settings, random), faults: faults, runs: map[model.Handle]*run{}}
}

// start submits an execution; resume goes on where a cancelled one of the id
// was.
func (s *shell) start(id string, body []byte, request chatRequest, resume bool) *run {
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

func (s *shell) cancel(stopped *run) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, ok := s.runs[stopped.handle]; ok {
		delete(s.runs, stopped.handle)
		s.step(model.Cancel{Handle: stopped.handle})
	}
}

// step runs with the mutex held.
func (s *shell) step(message model.Message) []model.Action {
	actions := s.engine.Step(time.Now(), message)
	for _, action := range actions {
		switch action := action.(type) {
		case model.StartStep:
			time.AfterFunc(s.faults.Load().slowed(action.Duration), s.stepDone)
		case model.Emit:
			for _, token := range action.Tokens {
				s.produced(token)
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

func (s *shell) stepDone() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.faults.Load().Hang {
		s.stalled = true
		return
	}
	s.step(model.StepDone{})
}

func (s *shell) produced(token model.Token) {
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

// apply brings new faults into force.
func (s *shell) apply(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.step(model.Leave{Leaving: faults.Leave})
	if faults.Die {
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

// awaited is how a wait ended.
type awaited int

const (
	awaitedTokens awaited = iota
	awaitedRejection
	awaitedDeath
	awaitedNothing // the client is gone
)

// await waits until the run has made so many tokens.
func (s *shell) await(ctx context.Context, waited *run, tokens int) awaited {
	for {
		s.mutex.Lock()
		produced, rejected, dead, changed := waited.produced, waited.rejected, waited.dead, waited.changed
		s.mutex.Unlock()
		switch {
		case dead:
			return awaitedDeath
		case rejected != "":
			return awaitedRejection
		case produced >= tokens:
			return awaitedTokens
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return awaitedNothing
		}
	}
}

func (s *shell) load() model.Load {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.engine.Load(time.Now())
}

func (s *shell) leaving() bool { return s.faults.Load().Leave }

func (s *shell) cacheEvents(after uint64) []model.CacheEvent {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.engine.CacheEvents(time.Now(), after)
}

func (s *shell) order(order model.Order) model.Answered {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, action := range s.step(order) {
		if answer, ok := action.(model.Answered); ok {
			return answer
		}
	}
	return model.Answered{}
}
