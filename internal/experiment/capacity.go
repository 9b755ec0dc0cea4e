package experiment

import (
	"time"

	"github.com/dykewing/dykewing/internal/standin/engine/model"
	"github.com/dykewing/dykewing/sim"
)

// capacity is the batch throughput that a service's workers could reach beside
// the online trace under a clairvoyant scheduler.
type capacity struct {
	// batchOnly is the throughput of a worker that runs only batch, in items per
	// second.
	batchOnly float64
	// idle is the share of the workers' time not used by the online trace, with
	// online requests costed as part of a full batch.
	idle float64
	// idleItems is the throughput of idle over all workers, in items per second.
	idleItems float64
	// unusedItems is the throughput, in items per second, of the time in which
	// no step ran under StrategyNoBatch.
	unusedItems float64
}

const capacityRun = 60 * time.Second

// batchOnlyRate returns the throughput, in items per second, of one engine whose
// slots are all filled with batch.
func batchOnlyRate(scenario Scenario, service Service, seed uint64) float64 {
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

// onlineCost returns the engine time of a request in a full batch: its share of
// each step that it takes part in.
func onlineCost(settings model.Settings, slots int, work Work) time.Duration {
	context := work.PromptTokens + work.OutputTokens/2
	tokens := time.Duration(work.OutputTokens)
	share := settings.StepBase/time.Duration(slots) + settings.StepTime(1, context, 0) - settings.StepBase
	return tokens * share
}

// prefillTime returns the engine time for prefilling the given number of tokens.
func prefillTime(settings model.Settings, tokens int64) time.Duration {
	return settings.StepTime(0, 0, int(tokens)) - settings.StepBase
}

// measureCapacity computes the capacity from the run of StrategyNoBatch.
func measureCapacity(scenario Scenario, service Service, trace []arrival, run *fleet, seed uint64) capacity {
	result := capacity{batchOnly: batchOnlyRate(scenario, service, seed)}
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
	result.idleItems = result.idle * float64(workers) * result.batchOnly
	result.unusedItems = max(1-busy.Seconds()/total.Seconds(), 0) * float64(workers) * result.batchOnly
	return result
}

// recordWarmupEnd records the engines' counters at the end of the warmup.
func (f *fleet) recordWarmupEnd() {
	for _, process := range f.engines {
		process.busyAtWarmup = process.busy()
		process.prefilledAtWarmup = process.engine.Statistics().Prefilled
	}
}
