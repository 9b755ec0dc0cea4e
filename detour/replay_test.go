package detour

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/placement"
	"github.com/dykewing/dykewing/ratelimit"
	"github.com/dykewing/dykewing/route"
)

// fleet replays a cut: some frontends lose all stores for a while, the others keep them,
// and the frontends reach each other. Each tenant's requests come at any frontend.
type fleet struct {
	random    *rand.Rand
	frontends []*frontend
	view      []api.Node // all of them
	stores    []api.Node
	owners    map[api.NodeID]*ratelimit.Owner
	sequence  uint64
}

type frontend struct {
	node   api.Node
	cut    bool
	ways   *Ways
	holder *ratelimit.Holder
}

const (
	cutAt  = 10 * time.Second
	cutTo  = 14 * time.Second
	length = 18 * time.Second
	within = 60 * ms // for an owner
	trip   = 2 * ms  // there and back
)

var tolerance = ratelimit.Tolerance{Window: 5 * time.Second, Overshoot: 0.1, Allowance: 20}

func newFleet(seed uint64, cut func(i int) bool, fault Fault) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), owners: map[api.NodeID]*ratelimit.Owner{}}
	for i := range 8 {
		node := api.Node{ID: api.NodeID(fmt.Sprint("store-", i)), Role: api.RoleStore}
		f.stores = append(f.stores, node)
		f.owners[node.ID] = ratelimit.NewOwner(tolerance)
	}
	for i := range 30 {
		zone := api.ZoneName(fmt.Sprint(i % 3))
		each := &frontend{
			node: api.Node{ID: api.NodeID(fmt.Sprint("frontend-", i)), Role: api.RoleFrontend, Location: api.Location{Zone: zone}},
			cut:  cut(i), ways: New(), holder: ratelimit.NewHolder(tolerance),
		}
		each.ways.fault = fault
		f.frontends = append(f.frontends, each)
		f.view = append(f.view, each.node)
	}
	return f
}

func (f *fleet) reaches(by *frontend, at time.Duration) bool {
	return !by.cut || at < cutAt || at >= cutTo
}

// end is how a way ends.
type end struct {
	at     time.Duration
	way    Way
	result Result
	grant  ratelimit.Grant
}

// send asks by one way, from at on, and gives how it ends; last is when the answer is of
// no use any more.
func (f *fleet) send(by *frontend, way Way, owner api.NodeID, ask ratelimit.Ask, at, last time.Duration) end {
	step := func(reached time.Duration) ratelimit.Grant {
		return f.owners[owner].Step(start.Add(reached), ask, false)
	}
	if way.Straight() {
		if !f.reaches(by, at) {
			return end{at: last, way: way, result: Silent}
		}
		return end{at: at + trip, way: way, result: Answered, grant: step(at + trip/2)}
	}
	peer := f.frontends[slices.IndexFunc(f.frontends, func(other *frontend) bool { return other.node.ID == way.Via })]
	now := start.Add(at + trip/2)
	switch {
	case !peer.ways.Reaches(now, owner):
		return end{at: at + trip, way: way, result: Unreached}
	case !f.reaches(peer, at):
		peer.ways.Passed(now, owner, Silent)
		return end{at: max(last-10*ms, at) + trip/2, way: way, result: Unreached}
	}
	peer.ways.Passed(now, owner, Answered)
	return end{at: at + 2*trip, way: way, result: Answered, grant: step(at + trip)}
}

// ask is one question to an owner; false: no answer until took is over.
func (f *fleet) ask(by *frontend, owner api.NodeID, ask ratelimit.Ask, from time.Duration) (grant ratelimit.Grant, took time.Duration, ok bool) {
	q, at, last := by.ways.Begin(start.Add(from), owner, true), from, from+within
	var open []end
	more := true
	next := func() {
		var way Way
		if way, more = q.Next(start.Add(at), func() []api.NodeID { return Peers(by.node, f.view) }); more {
			open = append(open, f.send(by, way, owner, ask, at, last))
		}
	}
	next()
	for more || len(open) > 0 {
		slices.SortStableFunc(open, func(a, b end) int { return cmp.Compare(a.at, b.at) })
		due := q.Due().Sub(start)
		if more && (len(open) == 0 || due <= open[0].at) {
			at = max(at, due)
			next()
			continue
		}
		first := open[0]
		open, at = open[1:], first.at
		q.Ended(start.Add(at), first.way, first.result)
		if first.result == Answered && !ok {
			grant, took, ok, more = first.grant, at-from, true, false
		} else if more {
			next()
		}
	}
	return grant, cmp.Or(took, within), ok
}

// asked is what became of one request.
type asked struct {
	at, took time.Duration
	tenant   int
	admitted bool
	alone    bool
	straight bool
}

func (f *fleet) request(at time.Duration, tenant int, limit route.Limit) asked {
	by := f.frontends[f.random.IntN(len(f.frontends))]
	name, result := fmt.Sprint("tenant-", tenant), asked{at: at, tenant: tenant}
	decision, _ := by.holder.Arrive(start.Add(at), name)
	if decision != ratelimit.Query {
		result.admitted = decision == ratelimit.Admit
		return result
	}
	tried := 0
	for _, owner := range placement.Stores(name, f.stores) {
		now := start.Add(at + result.took)
		if tried == 2 || !by.holder.Usable(now, string(owner.ID)) {
			continue
		}
		tried++
		question := by.holder.Ask(now, string(owner.ID), name, limit, 1, 1)
		f.sequence++
		question.Holder, question.Sequence = string(by.node.ID), f.sequence
		grant, took, ok := f.ask(by, owner.ID, question, at+result.took)
		result.took += took
		now = start.Add(at + result.took)
		if ok {
			result.straight = by.ways.Via(owner.ID) == ""
			result.admitted = by.holder.Granted(now, string(owner.ID), question, grant, 1) == 1
			return result
		}
		by.holder.Silent(now, string(owner.ID), name)
	}
	result.alone = true
	result.admitted = by.holder.Alone(start.Add(at+result.took), name, limit, len(f.frontends), f.random.Float64())
	return result
}

// run plays 40 tenants of 8 requests a second under a limit of 1.6 times that; the first
// one sends 7.5 times its usual while the cut lasts.
func (f *fleet) run() (all []asked) {
	limit := route.Limit{Rate: 12.8, Burst: 12.8}
	for now := time.Duration(0); now < length; now += ms {
		for tenant := range 40 {
			rate := 8.0
			if tenant == 0 && now >= cutAt && now < cutTo {
				rate *= 7.5
			}
			if f.random.Float64() < rate/1000 {
				all = append(all, f.request(now, tenant, limit))
			}
		}
	}
	return all
}

// The load: a third of the frontends reach no owner while a tenant is hot. Through peers
// hardly a request is decided without an owner, the answer comes in time, the hot
// tenant stays within its bound, and all go straight again soon after.
func TestACutFromTheOwnersIsPassedRound(t *testing.T) {
	limit := route.Limit{Rate: 12.8, Burst: 12.8}
	anywhere := func(i int) bool { return i < 10 }
	zone := func(i int) bool { return i%3 == 0 }
	tests := []struct {
		name  string
		cut   func(i int) bool
		fault Fault
		seen  string // what the plant shows
	}{
		{"a third of each zone", anywhere, FaultNone, ""},
		{"a whole zone", zone, FaultNone, ""},
		{"planted: no peer", anywhere, FaultNoPeer, "alone"},
		{"planted: no trial", anywhere, FaultNoTrial, "straight"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			during, alone, refused, late, bent := 0, 0, 0, 0, 0
			worst := 0
			for seed := range uint64(3) {
				var hot []time.Duration
				for _, each := range newFleet(seed, test.cut, test.fault).run() {
					if each.took > 2*within {
						t.Errorf("decided after %v", each.took)
					}
					if each.tenant == 0 && each.admitted {
						hot = append(hot, each.at)
					}
					if each.at >= cutTo+1500*ms && each.took > 0 && !each.straight {
						bent++
					}
					if each.tenant == 0 || each.at < cutAt+100*ms || each.at >= cutTo {
						continue
					}
					during++
					if each.alone {
						alone++
					}
					if !each.admitted {
						refused++
					}
					if each.took > 25*ms {
						late++
					}
				}
				for i, at := range hot {
					n := 0
					for _, other := range hot[i:] {
						if other < at+tolerance.Window {
							n++
						}
					}
					worst = max(worst, n)
				}
			}
			t.Logf("%d requests of calm tenants in the cut: %d alone, %d refused, %d over 25 ms; hot %d in a window of %.0f; %d not straight after",
				during, alone, refused, late, worst, tolerance.Bound(limit), bent)
			failed := map[string]bool{
				"alone": alone*100 > during, "refused": refused*100 > during, "slow": late*20 > during,
				"bound": worst > int(tolerance.Bound(limit)), "straight": bent > 0,
			}
			if test.seen != "" {
				if !failed[test.seen] {
					t.Errorf("the plant is not seen")
				}
				return
			}
			for what, bad := range failed {
				if bad {
					t.Errorf("failed: %s", what)
				}
			}
		})
	}
}
