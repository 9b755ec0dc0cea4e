// Package fairness divides room that is short between tenants: of those that wait in one
// rank, who asks for no more than its share goes before what others ask for above theirs,
// so that a tenant that turns hot costs nobody else. Among requests within their shares
// the order in which they came in stands, and so it does within a tenant.
//
// Shares are max-min fair by weight: what a tenant does not ask for is the others'. They
// are of the places that were given in the last moments, so that nothing has to be known
// of the room itself. Order only orders: no place stays empty for it.
//
// The machine has no clock, input or output.
package fairness

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// memory is over how long what a tenant was given counts against it: about the
	// objective of a first token, within which a late place is of use.
	memory = time.Second
	// burst is how many requests above its share a tenant has before the others' excess,
	// since few requests a second come in clumps.
	burst = 2
	// levelLife is how long a worked out level is used: it costs a sort of all tenants.
	levelLife = 20 * time.Millisecond
	// least of a decayed count is kept; under it a tenant is as one that was given nothing.
	least = 0.05
	// mostTenants are counted at once; of more those with the least are forgotten.
	mostTenants = 8192
)

// Request is what counts of a request that waits or was placed.
type Request struct {
	Tenant string
	// Weight of the tenant, as its limit; 0: as any other one.
	Weight float64
}

// Fault is a planted defect; tests only.
type Fault string

// The planted defects.
const (
	FaultNone     Fault = ""
	FaultNoShares Fault = "the order in which they came stands"
	FaultEqual    Fault = "weights don't count"
	FaultForgets  Fault = "what was given does not count"
)

// Shares is what the tenants of one rank were given by one process lately.
type Shares struct {
	given   map[string]*count
	level   float64 // share of a weight of 1, over memory
	levelAt time.Time
	sweptAt time.Time
	fault   Fault
}

// count decays by memory.
type count struct {
	n  float64
	at time.Time
}

func (c *count) now(now time.Time) float64 {
	if c == nil {
		return 0
	}
	return c.n * math.Exp(-max(now.Sub(c.at), 0).Seconds()/memory.Seconds())
}

// New has given nothing.
func New() *Shares { return &Shares{given: map[string]*count{}} }

// Served notes that a request was placed, whether it had waited or not.
func (s *Shares) Served(now time.Time, request Request) {
	if s.fault == FaultForgets {
		return
	}
	s.sweep(now)
	c := s.given[request.Tenant]
	if c == nil {
		c = &count{}
		s.given[request.Tenant] = c
	}
	c.n, c.at = c.now(now)+1, now
}

// Tenants is how many are counted.
func (s *Shares) Tenants() int { return len(s.given) }

// Order gives the places in list of requests that wait, in the order in which they are to
// be placed; list is in the order that holds between equals. Requests of one tenant
// stay in order.
func (s *Shares) Order(now time.Time, list []Request) []int {
	order := make([]int, len(list))
	for i := range list {
		order[i] = i
	}
	if len(list) < 2 || s.fault == FaultNoShares {
		return order
	}
	level := s.levelFor(now, list)
	// excess is by how much a request is above its tenant's share, by weight; 0: within.
	excess, asked := make([]float64, len(list)), map[string]float64{}
	for i, request := range list {
		used, known := asked[request.Tenant]
		if !known {
			used = s.given[request.Tenant].now(now)
		}
		used++
		asked[request.Tenant] = used
		if weight := s.weight(request); used > weight*level+burst {
			excess[i] = (used - burst) / weight
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(excess[a], excess[b]) })
	return order
}

// Level is the last share of a weight of 1, in places over memory; infinite while all is
// within reach.
func (s *Shares) Level() float64 { return s.level }

func (s *Shares) weight(request Request) float64 {
	if request.Weight <= 0 || s.fault == FaultEqual {
		return 1
	}
	return request.Weight
}

// levelFor is the level at which what tenants were given and ask for, cut at their
// weight of it, is what was given in all.
func (s *Shares) levelFor(now time.Time, list []Request) float64 {
	if !s.levelAt.IsZero() && now.Sub(s.levelAt) < levelLife {
		return s.level
	}
	type demand struct{ given, n, weight float64 }
	places, sorted := map[string]int{}, []demand{}
	for _, request := range list {
		i, known := places[request.Tenant]
		if !known {
			i = len(sorted)
			given := s.given[request.Tenant].now(now)
			places[request.Tenant], sorted = i, append(sorted, demand{given: given, n: given, weight: s.weight(request)})
		}
		sorted[i].n++
	}
	// Tenants of which nobody waits have what they asked for: it is not to be divided.
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

// sweep forgets those that were given nothing lately.
func (s *Shares) sweep(now time.Time) {
	if now.Sub(s.sweptAt) < memory && len(s.given) < mostTenants {
		return
	}
	s.sweptAt = now
	for tenant, c := range s.given {
		if c.now(now) < least {
			delete(s.given, tenant)
		}
	}
	if len(s.given) < mostTenants {
		return
	}
	tenants := make([]string, 0, len(s.given))
	for tenant := range s.given {
		tenants = append(tenants, tenant)
	}
	slices.SortFunc(tenants, func(a, b string) int {
		return cmp.Or(cmp.Compare(s.given[a].now(now), s.given[b].now(now)), cmp.Compare(a, b))
	})
	for _, tenant := range tenants[:len(tenants)/2] {
		delete(s.given, tenant)
	}
}
