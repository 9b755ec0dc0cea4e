package waitorder

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var testStart = time.Unix(1_700_000_000, 0)

func request(begin, last time.Duration) Request {
	return Request{Target: testStart.Add(begin), Deadline: testStart.Add(last)}
}

// promised returns a late request whose promised slot is due at the given time.
func promised(at time.Duration) Request {
	r := request(-500*time.Millisecond, 2*time.Second)
	r.Promised = testStart.Add(at)
	return r
}

func TestOrder(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name    string
		waiting []Request // in expected order
	}{
		{"earliest deadline first", []Request{request(50*ms, 3000*ms), request(200*ms, 2000*ms)}},
		{"on time before late", []Request{request(200*ms, 3000*ms), request(-50*ms, 2000*ms)}},
		{"on time before late and about to expire", []Request{request(50*ms, 3000*ms), request(-500*ms, 200*ms)}},
		{"late and about to expire before late", []Request{request(-500*ms, 200*ms), request(-500*ms, 300*ms)}},
		{"promised slot is due", []Request{promised(0), request(50*ms, 3000*ms)}},
		{"promised slot is not due", []Request{request(50*ms, 3000*ms), promised(time.Millisecond)}},
		{"promised slots in order", []Request{promised(-20 * ms), promised(-10 * ms)}},
		{"late requests by deadline", []Request{request(-10*ms, 2000*ms), request(-500*ms, 3000*ms)}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if Compare(testStart, test.waiting[0], test.waiting[1]) >= 0 || Compare(testStart, test.waiting[1], test.waiting[0]) <= 0 {
				t.Errorf("%v not before %v", test.waiting[0], test.waiting[1])
			}
		})
	}
}

func TestCompareIsTotalOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string) Request {
			begin := time.Duration(rapid.IntRange(-2000, 2000).Draw(t, label+" begin")) * time.Millisecond
			return request(begin, begin+time.Duration(rapid.IntRange(0, 4000).Draw(t, label+" last"))*time.Millisecond)
		}
		list := []Request{draw("a"), draw("b"), draw("c")}
		slices.SortFunc(list, func(a, b Request) int { return Compare(testStart, a, b) })
		if Compare(testStart, list[0], list[1]) > 0 || Compare(testStart, list[1], list[2]) > 0 || Compare(testStart, list[0], list[2]) > 0 {
			t.Fatalf("not sorted: %v", list)
		}
		if a, b := Compare(testStart, list[0], list[2]), Compare(testStart, list[2], list[0]); cmp.Compare(a, 0) != -cmp.Compare(b, 0) {
			t.Fatalf("asymmetric comparison: %d and %d", a, b)
		}
	})
}
