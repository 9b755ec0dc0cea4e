package membership_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/node"
	"github.com/dykewing/dykewing/membership"
	"github.com/dykewing/dykewing/sim"
)

// HeaderBytes is the HTTP/1.1 overhead of one exchange in both directions, without
// TCP and IP, as counted by a test of package node.
const HeaderBytes = 240

// FleetOptions configures a simulated fleet.
type FleetOptions struct {
	Seed            uint64
	Regions         int
	Zones           int
	RoutersPerZone  int
	StoresPerZone   int
	Sidecars        int // total
	ServicesPerZone int // rows that the routers of a zone report
	ServicesPerNode int // rows that one router reports
	Interval        time.Duration
	SuspectTimeout  time.Duration
	SummaryInterval time.Duration // between changes of a node's load; 0 means none
	MeasureEvery    int           // one in so many exchanges is encoded to count bytes; 0 means none
	Refuse          bool          // hosts of crashed processes refuse connections
	Fault           membership.Fault
}

// DefaultFleetOptions describes a fleet of about 670 nodes in 15 zones.
func DefaultFleetOptions() FleetOptions {
	return FleetOptions{
		Seed: 1, Regions: 6, Zones: 15, RoutersPerZone: 43, StoresPerZone: 2,
		ServicesPerZone: 8, ServicesPerNode: 3,
		Interval: time.Second, SuspectTimeout: 5 * time.Second,
		SummaryInterval: time.Second, MeasureEvery: 4,
	}
}

// Traffic counts a node's exchanges and the bytes of those that were encoded.
type Traffic struct {
	Exchanges int // started by the node
	Answered  int // answered by the node
	Measured  int
	Bytes     int // of the measured exchanges: bodies and headers, both directions
}

// Member is one simulated node.
type Member struct {
	Machine *membership.Machine
	Process *sim.Process
	Node    api.Node
	Traffic Traffic
	// OnAction, if set, is called with each action of the machine.
	OnAction func(membership.Action)

	summary  api.LoadSummary
	revision int64
	leaving  bool
	waiting  map[uint64]membership.Send
}

// Fleet simulates a fleet of membership machines.
type Fleet struct {
	Simulation *sim.Simulation
	Network    *sim.Network
	Members    []*Member

	options FleetOptions
	byName  map[string]*Member
	tokens  uint64
	random  *rand.Rand
}

type request struct {
	token    uint64
	exchange membership.Exchange
}

type response struct {
	token    uint64
	exchange membership.Exchange
}

// One-way latencies.
const (
	zoneLatency        = 250 * time.Microsecond
	regionLatency      = time.Millisecond
	crossRegionLatency = 30 * time.Millisecond
)

// NewFleet returns a fleet whose nodes start within the first interval.
func NewFleet(options FleetOptions) *Fleet {
	simulation := sim.New(options.Seed)
	fleet := &Fleet{Simulation: simulation, options: options, byName: map[string]*Member{}, random: simulation.ForkRandom()}
	fleet.Network = simulation.NewNetwork(fleet.latency)
	for zone := range options.Zones {
		location := api.Location{
			Region: api.RegionName(fmt.Sprintf("region-%d", zone%max(options.Regions, 1))),
			Zone:   api.ZoneName(fmt.Sprintf("zone-%02d", zone)),
		}
		for i := range options.RoutersPerZone {
			fleet.add(api.RoleRouter, fmt.Sprintf("router-%02d-%02d", zone, i), location)
		}
		for i := range options.StoresPerZone {
			fleet.add(api.RoleStore, fmt.Sprintf("store-%02d-%02d", zone, i), location)
		}
	}
	for i := range options.Sidecars {
		location := fleet.Members[i%(options.Zones*(options.RoutersPerZone+options.StoresPerZone))].Node.Location
		fleet.add(api.RoleSidecar, fmt.Sprintf("sidecar-%04d", i), location)
	}
	for _, member := range fleet.Members {
		fleet.Start(member, 1)
	}
	return fleet
}

func (f *Fleet) add(role api.Role, name string, location api.Location) {
	member := &Member{
		Process: f.Simulation.NewProcess(name),
		Node:    api.Node{ID: api.NodeID(name), Role: role, Address: name, Location: location},
	}
	f.Members = append(f.Members, member)
	f.byName[name] = member
	f.Network.Attach(member.Process, func(from string, message any) { f.deliver(member, from, message) })
}

// Member returns the member with the name, or nil.
func (f *Fleet) Member(name string) *Member { return f.byName[name] }

// Start gives the member a new machine with the incarnation and starts its ticks.
func (f *Fleet) Start(member *Member, incarnation uint64) {
	member.Node.Incarnation = incarnation
	member.waiting = map[uint64]membership.Send{}
	member.leaving = false
	member.Machine = membership.NewMachine(membership.Settings{
		Self: member.Node, Seeds: f.seeds(member), Interval: f.options.Interval,
		SuspectTimeout: f.options.SuspectTimeout, Random: f.Simulation.ForkRandom(), Fault: f.options.Fault,
	})
	phase := time.Duration(f.random.Int64N(int64(f.options.Interval)))
	member.Process.After(phase, func() { f.tick(member) })
	if f.options.SummaryInterval > 0 && member.Node.Role == api.RoleRouter {
		f.changeLoad(member)
		member.Process.Every(f.options.SummaryInterval, func() { f.changeLoad(member) })
	}
}

// seeds returns the first two routers of the first two zones and of the member's own.
func (f *Fleet) seeds(member *Member) []string {
	var seeds []string
	perZone := f.options.RoutersPerZone + f.options.StoresPerZone
	for i, other := range f.Members[:f.options.Zones*perZone] {
		sameZone := other.Node.Location == member.Node.Location
		if i%perZone < 2 && (sameZone || i < 2*perZone) {
			seeds = append(seeds, other.Node.Address)
		}
	}
	return seeds
}

func (f *Fleet) tick(member *Member) {
	f.step(member, membership.Tick{})
	member.Process.After(f.options.Interval, func() { f.tick(member) })
}

// changeLoad gives the member a random load.
func (f *Fleet) changeLoad(member *Member) {
	services := make([]api.ServiceSummary, f.options.ServicesPerNode)
	first := f.random.IntN(max(f.options.ServicesPerZone, 1))
	if len(member.summary.Services) > 0 {
		copy(services, member.summary.Services)
	}
	for i := range services {
		if services[i].Service == "" {
			number := (first + i) % max(f.options.ServicesPerZone, 1)
			services[i] = api.ServiceSummary{
				Service: api.ServiceName(fmt.Sprintf("model-%02d", number)), Place: api.PlaceName(member.Node.Location.Zone),
				Workers: 5, Slots: 160,
			}
		}
		services[i].Online, services[i].Batch = f.random.IntN(160), f.random.IntN(100)
	}
	member.summary.Services = services
	f.report(member)
}

func (f *Fleet) SetRevision(member *Member, revision int64) {
	member.revision = revision
	f.report(member)
}

func (f *Fleet) Leave(member *Member) {
	member.leaving = true
	f.report(member)
}

func (f *Fleet) report(member *Member) {
	f.step(member, membership.SelfChanged{Leaving: member.leaving, TableRevision: member.revision, Summary: member.summary})
}

// Stop announces the member's shutdown and ends its process.
func (f *Fleet) Stop(member *Member) {
	f.step(member, membership.Stopped{})
	member.Process.Crash()
}

func (f *Fleet) step(member *Member, message membership.Message) []membership.Action {
	actions := member.Machine.Step(member.Process.Now(), message)
	for _, action := range actions {
		if send, ok := action.(membership.Send); ok {
			f.send(member, send)
		}
		if member.OnAction != nil {
			member.OnAction(action)
		}
	}
	return actions
}

func (f *Fleet) send(member *Member, send membership.Send) {
	f.tokens++
	token := f.tokens
	member.waiting[token] = send
	member.Traffic.Exchanges++
	f.measure(member, token, send.Exchange, HeaderBytes)
	if target := f.byName[send.Address]; f.options.Refuse && target != nil && !target.Process.Up() {
		member.Process.After(2*f.latency(member.Process.Name(), send.Address), func() { f.refuse(member, token) })
		return
	}
	f.Network.Send(member.Process.Name(), send.Address, request{token: token, exchange: send.Exchange})
	member.Process.After(f.options.Interval, func() {
		if _, open := member.waiting[token]; open {
			delete(member.waiting, token)
			f.step(member, membership.Unreachable{Sent: send})
		}
	})
}

// refuse fails an exchange like a host on which no process listens.
func (f *Fleet) refuse(member *Member, token uint64) {
	if send, open := member.waiting[token]; open {
		delete(member.waiting, token)
		f.step(member, membership.Unreachable{Sent: send, Refused: true})
	}
}

func (f *Fleet) deliver(member *Member, from string, message any) {
	switch message := message.(type) {
	case request:
		member.Traffic.Answered++
		f.measure(member, message.token, message.exchange, HeaderBytes)
		for _, action := range f.step(member, membership.RequestReceived{Exchange: message.exchange}) {
			if reply, ok := action.(membership.Reply); ok {
				f.measure(member, message.token, reply.Exchange, 0)
				f.Network.Send(member.Process.Name(), from, response{token: message.token, exchange: reply.Exchange})
			}
		}
	case response:
		send, open := member.waiting[message.token]
		if !open {
			return
		}
		delete(member.waiting, message.token)
		f.measure(member, message.token, message.exchange, 0)
		f.step(member, membership.ReplyReceived{Sent: send, Exchange: message.exchange})
	}
}

// measure encodes a sample of the exchanges to count their bytes; headers are counted
// with the request.
func (f *Fleet) measure(member *Member, token uint64, exchange membership.Exchange, headers int) {
	if f.options.MeasureEvery == 0 || token%uint64(f.options.MeasureEvery) != 0 {
		return
	}
	body, _, err := node.EncodeExchange(exchange)
	if err != nil {
		return
	}
	member.Traffic.Measured++
	member.Traffic.Bytes += len(body) + headers
}

func (f *Fleet) ResetTraffic() {
	for _, member := range f.Members {
		member.Traffic = Traffic{}
	}
}

// BytesPerSecond estimates the member's traffic in both directions; elapsed is the time
// since ResetTraffic.
func (f *Fleet) BytesPerSecond(member *Member, elapsed time.Duration) float64 {
	return float64(member.Traffic.Bytes*f.options.MeasureEvery) / elapsed.Seconds()
}

// latency returns the one-way latency between two nodes.
func (f *Fleet) latency(from, to string) time.Duration {
	a, b := f.byName[from], f.byName[to]
	switch {
	case a == nil || b == nil || a.Node.Location.Region != b.Node.Location.Region:
		return crossRegionLatency
	case a.Node.Location != b.Node.Location:
		return regionLatency
	}
	return zoneLatency
}
