package sleep

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func TestFor(t *testing.T) {
	tests := []struct {
		name   string
		length time.Duration
		ends   time.Duration // of ctx
		took   time.Duration
		slept  bool
	}{
		{"the time passes", time.Second, time.Minute, time.Second, true},
		{"ctx ends first", time.Minute, time.Second, time.Second, false},
		{"zero", 0, time.Minute, 0, true},
		{"negative, ctx has ended", -time.Second, 0, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), test.ends)
				defer cancel()
				began := time.Now()
				if slept := For(ctx, test.length); slept != test.slept || time.Since(began) != test.took {
					t.Errorf("%t after %v, want %t after %v", slept, time.Since(began), test.slept, test.took)
				}
			})
		})
	}
}
