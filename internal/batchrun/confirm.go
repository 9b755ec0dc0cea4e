package batchrun

import (
	"context"
	"sync"
	"time"
)

const (
	confirmTimeout = 2 * time.Second
	// minConfirmInterval limits the calls to the key-value service while it does not answer.
	minConfirmInterval = time.Second
)

// confirmation records when this process last read the configuration from the key-value service. Its
// configuration is at least as new as any that another process had in force when that read began. It
// is safe for concurrent use; the zero value is ready. Its times are those of package clock.
type confirmation struct {
	mutex       sync.Mutex // guards the fields below
	beganAt     time.Time  // start of the last successful read; zero before the first
	attemptedAt time.Time  // start of the last read
	pending     bool
}

// after reports whether a successful read began after a time.
func (c *confirmation) after(at time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.beganAt.After(at)
}

// begin reports whether the caller is to read now, which it concludes with end.
func (c *confirmation) begin(now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.pending || now.Sub(c.attemptedAt) < minConfirmInterval {
		return false
	}
	c.pending, c.attemptedAt = true, now
	return true
}

func (c *confirmation) end(succeeded bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.pending = false
	if succeeded {
		c.beganAt = c.attemptedAt
	}
}

// confirmConfiguration reads the configuration from the key-value service in the background, unless it
// has just done so, and wakes the leaders once it has succeeded. Items whose jobs have no terms are
// not ended before.
func (s *Service) confirmConfiguration(now time.Time) {
	if !s.confirmation.begin(now) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
		defer cancel()
		err := s.catalog.Refresh(ctx)
		s.confirmation.end(err == nil)
		if err != nil {
			s.log.WithField("event", "configuration_not_confirmed").WithError(err).Warn("Reading the configuration failed; items of jobs without terms are not ended by the known one.")
			return
		}
		s.wakeAll()
	}()
}
