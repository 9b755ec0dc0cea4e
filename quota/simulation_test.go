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

// world is three stores of one group, some routers, and an oracle in place of
// the replicated log: the term, and the registered holders.
type world struct {
	simulation *sim.Simulation
	network    *sim.Network
	random     *rand.Rand
	settings   Settings
	ceiling    Ceiling
	term       uint64
	leader     int
	registered []api.NodeID
	owners     []*ownerProcess
	holders    []*holderProcess
	admissions []time.Duration
	refused    int
	broken     string
	slow       bool // the way from store-0 to router-0
	split      bool // a router and the old leader are cut off
	late       bool // half of the messages come late
}

type ownerProcess struct {
	process *sim.Process
	owner   *Owner
	token   uint64
	callers map[uint64]string
	epoch   uint64
}

type holderProcess struct {
	world    *world
	process  *sim.Process
	holder   *Holder
	instance uint64
	demand   time.Duration // mean time between arrivals
	alone    *ownerProcess // the only store in reach
	running  int           // at the back ends, for this instance
}

func testSettings(fault Fault) Settings {
	return Settings{
		Lifetime: time.Second, Margin: 50 * time.Millisecond, Interval: 400 * time.Millisecond, ShortInterval: 100 * time.Millisecond,
		IdleAfter: time.Second, MaximumRun: 4 * time.Second, Fault: fault,
	}
}

func newWorld(seed uint64, fault Fault, ceiling Ceiling, routers int) *world {
	s := sim.New(seed)
	w := &world{simulation: s, random: s.Fork(), settings: testSettings(fault), ceiling: ceiling}
	if seed%2 == 1 {
		w.settings.MaximumRun = 300 * time.Millisecond // silence soon stops to count
		w.late = seed%4 == 3
	}
	w.network = s.NewNetwork(func(from, to string) time.Duration {
		if w.slow && from == "store-0" && to == "router-0" {
			return w.settings.Lifetime * 2 / 5
		}
		return 2 * time.Millisecond
	})
	for i := range 3 {
		w.addOwner(fmt.Sprintf("store-%d", i))
	}
	for i := range routers {
		w.addHolder(fmt.Sprintf("router-%d", i))
	}
	w.elect(0, 0)
	return w
}

func (w *world) addOwner(name string) {
	o := &ownerProcess{process: w.simulation.NewProcess(name), owner: NewOwner(w.settings), callers: map[uint64]string{}}
	o.process.SetSkew(time.Duration(w.random.Int64N(int64(time.Hour))))
	o.owner.Step(o.process.Now(), Bounds{Rows: map[api.RowKey]Ceiling{rowKey: w.ceiling}})
	w.owners = append(w.owners, o)
	w.network.Attach(o.process, func(from string, message any) {
		o.token++
		o.callers[o.token] = from
		w.execute(o, o.owner.Step(o.process.Now(), Reported{Token: o.token, Report: message.(Report)}))
	})
}

// elect makes a store the leader of the next term. An old leader learns of it
// only later, or when it wakes.
func (w *world) elect(leader int, learns time.Duration) {
	w.term++
	term, old := w.term, w.owners[w.leader]
	w.leader = leader
	w.simulation.Tracef("elect store-%d in term %d", leader, term)
	old.process.After(learns+time.Duration(w.random.Int64N(int64(300*time.Millisecond))), func() {
		if old.epoch < w.term {
			w.execute(old, old.owner.Step(old.process.Now(), Deposed{}))
		}
	})
	next := w.owners[leader]
	holders := append([]api.NodeID(nil), w.registered...)
	next.process.After(0, func() {
		next.epoch = term
		w.execute(next, next.owner.Step(next.process.Now(), Led{Epoch: term, Holders: holders}))
	})
}

func (w *world) execute(o *ownerProcess, actions []OwnerAction) {
	for _, action := range actions {
		switch action := action.(type) {
		case Confirm:
			w.confirm(o, action.Token)
		case Register:
			w.register(o, action.Router)
		case Answer:
			if !action.Refused {
				w.network.Send(o.process.Name(), o.callers[action.Token], action.Grant)
			}
			delete(o.callers, action.Token)
		}
	}
}

// confirm is the quorum's round: it fails if the term has moved on by the
// moment at which the quorum hears of it.
func (w *world) confirm(o *ownerProcess, token uint64) {
	epoch := o.epoch
	w.simulation.After(time.Duration(w.random.Int64N(int64(5*time.Millisecond))), func() {
		if w.term != epoch {
			return
		}
		o.process.After(time.Duration(w.random.Int64N(int64(5*time.Millisecond))), func() {
			w.execute(o, o.owner.Step(o.process.Now(), ConfirmedLeader{Token: token, Epoch: epoch}))
		})
	})
}

func (w *world) register(o *ownerProcess, router api.NodeID) {
	epoch := o.epoch
	w.simulation.After(3*time.Millisecond, func() {
		if w.term != epoch {
			return
		}
		w.registered = append(w.registered, router)
		o.process.After(time.Millisecond, func() {
			o.owner.Step(o.process.Now(), Registered{Epoch: epoch, Router: router})
		})
	})
}

func (w *world) addHolder(name string) {
	h := &holderProcess{world: w, process: w.simulation.NewProcess(name), demand: 20 * time.Millisecond}
	h.process.SetSkew(time.Duration(w.random.Int64N(int64(time.Hour))))
	w.holders = append(w.holders, h)
	w.network.Attach(h.process, func(_ string, message any) {
		h.holder.Step(h.process.Now(), Granted{Grant: message.(Grant)})
	})
	h.start()
}

func (h *holderProcess) start() {
	h.instance++
	h.running = 0
	h.holder = NewHolder(HolderSettings{
		Settings: h.world.settings, Router: api.NodeID(h.process.Name()), Instance: h.instance,
		GroupOf: func(api.RowKey) api.GroupID { return 0 },
	})
	h.holder.Step(h.process.Now(), Ceilings{Rows: map[api.RowKey]Ceiling{rowKey: h.world.ceiling}})
	h.process.Every(20*time.Millisecond, h.tick)
	h.process.After(0, h.arrive)
}

// tick reports to the leader, often to another store that may have been one.
func (h *holderProcess) tick() {
	w := h.world
	for _, action := range h.holder.Step(h.process.Now(), Tick{}) {
		to := w.leader
		if w.random.Float64() < 0.3 {
			to = w.random.IntN(len(w.owners))
		}
		target := w.owners[to]
		if h.alone != nil {
			target = h.alone
		}
		w.network.Send(h.process.Name(), target.process.Name(), action.(SendReport).Report)
	}
}

func (h *holderProcess) arrive() {
	w := h.world
	gap := time.Duration(w.random.ExpFloat64() * float64(h.demand))
	h.process.After(gap, h.arrive)
	if ok, retryAfter := h.holder.Acquire(h.process.Now(), rowKey); !ok {
		w.refused++
		if retryAfter <= 0 {
			w.broken = "a refusal says not when to come back"
		}
		return
	}
	w.admissions = append(w.admissions, w.simulation.Elapsed())
	h.running++
	w.check()
	holder, instance := h.holder, h.instance
	run := time.Duration(w.random.Int64N(int64(min(w.settings.MaximumRun, 300*time.Millisecond))))
	if w.random.Float64() < 0.25 {
		run = time.Duration(w.random.Int64N(int64(w.settings.MaximumRun)))
	}
	w.simulation.After(run, func() {
		if h.instance == instance {
			h.running--
		}
	})
	h.process.After(run, func() { holder.Release(rowKey) })
}

// check holds that the requests that run never pass the ceiling; those of a
// crashed router were cut with its connections.
func (w *world) check() {
	total := 0
	for _, h := range w.holders {
		if h.process.Up() {
			total += h.running
		}
	}
	if w.ceiling.Concurrency > 0 && total > w.ceiling.Concurrency && w.broken == "" {
		w.broken = fmt.Sprintf("%d in use at %v, ceiling %d", total, w.simulation.Elapsed(), w.ceiling.Concurrency)
	}
}

// checkRate holds the bound of the package's comment for windows of a second.
func (w *world) checkRate() {
	const window = time.Second
	if w.ceiling.Rate == 0 {
		return
	}
	allowed := w.ceiling.Rate*(window+w.settings.Lifetime+w.settings.Margin).Seconds() + max(w.ceiling.Rate, 1)
	from := 0
	for to, at := range w.admissions {
		for at-w.admissions[from] > window {
			from++
		}
		if count := to - from + 1; float64(count) > allowed {
			w.broken = fmt.Sprintf("%d admitted in the second before %v, bound %.0f", count, at, allowed)
			return
		}
	}
}

// disturb brings one failure about, and ends it later.
func (w *world) disturb() {
	s := w.simulation
	long := time.Duration(w.random.Int64N(int64(3 * time.Second)))
	holder := w.holders[w.random.IntN(len(w.holders))]
	switch w.random.IntN(7) {
	case 0:
		w.elect(w.random.IntN(len(w.owners)), 0)
	case 1: // the old leader pauses, another is elected, the old one wakes
		old := w.owners[w.leader].process
		if old.Paused() {
			return
		}
		old.Pause()
		s.After(long/4, func() { w.elect((w.leader+1)%len(w.owners), 0) })
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
		if w.split {
			return
		}
		w.network.Isolate(holder.process.Name())
		s.After(long, func() {
			if !w.split {
				w.network.Heal()
			}
		})
	case 5: // a router is left alone with the old leader
		if w.split {
			return
		}
		old := w.leader
		w.split = true
		w.leaveAlone(holder, w.owners[old])
		holder.alone = w.owners[old]
		long += 2 * time.Second
		w.elect((old+1)%len(w.owners), long)
		s.After(long, func() {
			holder.alone, w.split = nil, false
			w.network.Heal()
		})
	case 6: // demand moves
		holder.demand = time.Duration(1+w.random.IntN(200)) * time.Millisecond
	}
}

// leaveAlone leaves the router and the store to each other, cut off from all else.
func (w *world) leaveAlone(router *holderProcess, store *ownerProcess) {
	pair := []string{router.process.Name(), store.process.Name()}
	others := []string{}
	for _, o := range w.owners {
		others = append(others, o.process.Name())
	}
	for _, h := range w.holders {
		others = append(others, h.process.Name())
	}
	for _, inside := range pair {
		for _, outside := range others {
			if outside != pair[0] && outside != pair[1] {
				w.network.Cut(inside, outside)
				w.network.Cut(outside, inside)
			}
		}
	}
}

// run gives what was broken under all failures, two and more at a time.
func (w *world) run(duration time.Duration) string {
	faults := sim.Faults{Loss: 0.05, Duplicate: 0.05, Late: 0.1, LateBy: 2 * time.Second}
	if w.late {
		faults.Late, faults.LateBy = 0.5, 2*w.settings.Lifetime
	}
	w.network.SetFaults(faults)
	for at := 500 * time.Millisecond; at < duration; at += 400 * time.Millisecond {
		w.simulation.After(at, w.disturb)
	}
	w.simulation.Run(duration)
	w.checkRate()
	return w.broken
}

// runSlowAnswers leaves a router alone with an old leader whose answers come
// almost a lifetime late, while a new leader serves the other router.
func (w *world) runSlowAnswers() string {
	w.settings.MaximumRun = 100 * time.Millisecond
	for _, h := range w.holders {
		h.demand = 4 * time.Millisecond
	}
	w.simulation.Run(3 * time.Second)
	w.slow = true
	w.simulation.Run(2 * time.Second)
	w.leaveAlone(w.holders[0], w.owners[0])
	w.holders[0].alone = w.owners[0]
	w.elect(1, time.Minute)
	w.simulation.Run(5 * time.Second)
	w.checkRate()
	return w.broken
}

func TestCeilingHoldsUnderFailures(t *testing.T) {
	for _, ceiling := range []Ceiling{{Concurrency: 12}, {Concurrency: 3}, {Rate: 20}, {Concurrency: 20, Rate: 200}} {
		admitted := 0
		for seed := range uint64(16) {
			w := newWorld(seed, FaultNone, ceiling, 5)
			if broken := w.run(40 * time.Second); broken != "" {
				t.Fatalf("seed %d, ceiling %+v: %s", seed, ceiling, broken)
			}
			admitted += len(w.admissions)
			slow := newWorld(seed, FaultNone, ceiling, 2)
			if broken := slow.runSlowAnswers(); broken != "" {
				t.Fatalf("slow answers, seed %d, ceiling %+v: %s", seed, ceiling, broken)
			}
		}
		if admitted < 1000 {
			t.Errorf("ceiling %+v: only %d admitted, the run proves little", ceiling, admitted)
		}
	}
}

// TestPlantedFaultsAreCaught shows that the checks can fail.
func TestPlantedFaultsAreCaught(t *testing.T) {
	faults := []Fault{FaultNoConfirm, FaultNoWait, FaultExpireFromReceipt, FaultForgetInUse, FaultForgetHolders}
	for _, fault := range faults {
		caught := ""
		for seed := uint64(0); seed < 60 && caught == ""; seed++ {
			caught = newWorld(seed, fault, Ceiling{Concurrency: 12}, 5).run(40 * time.Second)
			if caught == "" {
				caught = newWorld(seed, fault, Ceiling{Concurrency: 12}, 2).runSlowAnswers()
			}
		}
		if caught == "" {
			t.Errorf("planted fault %s was not caught", fault)
			continue
		}
		t.Logf("%s: %s", fault, caught)
	}
}

func TestUnusedSharesMoveWithinASecond(t *testing.T) {
	w := newWorld(1, FaultNone, Ceiling{Concurrency: 20}, 4)
	w.settings.Interval = DefaultSettings().Interval
	for _, h := range w.holders {
		h.demand = time.Hour
	}
	w.holders[0].demand = time.Millisecond
	w.simulation.Run(8 * time.Second)
	first := w.holders[0].holder.InUse(rowKey)
	w.holders[0].demand = time.Hour
	w.holders[1].demand = time.Millisecond
	w.holders[1].process.After(0, w.holders[1].arrive)
	w.simulation.Run(1500 * time.Millisecond) // requests that run up to 300 ms, then a second
	if second := w.holders[1].holder.InUse(rowKey); first < 10 || second < 10 {
		t.Errorf("in use %d at the first router, then %d at the second, of 20", first, second)
	}
}
