package ratelimit

import (
	"fmt"
	"testing"
	"time"

	"github.com/dykewing/dykewing/route"
)

func TestAQuestionByTwoWaysCountsOnce(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	limit := route.Limit{Rate: 10, Burst: 10}
	ask := Ask{Tenant: "t", Limit: limit, Version: 1, Tokens: 2, Elsewhere: 1, Holder: "f", Sequence: 7}
	other := func(change func(*Ask)) Ask {
		changed := ask
		change(&changed)
		return changed
	}
	tests := []struct {
		name  string
		fault Fault
		copy  Ask
		after time.Duration
		again bool // it takes tokens
	}{
		{"a copy", FaultNone, ask, 40 * time.Millisecond, false},
		{"the next question", FaultNone, other(func(a *Ask) { a.Sequence++ }), 0, true},
		{"another holder's", FaultNone, other(func(a *Ask) { a.Holder = "g" }), 0, true},
		{"of a holder that numbers none", FaultNone, other(func(a *Ask) { a.Holder = "" }), 0, true},
		{"a copy that nobody waits for", FaultNone, ask, copyLife + time.Millisecond, true},
		{"a copy, planted", FaultCopiesCount, ask, 40 * time.Millisecond, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			o := NewOwner(tolerance)
			o.fault = test.fault
			o.Step(start, Ask{Tenant: "t", Limit: limit, Version: 1}, false)
			now := start.Add(3 * time.Second)
			first := o.Step(now, ask, false)
			before := o.buckets["t"].level
			second := o.Step(now.Add(test.after), test.copy, false)
			taken := before - o.buckets["t"].level + limit.Rate*test.after.Seconds()
			if again := taken > 0.5; again != test.again || first.Tokens == 0 || !test.again && second != first {
				t.Errorf("%.1f tokens taken by the second, %+v then %+v", taken, first, second)
			}
		})
	}
}

func TestWhatWasAnsweredIsBounded(t *testing.T) {
	o := NewOwner(tolerance)
	now := time.Unix(1_700_000_000, 0)
	for i := range 3 * mostAnswered {
		o.Step(now, Ask{Tenant: fmt.Sprint(i % 10), Limit: route.Limit{Rate: 1}, Tokens: 1, Holder: "f", Sequence: uint64(i)}, false)
	}
	if n := len(o.answered.grants); n > mostAnswered || n != len(o.answered.order) {
		t.Errorf("%d remembered, %d in order", n, len(o.answered.order))
	}
	o.Step(now.Add(time.Second), Ask{Tenant: "t", Limit: route.Limit{Rate: 1}, Holder: "f", Sequence: 1}, false)
	if n := len(o.answered.grants); n != 1 {
		t.Errorf("%d remembered a second later", n)
	}
}
