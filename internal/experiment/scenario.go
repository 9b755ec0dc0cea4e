// Package experiment simulates whole deployments on virtual time: callers,
// sidecars, home routers with the production admission and routing state
// machines, model engines and batch jobs. It compares scheduling strategies on
// one trace of online requests and reports batch throughput and the increase in
// online tail latency.
package experiment

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/config"
	"github.com/dykewing/dykewing/internal/standin/engine/model"
)

// Scenario describes a deployment, its load and what happens to it.
type Scenario struct {
	Name     string         `koanf:"name" validate:"required,max=64"`
	Duration time.Duration  `koanf:"duration" validate:"min=1s,max=24h"`
	Warmup   time.Duration  `koanf:"warmup" validate:"min=0"` // excluded from the results
	Network  Network        `koanf:"network"`
	Fleet    Fleet          `koanf:"fleet"`
	Engine   model.Settings `koanf:"engine"`
	Services []Service      `koanf:"services" validate:"min=1,dive"`
	Events   []Event        `koanf:"events" validate:"dive"`
}

// Network holds one-way latencies.
type Network struct {
	WithinZone   time.Duration `koanf:"within_zone" validate:"min=0"`
	BetweenZones time.Duration `koanf:"between_zones" validate:"min=0"`
	ToCallers    time.Duration `koanf:"to_callers" validate:"min=0"`
}

// Fleet holds the number of processes and the intervals of their exchanges.
type Fleet struct {
	Zones          int           `koanf:"zones" validate:"min=1,max=64"`
	RoutersPerZone int           `koanf:"routers_per_zone" validate:"min=1,max=64"`
	Heartbeat      time.Duration `koanf:"heartbeat" validate:"min=1ms"`      // interval between routers' summaries
	LoadInterval   time.Duration `koanf:"load_interval" validate:"min=1ms"`  // interval between reads of engine load
	ClaimInterval  time.Duration `koanf:"claim_interval" validate:"min=1ms"` // pause after an empty claim
	ListLag        time.Duration `koanf:"list_lag" validate:"min=0"`         // delay of machine list updates
}

// Service is a model or an application, with its load.
type Service struct {
	Name   api.ServiceName `koanf:"name" validate:"required"`
	Slots  int             `koanf:"slots" validate:"min=1"` // per worker
	Places []Place         `koanf:"places" validate:"min=1,dive"`
	Online Online          `koanf:"online"`
	Batch  Batch           `koanf:"batch"`
	// ApplicationTime is the service time of a request. It is set only for
	// services that are not models.
	ApplicationTime time.Duration `koanf:"application_time" validate:"min=0"`
	// SplitWorkers is the number of workers per place that StrategySplit
	// dedicates to batch.
	SplitWorkers int `koanf:"split_workers" validate:"min=0"`
}

// Place is a row of the routing table and its workers.
type Place struct {
	Name           api.PlaceName `koanf:"name" validate:"required"`
	Workers        int           `koanf:"workers" validate:"min=1,max=100000"`
	Weight         float64       `koanf:"weight" validate:"min=0"`
	BatchAllowance int           `koanf:"batch_allowance" validate:"min=0"`
}

// Online is an open-loop load of requests.
type Online struct {
	Rate   float64 `koanf:"rate" validate:"min=0"` // requests per second outside bursts
	Bursts Bursts  `koanf:"bursts"`
	Shape  Shape   `koanf:"shape"`
}

// Bursts multiplies the request rate by Factor for the last Length of every
// interval Every.
type Bursts struct {
	Every  time.Duration `koanf:"every" validate:"min=0"`
	Length time.Duration `koanf:"length" validate:"min=0"`
	Factor float64       `koanf:"factor" validate:"min=0"`
}

// Batch is a periodic submission of batch jobs.
type Batch struct {
	Every time.Duration `koanf:"every" validate:"min=0"`
	Items int           `koanf:"items" validate:"min=0"` // per job
	Shape Shape         `koanf:"shape"`
}

// Shape is the distribution of request sizes, in tokens.
type Shape struct {
	Prompt   Length `koanf:"prompt"`   // excluding the shared prefix
	Output   Length `koanf:"output"`   // generated tokens
	Prefixes int    `koanf:"prefixes"` // number of distinct shared prefixes
	Prefix   int    `koanf:"prefix"`   // length of a shared prefix
}

// Length is a log-normal distribution of token counts. An upper bound of 0 means
// none.
type Length struct {
	Median int     `koanf:"median" validate:"min=0"`
	Sigma  float64 `koanf:"sigma" validate:"min=0,max=3"`
	Max    int     `koanf:"maximum" validate:"min=0"`
}

// The kinds of an Event.
const (
	EventWorkerDies    = "worker_dies"    // leaves the machine list after its lag
	EventWorkerReturns = "worker_returns" // with an empty cache
	EventWorkerLeaves  = "worker_leaves"  // drains its requests
	EventEdit          = "edit"           // changes the row's weight and batch allowance
)

// Event is applied once, at a time after the start.
type Event struct {
	At             time.Duration   `koanf:"at" validate:"min=0"`
	Kind           string          `koanf:"kind" validate:"oneof=worker_dies worker_returns worker_leaves edit"`
	Service        api.ServiceName `koanf:"service" validate:"required"`
	Place          api.PlaceName   `koanf:"place" validate:"required"`
	Worker         int             `koanf:"worker" validate:"min=0"` // index within the place, from 0
	Weight         float64         `koanf:"weight" validate:"min=0"`
	BatchAllowance int             `koanf:"batch_allowance" validate:"min=0"`
}

// DefaultScenario returns the values used for keys that the file omits.
func DefaultScenario() Scenario {
	return Scenario{
		Duration: 2 * time.Minute, Warmup: 15 * time.Second,
		Network: Network{WithinZone: 100 * time.Microsecond, BetweenZones: time.Millisecond, ToCallers: 3 * time.Millisecond},
		Fleet: Fleet{
			Zones: 3, RoutersPerZone: 1, Heartbeat: time.Second, LoadInterval: 250 * time.Millisecond,
			ClaimInterval: 20 * time.Millisecond, ListLag: 5 * time.Second,
		},
		Engine: model.DefaultSettings(),
	}
}

// Load reads and validates a scenario from a YAML file; unknown keys are errors.
func Load(file string) (Scenario, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return Scenario{}, fmt.Errorf("read scenario: %w", err)
	}
	return Parse(file, raw)
}

// Parse is like Load for a document in memory; file is used only in errors.
func Parse(file string, raw []byte) (Scenario, error) {
	scenario := DefaultScenario()
	if err := config.ParseDocument(file, raw, nil, &scenario); err != nil {
		return scenario, err
	}
	return scenario, scenario.check()
}

// check validates constraints that span several fields.
func (s Scenario) check() error {
	var problems []error
	if s.Warmup >= s.Duration {
		problems = append(problems, fmt.Errorf("warmup %v is not below duration %v", s.Warmup, s.Duration))
	}
	for _, service := range s.Services {
		for _, place := range service.Places {
			if service.SplitWorkers >= place.Workers {
				problems = append(problems, fmt.Errorf("split_workers %d of %s leaves no worker of %d", service.SplitWorkers, service.Name, place.Workers))
			}
		}
	}
	for _, event := range s.Events {
		if !s.hasPlace(event) {
			problems = append(problems, fmt.Errorf("event at %v: no worker %d of %s/%s", event.At, event.Worker, event.Service, event.Place))
		}
	}
	return errors.Join(problems...)
}

func (s Scenario) hasPlace(event Event) bool {
	for _, service := range s.Services {
		for _, place := range service.Places {
			if service.Name == event.Service && place.Name == event.Place && event.Worker < place.Workers {
				return true
			}
		}
	}
	return false
}
