package experiment

import (
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/standin/engine/model"
)

// engineProcess drives an engine model with the simulation's clock.
type engineProcess struct {
	fleet       *fleet
	worker      api.Worker
	engine      *model.Engine
	incarnation int // incremented on each crash, so that pending steps are dropped
	dead        bool
	executions  map[model.Handle]*execution
	next        model.Handle
	busyEarlier time.Duration // busy time of earlier incarnations

	busyAtWarmup      time.Duration
	prefilledAtWarmup int64
}

// execution is one run of a request on an engine.
type execution struct {
	handle  model.Handle
	work    Work
	online  bool
	request api.RequestID
	last    time.Time // time of the last token
	resume  bool      // continues a cancelled execution
	stopped bool      // cancelled by the router
	onToken func(index int, last bool)
	onBreak func()
}

func newEngineProcess(f *fleet, worker api.Worker) *engineProcess {
	process := &engineProcess{fleet: f, worker: worker, executions: map[model.Handle]*execution{}}
	process.engine = model.New(f.engineSettings(worker.Service), f.random)
	return process
}

// engineSettings returns the engine's settings; for applications, those of an
// engine that completes a request in one step of ApplicationTime.
func (f *fleet) engineSettings(name api.ServiceName) model.Settings {
	for _, service := range f.scenario.Services {
		if service.ApplicationTime > 0 && (service.Name == name || splitService(service.Name) == name) {
			settings := f.scenario.Engine
			settings.StepBase = service.ApplicationTime
			settings.StepSequence, settings.StepContext, settings.StepPrefill = 0, 0, 0
			return settings
		}
	}
	return f.scenario.Engine
}

// submit starts an execution; it returns false if the process is down.
func (p *engineProcess) submit(execution *execution, priority int) bool {
	if p.dead {
		return false
	}
	p.next++
	execution.handle = p.next
	p.executions[p.next] = execution
	p.step(model.Submit{Request: model.Request{
		Handle: p.next, ID: string(execution.request), Priority: priority, Blocks: execution.work.Blocks,
		PromptTokens: execution.work.PromptTokens, OutputTokens: execution.work.OutputTokens, Resume: execution.resume,
	}})
	return true
}

func (p *engineProcess) cancel(execution *execution) {
	if p.executions[execution.handle] == execution {
		delete(p.executions, execution.handle)
		p.step(model.Cancel{Handle: execution.handle})
	}
}

func (p *engineProcess) step(message model.Message) {
	for _, action := range p.engine.Step(p.fleet.simulation.Now(), message) {
		switch action := action.(type) {
		case model.StartStep:
			incarnation := p.incarnation
			p.fleet.simulation.After(action.Duration, func() {
				if p.incarnation == incarnation {
					p.step(model.StepDone{})
				}
			})
		case model.Emit:
			p.emit(action.Tokens)
		case model.Reject:
			execution := p.executions[action.Handle]
			delete(p.executions, action.Handle)
			p.fleet.simulation.After(0, execution.onBreak)
		}
	}
}

func (p *engineProcess) emit(tokens []model.Token) {
	now := p.fleet.simulation.Now()
	for _, token := range tokens {
		execution, ok := p.executions[token.Handle]
		if !ok {
			continue
		}
		if execution.online && !execution.last.IsZero() {
			p.fleet.measure.between(execution.work.Service, now, now.Sub(execution.last))
		}
		execution.last = now
		if token.Last {
			delete(p.executions, token.Handle)
		}
		if token.Last || token.Index == 0 {
			execution.onToken(token.Index, token.Last)
		}
	}
}

// die crashes the process and fails all executions in flight, in order of
// submission.
func (p *engineProcess) crash() {
	p.dead = true
	p.incarnation++
	broken := p.executions
	p.executions = map[model.Handle]*execution{}
	for handle := model.Handle(1); handle <= p.next; handle++ {
		if execution, ok := broken[handle]; ok {
			execution.onBreak()
		}
	}
	p.busyEarlier += p.engine.Statistics().BusyTime
}

func (p *engineProcess) restart() {
	p.dead = false
	p.engine = model.New(p.fleet.engineSettings(p.worker.Service), p.fleet.random)
}

func (p *engineProcess) leave() { p.step(model.SetDraining{Draining: true}) }

// busy returns the time spent in steps over all incarnations.
func (p *engineProcess) busy() time.Duration {
	if p.dead {
		return p.busyEarlier
	}
	return p.busyEarlier + p.engine.Statistics().BusyTime
}
