package ratelimit

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dykewing/dykewing/route"
)

// modelRun drives holders and owners through drawn events. Requests arrive faster than any
// token, messages are lost, late, duplicated and reordered, processes restart, holders are cut
// off, owners change and the limit is lowered.
type modelRun struct {
	t       *rapid.T
	random  *rand.Rand // of what is drawn for each request
	lossy   bool       // messages are lost, late and duplicated
	fault   Fault
	limits  []route.RateLimit // by version
	known   []int64           // newest version known to each holder
	start   time.Time
	now     time.Time
	holders []*Holder
	cutOff  []bool
	owner   *Owner // nil: none grants
	epoch   uint64
	// registered are the holders whose registrations outlast owners.
	registered map[string]bool
	instances  uint64
	sequence   uint64
	delayed    []delayedRequest
	ran        []time.Duration
	// bindsFrom is when the lowest limit began to bind; 0: it does not.
	bindsFrom time.Duration
}

type delayedRequest struct {
	owner   *Owner
	request TokenRequest
}

func newModelRun(t *rapid.T, fault Fault) *modelRun {
	rate := rapid.SampledFrom([]float64{0.05, 0.5, 3, 12, 48, 200}).Draw(t, "rate")
	burst := rate * rapid.SampledFrom([]float64{0, 0.2, 1, 5}).Draw(t, "burst seconds")
	n := rapid.IntRange(1, 60).Draw(t, "holders")
	m := &modelRun{
		t: t, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), fault: fault, limits: []route.RateLimit{{Rate: rate, Burst: burst}}, start: time.Unix(1_700_000_000, 0),
		registered: map[string]bool{}, holders: make([]*Holder, n), cutOff: make([]bool, n), known: make([]int64, n),
	}
	m.now = m.start
	for i := range m.holders {
		m.holders[i] = newHolder(fmt.Sprint(i), 1)
	}
	m.instances = 1
	m.elect(m.start.Add(-time.Hour))
	return m
}

// elect begins the epoch of a new owner.
func (m *modelRun) elect(start time.Time) {
	m.epoch++
	m.owner = newSoleOwner(m.epoch, start, slices.Sorted(maps.Keys(m.registered)))
	m.owner.fault = m.fault
}

// arrive lets a request arrive at a holder.
func (m *modelRun) arrive(i int) {
	h, limit := m.holders[i], m.limits[m.known[i]]
	verdict := h.Decide(m.now, "t", limit)
	ok := verdict.Decision == Admit
	if verdict.Decision == AskOwner {
		ok = m.ask(i) || h.DecideLocally(m.now, "t", limit).Decision == Admit || m.askPeer(i)
	}
	if ok {
		m.ran = append(m.ran, m.now.Sub(m.start))
	}
}

func (m *modelRun) ask(i int) bool {
	h, limit := m.holders[i], m.limits[m.known[i]]
	if m.owner == nil || m.cutOff[i] {
		return false
	}
	request := h.NewRequest(m.now, "t", limit, m.known[i], 1)
	m.sequence++
	request.Sequence = m.sequence
	message := 9
	if m.lossy {
		message = m.random.IntN(10)
	}
	switch message {
	case 0: // lost
		return false
	case 1: // arrives later
		m.delayed = append(m.delayed, delayedRequest{m.owner, request})
		return false
	case 2: // answer lost
		m.owner.HandleRequest(m.now, request)
		return false
	case 3: // duplicated
		m.owner.HandleRequest(m.now, request)
	}
	if !m.owner.IsRegistered(request.Holder) && m.random.IntN(3) == 0 {
		m.registered[request.Holder] = true
		m.owner.Register(m.now, request.Holder)
	}
	admitted, ok := h.ApplyGrant(m.now, m.now, "o", request, m.owner.HandleRequest(m.now, request), 1)
	return ok && admitted == 1
}

func (m *modelRun) askPeer(i int) bool {
	peer := m.random.IntN(len(m.holders))
	return m.holders[peer].GiveTokens(m.now, "t", m.limits[m.known[i]], 1) == 1
}

// disturb applies one event beside the traffic.
func (m *modelRun) disturb() {
	i := rapid.IntRange(0, len(m.holders)-1).Draw(m.t, "holder")
	switch rapid.IntRange(0, 9).Draw(m.t, "event") {
	case 0:
		m.instances++
		m.holders[i] = newHolder(fmt.Sprint(i), m.instances)
	case 1:
		from := rapid.IntRange(0, len(m.holders)).Draw(m.t, "cut off")
		for j := range m.cutOff {
			m.cutOff[j] = j < from
		}
	case 2:
		clear(m.cutOff)
	case 3: // the owner stops granting
		m.owner = nil
	case 4: // another one takes over once the lease of the previous one has ended
		m.now = m.now.Add(minOwnerTerm)
		m.elect(m.now)
	case 5:
		for _, each := range m.delayed {
			if each.owner == m.owner && m.owner != nil {
				each.owner.HandleRequest(m.now, each.request)
			}
		}
		m.delayed = nil
	case 6:
		if len(m.limits) == 1 {
			factor := rapid.SampledFrom([]float64{2, 4, 20}).Draw(m.t, "lowered by")
			m.limits = append(m.limits, route.RateLimit{Rate: m.limits[0].Rate / factor, Burst: m.limits[0].Burst / factor})
		}
		m.known[i] = int64(len(m.limits) - 1)
	case 7:
		if len(m.limits) > 1 && m.bindsFrom == 0 {
			for j := range m.known {
				m.known[j] = 1
			}
			m.bindsFrom = m.now.Sub(m.start) + tolerance.Window
		}
	case 8:
		if m.owner != nil {
			for _, holder := range m.owner.ExpiredHolders(m.now) {
				m.owner.Unregister(m.now, holder)
				delete(m.registered, holder)
			}
		}
	case 9:
		m.now = m.now.Add(time.Duration(rapid.IntRange(0, 30_000).Draw(m.t, "idle ms")) * time.Millisecond)
	}
}

func (m *modelRun) run() {
	for range rapid.IntRange(1, 20).Draw(m.t, "phases") {
		m.disturb()
		m.lossy = rapid.Bool().Draw(m.t, "lossy")
		busy := rapid.IntRange(1, len(m.holders)).Draw(m.t, "busy holders")
		pause := rapid.SampledFrom([]time.Duration{5 * time.Millisecond, 30 * time.Millisecond, 200 * time.Millisecond}).Draw(m.t, "pause")
		for range rapid.IntRange(1, 300).Draw(m.t, "rounds") {
			for i := range busy {
				m.arrive((int(m.epoch)*7 + i) % len(m.holders))
			}
			m.now = m.now.Add(pause)
		}
	}
}

// excess returns by how many requests the worst window exceeds the bound of the limit in force.
func (m *modelRun) excess() int {
	worst := excess(m.ran, tolerance.Bound(m.limits[0]))
	if m.bindsFrom > 0 {
		later := slices.DeleteFunc(slices.Clone(m.ran), func(at time.Duration) bool { return at < m.bindsFrom })
		worst = max(worst, excess(later, tolerance.Bound(m.limits[1])))
	}
	return worst
}

// No order of losses, delays, restarts and owner changes lets a tenant exceed the bound.
func TestModelStaysWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModelRun(t, FaultNone)
		m.run()
		if excess := m.excess(); excess > 0 {
			t.Fatalf("%d requests above the bound under %+v", excess, m.limits)
		}
	})
}

func TestModelDetectsInjectedFaults(t *testing.T) {
	for _, fault := range []Fault{FaultNewOwnerFullBucket, FaultForgetLeases, FaultRefillFully} {
		t.Run(string(fault), func(t *testing.T) {
			run := rapid.Custom(func(t *rapid.T) int {
				m := newModelRun(t, fault)
				m.run()
				return m.excess()
			})
			for seed := range 4000 {
				if run.Example(seed) > 0 {
					return
				}
			}
			t.Error("no run exceeded the bound")
		})
	}
}

// The parts of a budget must not add up to more than a window may contain.
func TestBudgetIsWithinTolerance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tol := Tolerance{
			Window:    time.Duration(rapid.IntRange(100, 60_000).Draw(t, "window ms")) * time.Millisecond,
			Overshoot: rapid.Float64Range(0, 1).Draw(t, "overshoot"), Allowance: rapid.Float64Range(0, 200).Draw(t, "allowance"),
		}
		limit := route.RateLimit{Rate: rapid.Float64Range(0.001, 5000).Draw(t, "rate"), Burst: rapid.Float64Range(0, 5000).Draw(t, "burst")}
		b := tol.budget(limit)
		window := tol.Window.Seconds()
		most := b.capacity + b.depth + limit.Rate*(window+GrantTTL.Seconds()+maxClockDrift*window) + b.startLevel*window/minOwnerTerm.Seconds()
		if most > tol.Bound(limit)+1e-6 && b.capacity > 1 {
			t.Fatalf("%.3f requests may run in a window, %.3f are allowed: %+v", most, tol.Bound(limit), b)
		}
		if b.share < 0 || b.share > maxLeased || b.depth < 0 {
			t.Fatalf("%+v", b)
		}
	})
}
