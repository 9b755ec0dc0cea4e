package reservation

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/dykewing/dykewing/hold"
)

// The replay is a leader's queue before slots that become fewer while callers come in
// steps, each with one more try. Time goes in steps of replayStep; nothing runs beside
// it.
const (
	replayStep = 5 * time.Millisecond
	aim        = 300 * time.Millisecond // to the first event
	target     = 200 * time.Millisecond // to begin in time, as far as is known before
	firstEvent = 75 * time.Millisecond  // from the begin, at the usual pace
	patience   = 5 * time.Second
	lastShare  = 0.6 // of the time left; the rest is for the answer
	callers    = 8   // tenants
)

// load is what callers and workers do.
type load struct {
	name    string
	length  time.Duration
	slots   func(at time.Duration) int
	arrives func(at time.Duration) float64 // first tries a second
}

// steps is demand in steps: low for 3.8 s of 6.6, then high.
func steps(mean float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at%(6600*time.Millisecond) < 3800*time.Millisecond {
			return 0.377 * mean
		}
		return 1.84 * mean
	}
}

var loads = []load{
	{"a third of the slots leaves, demand rises", 30 * time.Second,
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
				return 1.6 * steps(66)(at)
			}
			return steps(66)(at)
		}},
	{"steps that fit on the mean", 30 * time.Second, func(time.Duration) int { return 90 }, steps(66)},
	{"twice as many as slots, for long", 30 * time.Second, func(time.Duration) int { return 60 }, func(time.Duration) float64 { return 120 }},
	{"all fit", 20 * time.Second, func(time.Duration) int { return 112 }, func(time.Duration) float64 { return 80 }},
}

// caller is one request with what became of it.
type caller struct {
	*Waiting
	tenant   int
	first    time.Time
	tries    int
	asked    time.Time // of this try
	begun    time.Time
	answered time.Time       // its first event
	refusals []time.Duration // how long each refused try had waited
}

// way is a way of waiting and refusing.
type way struct {
	name  string
	begin func() *policy
}

// policy is a way at work. A refusal tells when to return.
type policy struct {
	observe func(now time.Time, slots, held, ended int)
	placed  func(now time.Time, c *caller)
	arrive  func(now time.Time, c *caller, waiting []*caller, free bool) (refuse bool, back time.Duration)
	order   func(now time.Time, a, b *caller) int
	drop    func(now time.Time, waiting []*caller) []dropped
}

type dropped struct {
	*caller
	back time.Duration
}

// outcome of a replay.
type outcome struct {
	callers            int
	first, inTime, all float64 // shares: in time at the first try, in time, served at all
	median, p99        time.Duration
	refusals, second   int
	fair               float64 // least of all tenants' shares in time over the greatest
}

func replay(l load, w way, seed uint64) outcome {
	random := rand.New(rand.NewPCG(seed, 1))
	p := w.begin()
	now, began := start, start
	var waiting, everybody, returning []*caller
	var held []time.Time // when each held slot comes free
	refuse := func(c *caller, back time.Duration) {
		c.refusals = append(c.refusals, now.Sub(c.asked))
		if c.tries < 2 { // callers come back no later than after a third of what is left
			left := c.first.Add(patience).Sub(now)
			c.asked = now.Add(min(back, left/3) + replayStep)
			returning = append(returning, c)
		}
	}
	offer := func(c *caller, free bool) {
		c.tries++
		c.asked = now
		left := c.first.Add(patience).Sub(now)
		c.Waiting = Wait(now, "f", Ask{
			Begin: c.first.Add(target).Sub(now), Last: time.Duration(lastShare * float64(left)), Returned: c.tries > 1,
		})
		if refused, back := p.arrive(now, c, waiting, free); refused {
			refuse(c, back)
			return
		}
		waiting = append(waiting, c)
	}
	for ; now.Sub(began) < l.length; now = now.Add(replayStep) {
		at := now.Sub(began)
		before, slots := len(held), l.slots(at)
		held = slices.DeleteFunc(held, func(end time.Time) bool { return !end.After(now) })
		p.observe(now, slots, min(len(held), slots), before-len(held))
		for _, c := range slices.Clone(returning) {
			if !c.asked.After(now) {
				returning = slices.DeleteFunc(returning, func(other *caller) bool { return other == c })
				offer(c, len(waiting) == 0 && len(held) < slots)
			}
		}
		if random.Float64() < l.arrives(at)*replayStep.Seconds() {
			c := &caller{first: now, tenant: min(int(random.ExpFloat64()*2), callers-1)}
			everybody = append(everybody, c)
			offer(c, len(waiting) == 0 && len(held) < slots)
		}
		slices.SortStableFunc(waiting, func(a, b *caller) int { return p.order(now, a, b) })
		for len(waiting) > 0 && len(held) < slots {
			c := waiting[0]
			waiting = waiting[1:]
			c.begun = now
			p.placed(now, c)
			pace := []float64{0.7, 0.7, 1.7}[random.IntN(3)]
			if random.Float64() < 0.15 {
				pace *= 2.5
			}
			c.answered = now.Add(time.Duration(pace * float64(firstEvent)))
			held = append(held, now.Add(time.Duration(0.8*pace*(0.4+1.2*random.Float64())*float64(time.Second))))
		}
		for _, d := range p.drop(now, waiting) {
			waiting = slices.DeleteFunc(waiting, func(other *caller) bool { return other == d.caller })
			refuse(d.caller, d.back)
		}
	}
	return judge(everybody, now)
}

func judge(everybody []*caller, end time.Time) (o outcome) {
	var waits []time.Duration
	inTime, of := make([]float64, callers), make([]float64, callers)
	for _, c := range everybody {
		if end.Sub(c.first) < patience { // not decided yet
			continue
		}
		o.callers++
		of[c.tenant]++
		waits = append(waits, c.refusals...)
		if len(c.refusals) > 1 {
			o.second++
		}
		if c.begun.IsZero() {
			continue
		}
		o.all++
		if c.answered.Sub(c.first) <= aim {
			o.inTime++
			inTime[c.tenant]++
			if c.tries == 1 {
				o.first++
			}
		}
	}
	o.refusals = len(waits)
	if len(waits) > 0 {
		slices.Sort(waits)
		o.median, o.p99 = waits[len(waits)/2], waits[len(waits)*99/100]
	}
	least, most := math.Inf(1), 0.0
	for i := range of {
		if of[i] > 30 {
			least, most = min(least, inTime[i]/of[i]), max(most, inTime[i]/of[i])
		}
	}
	n := float64(o.callers)
	o.first, o.inTime, o.all, o.fair = o.first/n, o.inTime/n, o.all/n, least/max(most, 1e-9)
	return o
}

func (o outcome) String() string {
	return fmt.Sprintf("%.3f | %.3f | %.3f | %d | %d | %d | %.2f", o.first, o.inTime, o.all, o.median.Milliseconds(), o.p99.Milliseconds(), o.second, o.fair)
}

func byClass(now time.Time, a, b *caller) int { return hold.Compare(now, a.Order, b.Order) }

func oldestFirst(_ time.Time, a, b *caller) int { return a.asked.Compare(b.asked) }

// expired drops those that can't begin any more.
func expired(back time.Duration) func(time.Time, []*caller) []dropped {
	return func(now time.Time, waiting []*caller) (list []dropped) {
		for _, c := range waiting {
			if now.After(c.Order.Last) {
				list = append(list, dropped{c, back})
			}
		}
		return list
	}
}

func plain() *policy {
	return &policy{
		observe: func(time.Time, int, int, int) {}, placed: func(time.Time, *caller) {},
		arrive: func(time.Time, *caller, []*caller, bool) (bool, time.Duration) { return false, 0 },
		order:  oldestFirst, drop: expired(200 * time.Millisecond),
	}
}

// theQueue is what the product does.
func theQueue() *policy {
	q, p := &Queue{}, plain()
	p.observe = q.Line.Observe
	p.placed = func(now time.Time, c *caller) { q.Placed(now, c.Waiting) }
	p.order = byClass
	p.arrive = func(now time.Time, c *caller, waiting []*caller, free bool) (bool, time.Duration) {
		q.list = nil
		for _, other := range waiting {
			q.Add(other.Waiting)
		}
		q.Arrived(now, c.Waiting)
		if free {
			return false, 0
		}
		v := q.Decide(now, c.Waiting)
		return v.Refuse, v.Return
	}
	p.drop = func(now time.Time, waiting []*caller) (list []dropped) {
		q.list = nil
		for _, c := range waiting {
			q.Add(c.Waiting)
		}
		q.Line.Waits(now, len(waiting) > 0)
		for _, r := range q.Refuse(now) {
			i := slices.IndexFunc(waiting, func(c *caller) bool { return c.Waiting == r.Waiting })
			list = append(list, dropped{waiting[i], r.Verdict.Return})
		}
		return list
	}
	return p
}

// byPlaces is the plant: an estimate from places given lately, at least five a second,
// all wait as long as that is before their last moment, and those whose last moment is
// near go before those in time.
func byPlaces() *policy {
	p := plain()
	rate, at := 0.0, start
	p.placed = func(now time.Time, _ *caller) {
		rate, at = rate*math.Exp(-now.Sub(at).Seconds())+1, now
	}
	expiring := func(now time.Time, c *caller) bool {
		return now.After(c.Order.Begin) && now.Add(300*time.Millisecond).After(c.Order.Last)
	}
	p.order = func(now time.Time, a, b *caller) int {
		if x, y := expiring(now, a), expiring(now, b); x != y {
			return map[bool]int{true: -1, false: 1}[x]
		}
		return byClass(now, a, b)
	}
	p.arrive = func(now time.Time, c *caller, waiting []*caller, _ bool) (bool, time.Duration) {
		ahead := 1
		for _, other := range waiting {
			if p.order(now, other, c) <= 0 {
				ahead++
			}
		}
		until := time.Duration(float64(ahead) / max(rate*math.Exp(-now.Sub(at).Seconds()), 5) * float64(time.Second))
		return until > c.Ask.Last, until
	}
	return p
}

// bounded lets all wait for a bound, the oldest first.
func bounded() *policy {
	p := plain()
	p.drop = func(now time.Time, waiting []*caller) (list []dropped) {
		for _, c := range waiting {
			if now.Sub(c.asked) > target {
				list = append(list, dropped{c, 200 * time.Millisecond})
			}
		}
		return list
	}
	return p
}

// controlled is control of the delay: once the queue has not been empty for an
// interval, a wait is bounded by a small one, and the newest go first.
func controlled() *policy {
	p := plain()
	emptyAt := start
	long := func(now time.Time) bool { return now.Sub(emptyAt) > 100*time.Millisecond }
	p.order = func(now time.Time, a, b *caller) int {
		if long(now) {
			return -oldestFirst(now, a, b)
		}
		return oldestFirst(now, a, b)
	}
	p.drop = func(now time.Time, waiting []*caller) (list []dropped) {
		if len(waiting) == 0 {
			emptyAt = now
		}
		bound := target
		if long(now) {
			bound = 20 * time.Millisecond
		}
		for _, c := range waiting {
			if now.Sub(c.asked) > bound {
				list = append(list, dropped{c, 200 * time.Millisecond})
			}
		}
		return list
	}
	return p
}

func newestFirst() *policy {
	p := plain()
	p.order = func(now time.Time, a, b *caller) int { return -oldestFirst(now, a, b) }
	return p
}

// byTimeLeft lets those that have the least time left go first, until they are late.
func byTimeLeft() *policy {
	p := plain()
	p.order = func(_ time.Time, a, b *caller) int {
		return cmp.Compare(a.Order.Last.UnixNano(), b.Order.Last.UnixNano())
	}
	return p
}

var ways = []way{
	{"slots that free, refusal at once", theQueue}, {"places given lately", byPlaces}, {"oldest first, bound", bounded},
	{"delay controlled", controlled}, {"newest first", newestFirst}, {"least time left first", byTimeLeft},
}

// replaySeeds are averaged for what docs/design/overload.md says.
const replaySeeds = 8

// BenchmarkWays gives what docs/design/overload.md says of each way.
func BenchmarkWays(b *testing.B) {
	for _, l := range loads {
		for _, w := range ways {
			b.Run(l.name+"/"+w.name, func(b *testing.B) {
				for b.Loop() {
					b.Log(mean(l, w))
				}
			})
		}
	}
}

func mean(l load, w way) (sum outcome) {
	for seed := uint64(1); seed <= replaySeeds; seed++ {
		o := replay(l, w, seed)
		sum.first, sum.inTime, sum.all, sum.fair = sum.first+o.first/replaySeeds, sum.inTime+o.inTime/replaySeeds, sum.all+o.all/replaySeeds, sum.fair+o.fair/replaySeeds
		sum.median, sum.p99, sum.second = sum.median+o.median/replaySeeds, sum.p99+o.p99/replaySeeds, sum.second+o.second
	}
	sum.second /= replaySeeds
	return sum
}

// needs is what callers need in each load, in its order.
var needs = []struct {
	first, all float64       // at least
	median     time.Duration // of refused ones' waits, at most
}{
	{0.51, 0.66, 100 * time.Millisecond},
	{0.74, 0.99, 100 * time.Millisecond},
	{0.40, 0.47, 100 * time.Millisecond},
	{0.93, 1, 0},
}

func unmet(o outcome, i int) bool {
	return o.first < needs[i].first || o.all < needs[i].all || o.median > needs[i].median
}

func TestCallersAreServedInTimeOrToldAtOnce(t *testing.T) {
	for i, l := range loads {
		for seed := uint64(1); seed <= 4; seed++ {
			if o := replay(l, way{"", theQueue}, seed); unmet(o, i) {
				t.Errorf("%s, seed %d: %v", l.name, seed, o)
			}
		}
	}
}

// An estimate from places given lately is the plant that the needs must catch.
func TestTheNeedsCatchAnEstimateByPlaces(t *testing.T) {
	for _, i := range []int{0, 2} {
		if o := replay(loads[i], way{"", byPlaces}, 1); !unmet(o, i) {
			t.Errorf("%s: %v", loads[i].name, o)
		}
	}
}
