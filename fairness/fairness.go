// Package fairness divides scarce capacity between tenants of equal rank: requests within
// their tenant's share go before requests above it, so that an overactive tenant does not
// affect others. Requests within their shares, and those of one tenant, keep their arrival
// order.
//
// Shares are weighted max-min fair: capacity that a tenant does not request goes to others.
// They are shares of recent placements, so the total capacity need not be known. The package
// is work-conserving: it only orders requests.
//
// It does no I/O and reads no clock: callers pass the current time.
package fairness

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// usageDecay is the time constant of a tenant's usage. It matches the objective for the
	// first token, after which a slot is of little use.
	usageDecay = time.Second
	// burst is how many requests above its share a tenant may have before it is
	// deprioritized, to allow for the variance of low arrival rates.
	burst = 2
	// levelTTL is how long a computed level is reused; computing it sorts all tenants.
	levelTTL = 20 * time.Millisecond
	// minUsage is the decayed usage below which a tenant is removed.
	minUsage = 0.05
	// maxTenants limits the number of tracked tenants. The half with the least usage is
	// removed when it is reached.
	maxTenants = 8192
)

// Request is a queued or placed request.
type Request struct {
	Tenant string
	// Weight of the tenant, proportional to its limit; 0 means 1.
	Weight float64
}

// Fault is a fault injected by tests.
type Fault string

// Injected faults.
const (
	FaultNone         Fault = ""
	FaultNoShares     Fault = "the order in which they came stands"
	FaultEqualWeights Fault = "weights don't count"
	FaultIgnoreUsage  Fault = "what was given does not count"
)

// Shares tracks the recent usage of tenants of one rank by one process. It is not safe for
// concurrent use.
type Shares struct {
	usage     map[string]*decayingCount
	level     float64 // share of a tenant with weight 1, in decayed placements
	levelAt   time.Time
	evictedAt time.Time
	fault     Fault
}

// decayingCount is a count that decays exponentially with usageDecay.
type decayingCount struct {
	value float64
	at    time.Time
}

func (c *decayingCount) valueAt(now time.Time) float64 {
	if c == nil {
		return 0
	}
	return c.value * math.Exp(-max(now.Sub(c.at), 0).Seconds()/usageDecay.Seconds())
}

// New returns Shares without usage.
func New() *Shares { return &Shares{usage: map[string]*decayingCount{}} }

// RecordPlacement records that a request got a slot, whether it had been queued or not.
func (s *Shares) RecordPlacement(now time.Time, request Request) {
	if s.fault == FaultIgnoreUsage {
		return
	}
	s.evict(now)
	c := s.usage[request.Tenant]
	if c == nil {
		c = &decayingCount{}
		s.usage[request.Tenant] = c
	}
	c.value, c.at = c.valueAt(now)+1, now
}

// Tenants returns the number of tracked tenants.
func (s *Shares) Tenants() int { return len(s.usage) }

// Order returns the indexes of queued requests in the order in which to place them. The
// order in list is kept within a tenant and between requests within their shares.
func (s *Shares) Order(now time.Time, list []Request) []int {
	order := make([]int, len(list))
	for i := range list {
		order[i] = i
	}
	if len(list) < 2 || s.fault == FaultNoShares {
		return order
	}
	level := s.currentLevel(now, list)
	// excess is the weighted usage of a request above its tenant's share; 0 if within.
	excess, usage := make([]float64, len(list)), map[string]float64{}
	for i, request := range list {
		used, known := usage[request.Tenant]
		if !known {
			used = s.usage[request.Tenant].valueAt(now)
		}
		used++
		usage[request.Tenant] = used
		if weight := s.weight(request); used > weight*level+burst {
			excess[i] = (used - burst) / weight
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(excess[a], excess[b]) })
	return order
}

// Level returns the last computed share of a tenant with weight 1, in placements over
// usageDecay; infinite if all demand fits.
func (s *Shares) Level() float64 { return s.level }

func (s *Shares) weight(request Request) float64 {
	if request.Weight <= 0 || s.fault == FaultEqualWeights {
		return 1
	}
	return request.Weight
}

// currentLevel returns the level at which the demand of all tenants, each capped at its
// weight times the level, equals the recent placements (water filling).
func (s *Shares) currentLevel(now time.Time, list []Request) float64 {
	if !s.levelAt.IsZero() && now.Sub(s.levelAt) < levelTTL {
		return s.level
	}
	type demand struct{ given, n, weight float64 }
	places, sorted := map[string]int{}, []demand{}
	for _, request := range list {
		i, known := places[request.Tenant]
		if !known {
			i = len(sorted)
			given := s.usage[request.Tenant].valueAt(now)
			places[request.Tenant], sorted = i, append(sorted, demand{given: given, n: given, weight: s.weight(request)})
		}
		sorted[i].n++
	}
	// Only tenants with queued requests take part; the usage of others is not divided.
	room := 0.0
	for _, d := range sorted {
		room += d.given
	}
	slices.SortFunc(sorted, func(a, b demand) int {
		return cmp.Or(cmp.Compare(a.n/a.weight, b.n/b.weight), cmp.Compare(a.weight, b.weight))
	})
	weights := 0.0
	for _, d := range sorted {
		weights += d.weight
	}
	s.level, s.levelAt = math.Inf(1), now
	for _, d := range sorted {
		if each := room / weights; d.n/d.weight > each {
			s.level = each
			break
		}
		room -= d.n
		weights -= d.weight
	}
	return s.level
}

// evict removes tenants with little recent usage.
func (s *Shares) evict(now time.Time) {
	if now.Sub(s.evictedAt) < usageDecay && len(s.usage) < maxTenants {
		return
	}
	s.evictedAt = now
	for tenant, c := range s.usage {
		if c.valueAt(now) < minUsage {
			delete(s.usage, tenant)
		}
	}
	if len(s.usage) < maxTenants {
		return
	}
	tenants := make([]string, 0, len(s.usage))
	for tenant := range s.usage {
		tenants = append(tenants, tenant)
	}
	slices.SortFunc(tenants, func(a, b string) int {
		return cmp.Or(cmp.Compare(s.usage[a].valueAt(now), s.usage[b].valueAt(now)), cmp.Compare(a, b))
	})
	for _, tenant := range tenants[:len(tenants)/2] {
		delete(s.usage, tenant)
	}
}
