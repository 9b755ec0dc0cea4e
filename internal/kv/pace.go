package kv

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Rates are limits on the calls per second of all processes together; 0 means no limit.
type Rates struct {
	Reads  float64
	Writes float64
}

// Limiter limits one process to its share of the Rates of a service, so that all processes
// may start, or reconnect after an outage, at the same time. It is safe for concurrent use.
type Limiter struct {
	rates Rates

	mutex     sync.Mutex // guards all below
	processes func() int // number of processes known to call the service
	// readers returns the number of processes that read the full state, and whether this is one.
	readers func() (n int, self bool)
	reads   *rate.Limiter
	writes  *rate.Limiter
}

const (
	// minProcesses is the lowest number of processes that a share is computed for, since
	// a process that has just started does not know of the others.
	minProcesses = 16
	// readersPart is the part of the reads reserved for processes that read the full state for
	// others. Their number does not grow with the fleet, but the number of their reads grows with
	// the state.
	readersPart = 0.25
	// burstPeriod is the time whose share of calls may be made in one burst.
	burstPeriod = time.Second
)

// NewLimiter returns the limits for a process that does not know of any others yet.
func NewLimiter(rates Rates) *Limiter {
	return &Limiter{rates: rates, processes: func() int { return 1 }, readers: func() (int, bool) { return 1, true }, reads: rate.NewLimiter(0, 1), writes: rate.NewLimiter(0, 1)}
}

// SetProcesses sets the function that returns the number of processes that share the rates,
// including this one.
func (p *Limiter) SetProcesses(processes func() int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.processes = processes
}

// SetReaders sets the function that returns the number of processes that read the full state from
// the service, and whether this process is one of them.
func (p *Limiter) SetReaders(readers func() (n int, self bool)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.readers = readers
}

// Wait blocks until the limit permits one call. The error wraps
// ErrRateLimited if ctx ends, or its deadline would pass, before that.
func (p *Limiter) Wait(ctx context.Context, write bool) error {
	total, limiter := p.rates.Reads, p.reads
	if write {
		total, limiter = p.rates.Writes, p.writes
	}
	if total <= 0 {
		return nil
	}
	p.mutex.Lock()
	part := Share(total, p.processes())
	if !write {
		readers, self := p.readers()
		part = ReadShare(total, p.processes(), readers, self)
	}
	limiter.SetLimit(rate.Limit(part))
	limiter.SetBurst(max(int(part*burstPeriod.Seconds()), 1))
	p.mutex.Unlock()
	if err := limiter.Wait(ctx); err != nil {
		return fmt.Errorf("%w: the share of this process is %.2f calls per second: %w", ErrRateLimited, part, err)
	}
	return nil
}

// Share returns the calls per second of one process out of the given number.
func Share(total float64, processes int) float64 {
	return total / float64(max(processes, minProcesses))
}

// ReadShare returns the reads per second of one process, of which readers read the full state.
func ReadShare(total float64, processes, readers int, reader bool) float64 {
	share := Share((1-readersPart)*total, processes)
	if reader {
		share += Share(readersPart*total, readers)
	}
	return share
}
