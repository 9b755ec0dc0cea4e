package experiment

import (
	"github.com/dykewing/dykewing/admission"
)

// Run plays the scenario with each strategy on the same online trace and the
// same heaps. The report depends on nothing but the scenario, the seed and the
// settings.
func Run(scenario Scenario, seed uint64, settings admission.Settings, strategies []Strategy) *Report {
	report := &Report{Scenario: scenario.Name, Seed: seed, Duration: scenario.Duration, Warmup: scenario.Warmup}
	var traces [][]arrival
	for _, service := range scenario.Services {
		traces = append(traces, onlineTrace(scenario, service, seed))
	}
	capacities := make([]capacity, len(scenario.Services))
	var base *fleet
	for _, strategy := range strategies {
		run := newFleet(scenario, strategy, seed, settings)
		run.run(traces, drawHeaps(scenario, strategy, seed))
		if strategy == StrategyNoBatch {
			base = run
			for i, service := range scenario.Services {
				if service.Batch.Items > 0 {
					capacities[i] = measureCapacity(scenario, service, traces[i], run, seed)
				}
			}
		}
		report.Results = append(report.Results, summarise(scenario, run, base, capacities)...)
		report.Timelines = append(report.Timelines, Timeline{Strategy: strategy, Items: run.measure.itemsASec})
	}
	return report
}
