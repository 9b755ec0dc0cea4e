package sim

import "time"

// Faults are chances (0 to 1) that each message meets.
type Faults struct {
	Loss      float64
	Duplicate float64
	Late      float64       // chance of an extra delay
	LateBy    time.Duration // longest extra delay
}

// Network carries messages between processes with delay and faults; messages
// overtake one another.
type Network struct {
	simulation *Simulation
	latency    func(from, to string) time.Duration
	endpoints  map[string]endpoint
	cut        map[[2]string]bool
	faults     Faults
	sent       int
}

type endpoint struct {
	process *Process
	receive func(from string, message any)
}

// NewNetwork carries with the given one-way latency, to which up to as much
// again is added by chance.
func (s *Simulation) NewNetwork(latency func(from, to string) time.Duration) *Network {
	return &Network{simulation: s, latency: latency, endpoints: map[string]endpoint{}, cut: map[[2]string]bool{}}
}

// Attach lets the process receive at its name.
func (n *Network) Attach(process *Process, receive func(from string, message any)) {
	n.endpoints[process.name] = endpoint{process: process, receive: receive}
}

// SetFaults sets the chances from now on.
func (n *Network) SetFaults(faults Faults) { n.faults = faults }

// Cut breaks the way from one process to another, one way only.
func (n *Network) Cut(from, to string) { n.cut[[2]string{from, to}] = true }

// Isolate cuts a process from all others, both ways.
func (n *Network) Isolate(name string) {
	for other := range n.endpoints {
		if other != name {
			n.Cut(name, other)
			n.Cut(other, name)
		}
	}
	n.simulation.Tracef("isolate %s", name)
}

// Heal mends all cuts.
func (n *Network) Heal() {
	n.cut = map[[2]string]bool{}
	n.simulation.Tracef("heal network")
}

// Sent counts the messages that were sent.
func (n *Network) Sent() int { return n.sent }

// Send carries the message, or loses it.
func (n *Network) Send(from, to string, message any) {
	n.sent++
	n.carry(from, to, message)
	if n.simulation.random.Float64() < n.faults.Duplicate {
		n.carry(from, to, message)
	}
}

func (n *Network) carry(from, to string, message any) {
	random := n.simulation.random
	if n.cut[[2]string{from, to}] || random.Float64() < n.faults.Loss {
		return
	}
	target, ok := n.endpoints[to]
	if !ok {
		return
	}
	delay := n.latency(from, to)
	delay += time.Duration(random.Int64N(int64(delay) + 1))
	if random.Float64() < n.faults.Late {
		delay += time.Duration(random.Int64N(int64(n.faults.LateBy) + 1))
	}
	n.simulation.After(delay, func() {
		target.process.run(target.process.life, func() {
			if !n.cut[[2]string{from, to}] {
				target.receive(from, message)
			}
		})
	})
}
