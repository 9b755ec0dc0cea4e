package reservation

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/dykewing/dykewing/waitorder"
)

// The replay simulates the queue of one service with a varying number of slots. Requests
// arrive at random and are retried once. Simulated time advances in steps of replayStep.
const (
	replayStep         = 5 * time.Millisecond
	responseTarget     = 300 * time.Millisecond // arrival to first event
	startTarget        = 200 * time.Millisecond // arrival to start
	firstEventLatency  = 75 * time.Millisecond  // start to first event, at pace 1
	callerTimeout      = 5 * time.Second
	startDeadlineShare = 0.6 // share of the time left within which a request must start
	tenantCount        = 8
)

// scenario is a load and the capacity to serve it.
type scenario struct {
	name        string
	length      time.Duration
	slots       func(at time.Duration) int
	arrivalRate func(at time.Duration) float64 // new requests per second
}

// squareWave is low for 3.8 s and high for 2.8 s of each period, with the given mean.
func squareWave(mean float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at%(6600*time.Millisecond) < 3800*time.Millisecond {
			return 0.377 * mean
		}
		return 1.84 * mean
	}
}

var scenarios = []scenario{
	{"a third of the slots lost during a surge", 30 * time.Second,
		func(at time.Duration) int {
			switch {
			case at < 4*time.Second:
				return 112
			case at > 20*time.Second && at < 26*time.Second:
				return 63
			}
			return 78
		},
		func(at time.Duration) float64 {
			if at > 6*time.Second && at < 24*time.Second {
				return 1.6 * squareWave(66)(at)
			}
			return squareWave(66)(at)
		}},
	{"square wave within mean capacity", 30 * time.Second, func(time.Duration) int { return 90 }, squareWave(66)},
	{"sustained overload at twice the capacity", 30 * time.Second, func(time.Duration) int { return 60 }, func(time.Duration) float64 { return 120 }},
	{"within capacity", 20 * time.Second, func(time.Duration) int { return 112 }, func(time.Duration) float64 { return 80 }},
}

// caller is one request and its outcome.
type caller struct {
	*Waiter
	tenant        int
	arrivedAt     time.Time
	tries         int
	askedAt       time.Time // of the current attempt
	startedAt     time.Time
	firstEventAt  time.Time
	rejectedAfter []time.Duration // wait of each rejected attempt
}

// strategy is a queueing and rejection strategy.
type strategy struct {
	name      string
	newPolicy func() *policy
}

// policy is the state of a strategy in one replay. Rejections carry a retry delay.
type policy struct {
	observe func(now time.Time, slots, held, ended int)
	placed  func(now time.Time, c *caller)
	arrive  func(now time.Time, c *caller, waiting []*caller, free bool) (reject bool, retryAfter time.Duration)
	compare func(now time.Time, a, b *caller) int
	shed    func(now time.Time, waiting []*caller) []shedCaller
}

type shedCaller struct {
	*caller
	retryAfter time.Duration
}

// outcome is the result of a replay.
type outcome struct {
	requests                       int
	inTimeFirstTry, inTime, served float64 // shares of requests
	medianRejection, p99Rejection  time.Duration
	rejections, rejectedTwice      int
	fairness                       float64 // lowest in-time share of a tenant divided by the highest
}

func runReplay(s scenario, st strategy, seed uint64) outcome {
	random := rand.New(rand.NewPCG(seed, 1))
	p := st.newPolicy()
	now, begin := start, start
	var waiting, all, returning []*caller
	var held []time.Time // end of each request in service
	reject := func(c *caller, back time.Duration) {
		c.rejectedAfter = append(c.rejectedAfter, now.Sub(c.askedAt))
		if c.tries < 2 { // callers wait at most a third of their remaining time
			left := c.arrivedAt.Add(callerTimeout).Sub(now)
			c.askedAt = now.Add(min(back, left/3) + replayStep)
			returning = append(returning, c)
		}
	}
	offer := func(c *caller, free bool) {
		c.tries++
		c.askedAt = now
		left := c.arrivedAt.Add(callerTimeout).Sub(now)
		c.Waiter = NewWaiter(now, "f", Request{
			TimeToTarget: c.arrivedAt.Add(startTarget).Sub(now), TimeToDeadline: time.Duration(startDeadlineShare * float64(left)), Returning: c.tries > 1,
		})
		if refused, back := p.arrive(now, c, waiting, free); refused {
			reject(c, back)
			return
		}
		waiting = append(waiting, c)
	}
	for ; now.Sub(begin) < s.length; now = now.Add(replayStep) {
		at := now.Sub(begin)
		before, slots := len(held), s.slots(at)
		held = slices.DeleteFunc(held, func(end time.Time) bool { return !end.After(now) })
		p.observe(now, slots, min(len(held), slots), before-len(held))
		for _, c := range slices.Clone(returning) {
			if !c.askedAt.After(now) {
				returning = slices.DeleteFunc(returning, func(other *caller) bool { return other == c })
				offer(c, len(waiting) == 0 && len(held) < slots)
			}
		}
		if random.Float64() < s.arrivalRate(at)*replayStep.Seconds() {
			c := &caller{arrivedAt: now, tenant: min(int(random.ExpFloat64()*2), tenantCount-1)}
			all = append(all, c)
			offer(c, len(waiting) == 0 && len(held) < slots)
		}
		slices.SortStableFunc(waiting, func(a, b *caller) int { return p.compare(now, a, b) })
		for len(waiting) > 0 && len(held) < slots {
			c := waiting[0]
			waiting = waiting[1:]
			c.startedAt = now
			p.placed(now, c)
			pace := []float64{0.7, 0.7, 1.7}[random.IntN(3)]
			if random.Float64() < 0.15 {
				pace *= 2.5
			}
			c.firstEventAt = now.Add(time.Duration(pace * float64(firstEventLatency)))
			held = append(held, now.Add(time.Duration(0.8*pace*(0.4+1.2*random.Float64())*float64(time.Second))))
		}
		for _, d := range p.shed(now, waiting) {
			waiting = slices.DeleteFunc(waiting, func(other *caller) bool { return other == d.caller })
			reject(d.caller, d.retryAfter)
		}
	}
	return summarize(all, now)
}

func summarize(all []*caller, end time.Time) (o outcome) {
	var waits []time.Duration
	inTime, count := make([]float64, tenantCount), make([]float64, tenantCount)
	for _, c := range all {
		if end.Sub(c.arrivedAt) < callerTimeout { // undecided at the end
			continue
		}
		o.requests++
		count[c.tenant]++
		waits = append(waits, c.rejectedAfter...)
		if len(c.rejectedAfter) > 1 {
			o.rejectedTwice++
		}
		if c.startedAt.IsZero() {
			continue
		}
		o.served++
		if c.firstEventAt.Sub(c.arrivedAt) <= responseTarget {
			o.inTime++
			inTime[c.tenant]++
			if c.tries == 1 {
				o.inTimeFirstTry++
			}
		}
	}
	o.rejections = len(waits)
	if len(waits) > 0 {
		slices.Sort(waits)
		o.medianRejection, o.p99Rejection = waits[len(waits)/2], waits[len(waits)*99/100]
	}
	lowest, highest := math.Inf(1), 0.0
	for i := range count {
		if count[i] > 30 {
			lowest, highest = min(lowest, inTime[i]/count[i]), max(highest, inTime[i]/count[i])
		}
	}
	n := float64(o.requests)
	o.inTimeFirstTry, o.inTime, o.served, o.fairness = o.inTimeFirstTry/n, o.inTime/n, o.served/n, lowest/max(highest, 1e-9)
	return o
}

func (o outcome) String() string {
	return fmt.Sprintf("%.3f | %.3f | %.3f | %d | %d | %d | %.2f", o.inTimeFirstTry, o.inTime, o.served, o.medianRejection.Milliseconds(), o.p99Rejection.Milliseconds(), o.rejectedTwice, o.fairness)
}

func compareByClass(now time.Time, a, b *caller) int { return waitorder.Compare(now, a.Order, b.Order) }

func compareByAge(_ time.Time, a, b *caller) int { return a.askedAt.Compare(b.askedAt) }

// shedExpired rejects requests past their start deadline.
func shedExpired(retryAfter time.Duration) func(time.Time, []*caller) []shedCaller {
	return func(now time.Time, waiting []*caller) (list []shedCaller) {
		for _, c := range waiting {
			if now.After(c.Order.Deadline) {
				list = append(list, shedCaller{c, retryAfter})
			}
		}
		return list
	}
}

func fifoPolicy() *policy {
	return &policy{
		observe: func(time.Time, int, int, int) {}, placed: func(time.Time, *caller) {},
		arrive:  func(time.Time, *caller, []*caller, bool) (bool, time.Duration) { return false, 0 },
		compare: compareByAge, shed: shedExpired(200 * time.Millisecond),
	}
}

// queuePolicy is the Queue under test.
func queuePolicy() *policy {
	q, p := &Queue{}, fifoPolicy()
	p.observe = q.Controller.Observe
	p.placed = func(now time.Time, c *caller) { q.RecordPlacement(now, c.Waiter) }
	p.compare = compareByClass
	p.arrive = func(now time.Time, c *caller, waiting []*caller, free bool) (bool, time.Duration) {
		q.waiters = nil
		for _, other := range waiting {
			q.Add(other.Waiter)
		}
		q.RecordArrival(now, c.Waiter)
		if free {
			return false, 0
		}
		v := q.Decide(now, c.Waiter)
		return v.Reject, v.RetryAfter
	}
	p.shed = func(now time.Time, waiting []*caller) (list []shedCaller) {
		q.waiters = nil
		for _, c := range waiting {
			q.Add(c.Waiter)
		}
		q.Controller.SetWaiting(now, len(waiting) > 0)
		for _, r := range q.Shed(now) {
			i := slices.IndexFunc(waiting, func(c *caller) bool { return c.Waiter == r.Waiter })
			list = append(list, shedCaller{waiting[i], r.Decision.RetryAfter})
		}
		return list
	}
	return p
}

// grantRatePolicy is a known-bad baseline: it estimates waits from the recent grant rate and
// puts requests close to their deadline ahead of those that can still be in time.
func grantRatePolicy() *policy {
	p := fifoPolicy()
	rate, at := 0.0, start
	p.placed = func(now time.Time, _ *caller) {
		rate, at = rate*math.Exp(-now.Sub(at).Seconds())+1, now
	}
	expiring := func(now time.Time, c *caller) bool {
		return now.After(c.Order.Target) && now.Add(300*time.Millisecond).After(c.Order.Deadline)
	}
	p.compare = func(now time.Time, a, b *caller) int {
		if x, y := expiring(now, a), expiring(now, b); x != y {
			return map[bool]int{true: -1, false: 1}[x]
		}
		return compareByClass(now, a, b)
	}
	p.arrive = func(now time.Time, c *caller, waiting []*caller, _ bool) (bool, time.Duration) {
		ahead := 1
		for _, other := range waiting {
			if p.compare(now, other, c) <= 0 {
				ahead++
			}
		}
		until := time.Duration(float64(ahead) / max(rate*math.Exp(-now.Sub(at).Seconds()), 5) * float64(time.Second))
		return until > c.Request.TimeToDeadline, until
	}
	return p
}

// boundedWaitPolicy is FIFO with a maximum wait.
func boundedWaitPolicy() *policy {
	p := fifoPolicy()
	p.shed = func(now time.Time, waiting []*caller) (list []shedCaller) {
		for _, c := range waiting {
			if now.Sub(c.askedAt) > startTarget {
				list = append(list, shedCaller{c, 200 * time.Millisecond})
			}
		}
		return list
	}
	return p
}

// codelPolicy resembles CoDel with adaptive LIFO: once the queue has been non-empty for an
// interval, the maximum wait shrinks and the newest request goes first.
func codelPolicy() *policy {
	p := fifoPolicy()
	emptyAt := start
	congested := func(now time.Time) bool { return now.Sub(emptyAt) > 100*time.Millisecond }
	p.compare = func(now time.Time, a, b *caller) int {
		if congested(now) {
			return -compareByAge(now, a, b)
		}
		return compareByAge(now, a, b)
	}
	p.shed = func(now time.Time, waiting []*caller) (list []shedCaller) {
		if len(waiting) == 0 {
			emptyAt = now
		}
		bound := startTarget
		if congested(now) {
			bound = 20 * time.Millisecond
		}
		for _, c := range waiting {
			if now.Sub(c.askedAt) > bound {
				list = append(list, shedCaller{c, 200 * time.Millisecond})
			}
		}
		return list
	}
	return p
}

func lifoPolicy() *policy {
	p := fifoPolicy()
	p.compare = func(now time.Time, a, b *caller) int { return -compareByAge(now, a, b) }
	return p
}

// earliestDeadlinePolicy is earliest deadline first.
func earliestDeadlinePolicy() *policy {
	p := fifoPolicy()
	p.compare = func(_ time.Time, a, b *caller) int {
		return cmp.Compare(a.Order.Deadline.UnixNano(), b.Order.Deadline.UnixNano())
	}
	return p
}

var strategies = []strategy{
	{"queue", queuePolicy}, {"grant rate", grantRatePolicy}, {"bounded wait", boundedWaitPolicy},
	{"CoDel", codelPolicy}, {"LIFO", lifoPolicy}, {"earliest deadline first", earliestDeadlinePolicy},
}

// replaySeeds is the number of runs that are averaged.
const replaySeeds = 8

// BenchmarkStrategies reports the results quoted in docs/design/overload.md.
func BenchmarkStrategies(b *testing.B) {
	for _, s := range scenarios {
		for _, st := range strategies {
			b.Run(s.name+"/"+st.name, func(b *testing.B) {
				for b.Loop() {
					b.Log(averageReplay(s, st))
				}
			})
		}
	}
}

func averageReplay(s scenario, st strategy) (sum outcome) {
	for seed := uint64(1); seed <= replaySeeds; seed++ {
		o := runReplay(s, st, seed)
		sum.inTimeFirstTry, sum.inTime, sum.served, sum.fairness = sum.inTimeFirstTry+o.inTimeFirstTry/replaySeeds, sum.inTime+o.inTime/replaySeeds, sum.served+o.served/replaySeeds, sum.fairness+o.fairness/replaySeeds
		sum.medianRejection, sum.p99Rejection, sum.rejectedTwice = sum.medianRejection+o.medianRejection/replaySeeds, sum.p99Rejection+o.p99Rejection/replaySeeds, sum.rejectedTwice+o.rejectedTwice
	}
	sum.rejectedTwice /= replaySeeds
	return sum
}

// objectives holds the requirements for each scenario, in the same order.
var objectives = []struct {
	inTimeFirstTry, served float64       // minimum
	medianRejection        time.Duration // maximum
}{
	{0.51, 0.66, 100 * time.Millisecond},
	{0.74, 0.99, 100 * time.Millisecond},
	{0.40, 0.47, 100 * time.Millisecond},
	{0.93, 1, 0},
}

func missesObjective(o outcome, i int) bool {
	return o.inTimeFirstTry < objectives[i].inTimeFirstTry || o.served < objectives[i].served || o.medianRejection > objectives[i].medianRejection
}

func TestReplayMeetsObjectives(t *testing.T) {
	for i, s := range scenarios {
		for seed := uint64(1); seed <= 4; seed++ {
			if o := runReplay(s, strategy{"", queuePolicy}, seed); missesObjective(o, i) {
				t.Errorf("%s, seed %d: objectives missed: %v", s.name, seed, o)
			}
		}
	}
}

// The objectives must detect the known-bad baseline.
func TestObjectivesRejectGrantRateEstimate(t *testing.T) {
	for _, i := range []int{0, 2} {
		if o := runReplay(scenarios[i], strategy{"", grantRatePolicy}, 1); !missesObjective(o, i) {
			t.Errorf("%s: objectives met by the baseline: %v", scenarios[i].name, o)
		}
	}
}
