package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/sim"
)

var rowKey = api.RowKey{Service: "model", Place: "east"}

// fleet is three stores of one group, some routers, and an oracle in place of the
// replicated log, which knows the term and the registered holders.
type fleet struct {
	simulation  *sim.Simulation
	network     *sim.Network
	random      *rand.Rand
	settings    Settings
	ceiling     Ceiling
	term        uint64
	leader      int
	registered  []api.NodeID
	owners      []*ownerProcess
	holders     []*holderProcess
	admissions  []time.Duration
	refused     int
	violation   string
	slow        bool // the link from store-0 to router-0 is slow
	partitioned bool // a router and the old leader are partitioned from the rest
	delayed     bool // half of the messages are delayed
}

type ownerProcess struct {
	process *sim.Process
	owner   *Owner
	token   uint64
	callers map[uint64]string
	epoch   uint64
}

type holderProcess struct {
	fleet        *fleet
	process      *sim.Process
	holder       *Holder
	instance     uint64
	meanInterval time.Duration // mean time between arrivals
	onlyStore    *ownerProcess // the only reachable store, if not nil
	inFlight     int           // requests at the back ends, of this instance
}

func testSettings(fault Fault) Settings {
	return Settings{
		ShareTTL: time.Second, DriftMargin: 50 * time.Millisecond, ReportInterval: 400 * time.Millisecond, MinReportInterval: 100 * time.Millisecond,
		IdleTimeout: time.Second, MaxRunTime: 4 * time.Second, Fault: fault,
	}
}

func newFleet(seed uint64, fault Fault, ceiling Ceiling, routers int) *fleet {
	s := sim.New(seed)
	f := &fleet{simulation: s, random: s.ForkRandom(), settings: testSettings(fault), ceiling: ceiling}
	if seed%2 == 1 {
		f.settings.MaxRunTime = 300 * time.Millisecond // unreported shares soon stop counting
		f.delayed = seed%4 == 3
	}
	f.network = s.NewNetwork(func(from, to string) time.Duration {
		if f.slow && from == "store-0" && to == "router-0" {
			return f.settings.ShareTTL * 2 / 5
		}
		return 2 * time.Millisecond
	})
	for i := range 3 {
		f.addOwner(fmt.Sprintf("store-%d", i))
	}
	for i := range routers {
		f.addHolder(fmt.Sprintf("router-%d", i))
	}
	f.elect(0, 0)
	return f
}

func (f *fleet) addOwner(name string) {
	o := &ownerProcess{process: f.simulation.NewProcess(name), owner: NewOwner(f.settings), callers: map[uint64]string{}}
	o.process.SetSkew(time.Duration(f.random.Int64N(int64(time.Hour))))
	o.owner.Step(o.process.Now(), OwnerCeilings{Rows: map[api.RowKey]Ceiling{rowKey: f.ceiling}})
	f.owners = append(f.owners, o)
	f.network.Attach(o.process, func(from string, message any) {
		o.token++
		o.callers[o.token] = from
		f.execute(o, o.owner.Step(o.process.Now(), ReportReceived{Token: o.token, Report: message.(Report)}))
	})
}

// elect makes a store the leader of the next term. The old leader detectedAfter of it only after
// the given time, or when it resumes.
func (f *fleet) elect(leader int, detectedAfter time.Duration) {
	f.term++
	term, old := f.term, f.owners[f.leader]
	f.leader = leader
	f.simulation.Tracef("elect store-%d in term %d", leader, term)
	old.process.After(detectedAfter+time.Duration(f.random.Int64N(int64(300*time.Millisecond))), func() {
		if old.epoch < f.term {
			f.execute(old, old.owner.Step(old.process.Now(), LostLeadership{}))
		}
	})
	next := f.owners[leader]
	holders := append([]api.NodeID(nil), f.registered...)
	next.process.After(0, func() {
		next.epoch = term
		f.execute(next, next.owner.Step(next.process.Now(), BecameLeader{Epoch: term, Holders: holders}))
	})
}

func (f *fleet) execute(o *ownerProcess, actions []OwnerAction) {
	for _, action := range actions {
		switch action := action.(type) {
		case ConfirmLeadership:
			f.confirm(o, action.Token)
		case RegisterHolder:
			f.register(o, action.Router)
		case SendGrant:
			if !action.NotLeader {
				f.network.Send(o.process.Name(), o.callers[action.Token], action.Grant)
			}
			delete(o.callers, action.Token)
		}
	}
}

// confirm simulates the confirmation by a quorum, which fails if the term has changed before
// the quorum is reached.
func (f *fleet) confirm(o *ownerProcess, token uint64) {
	epoch := o.epoch
	f.simulation.After(time.Duration(f.random.Int64N(int64(5*time.Millisecond))), func() {
		if f.term != epoch {
			return
		}
		o.process.After(time.Duration(f.random.Int64N(int64(5*time.Millisecond))), func() {
			f.execute(o, o.owner.Step(o.process.Now(), LeadershipConfirmed{Token: token, Epoch: epoch}))
		})
	})
}

func (f *fleet) register(o *ownerProcess, router api.NodeID) {
	epoch := o.epoch
	f.simulation.After(3*time.Millisecond, func() {
		if f.term != epoch {
			return
		}
		f.registered = append(f.registered, router)
		o.process.After(time.Millisecond, func() {
			o.owner.Step(o.process.Now(), HolderRegistered{Epoch: epoch, Router: router})
		})
	})
}

func (f *fleet) addHolder(name string) {
	h := &holderProcess{fleet: f, process: f.simulation.NewProcess(name), meanInterval: 20 * time.Millisecond}
	h.process.SetSkew(time.Duration(f.random.Int64N(int64(time.Hour))))
	f.holders = append(f.holders, h)
	f.network.Attach(h.process, func(_ string, message any) {
		h.holder.Step(h.process.Now(), GrantReceived{Grant: message.(Grant)})
	})
	h.start()
}

func (h *holderProcess) start() {
	h.instance++
	h.inFlight = 0
	h.holder = NewHolder(HolderSettings{
		Settings: h.fleet.settings, Router: api.NodeID(h.process.Name()), Instance: h.instance,
		GroupOf: func(api.RowKey) api.GroupID { return 0 },
	})
	h.holder.Step(h.process.Now(), HolderCeilings{Rows: map[api.RowKey]Ceiling{rowKey: h.fleet.ceiling}})
	h.process.Every(20*time.Millisecond, h.tick)
	h.process.After(0, h.arrive)
}

// tick sends the due reports to the leader, and some of them to another store.
func (h *holderProcess) tick() {
	f := h.fleet
	for _, action := range h.holder.Step(h.process.Now(), Tick{}) {
		to := f.leader
		if f.random.Float64() < 0.3 {
			to = f.random.IntN(len(f.owners))
		}
		target := f.owners[to]
		if h.onlyStore != nil {
			target = h.onlyStore
		}
		f.network.Send(h.process.Name(), target.process.Name(), action.(SendReport).Report)
	}
}

func (h *holderProcess) arrive() {
	f := h.fleet
	gap := time.Duration(f.random.ExpFloat64() * float64(h.meanInterval))
	h.process.After(gap, h.arrive)
	if ok, retryAfter := h.holder.Acquire(h.process.Now(), rowKey); !ok {
		f.refused++
		if retryAfter <= 0 {
			f.violation = "rejected without a retry delay"
		}
		return
	}
	f.admissions = append(f.admissions, f.simulation.Elapsed())
	h.inFlight++
	f.check()
	holder, instance := h.holder, h.instance
	run := time.Duration(f.random.Int64N(int64(min(f.settings.MaxRunTime, 300*time.Millisecond))))
	if f.random.Float64() < 0.25 {
		run = time.Duration(f.random.Int64N(int64(f.settings.MaxRunTime)))
	}
	f.simulation.After(run, func() {
		if h.instance == instance {
			h.inFlight--
		}
	})
	h.process.After(run, func() { holder.Release(rowKey) })
}

// check verifies that the requests in flight do not exceed the ceiling. Those of a crashed
// router ended with its connections.
func (f *fleet) check() {
	total := 0
	for _, h := range f.holders {
		if h.process.Up() {
			total += h.inFlight
		}
	}
	if f.ceiling.Concurrency > 0 && total > f.ceiling.Concurrency && f.violation == "" {
		f.violation = fmt.Sprintf("%d requests in flight at %v, ceiling %d", total, f.simulation.Elapsed(), f.ceiling.Concurrency)
	}
}

// checkRate verifies the bound on admissions of the package comment for windows of a second.
func (f *fleet) checkRate() {
	const window = time.Second
	if f.ceiling.Rate == 0 {
		return
	}
	allowed := f.ceiling.Rate*(window+f.settings.ShareTTL+f.settings.DriftMargin).Seconds() + max(f.ceiling.Rate, 1)
	from := 0
	for to, at := range f.admissions {
		for at-f.admissions[from] > window {
			from++
		}
		if count := to - from + 1; float64(count) > allowed {
			f.violation = fmt.Sprintf("%d admitted in the second before %v, bound %.0f", count, at, allowed)
			return
		}
	}
}

// injectFailure starts a random failure and schedules its end.
func (f *fleet) injectFailure() {
	s := f.simulation
	long := time.Duration(f.random.Int64N(int64(3 * time.Second)))
	holder := f.holders[f.random.IntN(len(f.holders))]
	switch f.random.IntN(7) {
	case 0:
		f.elect(f.random.IntN(len(f.owners)), 0)
	case 1: // the leader pauses, another is elected, the old one resumes
		old := f.owners[f.leader].process
		if old.Paused() {
			return
		}
		old.Pause()
		s.After(long/4, func() { f.elect((f.leader+1)%len(f.owners), 0) })
		s.After(long, old.Resume)
	case 2:
		if !holder.process.Up() || holder.process.Paused() {
			return
		}
		holder.process.Pause()
		s.After(long, holder.process.Resume)
	case 3:
		if !holder.process.Up() || holder.process.Paused() {
			return
		}
		holder.process.Crash()
		s.After(long, func() { holder.process.Restart(); holder.start() })
	case 4:
		if f.partitioned {
			return
		}
		f.network.Isolate(holder.process.Name())
		s.After(long, func() {
			if !f.partitioned {
				f.network.Heal()
			}
		})
	case 5: // a router and the old leader are partitioned from the rest
		if f.partitioned {
			return
		}
		old := f.leader
		f.partitioned = true
		f.partition(holder, f.owners[old])
		holder.onlyStore = f.owners[old]
		long += 2 * time.Second
		f.elect((old+1)%len(f.owners), long)
		s.After(long, func() {
			holder.onlyStore, f.partitioned = nil, false
			f.network.Heal()
		})
	case 6: // demand changes
		holder.meanInterval = time.Duration(1+f.random.IntN(200)) * time.Millisecond
	}
}

// partition cuts off a router together with a store from all other processes.
func (f *fleet) partition(router *holderProcess, store *ownerProcess) {
	pair := []string{router.process.Name(), store.process.Name()}
	others := []string{}
	for _, o := range f.owners {
		others = append(others, o.process.Name())
	}
	for _, h := range f.holders {
		others = append(others, h.process.Name())
	}
	for _, inside := range pair {
		for _, outside := range others {
			if outside != pair[0] && outside != pair[1] {
				f.network.Cut(inside, outside)
				f.network.Cut(outside, inside)
			}
		}
	}
}

// run simulates overlapping failures and returns a violated invariant, empty if there is none.
func (f *fleet) run(duration time.Duration) string {
	faults := sim.Faults{Loss: 0.05, Duplicate: 0.05, Delay: 0.1, MaxDelay: 2 * time.Second}
	if f.delayed {
		faults.Delay, faults.MaxDelay = 0.5, 2*f.settings.ShareTTL
	}
	f.network.SetFaults(faults)
	for at := 500 * time.Millisecond; at < duration; at += 400 * time.Millisecond {
		f.simulation.After(at, f.injectFailure)
	}
	f.simulation.Run(duration)
	f.checkRate()
	return f.violation
}

// runSlowAnswers partitions a router together with an old leader whose responses are delayed
// by almost the TTL of a share, while a new leader serves the other router.
func (f *fleet) runSlowAnswers() string {
	f.settings.MaxRunTime = 100 * time.Millisecond
	for _, h := range f.holders {
		h.meanInterval = 4 * time.Millisecond
	}
	f.simulation.Run(3 * time.Second)
	f.slow = true
	f.simulation.Run(2 * time.Second)
	f.partition(f.holders[0], f.owners[0])
	f.holders[0].onlyStore = f.owners[0]
	f.elect(1, time.Minute)
	f.simulation.Run(5 * time.Second)
	f.checkRate()
	return f.violation
}

func TestCeilingIsNotExceededUnderFailures(t *testing.T) {
	for _, ceiling := range []Ceiling{{Concurrency: 12}, {Concurrency: 3}, {Rate: 20}, {Concurrency: 20, Rate: 200}} {
		admitted := 0
		for seed := range uint64(16) {
			f := newFleet(seed, FaultNone, ceiling, 5)
			if violation := f.run(40 * time.Second); violation != "" {
				t.Fatalf("seed %d, ceiling %+v: %s", seed, ceiling, violation)
			}
			admitted += len(f.admissions)
			slow := newFleet(seed, FaultNone, ceiling, 2)
			if violation := slow.runSlowAnswers(); violation != "" {
				t.Fatalf("slow answers, seed %d, ceiling %+v: %s", seed, ceiling, violation)
			}
		}
		if admitted < 1000 {
			t.Errorf("ceiling %+v: only %d requests admitted, too few for a meaningful run", ceiling, admitted)
		}
	}
}

// Shows that the checks of the simulation can fail.
func TestInjectedFaultsAreDetected(t *testing.T) {
	faults := []Fault{FaultNoConfirm, FaultNoWait, FaultExpireFromReceipt, FaultForgetInUse, FaultForgetHolders}
	for _, fault := range faults {
		violation := ""
		for seed := uint64(0); seed < 60 && violation == ""; seed++ {
			violation = newFleet(seed, fault, Ceiling{Concurrency: 12}, 5).run(40 * time.Second)
			if violation == "" {
				violation = newFleet(seed, fault, Ceiling{Concurrency: 12}, 2).runSlowAnswers()
			}
		}
		if violation == "" {
			t.Errorf("injected fault %s was not detected", fault)
			continue
		}
		t.Logf("%s: %s", fault, violation)
	}
}

func TestUnusedSharesMoveWithinSecond(t *testing.T) {
	f := newFleet(1, FaultNone, Ceiling{Concurrency: 20}, 4)
	f.settings.ReportInterval = DefaultSettings().ReportInterval
	for _, h := range f.holders {
		h.meanInterval = time.Hour
	}
	f.holders[0].meanInterval = time.Millisecond
	f.simulation.Run(8 * time.Second)
	first := f.holders[0].holder.InFlight(rowKey)
	f.holders[0].meanInterval = time.Hour
	f.holders[1].meanInterval = time.Millisecond
	f.holders[1].process.After(0, f.holders[1].arrive)
	f.simulation.Run(1500 * time.Millisecond) // requests that run up to 300 ms, then a second
	if second := f.holders[1].holder.InFlight(rowKey); first < 10 || second < 10 {
		t.Errorf("%d requests in flight at the first router, then %d at the second, of 20", first, second)
	}
}
