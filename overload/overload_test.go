package overload

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dykewing/dykewing/hold"
)

const ms = time.Millisecond

var start = time.Unix(1_700_000_000, 0)

// busy is a line of a hundred slots that are all held, each for a second, to which so
// many first tries a second of rank 1 come, in time so many of them; and when it is so.
func busy(comes, inTime int) (*Line, time.Time) {
	l := &Line{}
	now := start
	for i := range 2000 {
		now = start.Add(time.Duration(i) * 10 * ms)
		l.Observe(now, 100, 100, 1)
		for n := i * comes / 100; n < (i+1)*comes/100; n++ {
			l.Arrived(now, hold.Rank{Route: 1})
		}
		for n := i * inTime / 100; n < (i+1)*inTime/100; n++ {
			l.Placed(now, hold.Rank{Route: 1}, true)
		}
	}
	return l, now
}

func TestWhatIsDecided(t *testing.T) {
	type decides struct {
		refuse      bool
		least, most time.Duration // until it is placed
	}
	tests := []struct {
		name          string
		comes, inTime int // a second
		use           Use
		ahead         int
		want          decides
	}{
		{"in time behind a few", 150, 90, Use{Begin: 200 * ms, Last: 3000 * ms}, 5, decides{false, 55 * ms, 75 * ms}},
		{"not in time, and nothing is left for late ones", 150, 100, Use{Begin: 200 * ms, Last: 3000 * ms}, 40, decides{true, 3000 * ms, time.Hour}},
		{"not in time, fewer come than slots free", 50, 50, Use{Begin: 200 * ms, Last: 3000 * ms}, 40, decides{false, 700 * ms, 1000 * ms}},
		{"not in time, a fall will follow the rise", 150, 60, Use{Begin: 200 * ms, Last: 3000 * ms}, 40, decides{false, 900 * ms, 1200 * ms}},
		{"late already, as it comes", 150, 100, Use{Begin: -ms, Last: 3000 * ms}, 0, decides{true, 3000 * ms, time.Hour}},
		{"late already, slots are left", 50, 50, Use{Begin: -ms, Last: 3000 * ms}, 0, decides{false, 10 * ms, 30 * ms}},
		{"no time is left", 50, 50, Use{Begin: -ms, Last: 0}, 0, decides{true, 0, time.Hour}},
		{"more urgent than those who come", 150, 100, Use{Rank: hold.Rank{Route: 0}, Begin: 200 * ms, Last: 3000 * ms}, 5, decides{false, 55 * ms, 75 * ms}},
		{"less urgent than those who come", 150, 100, Use{Rank: hold.Rank{Route: 2}, Begin: 200 * ms, Last: 3000 * ms}, 10, decides{true, 3000 * ms, time.Hour}},
		{"it was told to return", 150, 100, Use{Begin: -ms, Last: 1500 * ms, Promised: true, Due: 300 * ms}, 0, decides{false, 300 * ms, 301 * ms}},
		{"it was told to return, its slot is too late", 150, 100, Use{Begin: -ms, Last: 200 * ms, Promised: true, Due: 300 * ms}, 0, decides{true, 300 * ms, 301 * ms}},
		{"hardly in time when it comes", 150, 100, Use{Rank: hold.Rank{Route: 1}, Begin: 200 * ms, Last: 3000 * ms}, 17, decides{true, 0, time.Hour}},
		{"hardly in time while it waits", 150, 100, Use{Rank: hold.Rank{Route: 1}, Begin: 200 * ms, Last: 3000 * ms, Waits: true}, 17, decides{false, 150 * ms, 200 * ms}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l, now := busy(test.comes, test.inTime)
			if test.use.Rank == (hold.Rank{}) && test.name != "more urgent than those who come" {
				test.use.Rank = hold.Rank{Route: 1}
			}
			v := l.Decide(now, test.use, test.ahead)
			if v.Refuse != test.want.refuse || v.Until < test.want.least || v.Until > test.want.most || !v.Known {
				t.Errorf("%+v", v)
			}
			if v.Refuse != (v.Return > 0) {
				t.Errorf("return after %v", v.Return)
			}
		})
	}
}

// Little's law: the slots over the time that one is held, however many are held now.
func TestTheRateOfSlots(t *testing.T) {
	tests := []struct {
		name               string
		slots, held, ended int // each 100 ms
		lost               int // slots, for the last second
		least, most        float64
		known              bool
	}{
		{"all are held", 100, 100, 10, 0, 99, 101, true},
		{"a tenth is held: as many would come free if all were", 100, 10, 1, 0, 99, 101, true},
		{"a third leaves", 100, 100, 10, 33, 65, 69, true},
		{"nothing has ended", 100, 100, 0, 0, 0, 0, false},
		{"nothing was ever held", 100, 0, 0, 0, 0, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := Line{}
			for i := range 100 {
				l.Observe(start.Add(time.Duration(i)*100*ms), test.slots, test.held, test.ended)
			}
			for i := range 10 {
				l.Observe(start.Add(10*time.Second+time.Duration(i)*100*ms), test.slots-test.lost, test.held, test.ended)
			}
			if got, known := l.Rate(); got < test.least || got > test.most || known != test.known {
				t.Errorf("%.1f, %t", got, known)
			}
		})
	}
}

// What is not known is not small: nobody is refused for it who has time left.
func TestAnUnknownRateRefusesNobody(t *testing.T) {
	l := Line{}
	if v := l.Decide(start, Use{Begin: 200 * ms, Last: 3000 * ms}, 500); v.Refuse || v.Known || v.Bound != 3000*ms {
		t.Errorf("%+v", v)
	}
}

// Those turned away are told times in their order, no more a second than come free for
// them, and who returns has the oldest of these.
func TestThoseToldReturnInTheirOrder(t *testing.T) {
	l, now := busy(200, 100)
	rank := hold.Rank{Route: 1}
	var told []time.Duration
	for range 30 {
		v := l.Decide(now, Use{Rank: rank, Begin: 200 * ms, Last: 3000 * ms}, 100)
		if !v.Refuse {
			t.Fatalf("%+v", v)
		}
		told = append(told, v.Return)
	}
	for i := 1; i < len(told); i++ {
		if step := told[i] - told[i-1]; step < 95*ms || step > 105*ms {
			t.Errorf("%v between two that return at a tenth of a hundred slots a second", step)
		}
	}
	for i := range 5 {
		if at, ok := l.Claim(now.Add(told[i]), rank, time.Second); !ok || at != now.Add(told[i]) {
			t.Errorf("return %d: %v, %t, told %v", i, at.Sub(now), ok, told[i])
		}
	}
	if _, ok := l.Claim(now, rank, told[5]+claimMargin-ms); ok {
		t.Error("a slot after the last moment was claimed")
	}
	if _, ok := l.Claim(now.Add(time.Hour), rank, time.Hour); ok || l.Told() != 0 {
		t.Errorf("%d promises after an hour", l.Told())
	}
}

// Slots that were promised are not given out twice: one who comes before those told
// return counts them.
func TestPromisesCountAgainstNewOnes(t *testing.T) {
	l, now := busy(200, 100)
	use := Use{Rank: hold.Rank{Route: 1}, Begin: 200 * ms, Last: 3000 * ms}
	before := l.Look(now, use, 2)
	for range 20 {
		l.Decide(now, use, 100)
	}
	after := l.Look(now.Add(time.Second), use, 2)
	if before.Told != 0 || after.Told < 2 || after.Until <= before.Until {
		t.Errorf("%+v, then %+v", before, after)
	}
}

// The book is bounded, and nobody is told a time in the past or none.
func TestTheBookIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r returns
		now := start
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "pass")) * ms)
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0, 1:
				backlog := time.Duration(rapid.IntRange(-10, 9000).Draw(t, "backlog")) * ms
				perSecond := rapid.Float64Range(0.1, 10_000).Draw(t, "rate")
				if told := r.tell(now, perSecond, backlog); told < leastReturn || told < backlog {
					t.Fatalf("told %v with a backlog of %v", told, backlog)
				}
			case 2:
				if at, ok := r.claim(now, now.Add(2*time.Second)); ok && (at.Before(now.Add(-promiseLife)) || at.After(now.Add(2*time.Second))) {
					t.Fatalf("claimed %v from now", at.Sub(now))
				}
			}
			for i := 1; i < len(r.promises); i++ {
				if r.promises[i].Before(r.promises[i-1]) {
					t.Fatal("promises out of order")
				}
			}
			if len(r.promises) > mostPromises {
				t.Fatalf("%d promises", len(r.promises))
			}
		}
	})
}

func TestRanksThatNobodyComesWithAreForgotten(t *testing.T) {
	l := Line{}
	for i := range 10_000 {
		l.Arrived(start.Add(time.Duration(i)*time.Second), hold.Rank{Tenant: i})
	}
	if n := len(l.ranks); n > 20 {
		t.Errorf("%d ranks are kept", n)
	}
}

// What was given while requests waited bounds the rate: slots that come free and can't be
// given are none for those that wait.
func TestTheRateIsNoMoreThanWasGiven(t *testing.T) {
	tests := []struct {
		name        string
		waits       bool
		given       int // each 100 ms
		least, most float64
	}{
		{"nobody waits: a few were given", false, 1, 99, 101},
		{"as many as come free", true, 10, 85, 101},
		{"half of what comes free", true, 5, 45, 56},
		{"none for a while", true, 0, 0.5, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := Line{}
			for i := range 100 {
				now := start.Add(time.Duration(i) * 100 * ms)
				l.Observe(now, 100, 100, 10)
				l.Waits(now, test.waits)
				for range test.given {
					l.Placed(now, hold.Rank{}, true)
				}
			}
			if got, _ := l.Rate(); got < test.least || got > test.most {
				t.Errorf("%.1f", got)
			}
		})
	}
}
