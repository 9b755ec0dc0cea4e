package pressure

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const mib = 1 << 20

var testStart = time.Unix(1_700_000_000, 0)

func TestLargeAndLessUrgentBodiesAreRefusedFirst(t *testing.T) {
	tests := []struct {
		name  string
		held  int64 // by others, of 100 MiB
		use   Kind
		bytes int64
		want  bool
	}{
		{"a small body, nothing held", 0, Body, 10 << 10, true},
		{"a large body, nothing held", 0, Body, 30 * mib, true},
		{"a body over half of the free budget", 0, Body, 38 * mib, false},
		{"a job as large as an accepted body", 0, Job, 30 * mib, false},
		{"a smaller job", 0, Job, 15 * mib, true},
		{"a large body, budget mostly used", 60 * mib, Body, 10 * mib, false},
		{"a small body, budget mostly used", 60 * mib, Body, 7 * mib, true},
		{"a job as large as an accepted body, budget mostly used", 60 * mib, Job, 7 * mib, false},
		{"the smallest body, only the reserve left", 75 * mib, Body, 1, false},
		{"a response uses the reserve", 75 * mib, Response, 20 * mib, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := New(100 * mib)
			others, _ := b.Allocate(Response, 0)
			if !b.Grow(others, test.held) {
				t.Fatal("initial allocation refused")
			}
			if ok := allocate(b, test.use, test.bytes); ok != test.want {
				t.Errorf("allocated: %t", ok)
			}
		})
	}
}

// allocate reports whether bytes for something new fit. A response grows as it is read.
func allocate(b *Budget, use Kind, bytes int64) bool {
	if use != Response {
		_, ok := b.Allocate(use, bytes)
		return ok
	}
	h, ok := b.Allocate(use, 0)
	return ok && b.Grow(h, bytes)
}

func TestSlowest(t *testing.T) {
	type reader struct {
		writing time.Duration // time since the last read; negative if nothing was sent
		bytes   int64
	}
	tests := []struct {
		name    string
		readers []reader
		want    int // index; -1 for none
	}{
		{"nothing sent", []reader{{-1, 5}, {-1, 9}}, -1},
		{"all callers read in time", []reader{{time.Second, 5}, {unreadTimeout - 1, 9}}, -1},
		{"the slowest caller", []reader{{3 * time.Second, 5}, {4 * time.Second, 1}, {time.Second, 9}}, 1},
		{"the larger of two equally slow", []reader{{3 * time.Second, 5}, {3 * time.Second, 6}}, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := New(100)
			var holds []*Allocation
			for _, r := range test.readers {
				h, _ := b.Allocate(Response, r.bytes)
				if r.writing >= 0 {
					b.RecordProgress(testStart.Add(-r.writing), h)
				}
				holds = append(holds, h)
			}
			got := b.Slowest(testStart)
			for i, h := range holds {
				if (got == h) != (i == test.want) {
					t.Errorf("reader %d aborted: %t", i, got == h)
				}
			}
		})
	}
}

// Under a thousand slow readers, allocations stay within the budget, responses are still
// delivered, and callers that read are not aborted.
func TestSlowReadersStayWithinBudget(t *testing.T) {
	tests := []struct {
		name    string
		callers int
	}{{"one", 1}, {"a hundred", 100}, {"a thousand", 1000}}
	const answer, rounds, step = 400 << 10, 200, 100 * time.Millisecond
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := New(40 * mib)
			type caller struct {
				hold *Allocation
				slow bool
			}
			callers := make([]caller, test.callers)
			delivered := 0
			for round := range rounds {
				now := testStart.Add(time.Duration(round) * step)
				for i := range callers {
					c := &callers[i]
					c.slow = i%4 == 0
					switch {
					case c.hold == nil:
						h, _ := b.Allocate(Response, 0)
						if !b.Grow(h, answer) {
							b.Release(h)
							if slowest := b.Slowest(now); slowest != nil {
								b.Release(slowest)
							}
							continue
						}
						c.hold = h
						b.RecordProgress(now, h)
					case c.hold.released && !c.slow:
						t.Fatalf("caller %d reads but was aborted", i)
					case c.hold.released:
						c.hold = nil
					case !c.slow:
						b.Release(c.hold)
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

// For any sequence of calls, the budget's total matches the holds and stays within the
// limit.
func TestAllocatedBytesMatchHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(1000)
		var holds []*Allocation
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			bytes := rapid.Int64Range(0, 600).Draw(t, "bytes")
			if len(holds) == 0 || rapid.Bool().Draw(t, "new") {
				use := Kind(rapid.IntRange(0, numUses-1).Draw(t, "use"))
				if use == Response {
					bytes = 0
				}
				if h, ok := b.Allocate(use, bytes); ok {
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
				b.Release(h)
			}
			total := int64(0)
			for _, each := range holds {
				total += each.bytes
			}
			if total != b.limit-b.Free() || total > b.limit {
				t.Fatalf("%d bytes in holds, but %d of %d free", total, b.Free(), b.limit)
			}
		}
	})
}
