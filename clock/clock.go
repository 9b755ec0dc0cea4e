// Package clock provides a monotonic clock that includes the time for which the machine
// was suspended. Go's monotonic clock, and with it time.Since and timers, stops during a
// suspension on Linux, so data from before it would look as fresh as when the machine
// stopped. The wall clock includes suspensions, but may be stepped.
package clock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// refreshInterval is the time for which a reading of the suspended time is reused. A reading
// takes two system calls, too expensive for every request.
const refreshInterval = 20 * time.Millisecond

// Clock is a monotonic clock that includes the time for which the machine was suspended.
// It is safe for concurrent use.
type Clock struct {
	// Suspended returns for how long the machine has been suspended since boot.
	Suspended func() time.Duration

	mutex       sync.Mutex // guards the fields below
	refreshedAt time.Time
	offset      time.Duration
}

// system is the clock of this machine.
var system = &Clock{Suspended: readSuspended}

// Now returns the time of the machine's clock. It may be compared only with other times
// of this package.
func Now() time.Time { return system.Now() }

// Since returns the time elapsed since t, which must come from Now.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time until t, which must be derived from Now.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// Now returns the time of the clock. It never goes backwards, even if the wall clock is
// stepped.
func (c *Clock) Now() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	if c.refreshedAt.IsZero() || now.Sub(c.refreshedAt) >= refreshInterval || now.Before(c.refreshedAt) {
		c.refresh(now)
	}
	return now.Add(c.offset)
}

// refresh updates the suspended time. The mutex must be held.
func (c *Clock) refresh(now time.Time) {
	c.refreshedAt, c.offset = now, max(c.Suspended(), c.offset)
}

// totalSuspended returns for how long the machine has been suspended since boot.
func (c *Clock) totalSuspended() time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.refresh(time.Now())
	return c.offset
}

// readSuspended returns the difference between CLOCK_BOOTTIME, which includes
// suspensions, and CLOCK_MONOTONIC; 0 where the system lacks these clocks.
// CLOCK_MONOTONIC is read last, so that a delay between the two readings makes the
// result too small, never too large, and the next reading makes up for it.
func readSuspended() time.Duration {
	var monotonic, boot unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil {
		return 0
	}
	return max(time.Duration(boot.Nano()-monotonic.Nano()), 0).Truncate(time.Millisecond)
}

// SuspendDetector detects suspensions of the machine. It is not safe for concurrent use.
type SuspendDetector struct {
	clock     *Clock
	lastTotal time.Duration
}

// NewSuspendDetector returns a detector for the machine's clock.
func NewSuspendDetector() *SuspendDetector {
	return &SuspendDetector{clock: system, lastTotal: system.totalSuspended()}
}

// TakeSuspended returns for how long the machine was suspended since the last call, or since
// the detector was created.
func (g *SuspendDetector) TakeSuspended() time.Duration {
	total := g.clock.totalSuspended()
	missed := total - g.lastTotal
	g.lastTotal = total
	return missed
}
