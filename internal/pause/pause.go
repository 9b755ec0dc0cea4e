// Package pause waits.
package pause

import (
	"context"
	"time"
)

// For waits for a time or until ctx ends, and tells whether ctx goes on. A time that is
// not positive is over at once.
func For(ctx context.Context, length time.Duration) bool {
	if length <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
