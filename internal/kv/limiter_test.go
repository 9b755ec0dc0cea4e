package kv

import (
	"context"
	"errors"
	"testing"
	"time"
)

func TestShare(t *testing.T) {
	tests := []struct {
		name      string
		total     float64
		processes int
		want      float64
	}{
		{"no other process known", 400, 1, 25},
		{"a small fleet", 400, 9, 25},
		{"a large fleet", 400, 200, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := Share(test.total, test.processes); got != test.want {
				t.Errorf("%v calls per second, want %v", got, test.want)
			}
		})
	}
}

// TestLimiterLimitsReadsAndWritesSeparately allows one call in 16 s each, so that a second
// call within a second is rejected before it reaches the service.
func TestLimiterLimitsReadsAndWritesSeparately(t *testing.T) {
	pace := NewLimiter(Rates{Reads: 1, Writes: 1})
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	calls := []struct {
		write bool
		want  error
	}{{false, nil}, {false, ErrRateLimited}, {true, nil}, {true, ErrRateLimited}}
	for i, call := range calls {
		if err := pace.Wait(ctx, call.write); !errors.Is(err, call.want) {
			t.Errorf("call %d: %v, want %v", i, err, call.want)
		}
	}
}

func TestZeroRateIsUnlimited(t *testing.T) {
	pace := NewLimiter(Rates{})
	for range 100 {
		if err := pace.Wait(context.Background(), true); err != nil {
			t.Fatal(err)
		}
	}
}
