package experiment

import (
	"slices"
	"sync"

	"github.com/dykewing/dykewing/admission"
)

// Run plays the scenario with each strategy on the same online trace and the
// same heaps. The report depends on nothing but the scenario, the seed and the
// settings: the strategies run side by side, each in its own simulation.
func Run(scenario Scenario, seed uint64, settings admission.Settings, strategies []Strategy) *Report {
	report := &Report{Scenario: scenario.Name, Seed: seed, Duration: scenario.Duration, Warmup: scenario.Warmup}
	var traces [][]arrival
	for _, service := range scenario.Services {
		traces = append(traces, onlineTrace(scenario, service, seed))
	}
	fleets := make([]*fleet, len(strategies))
	var running sync.WaitGroup
	for i, strategy := range strategies {
		running.Go(func() {
			fleets[i] = newFleet(scenario, strategy, seed, settings)
			fleets[i].run(traces, drawHeaps(scenario, strategy, seed))
		})
	}
	running.Wait()
	base, capacities := baseline(scenario, fleets, traces, seed)
	for _, fleet := range fleets {
		report.Results = append(report.Results, summarise(scenario, fleet, base, capacities)...)
		report.Timelines = append(report.Timelines, Timeline{Strategy: fleet.strategy, Items: fleet.measure.itemsASec})
	}
	return report
}

// baseline finds the run without batch and what it left idle; without one
// there is nothing to compare with.
func baseline(scenario Scenario, fleets []*fleet, traces [][]arrival, seed uint64) (*fleet, []capacity) {
	capacities := make([]capacity, len(scenario.Services))
	at := slices.IndexFunc(fleets, func(f *fleet) bool { return f.strategy == StrategyNoBatch })
	if at < 0 {
		return nil, capacities
	}
	for i, service := range scenario.Services {
		if service.Batch.Items > 0 {
			capacities[i] = measureCapacity(scenario, service, traces[i], fleets[at], seed)
		}
	}
	return fleets[at], capacities
}
