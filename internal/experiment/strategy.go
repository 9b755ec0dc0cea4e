package experiment

import (
	"fmt"

	"github.com/dykewing/dykewing/admission"
	"github.com/dykewing/dykewing/api"
)

// Strategy is a way of running batch beside online.
type Strategy string

// The strategies that are compared.
const (
	// StrategyNoBatch runs the online trace alone.
	StrategyNoBatch Strategy = "no batch"
	// StrategyNoPriority fills free slots with batch like any other request.
	StrategyNoPriority Strategy = "no priority"
	// StrategySplit keeps some workers of each place for batch alone.
	StrategySplit Strategy = "fixed split"
	// StrategyOurs is what the routers do.
	StrategyOurs Strategy = "dykewing"
)

// Strategies are all of them, in the order of reports.
func Strategies() []Strategy {
	return []Strategy{StrategyNoBatch, StrategyNoPriority, StrategySplit, StrategyOurs}
}

const splitSuffix = "-split"

// splitService names the workers that the fixed split keeps for batch.
func splitService(service api.ServiceName) api.ServiceName { return service + splitSuffix }

// batchService is the service that batch items of the service are sent to.
func (s Strategy) batchService(service api.ServiceName) api.ServiceName {
	if s == StrategySplit {
		return splitService(service)
	}
	return service
}

// settings are the admission settings of the strategy.
func (s Strategy) settings(settings admission.Settings) admission.Settings {
	if s == StrategyNoPriority || s == StrategySplit {
		settings.Filling = admission.FillFreeSlots()
	}
	return settings
}

// rows turns the scenario's places into table rows.
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

// workers lays the places' workers out over the zones.
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
