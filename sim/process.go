package sim

import "time"

// Process is a simulated process. A crash cancels its timers, and messages that arrive
// before Restart are dropped. Timers and messages that are due during a pause are deferred.
type Process struct {
	simulation *Simulation
	name       string
	generation uint64 // incremented by each crash, which cancels older timers
	crashed    bool
	paused     bool
	deferred   []func()
	skew       time.Duration // offset of the process's clock
}

// NewProcess returns a running process.
func (s *Simulation) NewProcess(name string) *Process {
	return &Process{simulation: s, name: name}
}

// Name returns the name of the process in the network and in traces.
func (p *Process) Name() string { return p.name }

// Now returns the time of the process's clock, including its skew.
func (p *Process) Now() time.Time { return p.simulation.now.Add(p.skew) }

// SetSkew sets the offset of the process's clock from the virtual time.
func (p *Process) SetSkew(skew time.Duration) { p.skew = skew }

// Up reports whether the process is running or paused, not crashed.
func (p *Process) Up() bool { return !p.crashed }

// Paused reports whether the process is paused.
func (p *Process) Paused() bool { return p.paused }

// After runs f in the process after the delay, unless the process crashes first. If the
// process is paused then, f runs on Resume.
func (p *Process) After(delay time.Duration, f func()) {
	generation := p.generation
	p.simulation.After(delay, func() { p.run(generation, f) })
}

// Every runs f at each interval until the process crashes.
func (p *Process) Every(interval time.Duration, f func()) {
	p.After(interval, func() {
		f()
		p.Every(interval, f)
	})
}

func (p *Process) run(generation uint64, f func()) {
	switch {
	case p.crashed || generation != p.generation:
	case p.paused:
		p.deferred = append(p.deferred, func() { p.run(generation, f) })
	default:
		f()
	}
}

// Crash stops the process and cancels its timers. The caller must discard the process's
// in-memory state.
func (p *Process) Crash() {
	p.simulation.Tracef("crash %s", p.name)
	p.crashed, p.paused, p.deferred = true, false, nil
	p.generation++
}

// Restart starts the process again after a crash.
func (p *Process) Restart() {
	p.simulation.Tracef("restart %s", p.name)
	p.crashed = false
}

// Pause suspends the process, which is not notified of it.
func (p *Process) Pause() {
	p.simulation.Tracef("pause %s", p.name)
	p.paused = true
}

// Resume continues the process and runs the deferred timers and messages.
func (p *Process) Resume() {
	p.simulation.Tracef("resume %s", p.name)
	p.paused = false
	deferred := p.deferred
	p.deferred = nil
	for _, f := range deferred {
		p.simulation.After(0, f)
	}
}
