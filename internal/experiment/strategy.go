package experiment

import (
	"fmt"

	"github.com/dykewing/dykewing/admission"
	"github.com/dykewing/dykewing/api"
)

// Strategy is a policy for running batch work alongside online requests.
type Strategy string

// The strategies that are compared.
const (
	// StrategyNoBatch runs only the online trace.
	StrategyNoBatch Strategy = "no batch"
	// StrategyNoPriority fills free slots with batch items at equal priority.
	StrategyNoPriority Strategy = "no priority"
	// StrategySplit dedicates some workers of each place to batch.
	StrategySplit Strategy = "fixed split"
	// StrategyDykewing is the policy of the routers in production.
	StrategyDykewing Strategy = "dykewing"
)

// Strategies returns all strategies in report order.
func Strategies() []Strategy {
	return []Strategy{StrategyNoBatch, StrategyNoPriority, StrategySplit, StrategyDykewing}
}

const splitSuffix = "-split"

// splitService returns the service name of the workers that StrategySplit
// dedicates to batch.
func splitService(service api.ServiceName) api.ServiceName { return service + splitSuffix }

// batchService returns the service to which batch items of service are sent.
func (s Strategy) batchService(service api.ServiceName) api.ServiceName {
	if s == StrategySplit {
		return splitService(service)
	}
	return service
}

// settings adapts the admission settings to the strategy.
func (s Strategy) settings(settings admission.Settings) admission.Settings {
	if s == StrategyNoPriority || s == StrategySplit {
		settings.BatchPolicy = admission.GreedyBatchPolicy()
	}
	return settings
}

// rows returns the table rows of the scenario's places.
func (s Strategy) rows(scenario Scenario) map[api.RowKey]api.Row {
	rows := map[api.RowKey]api.Row{}
	for _, service := range scenario.Services {
		for _, place := range service.Places {
			row := api.Row{Service: service.Name, Place: place.Name, Weight: place.Weight, BatchAllowance: place.BatchAllowance, Repeatable: true}
			if s == StrategySplit {
				split := row
				split.Service = splitService(service.Name)
				rows[split.Key()] = split
				row.BatchAllowance = 0
			}
			rows[row.Key()] = row
		}
	}
	return rows
}

// workers returns the workers of all places, distributed round-robin over the
// zones.
func (s Strategy) workers(scenario Scenario) []api.Worker {
	var workers []api.Worker
	for _, service := range scenario.Services {
		for _, place := range service.Places {
			for i := range place.Workers {
				worker := api.Worker{
					ID:      api.WorkerID(fmt.Sprintf("%s-%s-%d", service.Name, place.Name, i)),
					Service: service.Name, Place: place.Name, Slots: service.Slots,
					Location: api.Location{Zone: zoneName(i % scenario.Fleet.Zones)},
				}
				if s == StrategySplit && i >= place.Workers-service.SplitWorkers {
					worker.Service = splitService(service.Name)
				}
				workers = append(workers, worker)
			}
		}
	}
	return workers
}

func zoneName(zone int) api.ZoneName { return api.ZoneName(fmt.Sprintf("zone-%d", zone)) }
