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

// fleet replays a partition: for a while some frontends cannot reach any store, while all
// frontends reach each other. The requests of each tenant arrive at random frontends.
type fleet struct {
	random    *rand.Rand
	frontends []*frontend
	members   []api.Node // all frontends
	stores    []api.Node
	owners    map[api.NodeID]*ratelimit.Owner
	sequence  uint64
}

type frontend struct {
	node     api.Node
	isolated bool
	ways     *Paths
	holder   *ratelimit.Holder
}

const (
	outageStart  = 10 * time.Second
	outageEnd    = 14 * time.Second
	replayLength = 18 * time.Second
	ownerTimeout = 60 * ms // timeout for an answer of an owner
	roundTrip    = 2 * ms
)

var tolerance = ratelimit.Tolerance{Window: 5 * time.Second, Overshoot: 0.1, Allowance: 20}

func newFleet(seed uint64, cut func(i int) bool, fault Fault) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), owners: map[api.NodeID]*ratelimit.Owner{}}
	for i := range 8 {
		node := api.Node{ID: api.NodeID(fmt.Sprint("store-", i)), Role: api.RoleStore}
		f.stores = append(f.stores, node)
		owner := ratelimit.NewOwner(tolerance, 1, testStart.Add(-time.Hour), nil)
		owner.Confirm(testStart.Add(-time.Hour), testStart.Add(time.Hour))
		f.owners[node.ID] = owner
	}
	for i := range 30 {
		zone := api.ZoneName(fmt.Sprint(i % 3))
		each := &frontend{
			node:     api.Node{ID: api.NodeID(fmt.Sprint("frontend-", i)), Role: api.RoleFrontend, Location: api.Location{Zone: zone}},
			isolated: cut(i), ways: New(), holder: ratelimit.NewHolder(ratelimit.HolderSettings{Tolerance: tolerance, ID: fmt.Sprint("frontend-", i), Domain: func(string) string { return "" }}),
		}
		each.ways.fault = fault
		f.frontends = append(f.frontends, each)
		f.members = append(f.members, each.node)
	}
	return f
}

func (f *fleet) reaches(by *frontend, at time.Duration) bool {
	return !by.isolated || at < outageStart || at >= outageEnd
}

// pathResult is the result of a query on one path.
type pathResult struct {
	at     time.Duration
	way    Path
	result Result
	grant  ratelimit.Grant
}

// send sends a query on one path at the given time. An answer later than last is useless.
func (f *fleet) send(by *frontend, way Path, owner api.NodeID, ask ratelimit.TokenRequest, at, last time.Duration) pathResult {
	step := func(reached time.Duration) ratelimit.Grant {
		return f.owners[owner].HandleRequest(testStart.Add(reached), ask)
	}
	if way.Direct() {
		if !f.reaches(by, at) {
			return pathResult{at: last, way: way, result: NoAnswer}
		}
		return pathResult{at: at + roundTrip, way: way, result: Answered, grant: step(at + roundTrip/2)}
	}
	peer := f.frontends[slices.IndexFunc(f.frontends, func(other *frontend) bool { return other.node.ID == way.Relay })]
	now := testStart.Add(at + roundTrip/2)
	switch {
	case !peer.ways.Reaches(now, owner):
		return pathResult{at: at + roundTrip, way: way, result: Unreachable}
	case !f.reaches(peer, at):
		peer.ways.RecordRelayed(now, owner, NoAnswer)
		return pathResult{at: max(last-10*ms, at) + roundTrip/2, way: way, result: Unreachable}
	}
	peer.ways.RecordRelayed(now, owner, Answered)
	return pathResult{at: at + 2*roundTrip, way: way, result: Answered, grant: step(at + roundTrip)}
}

// query sends one query to an owner. It returns false if there was no answer before the
// timeout.
func (f *fleet) query(by *frontend, owner api.NodeID, ask ratelimit.TokenRequest, from time.Duration) (grant ratelimit.Grant, took time.Duration, ok bool) {
	q, at, last := by.ways.Begin(testStart.Add(from), owner, true), from, from+ownerTimeout
	var pending []pathResult
	more := true
	next := func() {
		var way Path
		if way, more = q.Next(testStart.Add(at), func() []api.NodeID { return RelayCandidates(by.node, f.members) }); more {
			pending = append(pending, f.send(by, way, owner, ask, at, last))
		}
	}
	next()
	for more || len(pending) > 0 {
		slices.SortStableFunc(pending, func(a, b pathResult) int { return cmp.Compare(a.at, b.at) })
		due := q.Due().Sub(testStart)
		if more && (len(pending) == 0 || due <= pending[0].at) {
			at = max(at, due)
			next()
			continue
		}
		first := pending[0]
		pending, at = pending[1:], first.at
		q.RecordResult(testStart.Add(at), first.way, first.result)
		if first.result == Answered && !ok {
			grant, took, ok, more = first.grant, at-from, true, false
		} else if more {
			next()
		}
	}
	return grant, cmp.Or(took, ownerTimeout), ok
}

// requestResult is the outcome of one request.
type requestResult struct {
	at, took       time.Duration
	tenant         int
	admitted       bool
	decidedLocally bool
	direct         bool
}

func (f *fleet) request(at time.Duration, tenant int, limit route.RateLimit) requestResult {
	by := f.frontends[f.random.IntN(len(f.frontends))]
	name, result := fmt.Sprint("tenant-", tenant), requestResult{at: at, tenant: tenant}
	now := testStart.Add(at)
	if verdict := by.holder.Decide(now, name, limit); verdict.Decision != ratelimit.AskOwner {
		result.admitted = verdict.Decision == ratelimit.Admit
		return result
	}
	owner := placement.RankStores(name, f.stores)[0]
	if by.holder.Available(now, string(owner.ID)) {
		ask := by.holder.NewRequest(now, name, limit, 1, 1)
		f.sequence++
		ask.Sequence = f.sequence
		grant, took, ok := f.query(by, owner.ID, ask, at)
		result.took += took
		answeredAt := testStart.Add(at + took)
		if ok {
			result.direct = by.ways.Relay(owner.ID) == ""
			admitted, _ := by.holder.ApplyGrant(answeredAt, now, string(owner.ID), ask, grant, 1)
			result.admitted = admitted == 1 || by.holder.DecideLocally(answeredAt, name, limit).Decision == ratelimit.Admit
			return result
		}
		by.holder.MarkUnresponsive(answeredAt, string(owner.ID))
	}
	result.decidedLocally = true
	result.admitted = by.holder.DecideLocally(testStart.Add(at+result.took), name, limit).Decision == ratelimit.Admit
	return result
}

// run replays 40 tenants with 8 requests a second each and a limit of 1.6 times that. The
// first tenant sends 7.5 times its usual rate during the outage.
func (f *fleet) run() (all []requestResult) {
	limit := route.RateLimit{Rate: 12.8, Burst: 12.8}
	for now := time.Duration(0); now < replayLength; now += ms {
		for tenant := range 40 {
			rate := 8.0
			if tenant == 0 && now >= outageStart && now < outageEnd {
				rate *= 7.5
			}
			if f.random.Float64() < rate/1000 {
				all = append(all, f.request(now, tenant, limit))
			}
		}
	}
	return all
}

// Guards against local rate-limit decisions, late answers and exceeded limits while a third
// of the frontends reach no owner and one tenant is over its limit.
func TestQueriesAreRelayedDuringPartition(t *testing.T) {
	limit := route.RateLimit{Rate: 12.8, Burst: 12.8}
	third := func(i int) bool { return i < 10 }
	zone := func(i int) bool { return i%3 == 0 }
	tests := []struct {
		name  string
		cut   func(i int) bool
		fault Fault
		check string // the check that must fail under the fault
	}{
		{"a third of each zone", third, FaultNone, ""},
		{"a whole zone", zone, FaultNone, ""},
		{"fault: no relay", third, FaultNoRelay, "local"},
		{"fault: no probe", third, FaultNoProbe, "relayed"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			during, local, rejected, late, relayed := 0, 0, 0, 0, 0
			worst := 0
			for seed := range uint64(3) {
				var hot []time.Duration
				for _, each := range newFleet(seed, test.cut, test.fault).run() {
					if each.took > 2*ownerTimeout {
						t.Errorf("decided after %v", each.took)
					}
					if each.tenant == 0 && each.admitted {
						hot = append(hot, each.at)
					}
					if each.at >= outageEnd+1500*ms && each.took > 0 && !each.direct {
						relayed++
					}
					if each.tenant == 0 || each.at < outageStart+100*ms || each.at >= outageEnd {
						continue
					}
					during++
					if each.decidedLocally {
						local++
					}
					if !each.admitted {
						rejected++
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
			t.Logf("%d requests of other tenants during the outage: %d decided locally, %d rejected, %d over 25 ms; hot tenant %d in a window of %.0f; %d relayed afterwards",
				during, local, rejected, late, worst, tolerance.Bound(limit), relayed)
			failed := map[string]bool{
				"local": local*100 > during, "rejected": rejected*100 > during, "slow": late*20 > during,
				"bound": worst > int(tolerance.Bound(limit)), "relayed": relayed > 0,
			}
			if test.check != "" {
				if !failed[test.check] {
					t.Errorf("injected fault not detected")
				}
				return
			}
			for what, bad := range failed {
				if bad {
					t.Errorf("check failed: %s", what)
				}
			}
		})
	}
}
