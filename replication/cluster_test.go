package replication

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dykewing/dykewing/sim"
)

const (
	testHeartbeat = 50 * time.Millisecond
	testElection  = 300 * time.Millisecond
	testCompactAt = 25 // entries after which a replica compacts
)

// stored is what a replica's disk holds.
type stored struct {
	state    HardState
	snapshot Snapshot
	entries  []Entry
}

func cloneStored(s stored) stored {
	s.entries = slices.Clone(s.entries)
	return s
}

func (s *stored) write(persist Persist) {
	if persist.HardState != nil {
		s.state = *persist.HardState
	}
	if persist.Snapshot != nil {
		s.entries = slices.DeleteFunc(s.entries, func(e Entry) bool { return persist.Reset || e.Index <= persist.Snapshot.Index })
		s.snapshot = *persist.Snapshot
	}
	if len(persist.Entries) > 0 {
		keep := persist.Entries[0].Index - s.snapshot.Index - 1
		s.entries = append(s.entries[:keep:keep], persist.Entries...)
	}
}

// pendingWrite is a Persist that is not synced, with what waits for it.
type pendingWrite struct {
	persist Persist
	sends   []WireMessage
}

// replica is a simulated shell around a Machine.
type replica struct {
	cluster  *cluster
	id       ReplicaID
	process  *sim.Process
	disk     *sim.Disk[stored]
	machine  *Machine
	writes   []pendingWrite
	syncing  bool
	gone     bool      // its disk is lost
	inStep   int       // writes of the present step
	stalled  time.Time // the disk stands still until then
	fetched  int       // snapshots put in force
	applied  uint64
	digest   uint64
	commands []uint64 // the applied state: each command in order
	compacts uint64
	leading  bool
	proposed map[uint64]uint64 // own proposals: index to term
	answers  map[uint64]error  // by token
	confirms map[uint64]uint64 // token to the index that an answer must reach
}

// options choose a cluster and the faults planted in it.
type options struct {
	seed          uint64
	voters        int
	planted       plantedFaults
	skipSync      bool
	reuseIdentity bool
	only          invariant // if set, no other is checked
}

// cluster is a simulated group with clients, an operator and the checks.
type cluster struct {
	options
	simulation *sim.Simulation
	network    *sim.Network
	replicas   []*replica // by slot
	first      Members
	serial     uint64
	drop       func(WireMessage) bool // loses chosen messages
	checker
}

func newCluster(o options) *cluster {
	c := &cluster{options: o, simulation: sim.New(o.seed)}
	c.checker = checker{only: o.only, leaders: map[uint64]ReplicaID{}, entries: map[[2]uint64]string{}, committed: map[uint64]committedEntry{}, acks: map[uint64]bool{}}
	c.network = c.simulation.NewNetwork(func(_, _ string) time.Duration { return 500 * time.Microsecond })
	for slot := range o.voters {
		c.first.Voters = append(c.first.Voters, ReplicaID(fmt.Sprintf("r%d", slot)))
	}
	for _, id := range c.first.Voters {
		c.replicas = append(c.replicas, c.newReplica(id, stored{snapshot: Snapshot{Members: c.first}}))
	}
	return c
}

func (c *cluster) newReplica(id ReplicaID, initial stored) *replica {
	r := &replica{cluster: c, id: id, process: c.simulation.NewProcess(string(id)), disk: sim.NewDisk(initial, cloneStored)}
	r.start()
	c.network.Attach(r.process, func(_ string, message any) { r.step(Received{Message: message.(WireMessage)}) })
	return r
}

// start begins a life of the replica from its disk.
func (r *replica) start() {
	held := r.disk.Read()
	random := r.cluster.simulation.Fork()
	machine, err := NewMachine(Settings{
		Group: 7, Self: r.id, Heartbeat: testHeartbeat, ElectionTimeout: testElection, Random: random,
		MaxAppendBytes: 400, MaxInflight: 4, TrailingEntries: 5,
	}, Restored{HardState: held.state, Snapshot: held.snapshot, Entries: held.entries})
	if err != nil {
		r.cluster.violate(nothingLost, "%s can't start: %v", r.id, err)
		return
	}
	machine.planted = r.cluster.planted
	r.machine, r.writes, r.syncing, r.leading = machine, nil, false, false
	r.restore(held.snapshot)
	r.proposed, r.confirms, r.answers = map[uint64]uint64{}, map[uint64]uint64{}, map[uint64]error{}
	phase := time.Duration(random.Int64N(int64(testHeartbeat / 2)))
	r.process.After(phase, func() { r.process.Every(testHeartbeat/2, func() { r.step(Tick{}) }) })
}

// restore puts the state of a snapshot in force.
func (r *replica) restore(snapshot Snapshot) {
	r.applied, r.compacts, r.digest, r.commands = snapshot.Index, snapshot.Index, 0, nil
	for i := 0; i < len(snapshot.Data); i += 8 {
		r.commands = append(r.commands, binary.BigEndian.Uint64(snapshot.Data[i:]))
	}
	if len(r.commands) > 0 {
		r.digest, r.commands = r.commands[0], r.commands[1:]
	}
}

func (r *replica) snapshot() Snapshot {
	data := binary.BigEndian.AppendUint64(nil, r.digest)
	for _, command := range r.commands {
		data = binary.BigEndian.AppendUint64(data, command)
	}
	return Snapshot{Index: r.applied, Data: data}
}

func (r *replica) step(message Message) {
	if len(r.cluster.broken) > 0 {
		return
	}
	defer func() {
		if problem := recover(); problem != nil {
			r.cluster.violate(stateMachineSafety, "%s: %v", r.id, problem)
			r.crash()
		}
	}()
	r.inStep = 0
	for _, action := range r.machine.Step(r.process.Now(), message) {
		r.execute(action)
	}
}

func (r *replica) execute(action Action) {
	switch action := action.(type) {
	case Persist:
		r.checkPersist(action)
		r.writes = append(r.writes, pendingWrite{persist: action})
		r.inStep++
		r.sync()
	case Send:
		r.send(action.Message)
	case Apply:
		for _, entry := range action.Entries {
			r.apply(entry)
		}
	case FetchSnapshot:
		r.fetch(action)
	case Halted:
		r.cluster.violate(stateMachineSafety, "%s halts: %v", r.id, action.Err)
	case RoleChanged:
		r.roleChanged(action)
	case Proposed:
		r.answers[action.Token] = action.Err
		if action.Err == nil {
			r.proposed[action.Index] = action.Term
		}
	case Transferred:
		r.answers[action.Token] = action.Err
	case Confirmed:
		r.answers[action.Token] = action.Err
		r.checkConfirmed(action)
	}
}

// send holds a message back only while an earlier Persist of its own step is not
// synced: the contract asks for no more.
func (r *replica) send(w WireMessage) {
	if r.inStep > 0 {
		last := &r.writes[len(r.writes)-1]
		last.sends = append(last.sends, w)
		return
	}
	r.transmit(w)
}

func (r *replica) transmit(w WireMessage) {
	if r.cluster.drop != nil && r.cluster.drop(w) {
		return
	}
	r.cluster.simulation.Tracef("%s sends %s to %s term %d index %d commit %d match %d", r.id, w.Type, w.To, w.Term, w.Index, w.Commit, w.Match)
	r.cluster.network.Send(string(r.id), string(w.To), w)
}

// sync writes all that waits with one sync.
func (r *replica) sync() {
	if r.syncing {
		return
	}
	r.syncing = true
	delay := time.Duration(r.cluster.simulation.Random().Int64N(int64(3 * time.Millisecond)))
	delay = max(delay, r.stalled.Sub(r.cluster.simulation.Now()))
	r.process.After(delay, func() {
		done := r.writes
		r.writes, r.syncing = nil, false
		r.reachDisk(done)
		for _, write := range done {
			for _, w := range write.sends {
				r.transmit(w)
			}
		}
		r.step(Persisted{Sequence: done[len(done)-1].persist.Sequence})
		if len(r.writes) > 0 {
			r.sync()
		}
	})
}

func (r *replica) reachDisk(writes []pendingWrite) {
	for _, write := range writes {
		r.disk.Write(func(s *stored) { s.write(write.persist) })
	}
	if !r.cluster.skipSync {
		r.disk.Sync()
	}
}

// crash loses what is not synced, but for a part that reached the disk unasked.
func (r *replica) crash() {
	if !r.process.Up() {
		return
	}
	random := r.cluster.simulation.Random()
	if n := len(r.writes); n > 0 {
		r.reachDisk(r.writes[:random.IntN(n+1)])
	}
	r.process.Crash()
	r.disk.Crash()
	r.leading = false
}

func (r *replica) restart() {
	if r.process.Up() || r.gone {
		return
	}
	r.process.Restart()
	r.start()
}

// loseDisk puts a new replica on a new disk in the slot's place.
func (c *cluster) loseDisk(slot int) {
	old := c.replicas[slot]
	old.crash()
	if c.reuseIdentity {
		old.disk.Lose(stored{snapshot: Snapshot{Members: c.first}})
		old.restart()
		return
	}
	old.gone = true
	c.serial++
	c.simulation.Tracef("new disk for %s", old.id)
	c.replicas[slot] = c.newReplica(ReplicaID(fmt.Sprintf("n%d", c.serial)), stored{})
}

func (r *replica) fetch(action FetchSnapshot) {
	random := r.cluster.simulation.Random()
	done := SnapshotFetched{Index: action.Snapshot.Index, Term: action.Snapshot.Term}
	if random.Float64() < 0.2 {
		done.Err = fmt.Errorf("the bulk broke off")
	}
	r.process.After(time.Duration(random.Int64N(int64(80*time.Millisecond))), func() { r.step(done) })
}

func (r *replica) apply(entry Entry) {
	if entry.Index != r.applied+1 {
		r.cluster.violate(stateMachineSafety, "%s applies %d after %d", r.id, entry.Index, r.applied)
	}
	r.applied, r.digest = entry.Index, chain(r.digest, entry)
	if entry.Kind == EntryCommand {
		r.commands = append(r.commands, chain(0, entry))
	}
	r.cluster.checkApplied(r, entry)
	if r.applied >= r.compacts+testCompactAt {
		r.compacts = r.applied
		snapshot := r.snapshot()
		r.process.After(time.Millisecond, func() { r.step(Compact{Snapshot: snapshot}) })
	}
}

// chain is the state of the applied machine: a hash of all entries so far.
func chain(digest uint64, entry Entry) uint64 {
	hash := fnv.New64a()
	fmt.Fprintf(hash, "%d %d %d %d ", digest, entry.Index, entry.Term, entry.Kind)
	hash.Write(entry.Data)
	return hash.Sum64()
}

func (r *replica) roleChanged(change RoleChanged) {
	r.cluster.simulation.Tracef("%s leading %v term %d leader %s", r.id, change.Leading, change.Term, change.Leader)
	r.leading = change.Leading
	if change.Leading {
		r.checkLeader(change.Term)
	}
}

// clients propose at any replica and confirm reads at those that believe they
// lead.
func (c *cluster) clients(interval time.Duration) {
	c.simulation.After(interval, func() {
		c.serial++
		target := c.replicas[c.simulation.Random().IntN(len(c.replicas))]
		if target.process.Up() && !target.process.Paused() {
			target.step(Propose{Token: c.serial, Data: []byte(fmt.Sprintf("command %d", c.serial))})
		}
		for _, r := range c.replicas {
			if r.leading && r.process.Up() && !r.process.Paused() {
				c.serial++
				r.confirms[c.serial] = c.checker.applied
				r.step(Confirm{Token: c.serial})
			}
		}
		c.clients(interval)
	})
}

func randomOf(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }
