package sim

import "time"

// Process is a simulated process: its timers and messages stop when it crashes
// and are held back while it is paused.
type Process struct {
	simulation *Simulation
	name       string
	life       uint64 // grows with each crash, which voids older timers
	down       bool
	paused     bool
	held       []func()
	skew       time.Duration // added to the time that the process sees
}

// NewProcess adds a running process.
func (s *Simulation) NewProcess(name string) *Process {
	return &Process{simulation: s, name: name}
}

// Name is the process's name in traces.
func (p *Process) Name() string { return p.name }

// Now is the time that the process sees.
func (p *Process) Now() time.Time { return p.simulation.now.Add(p.skew) }

// SetSkew puts the process's clock off by skew.
func (p *Process) SetSkew(skew time.Duration) { p.skew = skew }

// Up tells whether the process has not crashed.
func (p *Process) Up() bool { return !p.down }

// Paused tells whether the process stands still.
func (p *Process) Paused() bool { return p.paused }

// After runs f in the process once the delay has passed, unless it crashes
// first; while paused, f waits for the resumption.
func (p *Process) After(delay time.Duration, f func()) {
	life := p.life
	p.simulation.After(delay, func() { p.run(life, f) })
}

// Every runs f each interval until the process crashes.
func (p *Process) Every(interval time.Duration, f func()) {
	p.After(interval, func() {
		f()
		p.Every(interval, f)
	})
}

func (p *Process) run(life uint64, f func()) {
	switch {
	case p.down || life != p.life:
	case p.paused:
		p.held = append(p.held, func() { p.run(life, f) })
	default:
		f()
	}
}

// Crash ends the process; memory is the owner's to forget.
func (p *Process) Crash() {
	p.simulation.Tracef("crash %s", p.name)
	p.down, p.paused, p.held = true, false, nil
	p.life++
}

// Restart lets the process run again.
func (p *Process) Restart() {
	p.simulation.Tracef("restart %s", p.name)
	p.down = false
}

// Pause makes the process stand still without knowing.
func (p *Process) Pause() {
	p.simulation.Tracef("pause %s", p.name)
	p.paused = true
}

// Resume goes on with all that was held back.
func (p *Process) Resume() {
	p.simulation.Tracef("resume %s", p.name)
	p.paused = false
	held := p.held
	p.held = nil
	for _, f := range held {
		p.simulation.After(0, f)
	}
}
