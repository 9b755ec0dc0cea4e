// Package startup logs what a starting process waits for.
package startup

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/clock"
	"github.com/dykewing/dykewing/internal/sleep"
)

const (
	pollInterval = 50 * time.Millisecond
	logInterval  = 2 * time.Second
)

// Condition is met once the process knows what its name says. Met must not block.
type Condition struct {
	Name string
	Met  func() bool
}

// Log polls the conditions until all have been met once or ctx ends. It logs the unmet ones
// every two seconds, and when each was met at the end.
func Log(ctx context.Context, log *logrus.Entry, conditions []Condition) {
	t := tracker{log: log, conditions: conditions, started: clock.Now(), met: map[string]time.Duration{}}
	next := t.started.Add(logInterval)
	for ctx.Err() == nil {
		now := clock.Now()
		waiting := t.poll(now)
		if len(waiting) == 0 {
			t.logMet()
			return
		}
		if !now.Before(next) {
			next = now.Add(logInterval)
			log.WithFields(logrus.Fields{"event": "startup_wait", "waiting_for": waiting, "waited_ms": now.Sub(t.started).Milliseconds()}).Info("Process is still starting.")
		}
		sleep.For(ctx, pollInterval)
	}
}

type tracker struct {
	log        *logrus.Entry
	conditions []Condition
	started    time.Time
	met        map[string]time.Duration // since started, by name
}

// poll returns the names of the conditions that have not been met yet, in their order.
func (t *tracker) poll(now time.Time) (waiting []string) {
	for _, condition := range t.conditions {
		if _, before := t.met[condition.Name]; before {
			continue
		}
		if !condition.Met() {
			waiting = append(waiting, condition.Name)
			continue
		}
		t.met[condition.Name] = now.Sub(t.started)
	}
	return waiting
}

func (t *tracker) logMet() {
	fields := logrus.Fields{"event": "startup_done"}
	for name, after := range t.met {
		fields[name+"_ms"] = after.Milliseconds()
	}
	t.log.WithFields(fields).Info("Process knows all that it needs to serve.")
}
