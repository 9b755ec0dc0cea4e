package reservation

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/hold"
)

var start = time.Unix(1_700_000_000, 0)

func TestAPlaceCountsUntilAReportShowsIt(t *testing.T) {
	b := New()
	b.Report(start, Report{Node: "f", Sequence: 1, Held: map[string]int{"w": 2}})
	grant := b.Give(start, "f", "w")
	if n := b.Online("w"); n != 3 {
		t.Fatalf("%d with a place", n)
	}
	b.Report(start, Report{Node: "f", Sequence: 2, Seen: grant - 1, Held: map[string]int{"w": 1}})
	if n := b.Online("w"); n != 2 {
		t.Errorf("%d after a report that was sent before the place was known", n)
	}
	b.Report(start, Report{Node: "f", Sequence: 4, Seen: grant, Held: map[string]int{"w": 2}})
	b.Report(start, Report{Node: "f", Sequence: 3, Seen: grant, Held: map[string]int{"w": 9}})
	if n := b.Online("w"); n != 2 {
		t.Errorf("%d after a report that shows it, and an older one", n)
	}
}

func TestWhatIsLostIsForgotten(t *testing.T) {
	b := New()
	b.Report(start, Report{Node: "f", Sequence: 1, Held: map[string]int{"w": 2}})
	b.Give(start.Add(reportLife), "f", "w")
	b.Expire(start.Add(reportLife))
	if n := b.Online("w"); n != 3 {
		t.Errorf("%d before its time", n)
	}
	b.Expire(start.Add(reportLife + time.Millisecond))
	if n := b.Online("w"); n != 1 {
		t.Errorf("%d after the report's life", n)
	}
	b.Expire(start.Add(reportLife + grantLife + time.Millisecond))
	if n := b.Online("w"); n != 0 {
		t.Errorf("%d after the place's life", n)
	}
}

// A restarted frontend's reports go on, since their numbers begin with the time.
func TestARestartedFrontendsReportCounts(t *testing.T) {
	b := New()
	b.Report(start, Report{Node: "f", Sequence: 100, Held: map[string]int{"w": 5}})
	b.Report(start, Report{Node: "f", Sequence: 200})
	if n := b.Online("w"); n != 0 {
		t.Errorf("%d", n)
	}
}

// What the book counts is never less than what frontends hold, whatever is lost and
// however messages overtake each other, while nothing is older than its life.
func TestTheBookNeverCountsLess(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New()
		held := map[api.NodeID]map[string]int{"f": {}, "g": {}}
		seen, sequence := map[api.NodeID]uint64{}, uint64(0)
		onTheirWay := []Report{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			node := rapid.SampledFrom([]api.NodeID{"f", "g"}).Draw(t, "node")
			worker := rapid.SampledFrom([]string{"v", "w"}).Draw(t, "worker")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0: // a place is given and taken
				seen[node] = b.Give(start, node, worker)
				held[node][worker]++
			case 1: // a request ends
				if held[node][worker] > 0 {
					held[node][worker]--
				}
			case 2: // a report is sent
				sequence++
				report := Report{Node: node, Sequence: sequence, Seen: seen[node], Held: map[string]int{}}
				for id, n := range held[node] {
					report.Held[id] = n
				}
				onTheirWay = append(onTheirWay, report)
			case 3: // one arrives, or is lost
				if len(onTheirWay) > 0 {
					i := rapid.IntRange(0, len(onTheirWay)-1).Draw(t, "which")
					if rapid.Bool().Draw(t, "arrives") {
						b.Report(start, onTheirWay[i])
					}
					onTheirWay = append(onTheirWay[:i], onTheirWay[i+1:]...)
				}
			}
			for _, id := range []string{"v", "w"} {
				if n := held["f"][id] + held["g"][id]; b.Online(id) < n {
					t.Fatalf("%s: %d counted, %d held", id, b.Online(id), n)
				}
			}
		}
	})
}

func TestAQueueEstimatesByThoseAhead(t *testing.T) {
	const ms = time.Millisecond
	var q Queue
	for i := range 101 { // a hundred slots a second come free
		q.Line.Observe(start.Add(time.Duration(i)*10*ms), 100, 100, 1)
	}
	now := start.Add(time.Second)
	wait := func(rank int, begin time.Duration) *Waiting {
		return Wait(now, "f", Ask{Rank: hold.Rank{Route: rank}, Begin: begin, Last: 3 * time.Second})
	}
	for range 50 {
		q.Add(wait(1, 200*ms))
	}
	tests := []struct {
		name        string
		waits       *Waiting
		least, most time.Duration
	}{
		{"before all others", wait(0, 200*ms), 5 * ms, 40 * ms},
		{"behind all others", wait(2, 200*ms), 400 * ms, 1200 * ms},
		{"late, behind those in time", wait(1, -ms), 400 * ms, 1200 * ms},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := q.Decide(now, test.waits).Until; got < test.least || got > test.most {
				t.Errorf("%v", got)
			}
		})
	}
	urgent := wait(0, 300*ms)
	q.Add(urgent)
	if first := q.Sorted(now)[0]; first != urgent {
		t.Errorf("not the most urgent one first")
	}
	if !q.Remove(urgent) || q.Remove(urgent) || q.Len() != 50 {
		t.Errorf("%d wait", q.Len())
	}
}

func TestTheBookTellsWhatEnded(t *testing.T) {
	tests := []struct {
		name  string
		given int // places at w, of which the report counts as many as it has seen
		seen  int
		held  map[string]int
		want  int
	}{
		{"nothing", 0, 0, map[string]int{"w": 3}, 0},
		{"one of three", 0, 0, map[string]int{"w": 2}, 1},
		{"all", 0, 0, nil, 3},
		{"one was given, one has ended", 1, 1, map[string]int{"w": 3}, 1},
		{"one was given that the report does not count", 1, 0, map[string]int{"w": 3}, 0},
		{"it chose one by itself", 0, 0, map[string]int{"w": 4}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := New()
			b.Report(start, Report{Node: "f", Sequence: 1, Held: map[string]int{"w": 3}})
			seen := uint64(0)
			for i := range test.given {
				if grant := b.Give(start, "f", "w"); i < test.seen {
					seen = grant
				}
			}
			b.Report(start, Report{Node: "f", Sequence: 2, Seen: seen, Held: test.held})
			if got := b.Ended()["w"]; got != test.want {
				t.Errorf("%d ended", got)
			}
			if got := b.Ended()["w"]; got != 0 {
				t.Errorf("%d ended once more", got)
			}
		})
	}
}

// fullQueue is a queue before a hundred slots that are all held, for a second each, and
// to which as many a second come.
func fullQueue(comes int) (*Queue, time.Time) {
	q := &Queue{}
	now := start
	for i := range 1500 {
		now = start.Add(time.Duration(i) * 10 * time.Millisecond)
		q.Line.Observe(now, 100, 100, 1)
		for n := i * comes / 100; n < (i+1)*comes/100; n++ {
			q.Line.Arrived(now, hold.Rank{})
		}
		q.Line.Placed(now, hold.Rank{}, true)
	}
	return q, now
}

// Those for whom there is no hope any more wait no longer; the others stay.
func TestThoseWithoutHopeWaitNoLonger(t *testing.T) {
	q, now := fullQueue(200)
	for range 30 {
		q.Add(Wait(now, "f", Ask{Begin: 200 * time.Millisecond, Last: 3 * time.Second}))
	}
	refused := q.Refuse(now)
	if q.Len() < 18 || q.Len() > 20 || len(refused)+q.Len() != 30 {
		t.Errorf("%d wait, %d are refused", q.Len(), len(refused))
	}
	for _, r := range refused {
		if r.Verdict.Return <= 0 {
			t.Errorf("%+v", r.Verdict)
		}
	}
	if refused := q.Refuse(now.Add(201 * time.Millisecond)); len(refused) == 0 || q.Len() != 0 {
		t.Errorf("%d wait on, late and with no slot left for late ones", q.Len())
	}
}

// A caller that was told to return goes before new ones once its slot is due, also when
// its attempt asks again.
func TestOneToldToReturnGoesFirst(t *testing.T) {
	q, now := fullQueue(200)
	for range 30 {
		q.Add(Wait(now, "f", Ask{Begin: 200 * time.Millisecond, Last: 3 * time.Second}))
	}
	verdict := q.Decide(now, Wait(now, "f", Ask{Begin: 200 * time.Millisecond, Last: 3 * time.Second}))
	if !verdict.Refuse || verdict.Return <= 0 {
		t.Fatalf("%+v", verdict)
	}
	later := now.Add(verdict.Return)
	back := Wait(later, "f", Ask{Begin: -time.Millisecond, Last: 2 * time.Second, Returned: true})
	q.Arrived(later, back)
	if v := q.Decide(later, back); v.Refuse {
		t.Fatalf("%+v", v)
	}
	early := q.ahead(now, Wait(now, "f", Ask{Begin: verdict.Return + time.Second, Last: 3 * time.Second}))
	q.Add(back)
	if q.ahead(now, Wait(now, "f", Ask{Begin: verdict.Return + time.Second, Last: 3 * time.Second})) != early+1 {
		t.Error("one whose slot is due in time for another does not count as ahead of it")
	}
	q.Add(Wait(later, "f", Ask{Begin: time.Millisecond, Last: 3 * time.Second}))
	if q.Sorted(later)[0] != back {
		t.Error("a new one goes first")
	}
	answer := q.Full(later, back)
	if answer.Promise == nil {
		t.Fatalf("%+v", answer)
	}
	again := Wait(later, "f", Ask{Begin: -time.Millisecond, Last: time.Second, Returned: true, Again: true, Promise: answer.Promise})
	q.Arrived(later, again)
	if again.Order.Promised != back.Order.Promised {
		t.Errorf("promised %v, was %v", again.Order.Promised, back.Order.Promised)
	}
}

// An attempt that asks again, or a probe that finds none, is no new caller.
func TestOnlyNewCallersAreCounted(t *testing.T) {
	q, now := fullQueue(50)
	before := q.Line.Look(now, use(now, Wait(now, "f", Ask{Rank: hold.Rank{Route: 1}, Begin: time.Second, Last: time.Second}), false), 0).PerSecond
	for range 100 {
		q.Arrived(now, Wait(now, "f", Ask{Again: true, Begin: time.Second, Last: time.Second}))
		q.Full(now, Wait(now, "f", Ask{Begin: time.Second, Last: time.Second}))
	}
	after := q.Line.Look(now, use(now, Wait(now, "f", Ask{Rank: hold.Rank{Route: 1}, Begin: time.Second, Last: time.Second}), false), 0).PerSecond
	if before != after || before < 40 || before > 60 {
		t.Errorf("%.1f a second are left, were %.1f", after, before)
	}
}

// One that returns has no further try: it waits where a new one is refused, as long as
// there is hope.
func TestOneThatReturnsWaitsWhileThereIsHope(t *testing.T) {
	q, now := fullQueue(50) // fifty a second are left
	for range 50 {
		q.Add(Wait(now, "f", Ask{Begin: time.Millisecond, Last: 3 * time.Second}))
	}
	late := func(returned bool) bool {
		return q.Decide(now, Wait(now, "f", Ask{Begin: -time.Millisecond, Last: 1500 * time.Millisecond, Returned: returned})).Refuse
	}
	if !late(false) || late(true) {
		t.Errorf("refused: a new one %t, one that returns %t", late(false), late(true))
	}
	for range 50 {
		q.Add(Wait(now, "f", Ask{Begin: time.Millisecond, Last: 3 * time.Second}))
	}
	if !late(true) {
		t.Error("one that returns waits without hope")
	}
}
