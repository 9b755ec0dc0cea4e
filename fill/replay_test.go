package fill

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// simulation runs the workers of one leader in simulated time. Online requests follow a
// square wave and take a free slot or preempt an item. Jobs of ten items arrive at a
// constant rate.
type simulation struct {
	policy  policy
	demand  Demand
	random  *rand.Rand
	now     time.Time
	workers []*simWorker
	waiting []*simItem
	queued  []time.Time // arrival times of waiting requests
	room    float64     // moving average of slots available to batch
	reserve float64
	start   StartLimit
	result  result
}

type simWorker struct {
	pace   float64 // factor of all run times
	online []time.Time
	items  []*simItem
}

type simItem struct {
	due         time.Time
	remaining   time.Duration // at pace 1
	startedAt   time.Time
	preemptions int
	standing    Urgency
}

// policy is a set of preemption and start rules under test.
type policy struct {
	name        string
	compare     func(now time.Time, a, b Candidate) int
	startLimit  func(d *Demand, now time.Time, slots, need int, room float64) StartLimit // nil: no limit
	pressedRoom func([]WorkerLoad, float64, int) int                                     // nil: pressed items may use the reserve and are preempted to restore it
}

// scenario is the load of a simulation.
type scenario struct {
	name           string
	slots          int // per worker
	low, high      float64
	lowFor, period time.Duration
	jobRate        float64 // jobs per second
	failedWorkers  int     // workers missing in the second third of the run
}

type result struct{ items, inTime, preemptions, requests, late int }

const (
	tick          = 20 * time.Millisecond
	requestTime   = 620 * time.Millisecond
	itemTime      = 3700 * time.Millisecond
	lateThreshold = 100 * time.Millisecond
	arrivalPeriod = 80 * time.Second
	readInterval  = 200 * time.Millisecond // interval between reads of an item's stream
	prefillTime   = 80 * time.Millisecond
	dueIn         = 18 * time.Second
)

func simulate(s scenario, p policy, seed uint64) result {
	sim := &simulation{policy: p, random: rand.New(rand.NewPCG(seed, 1)), now: start}
	for i := range 12 {
		sim.workers = append(sim.workers, &simWorker{pace: []float64{0.7, 0.7, 1.7}[i%3]})
	}
	for at := time.Duration(0); at < arrivalPeriod+dueIn; at += tick {
		sim.now = start.Add(at)
		rate, jobs := s.low, s.jobRate
		if at%s.period >= s.lowFor {
			rate = s.high
		}
		if at >= arrivalPeriod {
			jobs = 0
		}
		n := len(sim.workers)
		if at > arrivalPeriod/3 && at < 2*arrivalPeriod/3 {
			n -= s.failedWorkers
		}
		sim.finishRuns(n, s.slots)
		for range sim.poisson(rate) {
			sim.result.requests++
			sim.queued = append(sim.queued, sim.now)
		}
		for range sim.poisson(jobs) {
			for range 10 {
				sim.result.items++
				left := time.Duration(float64(itemTime) * (0.7 + 0.6*sim.random.Float64()))
				sim.waiting = append(sim.waiting, &simItem{due: sim.now.Add(dueIn), remaining: left, standing: Normal})
			}
		}
		sim.placeRequests(s.slots, n)
		sim.plan(s.slots, n)
	}
	return sim.result
}

func (sim *simulation) poisson(perSecond float64) (n int) {
	for limit, p := math.Exp(-perSecond*tick.Seconds()), sim.random.Float64(); p > limit; n++ {
		p *= sim.random.Float64()
	}
	return n
}

// finishRuns removes completed requests and items, and preempts items at failed workers.
func (sim *simulation) finishRuns(alive, slots int) {
	for i, w := range sim.workers {
		w.online = slices.DeleteFunc(w.online, func(until time.Time) bool { return !sim.now.Before(until) })
		for i >= alive && len(w.items) > 0 {
			sim.preempt(w, w.items[0])
		}
		w.items = slices.DeleteFunc(w.items, func(item *simItem) bool {
			ran := time.Duration(float64(sim.now.Sub(item.startedAt)-prefillTime) / w.pace)
			if ran >= item.remaining && !sim.now.After(item.due) {
				sim.result.inTime++
			}
			return ran >= item.remaining
		})
	}
}

// preempt stops an item, which later continues after the last event read.
func (sim *simulation) preempt(w *simWorker, item *simItem) {
	sim.result.preemptions++
	w.items = slices.DeleteFunc(w.items, func(other *simItem) bool { return other == item })
	if read := sim.now.Sub(item.startedAt) / readInterval * readInterval; read > prefillTime {
		item.remaining -= time.Duration(float64(read-prefillTime) / w.pace)
	}
	item.preemptions++
	sim.waiting = append(sim.waiting, item)
}

// placeRequests assigns waiting requests to free slots or to those of preempted items.
func (sim *simulation) placeRequests(slots, alive int) {
	for len(sim.queued) > 0 {
		var best *simWorker
		for _, w := range sim.workers[:alive] {
			if len(w.online) < slots && (best == nil || len(w.online)+len(w.items) < len(best.online)+len(best.items)) {
				best = w
			}
		}
		if best == nil {
			return
		}
		if len(best.online)+len(best.items) >= slots {
			sim.preemptItems(best, 1, true)
		}
		best.online = append(best.online, sim.now.Add(time.Duration(float64(requestTime)*best.pace)))
		if sim.now.Sub(sim.queued[0]) > lateThreshold {
			sim.result.late++
		}
		sim.queued = sim.queued[1:]
	}
}

func (sim *simulation) preemptItems(w *simWorker, n int, pressed bool) {
	if n <= 0 {
		return
	}
	items := slices.Clone(w.items)
	slices.SortStableFunc(items, func(a, b *simItem) int {
		return sim.policy.compare(sim.now, sim.runningItem(w, a), sim.runningItem(w, b))
	})
	for _, item := range items {
		if n > 0 && (pressed || item.standing != Urgent) {
			sim.preempt(w, item)
			n--
		}
	}
}

func (sim *simulation) runningItem(w *simWorker, item *simItem) Candidate {
	ran := sim.now.Sub(item.startedAt)
	return Candidate{
		Urgency: item.standing, Due: item.due, Remaining: item.remaining - time.Duration(float64(ran)/w.pace),
		LostRunTime: ran % readInterval, Preemptions: item.preemptions, StartedAt: item.startedAt,
	}
}

// plan runs one scheduling round of the leader.
func (sim *simulation) plan(slots, alive int) {
	workers, online := make([]WorkerLoad, alive), len(sim.queued)
	for i, w := range sim.workers[:alive] {
		workers[i] = WorkerLoad{Slots: slots, Online: len(w.online), Batch: len(w.items)}
		online += len(w.online)
	}
	sim.demand.Observe(sim.now, online)
	sim.reserve = sim.demand.Reserve(slots * alive)
	sim.room += tick.Seconds() / 10 * (max(float64(slots*alive-online)-sim.reserve, 1) - sim.room)
	if sim.now.Sub(start)%(100*time.Millisecond) == 0 {
		sim.updateStandings(slots * alive)
	}
	required, early := RequiredPreemptions(workers, len(sim.queued)), EarlyPreemptions(workers, sim.reserve, len(sim.queued))
	for i, w := range sim.workers[:alive] {
		sim.preemptItems(w, required[i], true)
		sim.preemptItems(w, early[i]-required[i], sim.policy.pressedRoom == nil)
	}
	sim.startItems(slots, alive)
}

func (sim *simulation) updateStandings(slots int) {
	all := slices.Clone(sim.waiting)
	for _, w := range sim.workers {
		all = append(all, w.items...)
	}
	slices.SortStableFunc(all, func(a, b *simItem) int { return a.due.Compare(b.due) })
	list := make([]Item, len(all))
	for i, item := range all {
		list[i] = Item{Due: item.due, Remaining: item.remaining}
	}
	for i, standing := range Urgencies(sim.now, list, sim.room) {
		all[i].standing = standing
	}
	if sim.policy.startLimit != nil {
		sim.start = sim.policy.startLimit(&sim.demand, sim.now, slots, RequiredSlots(sim.now, list), sim.room)
	}
}

// startItems starts up to eight items at the workers with the most free slots.
func (sim *simulation) startItems(slots, alive int) {
	workers, running := make([]WorkerLoad, alive), 0
	for i, w := range sim.workers[:alive] {
		workers[i] = WorkerLoad{Slots: slots, Online: len(w.online), Batch: len(w.items)}
		running += len(w.items)
	}
	left, pressed := StartCapacity(workers, sim.reserve, len(sim.queued)), freeSlots(workers)
	if sim.policy.pressedRoom != nil {
		pressed = sim.policy.pressedRoom(workers, sim.reserve, len(sim.queued))
	}
	slices.SortStableFunc(sim.waiting, func(a, b *simItem) int {
		return cmp.Or(cmp.Compare(min(a.standing, Normal), min(b.standing, Normal)), a.due.Compare(b.due))
	})
	for n := 0; n < 8 && len(sim.waiting) > 0; n++ {
		item := sim.waiting[0]
		if item.standing == Urgent && pressed <= 0 || item.standing != Urgent && (left <= 0 || !sim.start.Allows(running, item.remaining)) {
			return
		}
		best := slices.MaxFunc(sim.workers[:alive], func(a, b *simWorker) int {
			return cmp.Compare(len(b.online)+len(b.items), len(a.online)+len(a.items))
		})
		if len(best.online)+len(best.items) >= slots {
			return
		}
		item.startedAt = sim.now
		best.items = append(best.items, item)
		sim.waiting = sim.waiting[1:]
		left, pressed, running = left-1, pressed-1, running+1
	}
}

func compareStanding(_ time.Time, a, b Candidate) int {
	return cmp.Or(cmp.Compare(b.Urgency, a.Urgency), b.Due.Compare(a.Due), b.StartedAt.Compare(a.StartedAt))
}

// squareWaveScenario is square wave demand on 96 slots.
func squareWaveScenario(name string, jobs float64, lost int) scenario {
	return scenario{name: name, slots: 8, low: 20, high: 104, lowFor: 3800 * time.Millisecond, period: 6600 * time.Millisecond, jobRate: jobs, failedWorkers: lost}
}

var baseline = policy{"baseline", compareStanding, nil, nil}

// baselineResults caches the results of the baseline by scenario name.
var baselineResults = map[string]result{}

// simulateSeeds returns the sum of the results of four seeds.
func simulateSeeds(s scenario, p policy) (sum result) {
	if cached, ok := baselineResults[s.name]; ok && p.name == baseline.name {
		return cached
	}
	defer func() {
		if p.name == baseline.name {
			baselineResults[s.name] = sum
		}
	}()
	for seed := range uint64(4) {
		got := simulate(s, p, seed)
		sum.items += got.items
		sum.inTime += got.inTime
		sum.preemptions += got.preemptions
		sum.requests += got.requests
		sum.late += got.late
	}
	return sum
}

// scenarios lists the loads with the maximum number of preemptions relative to the baseline.
var scenarios = []struct {
	scenario
	maxPreemptionRatio float64
}{
	{squareWaveScenario("square wave", 0.65, 0), 0.5},
	{squareWaveScenario("more batch", 0.9, 0), 0.45},
	{squareWaveScenario("heavy batch", 1.2, 0), 0.65},
	{squareWaveScenario("a third of the workers lost", 1.1, 4), 0.9},
	{squareWaveScenario("overload", 2, 0), 0.7},
	{scenario{name: "constant", slots: 8, low: 60, high: 60, lowFor: time.Second, period: 2 * time.Second, jobRate: 0.65}, 1.2},
}

// regression returns what is worse than in the baseline, or an empty string.
func regression(base, got result, maxPreemptionRatio float64) string {
	switch {
	case got.inTime < base.inTime:
		return "fewer items are in time"
	case got.late > base.late+got.requests/1000: // tolerates random placement
		return "more requests are late"
	case float64(got.preemptions) > maxPreemptionRatio*float64(base.preemptions):
		return "too many items are preempted"
	}
	return ""
}

// Items run longer than the troughs of the demand.
func TestSimulatedPreemptionDoesNotRegress(t *testing.T) {
	policies := []policy{
		{"reserve applies to pressed items", compareStanding, nil, UrgentStartCapacity},
		{"plus preemption order", ComparePreemption, nil, UrgentStartCapacity},
		{"plus start limit", ComparePreemption, (*Demand).StartLimit, UrgentStartCapacity},
	}
	for _, test := range scenarios {
		base := simulateSeeds(test.scenario, baseline)
		t.Logf("%s; baseline: %+v", test.name, base)
		for i, p := range policies {
			got := simulateSeeds(test.scenario, p)
			t.Logf("%s; %s: %+v", test.name, p.name, got)
			if worse := regression(base, got, test.maxPreemptionRatio); worse != "" && i == len(policies)-1 {
				t.Errorf("%s: %s", test.name, worse)
			}
		}
	}
}

func TestRegressionCheckDetectsBadPolicies(t *testing.T) {
	ignoreRequired := func(d *Demand, now time.Time, slots, _ int, _ float64) StartLimit {
		return d.StartLimit(now, slots, 0, 1)
	}
	tests := []struct {
		name      string
		scenario  int // index of scenarios
		badPolicy policy
		want      string
	}{
		{"no start limit", 1, policy{"", ComparePreemption, nil, UrgentStartCapacity}, "too many items are preempted"},
		{"pressed items use the reserve", 4, policy{"", ComparePreemption, (*Demand).StartLimit, nil}, "too many items are preempted"},
		{"slots kept free regardless of demand", 3, policy{"", ComparePreemption, ignoreRequired, func([]WorkerLoad, float64, int) int { return 0 }}, "fewer items are in time"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			each := scenarios[test.scenario]
			if got := regression(simulateSeeds(each.scenario, baseline), simulateSeeds(each.scenario, test.badPolicy), each.maxPreemptionRatio); got != test.want {
				t.Errorf("regression %q, want %q", got, test.want)
			}
		})
	}
}
