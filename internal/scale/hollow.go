package scale

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/dykewing/dykewing/admission"
	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/jobs"
	"github.com/dykewing/dykewing/membership"
	"github.com/dykewing/dykewing/placement"
	"github.com/dykewing/dykewing/routing"
	"github.com/dykewing/dykewing/sim"
	"github.com/dykewing/dykewing/table"
)

// arrivalsPerTick moves a router's load, so that its report changes. The data
// path itself is not measured here.
const arrivalsPerTick = 4

// hollow is one node: the real control machines of its role without a listener.
type hollow struct {
	fleet      *fleet
	self       api.Node
	process    *sim.Process
	random     *rand.Rand
	cost       *Cost
	membership *membership.Machine
	replica    *table.Replica
	view       []api.Node
	fetching   bool // a table fetch is on its way

	homes     *placement.Homes // routers
	homed     []api.Worker
	admission *admission.Machine
	flights   []api.RequestID
	arrivals  int

	dispatcher *jobs.Dispatcher // stores
}

func newHollow(fleet *fleet, self api.Node, seeds []string) *hollow {
	node := &hollow{
		fleet: fleet, self: self, process: fleet.simulation.NewProcess(string(self.ID)),
		random: fleet.simulation.Fork(), cost: newCost(), view: []api.Node{self},
	}
	node.start(seeds)
	return node
}

// start gives the node the empty machines of a new process.
func (h *hollow) start(seeds []string) {
	h.membership = membership.NewMachine(membership.Settings{
		Self: h.self, Seeds: seeds, Interval: h.fleet.options.Interval,
		SuspectTimeout: h.fleet.options.SuspectTimeout, Random: h.random,
	})
	h.replica = table.NewReplica()
	switch h.self.Role {
	case api.RoleRouter:
		h.homes = placement.NewHomes(h.self.ID)
		h.admission = admission.NewMachine(admission.Settings{Online: h.profile(), Batch: h.profile()})
	case api.RoleStore:
		h.dispatcher = newBacklog(h.fleet.options, h.self)
	}
}

func (h *hollow) profile() routing.Profile {
	return routing.Profile{
		Filters: []routing.Filter{routing.RowFilter{}, routing.NotLeavingFilter{}},
		Scorers: []routing.WeightedScorer{{Scorer: routing.LoadScorer{}, Weight: 1}},
		Picker:  routing.BestPicker{Random: h.random},
	}
}

// run ticks the node at a phase of its own until its process crashes.
func (h *hollow) run() {
	phase := time.Duration(h.random.Int64N(int64(h.fleet.options.Interval)))
	h.process.After(phase, func() {
		h.tick()
		h.process.Every(h.fleet.options.Interval, h.tick)
	})
}

func (h *hollow) now() time.Time { return h.process.Now() }

// tick is what the real shell does each interval.
func (h *hollow) tick() {
	h.moveLoad()
	h.reportSelf()
	h.stepMembership(membership.Tick{})
	h.syncTable()
}

// reportSelf is done each interval and when a table comes into force.
func (h *hollow) reportSelf() {
	var summary api.Summary
	h.cost.timed(PartSummary, func() { summary = h.summary() })
	changed := membership.SelfChanged{Summary: summary}
	if snapshot := h.replica.Current(); snapshot != nil {
		changed.TableRevision = snapshot.Revision()
	}
	h.stepMembership(changed)
}

func (h *hollow) summary() api.Summary {
	var summary api.Summary
	if h.admission != nil {
		summary.Services = h.admission.Summaries()
	}
	if h.dispatcher != nil {
		group := placement.GroupOf(api.TenantID(h.self.ID), groupsOf(h.fleet.options.Size))
		summary.Groups = []api.GroupSummary{{Group: group, Term: 1, Leading: true, Waiting: h.dispatcher.Backlog()}}
	}
	return summary
}

// moveLoad lets some online requests arrive and as many end.
func (h *hollow) moveLoad() {
	if len(h.homed) == 0 {
		return
	}
	for range arrivalsPerTick {
		h.arrivals++
		worker := h.homed[h.random.IntN(len(h.homed))]
		id := api.RequestID(fmt.Sprintf("%s-%d", h.self.ID, h.arrivals))
		h.admission.Step(h.now(), admission.Arrive{Request: routing.Request{
			ID: id, Service: worker.Service, Place: worker.Place, Class: api.ClassOnline,
		}})
		h.flights = append(h.flights, id)
	}
	for len(h.flights) > len(h.homed) {
		h.admission.Step(h.now(), admission.Finished{Request: h.flights[0]})
		h.flights = h.flights[1:]
	}
}

// stepMembership steps the machine, carries its actions out and gives the
// reply that it asks for, if any.
func (h *hollow) stepMembership(message membership.Message) (reply *membership.Exchange) {
	var actions []membership.Action
	h.cost.timed(PartMembership, func() { actions = h.membership.Step(h.now(), message) })
	viewChanged := false
	for _, action := range actions {
		switch action := action.(type) {
		case membership.Send:
			h.send(action)
		case membership.Reply:
			reply = &action.Exchange
		case membership.ViewChanged:
			viewChanged = true
		}
	}
	if viewChanged {
		h.takeView()
	}
	return reply
}

func (h *hollow) takeView() {
	h.cost.timed(PartMembership, func() { h.view = h.membership.Nodes() })
	h.fleet.observeView(h)
	if h.homes == nil {
		return
	}
	h.cost.timed(PartHomes, func() {
		if h.homes.SetNodes(h.view) {
			h.rehome()
		}
	})
}

func (h *hollow) rehome() {
	h.homed = h.homes.Mine(h.fleet.workers)
	h.admission.Step(h.now(), admission.Workers{Workers: h.homed})
}

// send carries one exchange as encoded JSON; the answer or its absence comes
// back as the real shell gives it.
func (h *hollow) send(send membership.Send) {
	raw := h.encodeExchange(send.Exchange)
	h.fleet.exchange(h, string(send.Purpose), send.Address, raw, func(target *hollow, request []byte) []byte {
		reply := target.stepMembership(membership.Incoming{Exchange: target.decodeExchange(request)})
		if reply == nil {
			reply = &membership.Exchange{From: target.self.ID}
		}
		return target.encodeExchange(*reply)
	}, func(answer []byte) {
		if answer == nil {
			h.stepMembership(unreachable(send))
			return
		}
		h.stepMembership(answered(send, h.decodeExchange(answer)))
	})
}

func (h *hollow) encode(value any) []byte {
	var raw []byte
	h.cost.timed(PartCodec, func() {
		var err error
		if raw, err = json.Marshal(value); err != nil {
			panic(fmt.Sprintf("encode a control message: %v", err))
		}
	})
	return raw
}

func (h *hollow) decode(raw []byte, value any) {
	h.cost.timed(PartCodec, func() {
		if err := json.Unmarshal(raw, value); err != nil {
			panic(fmt.Sprintf("decode a control message: %v", err))
		}
	})
}

// takeRows hands the table in force to admission.
func (h *hollow) takeRows() {
	snapshot := h.replica.Current()
	rows := map[api.RowKey]api.Row{}
	for _, service := range snapshot.Services() {
		for _, row := range snapshot.Service(service) {
			rows[row.Key()] = row
		}
	}
	h.cost.timed(PartTable, func() { h.admission.Step(h.now(), admission.Rows{Rows: rows}) })
}
