package experiment

import (
	"slices"
	"sync"

	"github.com/dykewing/dykewing/admission"
)

// Run simulates the scenario once per strategy, with the same online trace and
// the same batch jobs. The strategies run concurrently in separate simulations,
// so the report is a deterministic function of the arguments.
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
			fleets[i].run(traces, generateBatchJobs(scenario, strategy, seed))
		})
	}
	running.Wait()
	base, capacities := baseline(scenario, fleets, traces, seed)
	for _, fleet := range fleets {
		report.Results = append(report.Results, summarise(scenario, fleet, base, capacities)...)
		report.Timelines = append(report.Timelines, Timeline{Strategy: fleet.strategy, Items: fleet.measure.itemsPerSecond})
	}
	return report
}

// baseline returns the run of StrategyNoBatch and the capacity that it left
// unused. The run is nil if that strategy was not requested.
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
