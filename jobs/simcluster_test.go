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

// clusterOptions configure a simulated cluster and its injected faults.
type clusterOptions struct {
	seed         uint64
	stores       int
	routers      int
	jobs         int
	faults       Faults
	runnerFaults RunnerFaults
}

// cluster simulates stores, routers and clients, and checks the invariants.
type cluster struct {
	clusterOptions
	simulation *sim.Simulation
	network    *sim.Network
	voters     []replication.ReplicaID
	stores     []*simStore
	routers    []*simRouter
	clients    *simClient
	dispatcher DispatcherSettings
	runner     RunnerSettings
	serial     int
	violations []string

	// Contents of the log, recorded when the first replica applies an entry.
	lastIndex  uint64
	cancelled  map[JobID]bool
	starts     map[ItemRef]Start
	records    map[ItemRef]string
	executions map[ItemRef]int
	sends      int
}

func newCluster(o clusterOptions) *cluster {
	c := &cluster{
		clusterOptions: o, simulation: sim.New(o.seed), dispatcher: DefaultDispatcherSettings(), runner: DefaultRunnerSettings(),
		cancelled: map[JobID]bool{}, starts: map[ItemRef]Start{}, records: map[ItemRef]string{}, executions: map[ItemRef]int{},
	}
	c.dispatcher.GrantLifetime, c.dispatcher.Backoff = 600*time.Millisecond, 20*time.Millisecond
	c.runner.ClaimWait, c.runner.RenewInterval, c.runner.MaxHoldTime = 300*time.Millisecond, 150*time.Millisecond, 200*time.Millisecond
	c.network = c.simulation.NewNetwork(func(_, _ string) time.Duration { return 500 * time.Microsecond })
	for slot := range o.stores {
		c.voters = append(c.voters, replication.ReplicaID(fmt.Sprintf("store-%d", slot)))
	}
	for _, id := range c.voters {
		store := &simStore{cluster: c, id: id, process: c.simulation.NewProcess(string(id)), applied: NewMemoryStorage()}
		c.stores = append(c.stores, store)
		c.network.Attach(store.process, store.receive)
		store.start()
	}
	for slot := range o.routers {
		router := &simRouter{cluster: c, name: fmt.Sprintf("router-%d", slot), slots: 3}
		router.process = c.simulation.NewProcess(router.name)
		c.routers = append(c.routers, router)
		c.network.Attach(router.process, func(_ string, message any) { router.answered(message.(reply)) })
		router.start()
	}
	c.clients = newSimClient(c)
	return c
}

func (c *cluster) reportViolation(format string, arguments ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, arguments...))
	c.simulation.Stop()
}

func (c *cluster) uniqueID(prefix string) string {
	c.serial++
	return fmt.Sprintf("%s-%06d", prefix, c.serial)
}

// leaders returns what heartbeats would report: the store with the highest term among
// those that consider themselves leader.
func (c *cluster) leaders() []GroupLeader {
	var found []GroupLeader
	for _, store := range c.stores {
		if !store.process.Up() || store.process.Paused() || store.dispatcher == nil {
			continue
		}
		if len(found) == 0 || found[0].Term < store.role.Term {
			found = []GroupLeader{{Group: 1, Leader: api.NodeID(store.id), Term: store.role.Term}}
		}
	}
	return found
}

// checkApplied checks each entry when the first replica applies it.
func (c *cluster) checkApplied(store *simStore, index uint64, command Command, result Result) {
	if index <= c.lastIndex {
		return
	}
	c.lastIndex = index
	raw, _ := json.Marshal(result)
	c.simulation.Tracef("entry %d %s", index, raw)
	switch {
	case command.Cancel != nil && result.Code == "":
		if result.Job.Status == JobCancelling || result.Job.Status == JobCancelled {
			c.cancelled[command.Cancel.Job] = true
		}
	case command.Start != nil && result.Code == "" && !result.Duplicate:
		c.checkStart(*command.Start)
	case command.Complete != nil:
		for _, completed := range command.Complete.Results {
			c.checkRecord(store, completed.Item)
		}
	}
}

func (c *cluster) checkStart(start Start) {
	if c.cancelled[start.Item.Job] {
		c.reportViolation("item %v started after its job's cancel was committed", start.Item)
	}
	if known, ok := c.starts[start.Item]; ok && known.Epoch >= start.Epoch {
		c.reportViolation("item %v started under grant %d after %d", start.Item, start.Epoch, known.Epoch)
	}
	c.starts[start.Item] = start
}

func (c *cluster) checkRecord(store *simStore, item ItemRef) {
	var record string
	_ = store.applied.View(func(r Reader) error {
		record = string(r.Get(resultKey(item)))
		return nil
	})
	if known, ok := c.records[item]; ok && known != record {
		c.reportViolation("item %v: its record changed from %s to %s", item, known, record)
	}
	if record != "" {
		c.records[item] = record
	}
}

// recordExecution is called when an engine begins to run a request.
func (c *cluster) recordExecution(run RunItem) {
	c.sends++
	item := run.Item.Item
	if run.Item.Repeatable {
		return
	}
	if start := c.starts[item]; start.Request != run.Request {
		c.reportViolation("item %v was sent as %s before its start was committed (start %+v)", item, run.Request, start)
	}
	c.executions[item]++
	if c.executions[item] > 1 {
		c.reportViolation("non-repeatable item %v ran %d times", item, c.executions[item])
	}
}

// converged reports whether all calls are answered, all jobs have ended, and all
// replicas have applied the whole log.
func (c *cluster) converged() bool {
	if len(c.clients.accepted) < c.jobs || len(c.clients.calls) > 0 {
		return false
	}
	for _, store := range c.stores {
		index, err := store.state.AppliedIndex()
		active, _ := store.state.ActiveJobs()
		if err != nil || index != c.lastIndex || len(active) > 0 || !store.process.Up() {
			return false
		}
	}
	return true
}

// checkFinal checks that every acknowledged job has ended, every item has one record,
// the counts add up, and all replicas have the same state.
func (c *cluster) checkFinal() {
	for _, store := range c.stores {
		if index, _ := store.state.AppliedIndex(); index != c.lastIndex {
			c.reportViolation("%s has applied %d of %d entries", store.id, index, c.lastIndex)
			return
		}
	}
	for _, id := range sortedKeys(c.clients.accepted) {
		c.checkJob(id, c.clients.accepted[id])
	}
	var first bytes.Buffer
	for i, store := range c.stores {
		var snapshot bytes.Buffer
		if _, err := store.state.WriteSnapshot(&snapshot); err != nil {
			c.reportViolation("%s: %v", store.id, err)
		}
		if i == 0 {
			first = snapshot
		} else if !bytes.Equal(first.Bytes(), snapshot.Bytes()) {
			c.reportViolation("the states of %s and %s differ", c.stores[0].id, store.id)
		}
	}
}

func (c *cluster) checkJob(id JobID, items int) {
	state := c.stores[0].state
	job, found, err := state.Job(id)
	if err != nil || !found {
		c.reportViolation("job %s was acknowledged but is missing: %v", id, err)
		return
	}
	if !job.Status.Ended() || job.Started != 0 || job.Total != items || job.settled()+job.Unfinished != items {
		c.reportViolation("job %s of %d items has not ended or has wrong counts: %+v", id, items, job)
		return
	}
	next, completed, failed, unfinished := 0, 0, 0, 0
	for from := 0; from >= 0; {
		var page []ItemResult
		if page, from, err = state.Results(id, from, 7); err != nil {
			c.reportViolation("results of %s: %v", id, err)
			return
		}
		for _, result := range page {
			if want := fmt.Sprint("item-", next); result.Item.Item != next || result.CustomID != want {
				c.reportViolation("job %s: item %d has the record of %d, %q", id, next, result.Item.Item, result.CustomID)
			}
			next++
			_, recorded := c.records[result.Item]
			switch {
			case !recorded:
				unfinished++
			case !result.Failed():
				completed++
				c.checkBody(result)
			default:
				failed++
			}
		}
	}
	if next != items || completed != job.Completed || failed != job.Failed || unfinished != job.Unfinished {
		c.reportViolation("job %s: %d results, %d completed, %d failed, %d unfinished are not %+v", id, next, completed, failed, unfinished, job)
	}
}

func (c *cluster) checkBody(result ItemResult) {
	if want, _ := json.Marshal(result.CustomID); string(result.Body) != string(want) {
		c.reportViolation("item %v has the answer of another item: %s", result.Item, result.Body)
	}
}

// simClient submits jobs, retries, cancels some of them and remembers the acknowledged
// ones.
type simClient struct {
	cluster  *cluster
	process  *sim.Process
	serial   uint64
	calls    map[uint64]func(Result)
	accepted map[JobID]int // items by acknowledged job
}

func newSimClient(parent *cluster) *simClient {
	c := &simClient{cluster: parent, process: parent.simulation.NewProcess("client"), calls: map[uint64]func(Result){}, accepted: map[JobID]int{}}
	parent.network.Attach(c.process, func(_ string, message any) {
		answer := message.(reply)
		if done, ok := c.calls[answer.id]; ok && !answer.failed {
			delete(c.calls, answer.id)
			done(answer.body.(Result))
		}
	})
	random := parent.simulation.Random()
	for number := range parent.jobs {
		c.process.After(time.Duration(random.Int64N(int64(2*time.Second))), func() { c.runJob(number) })
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
		for _, leader := range c.cluster.leaders() {
			c.cluster.network.Send("client", string(leader.Leader), call{id: id, body: command})
		}
		c.process.After(100*time.Millisecond, send)
	}
	send()
}

// runJob uploads a file, submits a job over it twice and may cancel it.
func (c *simClient) runJob(number int) {
	random := c.cluster.simulation.Random()
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
	random := c.cluster.simulation.Random()
	first, second, other := submit, submit, submit
	first.Job, second.Job, other.Job = JobID(c.cluster.uniqueID("job")), JobID(c.cluster.uniqueID("job")), JobID(c.cluster.uniqueID("job"))
	other.BodyHash = "b"
	c.commit(Command{Submit: &first}, func(result Result) {
		if result.Job == nil {
			c.cluster.reportViolation("submit of %s was refused: %s", first.Job, result.Message)
			return
		}
		id := result.Job.ID()
		c.accepted[id] = items
		if random.IntN(3) == 0 {
			c.process.After(time.Duration(random.Int64N(int64(time.Second))), func() { c.cancel(id) })
		}
		c.commit(Command{Submit: &second}, func(again Result) {
			if again.Job == nil || again.Job.ID() != id || !again.Duplicate {
				c.cluster.reportViolation("the resent submission gave %+v, not job %s", again, id)
			}
		})
		c.commit(Command{Submit: &other}, func(conflict Result) {
			if conflict.Code != api.CodeConflict {
				c.cluster.reportViolation("another body under the key gave %+v", conflict)
			}
		})
	})
}

func (c *simClient) cancel(id JobID) {
	c.commit(Command{Cancel: &Cancel{Job: id}}, func(result Result) {
		if result.Job == nil || result.Job.Status == JobInProgress {
			c.cluster.reportViolation("cancel of %s gave %+v", id, result)
		}
	})
}
