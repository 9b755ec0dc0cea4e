package jobs

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/replication"
	"github.com/dykewing/dykewing/sim"
)

// worldOptions choose a simulated fleet and the faults planted in it.
type worldOptions struct {
	seed         uint64
	stores       int
	routers      int
	jobs         int
	faults       Faults
	runnerFaults RunnerFaults
}

// world is a simulated fleet of stores, routers and clients with the checks.
type world struct {
	worldOptions
	simulation *sim.Simulation
	network    *sim.Network
	voters     []replication.ReplicaID
	stores     []*simStore
	routers    []*simRouter
	clients    *simClient
	dispatcher DispatcherSettings
	runner     RunnerSettings
	serial     int
	broken     []string

	// What the log says, from the first replica to apply each entry.
	last       uint64
	cancelled  map[JobID]bool
	starts     map[ItemRef]Start
	records    map[ItemRef]string
	executions map[ItemRef]int
	sends      int
}

func newWorld(o worldOptions) *world {
	w := &world{
		worldOptions: o, simulation: sim.New(o.seed), dispatcher: DefaultDispatcherSettings(), runner: DefaultRunnerSettings(),
		cancelled: map[JobID]bool{}, starts: map[ItemRef]Start{}, records: map[ItemRef]string{}, executions: map[ItemRef]int{},
	}
	w.dispatcher.Lifetime, w.dispatcher.Backoff = 600*time.Millisecond, 20*time.Millisecond
	w.runner.ClaimWait, w.runner.RenewInterval, w.runner.HoldTime = 300*time.Millisecond, 150*time.Millisecond, 200*time.Millisecond
	w.network = w.simulation.NewNetwork(func(_, _ string) time.Duration { return 500 * time.Microsecond })
	for slot := range o.stores {
		w.voters = append(w.voters, replication.ReplicaID(fmt.Sprintf("store-%d", slot)))
	}
	for _, id := range w.voters {
		store := &simStore{world: w, id: id, process: w.simulation.NewProcess(string(id)), applied: NewMemoryStorage()}
		w.stores = append(w.stores, store)
		w.network.Attach(store.process, store.receive)
		store.start()
	}
	for slot := range o.routers {
		router := &simRouter{world: w, name: fmt.Sprintf("router-%d", slot), slots: 3}
		router.process = w.simulation.NewProcess(router.name)
		w.routers = append(w.routers, router)
		w.network.Attach(router.process, func(_ string, message any) { router.answered(message.(reply)) })
		router.start()
	}
	w.clients = newSimClient(w)
	return w
}

func (w *world) violate(format string, arguments ...any) {
	w.broken = append(w.broken, fmt.Sprintf(format, arguments...))
	w.simulation.Stop()
}

func (w *world) unique(prefix string) string {
	w.serial++
	return fmt.Sprintf("%s-%06d", prefix, w.serial)
}

// leaders is the view that heartbeats would give: who leads by its own word.
func (w *world) leaders() []GroupLeader {
	var found []GroupLeader
	for _, store := range w.stores {
		if !store.process.Up() || store.process.Paused() || store.dispatcher == nil {
			continue
		}
		if len(found) == 0 || found[0].Term < store.role.Term {
			found = []GroupLeader{{Group: 1, Leader: api.NodeID(store.id), Term: store.role.Term}}
		}
	}
	return found
}

// applied checks each entry where it is applied first.
func (w *world) applied(store *simStore, index uint64, command Command, result Result) {
	if index <= w.last {
		return
	}
	w.last = index
	raw, _ := json.Marshal(result)
	w.simulation.Tracef("entry %d %s", index, raw)
	switch {
	case command.Cancel != nil && result.Code == "":
		if result.Job.Status == JobCancelling || result.Job.Status == JobCancelled {
			w.cancelled[command.Cancel.Job] = true
		}
	case command.Start != nil && result.Code == "" && !result.Duplicate:
		w.checkStart(*command.Start)
	case command.Complete != nil:
		for _, completed := range command.Complete.Results {
			w.checkRecord(store, completed.Item)
		}
	}
}

func (w *world) checkStart(start Start) {
	if w.cancelled[start.Item.Job] {
		w.violate("item %v started after its job's cancel was committed", start.Item)
	}
	if known, ok := w.starts[start.Item]; ok && known.Epoch >= start.Epoch {
		w.violate("item %v started under grant %d after %d", start.Item, start.Epoch, known.Epoch)
	}
	w.starts[start.Item] = start
}

func (w *world) checkRecord(store *simStore, item ItemRef) {
	var record string
	_ = store.applied.View(func(r Reader) error {
		record = string(r.Get(resultKey(item)))
		return nil
	})
	if known, ok := w.records[item]; ok && known != record {
		w.violate("item %v: its record changed from %s to %s", item, known, record)
	}
	if record != "" {
		w.records[item] = record
	}
}

// executed is told by an engine that begins a request.
func (w *world) executed(run RunItem) {
	w.sends++
	item := run.Item.Item
	if run.Item.Repeatable {
		return
	}
	if start := w.starts[item]; start.Request != run.Request {
		w.violate("item %v was sent as %s before its start was committed (start %+v)", item, run.Request, start)
	}
	w.executions[item]++
	if w.executions[item] > 1 {
		w.violate("non-repeatable item %v ran %d times", item, w.executions[item])
	}
}

// quiet tells whether every client is served, every job has ended and every
// replica knows.
func (w *world) quiet() bool {
	if len(w.clients.accepted) < w.jobs || len(w.clients.calls) > 0 {
		return false
	}
	for _, store := range w.stores {
		index, err := store.state.Applied()
		active, _ := store.state.ActiveJobs()
		if err != nil || index != w.last || len(active) > 0 || !store.process.Up() {
			return false
		}
	}
	return true
}

// check looks at the end: every job that was acknowledged has ended, every item
// has one record, and the counts add up at every replica.
func (w *world) check() {
	for _, store := range w.stores {
		if index, _ := store.state.Applied(); index != w.last {
			w.violate("%s has applied %d of %d entries", store.id, index, w.last)
			return
		}
	}
	for _, id := range sortedKeys(w.clients.accepted) {
		w.checkJob(id, w.clients.accepted[id])
	}
	var first bytes.Buffer
	for i, store := range w.stores {
		var snapshot bytes.Buffer
		if _, err := store.state.WriteSnapshot(&snapshot); err != nil {
			w.violate("%s: %v", store.id, err)
		}
		if i == 0 {
			first = snapshot
		} else if !bytes.Equal(first.Bytes(), snapshot.Bytes()) {
			w.violate("the states of %s and %s differ", w.stores[0].id, store.id)
		}
	}
}

func (w *world) checkJob(id JobID, items int) {
	state := w.stores[0].state
	job, found, err := state.Job(id)
	if err != nil || !found {
		w.violate("job %s was acknowledged and is not there: %v", id, err)
		return
	}
	if !job.Status.Ended() || job.Started != 0 || job.Total != items || job.settled()+job.Unfinished != items {
		w.violate("job %s of %d items has not ended well: %+v", id, items, job)
		return
	}
	next, completed, failed, unfinished := 0, 0, 0, 0
	for from := 0; from >= 0; {
		var page []ItemResult
		if page, from, err = state.Results(id, from, 7); err != nil {
			w.violate("results of %s: %v", id, err)
			return
		}
		for _, result := range page {
			if want := fmt.Sprint("item-", next); result.Item.Item != next || result.CustomID != want {
				w.violate("job %s: item %d has the record of %d, %q", id, next, result.Item.Item, result.CustomID)
			}
			next++
			_, recorded := w.records[result.Item]
			switch {
			case !recorded:
				unfinished++
			case !result.Failed():
				completed++
				w.checkBody(result)
			default:
				failed++
			}
		}
	}
	if next != items || completed != job.Completed || failed != job.Failed || unfinished != job.Unfinished {
		w.violate("job %s: %d results, %d completed, %d failed, %d unfinished are not %+v", id, next, completed, failed, unfinished, job)
	}
}

func (w *world) checkBody(result ItemResult) {
	if want, _ := json.Marshal(result.CustomID); string(result.Body) != string(want) {
		w.violate("item %v has the answer %s of another", result.Item, result.Body)
	}
}

// simClient submits jobs, resends, cancels some and remembers what was
// acknowledged.
type simClient struct {
	world    *world
	process  *sim.Process
	serial   uint64
	calls    map[uint64]func(Result)
	accepted map[JobID]int // items by acknowledged job
}

func newSimClient(w *world) *simClient {
	c := &simClient{world: w, process: w.simulation.NewProcess("client"), calls: map[uint64]func(Result){}, accepted: map[JobID]int{}}
	w.network.Attach(c.process, func(_ string, message any) {
		answer := message.(reply)
		if done, ok := c.calls[answer.id]; ok && !answer.failed {
			delete(c.calls, answer.id)
			done(answer.body.(Result))
		}
	})
	random := w.simulation.Random()
	for number := range w.jobs {
		c.process.After(time.Duration(random.Int64N(int64(2*time.Second))), func() { c.live(number) })
	}
	return c
}

// commit sends the command to the leader until it is answered.
func (c *simClient) commit(command Command, done func(Result)) {
	c.serial++
	id := c.serial
	c.calls[id] = done
	var send func()
	send = func() {
		if _, ok := c.calls[id]; !ok {
			return
		}
		for _, leader := range c.world.leaders() {
			c.world.network.Send("client", string(leader.Leader), call{id: id, body: command})
		}
		c.process.After(100*time.Millisecond, send)
	}
	send()
}

// live is one job's life: upload, submit, submit again, perhaps cancel.
func (c *simClient) live(number int) {
	random := c.world.simulation.Random()
	file, items := FileID(fmt.Sprint("file-", number)), 1+random.IntN(25)
	tenant := api.TenantID(fmt.Sprint("tenant-", number%3))
	lines := make([]json.RawMessage, items)
	for i := range lines {
		lines[i] = testLine(fmt.Sprint("item-", i), []string{"judge", "tutor"}[random.IntN(2)])
	}
	submit := Submit{
		Tenant: tenant, Key: fmt.Sprint("key-", number), BodyHash: "a", File: file, Repeatable: random.IntN(2) == 0,
		Deadline: c.process.Now().Add(time.Hour),
	}
	if random.IntN(6) == 0 {
		submit.Deadline = c.process.Now().Add(time.Duration(random.Int64N(int64(2 * time.Second))))
	}
	c.commit(Command{CreateFile: &CreateFile{File: file, Tenant: tenant}}, func(Result) {
		c.commit(Command{AppendFile: &AppendFile{File: file, Lines: lines}}, func(Result) {
			c.commit(Command{SealFile: &SealFile{File: file, Lines: items}}, func(Result) { c.submit(submit, items) })
		})
	})
}

func (c *simClient) submit(submit Submit, items int) {
	random := c.world.simulation.Random()
	first, second, other := submit, submit, submit
	first.Job, second.Job, other.Job = JobID(c.world.unique("job")), JobID(c.world.unique("job")), JobID(c.world.unique("job"))
	other.BodyHash = "b"
	c.commit(Command{Submit: &first}, func(result Result) {
		if result.Job == nil {
			c.world.violate("submit of %s was refused: %s", first.Job, result.Message)
			return
		}
		id := result.Job.ID()
		c.accepted[id] = items
		if random.IntN(3) == 0 {
			c.process.After(time.Duration(random.Int64N(int64(time.Second))), func() { c.cancel(id) })
		}
		c.commit(Command{Submit: &second}, func(again Result) {
			if again.Job == nil || again.Job.ID() != id || !again.Duplicate {
				c.world.violate("the resent submission gave %+v, not job %s", again, id)
			}
		})
		c.commit(Command{Submit: &other}, func(conflict Result) {
			if conflict.Code != api.CodeConflict {
				c.world.violate("another body under the key gave %+v", conflict)
			}
		})
	})
}

func (c *simClient) cancel(id JobID) {
	c.commit(Command{Cancel: &Cancel{Job: id}}, func(result Result) {
		if result.Job == nil || result.Job.Status == JobInProgress {
			c.world.violate("cancel of %s gave %+v", id, result)
		}
	})
}
