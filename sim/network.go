package sim

import "time"

// Faults are the probabilities, from 0 to 1, of the faults that each message is subject
// to.
type Faults struct {
	Loss      float64
	Duplicate float64
	Delay     float64       // probability of an extra delay
	MaxDelay  time.Duration // maximum extra delay
}

// Network delivers messages between processes with delays and faults. Messages may be
// reordered.
type Network struct {
	simulation *Simulation
	latency    func(from, to string) time.Duration
	endpoints  map[string]endpoint
	cutLinks   map[[2]string]bool
	faults     Faults
	sent       int
}

type endpoint struct {
	process *Process
	receive func(from string, message any)
}

// NewNetwork returns a network with the given one-way latency, to which a random delay
// of up to the same length is added.
func (s *Simulation) NewNetwork(latency func(from, to string) time.Duration) *Network {
	return &Network{simulation: s, latency: latency, endpoints: map[string]endpoint{}, cutLinks: map[[2]string]bool{}}
}

// Attach registers a process and its receive function under the process's name.
func (n *Network) Attach(process *Process, receive func(from string, message any)) {
	n.endpoints[process.name] = endpoint{process: process, receive: receive}
}

// SetFaults replaces the faults for messages sent from now on.
func (n *Network) SetFaults(faults Faults) { n.faults = faults }

// Cut drops messages from one process to another, in this direction only.
func (n *Network) Cut(from, to string) { n.cutLinks[[2]string{from, to}] = true }

// Isolate cuts a process off from all others, in both directions.
func (n *Network) Isolate(name string) {
	for other := range n.endpoints {
		if other != name {
			n.Cut(name, other)
			n.Cut(other, name)
		}
	}
	n.simulation.Tracef("isolate %s", name)
}

// Heal removes all cuts.
func (n *Network) Heal() {
	n.cutLinks = map[[2]string]bool{}
	n.simulation.Tracef("heal network")
}

// Sent returns the number of messages sent, including those lost; duplicates are not
// counted.
func (n *Network) Sent() int { return n.sent }

// Send delivers the message to a process by name, subject to the faults.
func (n *Network) Send(from, to string, message any) {
	n.sent++
	n.deliver(from, to, message)
	if n.simulation.random.Float64() < n.faults.Duplicate {
		n.deliver(from, to, message)
	}
}

func (n *Network) deliver(from, to string, message any) {
	random := n.simulation.random
	if n.cutLinks[[2]string{from, to}] || random.Float64() < n.faults.Loss {
		return
	}
	target, ok := n.endpoints[to]
	if !ok {
		return
	}
	delay := n.latency(from, to)
	delay += time.Duration(random.Int64N(int64(delay) + 1))
	if random.Float64() < n.faults.Delay {
		delay += time.Duration(random.Int64N(int64(n.faults.MaxDelay) + 1))
	}
	n.simulation.After(delay, func() {
		target.process.run(target.process.generation, func() {
			if !n.cutLinks[[2]string{from, to}] {
				target.receive(from, message)
			}
		})
	})
}
