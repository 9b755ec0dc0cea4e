package scale

import (
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/sim"
)

// One-way delays between nodes.
const (
	delayInZone    = 250 * time.Microsecond
	delayInRegion  = time.Millisecond
	delayElsewhere = 40 * time.Millisecond
)

// fleet is all hollow nodes of a run, on one virtual clock.
type fleet struct {
	options    Options
	simulation *sim.Simulation
	wire       Wire
	nodes      []*hollow
	byAddress  map[string]*hollow
	workers    []api.Worker
	keyValue   *keyValue
	watch      *viewWatch
	delayed    []time.Duration // of each edit at each node
}

func newFleet(options Options, wire Wire) *fleet {
	f := &fleet{
		options: options, simulation: sim.New(options.Seed), wire: wire,
		byAddress: map[string]*hollow{}, workers: options.Size.WorkerList(),
	}
	f.keyValue = newKeyValue(options.Size.TableRows())
	nodes := options.Size.NodeList()
	for _, node := range nodes {
		node.TableRevision = 0
		hollow := newHollow(f, node, seedsOf(node, nodes))
		f.nodes = append(f.nodes, hollow)
		f.byAddress[node.Address] = hollow
	}
	for _, node := range f.nodes {
		node.run()
	}
	return f
}

const seedsOfNode = 3

// seedsOf are the first routers of the node's zone and one of another.
func seedsOf(self api.Node, nodes []api.Node) []string {
	var seeds []string
	for _, node := range nodes {
		if node.Role != api.RoleRouter || node.ID == self.ID || node.Location != self.Location {
			continue
		}
		if seeds = append(seeds, node.Address); len(seeds) == seedsOfNode-1 {
			break
		}
	}
	return append(seeds, nodes[0].Address)
}

func delay(from, to api.Location) time.Duration {
	switch {
	case from == to:
		return delayInZone
	case from.Region == to.Region:
		return delayInRegion
	}
	return delayElsewhere
}

// exchange carries a request to the process at address and its answer back;
// done gets nil when there was none within the interval.
func (f *fleet) exchange(from *hollow, purpose, address string, request []byte, serve func(*hollow, []byte) []byte, done func([]byte)) {
	from.cost.Messages++
	from.cost.sent(purpose, len(request)+f.wire.RequestHeader)
	target, ok := f.byAddress[address]
	if !ok {
		from.process.After(f.options.Interval, func() { done(nil) })
		return
	}
	finished := false
	finish := func(answer []byte) {
		if !finished {
			finished = true
			done(answer)
		}
	}
	oneWay := delay(from.self.Location, target.self.Location)
	from.process.After(f.options.Interval, func() { finish(nil) })
	target.process.After(oneWay, func() {
		target.cost.BytesReceived += int64(len(request) + f.wire.RequestHeader)
		answer := serve(target, request)
		target.cost.sent(purpose+" answer", len(answer)+f.wire.ResponseHeader)
		from.process.After(oneWay, func() {
			from.cost.BytesReceived += int64(len(answer) + f.wire.ResponseHeader)
			finish(answer)
		})
	})
}

// live lists the nodes whose process has not crashed.
func (f *fleet) live() []*hollow {
	var live []*hollow
	for _, node := range f.nodes {
		if node.process.Up() {
			live = append(live, node)
		}
	}
	return live
}
