package clock

import (
	"testing"
	"testing/synctest"
	"time"
)

// Go's monotonic clock stops during a suspension, so data from before it would look
// fresh afterwards.
func TestSuspensionIsCounted(t *testing.T) {
	tests := []struct {
		name      string
		suspended time.Duration
		runs      time.Duration
	}{
		{"none", 0, 10 * time.Second},
		{"a second", time.Second, refreshInterval},
		{"five seconds", 5 * time.Second, time.Second},
		{"half a minute", 30 * time.Second, time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				total := 3 * time.Hour // before the process started
				c := &Clock{Suspended: func() time.Duration { return total }}
				detector := &SuspendDetector{clock: c, lastTotal: total}
				before := c.Now()
				total += test.suspended
				time.Sleep(test.runs)
				if passed := c.Now().Sub(before); passed != test.suspended+test.runs {
					t.Errorf("%v passed, want %v", passed, test.suspended+test.runs)
				}
				if suspended := detector.TakeSuspended(); suspended != test.suspended {
					t.Errorf("suspended %v", suspended)
				}
				if suspended := detector.TakeSuspended(); suspended != 0 {
					t.Errorf("second call: suspended %v, want 0", suspended)
				}
			})
		})
	}
}

// A reading that is too short, because the process was delayed between reading the two
// clocks, must not make the next one look like a suspension.
func TestShortReadingIsNotASuspension(t *testing.T) {
	readings := []time.Duration{time.Minute, 58 * time.Second, time.Minute}
	c := &Clock{Suspended: func() time.Duration {
		next := readings[0]
		readings = readings[1:]
		return next
	}}
	detector := &SuspendDetector{clock: c, lastTotal: c.totalSuspended()}
	for range 2 {
		if suspended := detector.TakeSuspended(); suspended != 0 {
			t.Errorf("suspended %v", suspended)
		}
	}
}

// Readings of the suspended time may decrease; Now must not.
func TestTimeNeverGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		offsets := []time.Duration{time.Second, 0, 2 * time.Second, time.Second}
		c := &Clock{Suspended: func() time.Duration {
			next := offsets[0]
			if len(offsets) > 1 {
				offsets = offsets[1:]
			}
			return next
		}}
		last := c.Now()
		for range 6 {
			time.Sleep(refreshInterval)
			now := c.Now()
			if now.Before(last) {
				t.Fatalf("%v before %v", now, last)
			}
			last = now
		}
	})
}

func TestSystemClockAdvances(t *testing.T) {
	first := Now()
	time.Sleep(time.Millisecond)
	if passed := Since(first); passed < time.Millisecond || Until(first) > -time.Millisecond {
		t.Errorf("%v passed", passed)
	}
	if suspended := NewSuspendDetector().TakeSuspended(); suspended < 0 || suspended > time.Minute {
		t.Errorf("suspended %v", suspended)
	}
}
