package fairness

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var testStart = time.Unix(1_700_000_000, 0)

const ms = time.Millisecond

// waiting returns requests in arrival order, one per letter, which names the tenant.
func waiting(tenants string, weights map[rune]float64) (list []Request) {
	for _, tenant := range tenants {
		list = append(list, Request{Tenant: string(tenant), Weight: weights[tenant]})
	}
	return list
}

func TestOrder(t *testing.T) {
	tests := []struct {
		name    string
		placed  string // placed just before
		weights map[rune]float64
		queued  string
		want    string
		fault   Fault
	}{
		{"arrival order if no tenant is above its share", "abcd", nil, "dcba", "dcba", ""},
		{"tenant with high usage goes last", "hhhhhhhhab", nil, "hhhhhab", "abhhhhh", ""},
		{"excess requests of one tenant go last", "abcdefgh", nil, "hhhhhhab", "hhabhhhh", ""},
		{"two overactive tenants alternate", "ggggggghhhhhhhhh", nil, "hhhgggab", "ggabhghh", ""},
		{"by weight", "gggghhhhhhhh", map[rune]float64{'g': 10, 'h': 80, 'a': 10}, "ggggghhhhha", "hhhahhggggg", ""},
		{"fault: arrival order", "hhhhhhhhab", nil, "hhhhhab", "hhhhhab", FaultNoShares},
		{"fault: usage is ignored", "hhhhhhhhab", nil, "hhhhhab", "hhabhhh", FaultIgnoreUsage},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := New()
			s.fault = test.fault
			for _, request := range waiting(test.placed, test.weights) {
				s.RecordPlacement(testStart, request)
			}
			list, got := waiting(test.queued, test.weights), ""
			for _, i := range s.Order(testStart, list) {
				got += list[i].Tenant
			}
			if got != test.want {
				t.Errorf("order %s, want %s (level %.2f)", got, test.want, s.Level())
			}
		})
	}
}

// drawShares draws tenants with random usage and queued requests.
func drawShares(t *rapid.T) (*Shares, []Request) {
	s, weights := New(), map[string]float64{}
	tenant := func() Request {
		name := fmt.Sprint(rapid.IntRange(0, 8).Draw(t, "tenant"))
		if _, known := weights[name]; !known {
			weights[name] = float64(rapid.IntRange(1, 5).Draw(t, "weight"))
		}
		return Request{Tenant: name, Weight: weights[name]}
	}
	for range rapid.IntRange(0, 60).Draw(t, "given") {
		s.RecordPlacement(testStart.Add(-time.Duration(rapid.IntRange(0, 1000).Draw(t, "ago"))*ms), tenant())
	}
	list := make([]Request, rapid.IntRange(0, 40).Draw(t, "waiting"))
	for i := range list {
		list[i] = tenant()
	}
	return s, list
}

// The order is a permutation, keeps each tenant's own order, and puts no request above its
// tenant's share before a tenant within its share.
func TestRequestsWithinShareGoFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, list := drawShares(t)
		order := s.Order(testStart, list)
		if sorted := slices.Sorted(slices.Values(order)); len(sorted) != len(list) || len(slices.Compact(sorted)) != len(list) {
			t.Fatalf("order %v of %d requests", order, len(list))
		}
		last, queuedRequests := map[string]int{}, map[string]float64{}
		for _, request := range list {
			queuedRequests[request.Tenant]++
		}
		within := func(r Request) bool {
			return queuedRequests[r.Tenant]+s.usage[r.Tenant].valueAt(testStart) <= r.Weight*s.Level()+1e-9
		}
		place := map[string]int{}
		for at, i := range order {
			request := list[i]
			if before, known := last[request.Tenant]; known && before > i {
				t.Fatalf("requests of tenant %s reordered: %v", request.Tenant, order)
			}
			last[request.Tenant] = i
			place[request.Tenant]++
			used := s.usage[request.Tenant].valueAt(testStart) + float64(place[request.Tenant])
			if used <= request.Weight*s.Level()+burst {
				continue
			}
			for _, later := range order[at:] {
				if within(list[later]) {
					t.Fatalf("%s is above its share and goes before %s", request.Tenant, list[later].Tenant)
				}
			}
		}
	})
}

// Under overload, placements are proportional to the weights.
func TestSharesAreProportionalToWeights(t *testing.T) {
	tests := []struct {
		fault Fault
		seen  bool
	}{{"", false}, {FaultEqualWeights, true}, {FaultNoShares, true}}
	for _, test := range tests {
		s := New()
		s.fault = test.fault
		weights := map[rune]float64{'a': 1, 'b': 2, 'c': 5}
		list := waiting("cccccccccccbbbbbbbbbbbaaaaaaaaaaa", weights)
		placedBy := map[string]int{}
		const places = 4000
		for i := range places {
			now := testStart.Add(time.Duration(i) * 10 * ms)
			next := list[s.Order(now, list)[0]]
			s.RecordPlacement(now, next) // the tenant queues another request
			placedBy[next.Tenant]++
		}
		off := 0.0
		for tenant, weight := range weights {
			off = max(off, math.Abs(float64(placedBy[string(tenant)])/places-weight/8))
		}
		if seen := off > 0.05; seen != test.seen {
			t.Errorf("%q: %v, deviation %.3f", test.fault, placedBy, off)
		}
	}
}

// queued is a request in a queue of ranks and classes.
type queued struct{ rank, class, at, tenant int }

// Shares reorder requests only within their rank and class, and never promised ones.
func TestWithinKeepsRanksAndClasses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := make([]queued, rapid.IntRange(0, 40).Draw(t, "waiting"))
		for i := range list {
			draw := func(label string, most int) int { return rapid.IntRange(0, most).Draw(t, label) }
			list[i] = queued{draw("rank", 2), draw("class", 2), i, draw("tenant", 3)}
		}
		compare := func(a, b queued) int { return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.class, b.class)) }
		slices.SortStableFunc(list, compare)
		before := slices.Clone(list)
		shares := map[int]*Shares{0: New(), 1: New(), 2: New()}
		for range rapid.IntRange(0, 30).Draw(t, "given") {
			shares[rapid.IntRange(0, 2).Draw(t, "rank")].RecordPlacement(testStart, Request{Tenant: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "tenant"))})
		}
		OrderRuns(testStart, list, func(a, b queued) bool { return compare(a, b) == 0 }, func(e queued) *Shares {
			if e.class == 0 {
				return nil
			}
			return shares[e.rank]
		}, func(e queued) Request { return Request{Tenant: fmt.Sprint(e.tenant)} })
		if !slices.IsSortedFunc(list, compare) {
			t.Fatalf("%v from %v", list, before)
		}
		for i, each := range before {
			if each.class == 0 && list[i] != each {
				t.Fatalf("promised request moved: %v from %v", list, before)
			}
		}
		byTime := func(a, b queued) int { return cmp.Compare(a.at, b.at) }
		if !slices.Equal(slices.SortedFunc(slices.Values(list), byTime), slices.SortedFunc(slices.Values(before), byTime)) {
			t.Fatalf("requests lost or added: %v from %v", list, before)
		}
	})
}

func TestTrackedTenantsAreBounded(t *testing.T) {
	s := New()
	for i := range 3 * maxTenants {
		s.RecordPlacement(testStart.Add(time.Duration(i)*10*time.Microsecond), Request{Tenant: fmt.Sprint(i)})
	}
	if n := s.Tenants(); n > maxTenants {
		t.Errorf("%d tenants", n)
	}
	s.RecordPlacement(testStart.Add(10*time.Second), Request{Tenant: "t"})
	if n := s.Tenants(); n != 1 {
		t.Errorf("%d tenants after 10 s", n)
	}
}

// hotTenant replays a leader with a steady rate of free slots, while one of 40 tenants sends
// 7.5 times its usual rate for 6 s. It returns the number of requests of the other tenants,
// how many of those and of the hot tenant's are placed within a second, and the total
// placed. Requests give up after 3 s.
func hotTenant(seed uint64, fault Fault) (calm, calmInTime, hotInTime, placed int) {
	type request struct {
		Request
		at time.Duration
	}
	const tenants, usual, perSecond = 40, 1.0, 44.0
	random := rand.New(rand.NewPCG(seed, 7))
	s := New()
	s.fault = fault
	var list []request
	free := 0.0
	for at := time.Duration(0); at < 12*time.Second; at += ms {
		for tenant := range tenants {
			rate := usual
			if tenant == 0 && at >= 3*time.Second && at < 9*time.Second {
				rate *= 7.5
			}
			// One large tenant with a limit in proportion.
			weight := 1.6
			if tenant == 1 {
				rate, weight = 4*rate, 4*weight
			}
			if random.Float64() < rate/1000 {
				list = append(list, request{Request{fmt.Sprint(tenant), weight}, at})
				if tenant != 0 {
					calm++
				}
			}
		}
		list = slices.DeleteFunc(list, func(r request) bool { return at-r.at > 3*time.Second })
		free = min(free+perSecond/1000, 2)
		for free >= 1 && len(list) > 0 {
			now := testStart.Add(at)
			OrderRuns(now, list, func(_, _ request) bool { return true }, func(request) *Shares { return s }, func(r request) Request { return r.Request })
			first := list[0]
			list = slices.Delete(list, 0, 1)
			slices.SortStableFunc(list, func(a, b request) int { return cmp.Compare(a.at, b.at) })
			s.RecordPlacement(now, first.Request)
			free--
			placed++
			switch {
			case at-first.at > time.Second:
			case first.Tenant == "0":
				hotInTime++
			default:
				calmInTime++
			}
		}
	}
	return calm, calmInTime, hotInTime, placed
}

// Guards against one overactive tenant taking the capacity of all others of its rank, and
// against unused slots.
func TestHotTenantDoesNotAffectOthers(t *testing.T) {
	for _, fault := range []Fault{FaultNone, FaultNoShares} {
		calm, calmInTime, hotInTime, placed := 0, 0, 0, 0
		for seed := range uint64(5) {
			a, b, c, d := hotTenant(seed, fault)
			calm, calmInTime, hotInTime, placed = calm+a, calmInTime+b, hotInTime+c, placed+d
		}
		t.Logf("%q: %d requests of other tenants, %d on time; %d of the hot tenant on time; %d placed", fault, calm, calmInTime, hotInTime, placed)
		if late := float64(calm-calmInTime) / float64(calm); late > 0.02 != (fault == FaultNoShares) {
			t.Errorf("%q: %.3f of the other tenants' requests late", fault, late)
		}
	}
}

func BenchmarkOrder(b *testing.B) {
	for _, tenants := range []int{40, 4300} {
		b.Run(fmt.Sprint(tenants, " tenants"), func(b *testing.B) {
			s := New()
			list := make([]Request, 200)
			for i := range list {
				list[i] = Request{Tenant: fmt.Sprint(i * 7 % tenants), Weight: 5}
			}
			for i := range tenants {
				s.RecordPlacement(testStart, Request{Tenant: fmt.Sprint(i), Weight: 5})
			}
			for i := 0; b.Loop(); i++ {
				s.Order(testStart.Add(time.Duration(i)*time.Millisecond), list)
			}
		})
	}
}
