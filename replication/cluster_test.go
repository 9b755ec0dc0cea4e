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
	testCompactAt = 25 // applied entries between compactions
)

// diskState is the persistent state of a replica.
type diskState struct {
	state    HardState
	snapshot Snapshot
	entries  []Entry
}

func cloneDiskState(s diskState) diskState {
	s.entries = slices.Clone(s.entries)
	return s
}

func (s *diskState) write(persist Persist) {
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

// pendingWrite is a Persist that is not yet synced, with the messages that wait for it.
type pendingWrite struct {
	persist Persist
	sends   []WireMessage
}

// replica is a simulated shell around a Machine.
type replica struct {
	cluster            *cluster
	id                 ReplicaID
	process            *sim.Process
	disk               *sim.Disk[diskState]
	machine            *Machine
	writes             []pendingWrite
	syncing            bool
	diskLost           bool      // replaced by a replica with a new disk
	stepWrites         int       // writes of the current step
	stalledUntil       time.Time // end of a disk stall
	snapshotsInstalled int       // number of installed snapshots
	applied            uint64
	digest             uint64
	commands           []uint64 // applied state: hashes of all commands in order
	compactedAt        uint64
	leading            bool
	proposed           map[uint64]uint64 // own proposals: index to term
	results            map[uint64]error  // errors of answered requests, by token
	confirms           map[uint64]uint64 // by token: lowest index that the answer may have
}

// options configure a cluster and the bugs injected into it.
type options struct {
	seed          uint64
	voters        int
	bugs          injectedBugs
	skipSync      bool
	reuseIdentity bool
	only          invariant // if set, only this one is checked
}

// cluster is a simulated group with clients, an operator and a checker.
type cluster struct {
	options
	simulation     *sim.Simulation
	network        *sim.Network
	replicas       []*replica // by slot
	initialMembers Members
	serial         uint64
	drop           func(WireMessage) bool // reports whether to drop a message
	checker
}

func newCluster(o options) *cluster {
	c := &cluster{options: o, simulation: sim.New(o.seed)}
	c.checker = checker{only: o.only, leaders: map[uint64]ReplicaID{}, entries: map[[2]uint64]string{}, committed: map[uint64]committedEntry{}, acks: map[uint64]bool{}}
	c.network = c.simulation.NewNetwork(func(_, _ string) time.Duration { return 500 * time.Microsecond })
	for slot := range o.voters {
		c.initialMembers.Voters = append(c.initialMembers.Voters, ReplicaID(fmt.Sprintf("r%d", slot)))
	}
	for _, id := range c.initialMembers.Voters {
		c.replicas = append(c.replicas, c.newReplica(id, diskState{snapshot: Snapshot{Members: c.initialMembers}}))
	}
	return c
}

func (c *cluster) newReplica(id ReplicaID, initial diskState) *replica {
	r := &replica{cluster: c, id: id, process: c.simulation.NewProcess(string(id)), disk: sim.NewDisk(initial, cloneDiskState)}
	r.start()
	c.network.Attach(r.process, func(_ string, message any) { r.step(Received{Message: message.(WireMessage)}) })
	return r
}

// start creates the Machine from the state on disk.
func (r *replica) start() {
	stored := r.disk.Read()
	random := r.cluster.simulation.ForkRandom()
	machine, err := NewMachine(Settings{
		Group: 7, Self: r.id, Heartbeat: testHeartbeat, ElectionTimeout: testElection, Random: random,
		MaxAppendBytes: 400, MaxInflight: 4, TrailingEntries: 5,
	}, RecoveredState{HardState: stored.state, Snapshot: stored.snapshot, Entries: stored.entries})
	if err != nil {
		r.cluster.reportViolation(acknowledgedDurability, "%s can't start: %v", r.id, err)
		return
	}
	machine.bugs = r.cluster.bugs
	r.machine, r.writes, r.syncing, r.leading = machine, nil, false, false
	r.restore(stored.snapshot)
	r.proposed, r.confirms, r.results = map[uint64]uint64{}, map[uint64]uint64{}, map[uint64]error{}
	phase := time.Duration(random.Int64N(int64(testHeartbeat / 2)))
	r.process.After(phase, func() { r.process.Every(testHeartbeat/2, func() { r.step(Tick{}) }) })
}

// restore installs the state of a snapshot.
func (r *replica) restore(snapshot Snapshot) {
	r.applied, r.compactedAt, r.digest, r.commands = snapshot.Index, snapshot.Index, 0, nil
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
	if len(r.cluster.violations) > 0 {
		return
	}
	defer func() {
		if cause := recover(); cause != nil {
			r.cluster.reportViolation(stateMachineSafety, "%s: %v", r.id, cause)
			r.crash()
		}
	}()
	r.stepWrites = 0
	for _, action := range r.machine.Step(r.process.Now(), message) {
		r.execute(action)
	}
}

func (r *replica) execute(action Action) {
	switch action := action.(type) {
	case Persist:
		r.checkPersist(action)
		r.writes = append(r.writes, pendingWrite{persist: action})
		r.stepWrites++
		r.sync()
	case Send:
		r.send(action.Message)
	case Apply:
		for _, entry := range action.Entries {
			r.apply(entry)
		}
	case FetchSnapshot:
		r.fetchSnapshot(action)
	case Halted:
		r.cluster.reportViolation(stateMachineSafety, "%s halts: %v", r.id, action.Err)
	case RoleChanged:
		r.roleChanged(action)
	case Proposed:
		r.results[action.Token] = action.Err
		if action.Err == nil {
			r.proposed[action.Index] = action.Term
		}
	case Transferred:
		r.results[action.Token] = action.Err
	case LeadershipConfirmed:
		r.results[action.Token] = action.Err
		r.checkConfirmed(action)
	}
}

// send delays a message only while a Persist of the same step is not synced, which is
// all that the contract requires.
func (r *replica) send(w WireMessage) {
	if r.stepWrites > 0 {
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

// sync writes all pending writes and syncs them together.
func (r *replica) sync() {
	if r.syncing {
		return
	}
	r.syncing = true
	delay := time.Duration(r.cluster.simulation.Random().Int64N(int64(3 * time.Millisecond)))
	delay = max(delay, r.stalledUntil.Sub(r.cluster.simulation.Now()))
	r.process.After(delay, func() {
		done := r.writes
		r.writes, r.syncing = nil, false
		r.writeToDisk(done)
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

func (r *replica) writeToDisk(writes []pendingWrite) {
	for _, write := range writes {
		r.disk.Write(func(s *diskState) { s.write(write.persist) })
	}
	if !r.cluster.skipSync {
		r.disk.Sync()
	}
}

// crash loses the writes that are not synced, except for a random prefix that reached
// the disk.
func (r *replica) crash() {
	if !r.process.Up() {
		return
	}
	random := r.cluster.simulation.Random()
	if n := len(r.writes); n > 0 {
		r.writeToDisk(r.writes[:random.IntN(n+1)])
	}
	r.process.Crash()
	r.disk.Crash()
	r.leading = false
}

func (r *replica) restart() {
	if r.process.Up() || r.diskLost {
		return
	}
	r.process.Restart()
	r.start()
}

// loseDisk replaces the replica in a slot by one with an empty disk.
func (c *cluster) loseDisk(slot int) {
	old := c.replicas[slot]
	old.crash()
	if c.reuseIdentity {
		old.disk.Replace(diskState{snapshot: Snapshot{Members: c.initialMembers}})
		old.restart()
		return
	}
	old.diskLost = true
	c.serial++
	c.simulation.Tracef("new disk for %s", old.id)
	c.replicas[slot] = c.newReplica(ReplicaID(fmt.Sprintf("n%d", c.serial)), diskState{})
}

func (r *replica) fetchSnapshot(action FetchSnapshot) {
	random := r.cluster.simulation.Random()
	done := SnapshotFetched{Index: action.Snapshot.Index, Term: action.Snapshot.Term}
	if random.Float64() < 0.2 {
		done.Err = fmt.Errorf("snapshot transfer interrupted")
	}
	r.process.After(time.Duration(random.Int64N(int64(80*time.Millisecond))), func() { r.step(done) })
}

func (r *replica) apply(entry Entry) {
	if entry.Index != r.applied+1 {
		r.cluster.reportViolation(stateMachineSafety, "%s applies %d after %d", r.id, entry.Index, r.applied)
	}
	r.applied, r.digest = entry.Index, chain(r.digest, entry)
	if entry.Kind == EntryCommand {
		r.commands = append(r.commands, chain(0, entry))
	}
	r.cluster.checkApplied(r, entry)
	if r.applied >= r.compactedAt+testCompactAt {
		r.compactedAt = r.applied
		snapshot := r.snapshot()
		r.process.After(time.Millisecond, func() { r.step(Compact{Snapshot: snapshot}) })
	}
}

// chain returns the digest of the applied state after an entry: a hash over all entries
// so far.
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

// startClients proposes commands at random replicas and requests confirmations from
// every replica that considers itself leader.
func (c *cluster) startClients(interval time.Duration) {
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
				r.step(ConfirmLeadership{Token: c.serial})
			}
		}
		c.startClients(interval)
	})
}

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }
