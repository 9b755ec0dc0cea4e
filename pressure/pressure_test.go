package pressure

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const mib = 1 << 20

var start = time.Unix(1_700_000_000, 0)

func TestTheLargestAndTheLeastUrgentAreRefusedFirst(t *testing.T) {
	tests := []struct {
		name  string
		held  int64 // by others, of 100 MiB
		use   Use
		bytes int64
		want  bool
	}{
		{"a small body, nothing held", 0, Body, 10 << 10, true},
		{"a large body, nothing held", 0, Body, 30 * mib, true},
		{"one over half of what new ones may have", 0, Body, 38 * mib, false},
		{"a job of that size", 0, Job, 30 * mib, false},
		{"a smaller job", 0, Job, 15 * mib, true},
		{"a large body, much held", 60 * mib, Body, 10 * mib, false},
		{"a small one", 60 * mib, Body, 7 * mib, true},
		{"a job of that size, much held", 60 * mib, Job, 7 * mib, false},
		{"the smallest body, all held but for answers", 75 * mib, Body, 1, false},
		{"an answer has its reserve", 75 * mib, Answer, 20 * mib, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := New(100 * mib)
			others, _ := b.Begin(Answer, 0)
			if !b.Grow(others, test.held) {
				t.Fatal("no room for what is held")
			}
			if ok := takes(b, test.use, test.bytes); ok != test.want {
				t.Errorf("taken: %t", ok)
			}
		})
	}
}

// takes tells whether bytes are had for something new: an answer takes them as it is read.
func takes(b *Budget, use Use, bytes int64) bool {
	if use != Answer {
		_, ok := b.Begin(use, bytes)
		return ok
	}
	h, ok := b.Begin(use, 0)
	return ok && b.Grow(h, bytes)
}

func TestWhatIsCut(t *testing.T) {
	type reader struct {
		writing time.Duration // ago; negative: nothing is sent
		bytes   int64
	}
	tests := []struct {
		name    string
		readers []reader
		want    int // index; -1: nobody
	}{
		{"nobody writes", []reader{{-1, 5}, {-1, 9}}, -1},
		{"all read in time", []reader{{time.Second, 5}, {unreadBound - 1, 9}}, -1},
		{"the slowest", []reader{{3 * time.Second, 5}, {4 * time.Second, 1}, {time.Second, 9}}, 1},
		{"of two alike the larger", []reader{{3 * time.Second, 5}, {3 * time.Second, 6}}, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := New(100)
			var holds []*Hold
			for _, r := range test.readers {
				h, _ := b.Begin(Answer, r.bytes)
				if r.writing >= 0 {
					b.Writing(start.Add(-r.writing), h)
				}
				holds = append(holds, h)
			}
			got := b.Slowest(start)
			for i, h := range holds {
				if (got == h) != (i == test.want) {
					t.Errorf("reader %d is cut: %t", i, got == h)
				}
			}
		})
	}
}

// TestASlowCrowdStaysInTheBudget replays a thousand callers that read slowly: what is held
// stays within the budget, answers go on coming, and nobody that reads is cut.
func TestASlowCrowdStaysInTheBudget(t *testing.T) {
	tests := []struct {
		name    string
		callers int
	}{{"one", 1}, {"a hundred", 100}, {"a thousand", 1000}}
	const answer, rounds, step = 400 << 10, 200, 100 * time.Millisecond
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := New(40 * mib)
			type caller struct {
				hold *Hold
				slow bool
			}
			callers := make([]caller, test.callers)
			delivered := 0
			for round := range rounds {
				now := start.Add(time.Duration(round) * step)
				for i := range callers {
					c := &callers[i]
					c.slow = i%4 == 0
					switch {
					case c.hold == nil:
						h, _ := b.Begin(Answer, 0)
						if !b.Grow(h, answer) {
							b.End(h)
							if slowest := b.Slowest(now); slowest != nil {
								b.End(slowest)
							}
							continue
						}
						c.hold = h
						b.Writing(now, h)
					case c.hold.ended && !c.slow:
						t.Fatalf("caller %d reads and was cut", i)
					case c.hold.ended:
						c.hold = nil
					case !c.slow:
						b.End(c.hold)
						c.hold = nil
						delivered++
					}
				}
				if held := b.limit - b.Free(); held > b.limit {
					t.Fatalf("%d bytes held", held)
				}
			}
			readers := test.callers - (test.callers+3)/4
			if readers > 0 && delivered < rounds/4*min(readers, 40) {
				t.Errorf("%d answers delivered", delivered)
			}
		})
	}
}

// TestBytesAreCountedOnce: whatever comes, what is held is what holds hold, and within the
// limit.
func TestBytesAreCountedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(1000)
		var holds []*Hold
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			bytes := rapid.Int64Range(0, 600).Draw(t, "bytes")
			if len(holds) == 0 || rapid.Bool().Draw(t, "new") {
				use := Use(rapid.IntRange(0, uses-1).Draw(t, "use"))
				if use == Answer {
					bytes = 0
				}
				if h, ok := b.Begin(use, bytes); ok {
					holds = append(holds, h)
				}
				continue
			}
			h := holds[rapid.IntRange(0, len(holds)-1).Draw(t, "hold")]
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				b.Grow(h, bytes)
			case 1:
				b.Shrink(h, bytes)
			case 2:
				b.End(h)
			}
			total := int64(0)
			for _, each := range holds {
				total += each.bytes
			}
			if total != b.limit-b.Free() || total > b.limit {
				t.Fatalf("%d bytes in holds, %d of %d free", total, b.Free(), b.limit)
			}
		}
	})
}
