package kv

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Rates are what a service takes of all its callers together, in calls a second.
// 0 is no bound.
type Rates struct {
	Reads  float64
	Writes float64
}

// Pace keeps one process to its part of a service's rates: all of them may start, or
// come back after an outage, at the same moment.
type Pace struct {
	rates Rates

	mutex     sync.Mutex // guards all below
	processes func() int // that call the service, as far as is known
	reads     *rate.Limiter
	writes    *rate.Limiter
}

const (
	// fewestProcesses are assumed to call a service: a process that has just begun
	// knows of no other.
	fewestProcesses = 16
	// burstTime of its part may be called at once.
	burstTime = time.Second
)

// Paced gives a pace for a process that knows of no other yet.
func Paced(rates Rates) *Pace {
	return &Pace{rates: rates, processes: func() int { return 1 }, reads: rate.NewLimiter(0, 1), writes: rate.NewLimiter(0, 1)}
}

// Among tells of how many processes this is one.
func (p *Pace) Among(processes func() int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.processes = processes
}

// Wait lets one call through as soon as its turn is; ErrLimited when that would be
// after ctx has ended.
func (p *Pace) Wait(ctx context.Context, write bool) error {
	total, limiter := p.rates.Reads, p.reads
	if write {
		total, limiter = p.rates.Writes, p.writes
	}
	if total <= 0 {
		return nil
	}
	p.mutex.Lock()
	part := Part(total, p.processes())
	limiter.SetLimit(rate.Limit(part))
	limiter.SetBurst(max(int(part*burstTime.Seconds()), 1))
	p.mutex.Unlock()
	if err := limiter.Wait(ctx); err != nil {
		return fmt.Errorf("%w: this process's part is %.2f calls a second: %w", ErrLimited, part, err)
	}
	return nil
}

// Part is what one of so many processes may call a second.
func Part(total float64, processes int) float64 {
	return total / float64(max(processes, fewestProcesses))
}
