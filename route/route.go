// Package route holds the routing configuration: which service handles a request for
// a host and path, and under which limits. It performs no I/O and reads no clock.
package route

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Kind is the type of a route's requests.
type Kind string

// Kinds of routes.
const (
	KindSafe   Kind = "safe"   // may run more than once
	KindUnsafe Kind = "unsafe" // runs at most once
	KindStream Kind = "stream" // responds with an event stream; runs at most once unless Resumable
	KindBatch  Kind = "batch"  // accepts batch jobs
)

// Share is a service of a route with its relative weight.
type Share struct {
	Service string
	Weight  float64
}

// Route sends requests for Host under Prefix to the services of Shares.
type Route struct {
	Name             string
	Host             string
	Prefix           string // starts and ends with a slash
	Kind             Kind
	Shares           []Share       // at least one
	Timeout          time.Duration // maximum duration of a request; 0 if unlimited
	Target           time.Duration // latency objective of the response or first event
	GapTarget        time.Duration // objective for the interval between events
	CompletionTarget time.Duration // batch: due time of all results after submission
	AbandonAfter     time.Duration // batch: time after which an item may be abandoned; 0 if never
	// MaxQueuedTokens bounds the tokens that a tenant may have queued on a batch route,
	// or all callers together if there are no tenants; 0 if unlimited.
	MaxQueuedTokens int64
	MaxAttempts     int  // maximum workers tried per request; at least 1
	Priority        int  // 0 is the highest
	Resumable       bool // a stream may continue at another worker
	Public          bool // no key required
}

// Queue returns the name of the queue of a tenant on a batch route, or of all callers if
// tenant is empty. It does not change with the route's service, limits or name.
func (r Route) Queue(tenant string) string {
	if tenant == "" {
		return r.Host + r.Prefix
	}
	return r.Host + r.Prefix + " " + tenant
}

// Repeatable reports whether a request may run more than once.
func (r Route) Repeatable() bool {
	return r.Kind == KindSafe || r.Kind == KindBatch || r.Kind == KindStream && r.Resumable
}

// Allows reports whether the service is one of the route's shares.
func (r Route) Allows(service string) bool {
	for _, share := range r.Shares {
		if share.Service == service {
			return true
		}
	}
	return false
}

// Draw chooses a service at random by weight, or the first if no weight is positive.
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

// Service is the configuration of a service.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int // per worker, over all callers; 0 if unlimited
	Slots          int // of an engine; 0 if unknown
	CacheTokens    int // cache capacity of an engine; 0 if unknown
}

// Limits bounds client requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of all routes. It is immutable after New and
// WithTenants, and then safe for concurrent use.
type Configuration struct {
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
	Problems []error // errors found on reading; the invalid entries are omitted

	byHost   map[string][]int // indexes of Routes, longest prefix first
	services map[string]int
	tenants  []Tenant
	byKey    map[Key]int // indexes of tenants, or ambiguousKey
}

// New returns a Configuration without tenants.
func New(version int64, routes []Route, services []Service, limits Limits) *Configuration {
	c := &Configuration{
		Version: version, Routes: routes, Services: services, Limits: limits,
		byHost: map[string][]int{}, services: map[string]int{},
	}
	for i, route := range routes {
		c.byHost[route.Host] = insertByPrefix(c.byHost[route.Host], routes, i)
	}
	for i, service := range services {
		c.services[service.Name] = i
	}
	return c
}

// insertByPrefix inserts a route index so that longer prefixes come first.
func insertByPrefix(indexes []int, routes []Route, added int) []int {
	at := len(indexes)
	for at > 0 && len(routes[indexes[at-1]].Prefix) < len(routes[added].Prefix) {
		at--
	}
	indexes = append(indexes, 0)
	copy(indexes[at+1:], indexes[at:])
	indexes[at] = added
	return indexes
}

// Match returns the route of the host, given without port, whose prefix is the longest
// that matches the path. It returns false if there is none.
func (c *Configuration) Match(host, path string) (Route, bool) {
	for _, index := range c.byHost[host] {
		if strings.HasPrefix(path, c.Routes[index].Prefix) {
			return c.Routes[index], true
		}
	}
	return Route{}, false
}

// HasPublicBatchRoute reports whether the host has a public batch route.
func (c *Configuration) HasPublicBatchRoute(host string) bool {
	return slices.ContainsFunc(c.byHost[host], func(index int) bool {
		return c.Routes[index].Kind == KindBatch && c.Routes[index].Public
	})
}

// BatchServices returns the services of all batch routes, sorted by name.
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

// RunsBatch reports whether a batch route uses the service.
func (c *Configuration) RunsBatch(service string) bool {
	return slices.ContainsFunc(c.Routes, func(r Route) bool { return r.Kind == KindBatch && r.Allows(service) })
}

// Service returns the service with the given name.
func (c *Configuration) Service(name string) (Service, bool) {
	index, ok := c.services[name]
	if !ok {
		return Service{}, false
	}
	return c.Services[index], true
}
