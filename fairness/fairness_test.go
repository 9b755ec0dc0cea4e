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

var start = time.Unix(1_700_000_000, 0)

const ms = time.Millisecond

// waiting is requests of tenants, a letter each, in the order in which they came.
func waiting(tenants string, weights map[rune]float64) (list []Request) {
	for _, tenant := range tenants {
		list = append(list, Request{Tenant: string(tenant), Weight: weights[tenant]})
	}
	return list
}

func TestOrder(t *testing.T) {
	tests := []struct {
		name    string
		given   string // just now
		weights map[rune]float64
		came    string
		want    string
		fault   Fault
	}{
		{"nobody is above its share: as they came", "abcd", nil, "dcba", "dcba", ""},
		{"who was given much goes behind", "hhhhhhhhab", nil, "hhhhhab", "abhhhhh", ""},
		{"so do those of one that has many", "abcdefgh", nil, "hhhhhhab", "hhabhhhh", ""},
		{"two hot ones by turns", "ggggggghhhhhhhhh", nil, "hhhgggab", "ggabhghh", ""},
		{"by weight", "gggghhhhhhhh", map[rune]float64{'g': 10, 'h': 80, 'a': 10}, "ggggghhhhha", "hhhahhggggg", ""},
		{"planted: as they came", "hhhhhhhhab", nil, "hhhhhab", "hhhhhab", FaultNoShares},
		{"planted: nothing counts that was given", "hhhhhhhhab", nil, "hhhhhab", "hhabhhh", FaultForgets},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := New()
			s.fault = test.fault
			for _, request := range waiting(test.given, test.weights) {
				s.Served(start, request)
			}
			list, got := waiting(test.came, test.weights), ""
			for _, i := range s.Order(start, list) {
				got += list[i].Tenant
			}
			if got != test.want {
				t.Errorf("%s, not %s (level %.2f)", got, test.want, s.Level())
			}
		})
	}
}

// drawn is tenants that were given and ask for something.
func drawn(t *rapid.T) (*Shares, []Request) {
	s, weights := New(), map[string]float64{}
	tenant := func() Request {
		name := fmt.Sprint(rapid.IntRange(0, 8).Draw(t, "tenant"))
		if _, known := weights[name]; !known {
			weights[name] = float64(rapid.IntRange(1, 5).Draw(t, "weight"))
		}
		return Request{Tenant: name, Weight: weights[name]}
	}
	for range rapid.IntRange(0, 60).Draw(t, "given") {
		s.Served(start.Add(-time.Duration(rapid.IntRange(0, 1000).Draw(t, "ago"))*ms), tenant())
	}
	list := make([]Request, rapid.IntRange(0, 40).Draw(t, "waiting"))
	for i := range list {
		list[i] = tenant()
	}
	return s, list
}

// Everything that waits is in the order once, a tenant's own in the order in which they
// came, and who asks for no more than its share waits for nobody's excess.
func TestNobodyWithinItsShareWaitsForExcess(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, list := drawn(t)
		order := s.Order(start, list)
		if sorted := slices.Sorted(slices.Values(order)); len(sorted) != len(list) || len(slices.Compact(sorted)) != len(list) {
			t.Fatalf("%v of %d", order, len(list))
		}
		last, asked := map[string]int{}, map[string]float64{}
		for _, request := range list {
			asked[request.Tenant]++
		}
		within := func(r Request) bool {
			return asked[r.Tenant]+s.given[r.Tenant].now(start) <= r.Weight*s.Level()+1e-9
		}
		place := map[string]int{}
		for at, i := range order {
			request := list[i]
			if before, known := last[request.Tenant]; known && before > i {
				t.Fatalf("tenant %s out of order: %v", request.Tenant, order)
			}
			last[request.Tenant] = i
			place[request.Tenant]++
			used := s.given[request.Tenant].now(start) + float64(place[request.Tenant])
			if used <= request.Weight*s.Level()+burst {
				continue
			}
			for _, later := range order[at:] {
				if within(list[later]) {
					t.Fatalf("%s has more than its share and goes before %s", request.Tenant, list[later].Tenant)
				}
			}
		}
	})
}

// While all ask for more than there is, each is given its weight's part.
func TestSharesAreByWeight(t *testing.T) {
	tests := []struct {
		fault Fault
		seen  bool
	}{{"", false}, {FaultEqual, true}, {FaultNoShares, true}}
	for _, test := range tests {
		s := New()
		s.fault = test.fault
		weights := map[rune]float64{'a': 1, 'b': 2, 'c': 5}
		list := waiting("cccccccccccbbbbbbbbbbbaaaaaaaaaaa", weights)
		given := map[string]int{}
		const places = 4000
		for i := range places {
			now := start.Add(time.Duration(i) * 10 * ms)
			next := list[s.Order(now, list)[0]]
			s.Served(now, next) // another one of the tenant comes in its place
			given[next.Tenant]++
		}
		off := 0.0
		for tenant, weight := range weights {
			off = max(off, math.Abs(float64(given[string(tenant)])/places-weight/8))
		}
		if seen := off > 0.05; seen != test.seen {
			t.Errorf("%q: %v, %.3f off", test.fault, given, off)
		}
	}
}

// entry is one that waits in a queue of ranks and classes.
type entry struct{ rank, class, at, tenant int }

// Shares move nobody out of its rank and class, and leave promised places alone.
func TestRanksAndClassesStand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := make([]entry, rapid.IntRange(0, 40).Draw(t, "waiting"))
		for i := range list {
			draw := func(label string, most int) int { return rapid.IntRange(0, most).Draw(t, label) }
			list[i] = entry{draw("rank", 2), draw("class", 2), i, draw("tenant", 3)}
		}
		compare := func(a, b entry) int { return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.class, b.class)) }
		slices.SortStableFunc(list, compare)
		before := slices.Clone(list)
		shares := map[int]*Shares{0: New(), 1: New(), 2: New()}
		for range rapid.IntRange(0, 30).Draw(t, "given") {
			shares[rapid.IntRange(0, 2).Draw(t, "rank")].Served(start, Request{Tenant: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "tenant"))})
		}
		Within(start, list, func(a, b entry) bool { return compare(a, b) == 0 }, func(e entry) *Shares {
			if e.class == 0 {
				return nil
			}
			return shares[e.rank]
		}, func(e entry) Request { return Request{Tenant: fmt.Sprint(e.tenant)} })
		if !slices.IsSortedFunc(list, compare) {
			t.Fatalf("%v from %v", list, before)
		}
		for i, each := range before {
			if each.class == 0 && list[i] != each {
				t.Fatalf("a promised place moved: %v from %v", list, before)
			}
		}
		byTime := func(a, b entry) int { return cmp.Compare(a.at, b.at) }
		if !slices.Equal(slices.SortedFunc(slices.Values(list), byTime), slices.SortedFunc(slices.Values(before), byTime)) {
			t.Fatalf("not the same requests: %v from %v", list, before)
		}
	})
}

func TestWhatIsCountedIsBounded(t *testing.T) {
	s := New()
	for i := range 3 * mostTenants {
		s.Served(start.Add(time.Duration(i)*10*time.Microsecond), Request{Tenant: fmt.Sprint(i)})
	}
	if n := s.Tenants(); n > mostTenants {
		t.Errorf("%d tenants", n)
	}
	s.Served(start.Add(10*time.Second), Request{Tenant: "t"})
	if n := s.Tenants(); n != 1 {
		t.Errorf("%d tenants 10 s later", n)
	}
}

// hotTenant replays a leader whose slots come free at a steady rate while one of 40
// tenants sends 7.5 times its usual for 6 s: how many of the calm ones' requests, and of
// the hot one's, are placed within a second, and how many are placed in all. Who is not
// placed in 3 s goes away.
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
			// A large one beside many small ones: its limit is as large.
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
			now := start.Add(at)
			Within(now, list, func(_, _ request) bool { return true }, func(request) *Shares { return s }, func(r request) Request { return r.Request })
			first := list[0]
			list = slices.Delete(list, 0, 1)
			slices.SortStableFunc(list, func(a, b request) int { return cmp.Compare(a.at, b.at) })
			s.Served(now, first.Request)
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

// The load: a tenant that turns hot takes the room of all others of its rank. With shares
// it costs the others nothing, and no place stays empty.
func TestATenantThatTurnsHotCostsNobodyElse(t *testing.T) {
	for _, fault := range []Fault{FaultNone, FaultNoShares} {
		calm, calmInTime, hotInTime, placed := 0, 0, 0, 0
		for seed := range uint64(5) {
			a, b, c, d := hotTenant(seed, fault)
			calm, calmInTime, hotInTime, placed = calm+a, calmInTime+b, hotInTime+c, placed+d
		}
		t.Logf("%q: of %d requests of calm tenants %d in time; %d of the hot one; %d placed", fault, calm, calmInTime, hotInTime, placed)
		if late := float64(calm-calmInTime) / float64(calm); late > 0.02 != (fault == FaultNoShares) {
			t.Errorf("%q: %.3f of the calm ones' requests late", fault, late)
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
				s.Served(start, Request{Tenant: fmt.Sprint(i), Weight: 5})
			}
			for i := 0; b.Loop(); i++ {
				s.Order(start.Add(time.Duration(i)*time.Millisecond), list)
			}
		})
	}
}
