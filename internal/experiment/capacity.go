package experiment

import (
	"time"

	"github.com/dykewing/dykewing/internal/standin/engine/model"
	"github.com/dykewing/dykewing/sim"
)

// capacity is how much batch a service's workers could do beside the online
// trace if everything were known beforehand.
type capacity struct {
	// alone is what one worker does that runs nothing else, items a second.
	alone float64
	// idle is the share of the workers' time left by the online trace, each
	// online token and prompt counted at what it costs in a full batch.
	idle float64
	// idleItems is idle in items a second over all workers.
	idleItems float64
	// unused is the same from time without any step in the run without batch.
	unusedItems float64
}

const capacityRun = 60 * time.Second

// aloneRate runs one engine with nothing but batch at full slots.
func aloneRate(scenario Scenario, service Service, seed uint64) float64 {
	simulation := sim.New(seed)
	engine := model.New(scenario.Engine, newStream(seed, streamFleet, "capacity"))
	source := newItemSource(scenario, service, seed)
	handle := model.Handle(0)
	done := 0
	var step func(model.Message)
	submit := func() {
		handle++
		work := source().work
		step(model.Submit{Request: model.Request{
			Handle: handle, ID: "", Blocks: work.Blocks, PromptTokens: work.PromptTokens, OutputTokens: work.OutputTokens,
		}})
	}
	step = func(message model.Message) {
		ended := 0
		for _, action := range engine.Step(simulation.Now(), message) {
			switch action := action.(type) {
			case model.StartStep:
				simulation.After(action.Duration, func() { step(model.StepDone{}) })
			case model.Emit:
				for _, token := range action.Tokens {
					if token.Last {
						ended++
					}
				}
			}
		}
		for range ended {
			if simulation.Elapsed() > scenario.Warmup {
				done++
			}
			submit()
		}
	}
	for range service.Slots {
		submit()
	}
	simulation.Run(scenario.Warmup + capacityRun)
	return float64(done) / capacityRun.Seconds()
}

// onlineCost is the engine time that a request takes in a full batch: its own
// share of each step that it is in.
func onlineCost(settings model.Settings, slots int, work Work) time.Duration {
	context := work.PromptTokens + work.OutputTokens/2
	tokens := time.Duration(work.OutputTokens)
	share := settings.StepBase/time.Duration(slots) + settings.StepTime(1, context, 0) - settings.StepBase
	return tokens * share
}

// prefillTime is the engine time of prompt tokens.
func prefillTime(settings model.Settings, tokens int64) time.Duration {
	return settings.StepTime(0, 0, int(tokens)) - settings.StepBase
}

// measureCapacity works the capacity out from the run without batch.
func measureCapacity(scenario Scenario, service Service, trace []arrival, run *fleet, seed uint64) capacity {
	result := capacity{alone: aloneRate(scenario, service, seed)}
	window := scenario.Duration - scenario.Warmup
	var cost, busy time.Duration
	for _, arrival := range trace {
		if arrival.at >= scenario.Warmup {
			cost += onlineCost(scenario.Engine, service.Slots, arrival.work)
		}
	}
	workers := 0
	for _, worker := range run.strategy.workers(scenario) {
		if worker.Service != service.Name {
			continue
		}
		workers++
		process := run.engines[worker.ID]
		busy += process.busy() - process.busyAtWarmup
		cost += prefillTime(scenario.Engine, process.engine.Statistics().Prefilled-process.prefilledAtWarmup)
	}
	total := time.Duration(workers) * window
	result.idle = max(1-cost.Seconds()/total.Seconds(), 0)
	result.idleItems = result.idle * float64(workers) * result.alone
	result.unusedItems = max(1-busy.Seconds()/total.Seconds(), 0) * float64(workers) * result.alone
	return result
}

// beginMeasure notes where the engines stand at the end of the warmup.
func (f *fleet) beginMeasure() {
	for _, process := range f.engines {
		process.busyAtWarmup = process.busy()
		process.prefilledAtWarmup = process.engine.Statistics().Prefilled
	}
}
