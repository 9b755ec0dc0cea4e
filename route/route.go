// Package route is the operators' newest configuration as a value: which service
// takes a request of a host and path, and under which limits. It has no input,
// output or clock.
package route

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Kind says how requests of a route are treated.
type Kind string

// The kinds of routes.
const (
	KindSafe   Kind = "safe"   // may run more than once
	KindUnsafe Kind = "unsafe" // runs at most once
	KindStream Kind = "stream" // answers with events; runs at most once unless Resumable
	KindBatch  Kind = "batch"  // takes batch jobs
)

// Share is one service of a route with its weight among them.
type Share struct {
	Service string
	Weight  float64
}

// Route is one rule: requests of Host under Prefix go to its shares.
type Route struct {
	Name      string
	Host      string
	Prefix    string // starts and ends with a slash
	Kind      Kind
	Shares    []Share       // at least one
	Timeout   time.Duration // longest that a request is held; 0: none
	Target    time.Duration // within which an answer, or the first event, is in time
	GapTarget time.Duration // longest pause between events that is in time
	RunTarget time.Duration // batch: within which all results are due, from the submission
	Keep      time.Duration // batch: after which an item may be given up; 0: never
	// MaxQueuedTokens is how many tokens of a tenant may wait on a batch route, or of
	// all callers together where there are no tenants; 0: no bound.
	MaxQueuedTokens int64
	MaxAttempts     int  // workers that may run one request; at least 1
	Priority        int  // 0 is the highest
	Resumable       bool // a stream may go on at another worker
	Public          bool // requests need no key
}

// Queue names what waits on a batch route of one tenant, or of all where tenant is
// empty; it stays when the route's service, bounds or name change.
func (r Route) Queue(tenant string) string {
	if tenant == "" {
		return r.Host + r.Prefix
	}
	return r.Host + r.Prefix + " " + tenant
}

// Repeatable tells whether a request may run more than once.
func (r Route) Repeatable() bool {
	return r.Kind == KindSafe || r.Kind == KindBatch || r.Kind == KindStream && r.Resumable
}

// Allows tells whether requests of the route may go to the service.
func (r Route) Allows(service string) bool {
	for _, share := range r.Shares {
		if share.Service == service {
			return true
		}
	}
	return false
}

// Draw chooses a service by weight. With no weight above 0 the first is taken.
func (r Route) Draw(random *rand.Rand) string {
	total := 0.0
	for _, share := range r.Shares {
		total += share.Weight
	}
	draw := random.Float64() * total
	for _, share := range r.Shares {
		if draw < share.Weight {
			return share.Service
		}
		draw -= share.Weight
	}
	return r.Shares[0].Service
}

// Service is what the configuration says of a service.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int // of all callers to one worker; 0: no limit
	Slots          int // an engine's; 0 when not told
	CacheTokens    int // an engine's memory; 0 when not told
}

// Limits bound what a client may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of all routes. It is not changed once made.
type Configuration struct {
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
	Problems []error // that it was read with; what they name is left out

	byHost   map[string][]int // indexes of Routes, longest prefix first
	services map[string]int
	tenants  []Tenant
	byKey    map[Key]int // indexes of tenants, or nobody
}

// New indexes a configuration.
func New(version int64, routes []Route, services []Service, limits Limits) *Configuration {
	c := &Configuration{
		Version: version, Routes: routes, Services: services, Limits: limits,
		byHost: map[string][]int{}, services: map[string]int{},
	}
	for i, route := range routes {
		c.byHost[route.Host] = insert(c.byHost[route.Host], routes, i)
	}
	for i, service := range services {
		c.services[service.Name] = i
	}
	return c
}

// insert keeps the longest prefix first.
func insert(indexes []int, routes []Route, added int) []int {
	at := len(indexes)
	for at > 0 && len(routes[indexes[at-1]].Prefix) < len(routes[added].Prefix) {
		at--
	}
	indexes = append(indexes, 0)
	copy(indexes[at+1:], indexes[at:])
	indexes[at] = added
	return indexes
}

// Match finds the route with the longest prefix of the path, by host (without a
// port). False when none matches.
func (c *Configuration) Match(host, path string) (Route, bool) {
	for _, index := range c.byHost[host] {
		if strings.HasPrefix(path, c.Routes[index].Prefix) {
			return c.Routes[index], true
		}
	}
	return Route{}, false
}

// TakesPublicJobs tells whether a host has a route that takes batch jobs without a key.
func (c *Configuration) TakesPublicJobs(host string) bool {
	return slices.ContainsFunc(c.byHost[host], func(index int) bool {
		return c.Routes[index].Kind == KindBatch && c.Routes[index].Public
	})
}

// BatchServices lists the services of batch routes, by name.
func (c *Configuration) BatchServices() []string {
	var names []string
	for _, route := range c.Routes {
		if route.Kind != KindBatch {
			continue
		}
		for _, share := range route.Shares {
			names = append(names, share.Service)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// RunsBatch tells whether batch runs at a service's workers.
func (c *Configuration) RunsBatch(service string) bool {
	return slices.ContainsFunc(c.Routes, func(r Route) bool { return r.Kind == KindBatch && r.Allows(service) })
}

// Service finds a service by name.
func (c *Configuration) Service(name string) (Service, bool) {
	index, ok := c.services[name]
	if !ok {
		return Service{}, false
	}
	return c.Services[index], true
}
