package store

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/config"
	"github.com/dykewing/dykewing/internal/dispatch"
	"github.com/dykewing/dykewing/internal/shell"
	"github.com/dykewing/dykewing/jobs"
	"github.com/dykewing/dykewing/replication"
)

const (
	// ticksPerHeartbeat is the number of ticks of a replica's state machine per heartbeat.
	ticksPerHeartbeat = 2
	// Bounds of the bytes of applied commands after which a log is compacted. The log is
	// held in memory, so the limit depends on the heap size.
	maxLogBytes    = 32 << 20
	minLogBytes    = 1 << 20
	logHeapDivisor = 16 // the logs of all groups may take 1/logHeapDivisor of the heap
	// trailingEntries is how many compacted entries stay in memory for slightly lagging
	// replicas; entries with parts of files take hundreds of kilobytes.
	trailingEntries = 64
)

// groupDependencies is what the groups of one store share.
type groupDependencies struct {
	settings        config.Store
	heapBytes       int64 // limit of the process's heap; 0: unlimited
	electionTimeout time.Duration
	database        *database
	writer          *writer
	sender          *sender
	peers           *peers
	metrics         *metrics
	log             *logrus.Entry
	inline          StartInlineRunner // nil: inline jobs are stored but not run
	onLeading       func()            // called when this store begins to lead a group; must not block
}

// group runs one replica: its log, its applied state and, while it leads, its
// dispatcher. Its methods are safe for concurrent use, except those documented to be
// called by the actor.
type group struct {
	groupDependencies
	id     api.GroupID
	origin replication.Members
	state  *state
	shell  *shell.Shell[replication.Message, replication.Action]
	ctx    context.Context // until the group stops
	cancel context.CancelFunc
	halted atomic.Bool // a write failed: no message is accepted or sent
	// pendingHardStates counts terms and votes that are not on disk yet.
	pendingHardStates atomic.Int64
	// installedGeneration is the generation of the current state on disk.
	installedGeneration atomic.Uint64
	snapshots           snapshotTransfers
	// appliedBytes counts the bytes applied since the log was last compacted.
	appliedBytes   atomic.Int64
	packing        atomic.Bool // the last command was packed
	compactedIndex uint64      // used by maintain only, like removedBefore
	removedBefore  uint64      // older generations are removed, plus one; 0: none

	mutex        sync.Mutex // guards all below
	jobs         *jobs.State
	leading      *dispatch.Leadership // nil unless leader and an entry of its own term is applied
	inlineRunner InlineRunner         // nil unless leading
	leaderSince  time.Time            // when leading was set
	services     []api.ServiceName    // of the current table; nil before the first
	role         replication.RoleChanged
	roleSince    time.Time // when role was set
	draining     bool      // planned stop: new proposals are refused
	lastToken    uint64
	proposals    map[uint64]chan answer // by token, until the index is known
	pending      map[uint64]proposal    // by log index
	reads        readRounds
	shareOwner   *shareOwner // has its own mutex
	lease        leaseState  // has its own mutex
}

func newGroup(system *actor.ActorSystem, shared groupDependencies, id api.GroupID) (*group, error) {
	restored, err := shared.database.restore(id)
	if err != nil {
		return nil, err
	}
	shared.log = shared.log.WithField("group", id)
	g := &group{
		roleSince:         time.Now(),
		groupDependencies: shared, id: id, origin: restored.origin,
		state:     newState(shared.database, id, restored.applied),
		proposals: map[uint64]chan answer{}, pending: map[uint64]proposal{}, shareOwner: newShareOwner(),
	}
	g.installedGeneration.Store(restored.applied.Generation)
	if g.jobs, err = jobs.OpenState(g.state); err != nil {
		return nil, fmt.Errorf("open applied state of group %d: %w", id, err)
	}
	machine, err := replication.NewMachine(replication.Settings{
		Group: id, Self: shared.database.identity,
		Heartbeat: shared.settings.Heartbeat, ElectionTimeout: shared.electionTimeout,
		Random:          rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		TrailingEntries: trailingEntries,
	}, restored.machine)
	if err != nil {
		return nil, fmt.Errorf("start replica of group %d: %w", id, err)
	}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.shell = shell.Start(system, &stepper{group: g, machine: machine}, g.execute)
	return g, nil
}

// stop ends snapshot fetches, and the actor once it has handled its queued messages.
func (g *group) stop() {
	g.cancel()
	g.mutex.Lock()
	g.stopLeading()
	g.mutex.Unlock()
	g.shell.Stop()
}

// tell steps the machine, unless a write has failed.
func (g *group) tell(message replication.Message) {
	if !g.halted.Load() {
		g.shell.Tell(message)
	}
}

// halt stops all acknowledgements after a failed write: pending proposals end with an
// unknown outcome, reads fail, and the other replicas elect a leader.
func (g *group) halt(cause error) {
	g.halted.Store(true)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.stopLeading()
	g.role = replication.RoleChanged{Term: g.role.Term}
	failure := api.NewError("write log", "", api.CodeNoQuorum, api.OutcomeUnknown, "%w", cause)
	g.failProposals(failure)
	g.failReads(failure)
}

// resume undoes halt once writes succeed. The state machine may have kept its role, so it is
// queried.
func (g *group) resume() {
	g.halted.Store(false)
	g.shell.Tell(replication.Inspect{})
}

// reportFailure halts this store because an applied state can't be read.
func (g *group) reportFailure(err error) { go g.writer.onFailure(err) }

// execute carries out one action of the state machine. The actor calls it; it never blocks.
func (g *group) execute(action replication.Action) {
	switch action := action.(type) {
	case replication.Persist:
		g.persist(action)
	case replication.Send:
		g.send(action.Message, g.pendingHardStates.Load() > 0)
	case deferredSend:
		g.send(action.Message, true)
	case replication.Apply:
		g.apply(action.Entries)
	case replication.Proposed:
		g.proposed(action)
	case replication.LeadershipConfirmed:
		g.confirmed(action)
	case replication.RoleChanged:
		g.roleChanged(action)
	case replication.FetchSnapshot:
		g.fetchSnapshot(action)
	case replication.Halted:
		g.log.WithError(action.Err).Error("The replica has halted permanently and must be replaced.")
	case replication.Inspected:
		status := action.Status
		g.roleChanged(replication.RoleChanged{Leading: status.Role == replication.RoleLeader, Term: status.Term, Leader: status.Leader})
	}
}

// apply applies committed entries.
func (g *group) apply(entries []replication.Entry) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	at := g.state.position()
	for _, entry := range entries {
		if entry.Index <= at.Index {
			continue // applied before a restart
		}
		g.appliedBytes.Add(int64(len(entry.Data)))
		result := g.applyOne(entry, &at)
		g.state.advance(at)
		g.resolve(entry, result)
	}
	g.metrics.applied.Add(float64(len(entries)))
	g.startLeading(at)
	g.completeReads(at.Index)
	if g.state.needsFlush() {
		g.writer.enqueue(task{group: g, flush: true})
	}
}

func (g *group) applyOne(entry replication.Entry, at *position) jobs.Result {
	at.Index, at.Term = entry.Index, entry.Term
	switch entry.Kind {
	case replication.EntryMembers:
		var members replication.Members
		if err := json.Unmarshal(entry.Data, &members); err != nil {
			g.log.WithError(err).Error("Decoding a membership entry failed.")
			return jobs.Result{Code: api.CodeInternal, Message: err.Error()}
		}
		at.Members, at.MembersIndex = members, entry.Index
	case replication.EntryCommand:
		return g.applyCommand(entry)
	}
	return jobs.Result{}
}

func (g *group) applyCommand(entry replication.Entry) jobs.Result {
	command, err := decodeCommand(entry.Data)
	if err != nil {
		return jobs.Result{Code: api.CodeInternal, Message: err.Error()}
	}
	results, err := g.jobs.Apply(jobs.Entry{Index: entry.Index, Command: command})
	if err != nil {
		g.reportFailure(fmt.Errorf("apply entry %d of group %d: %w", entry.Index, g.id, err))
		return jobs.Result{Code: api.CodeInternal, Message: err.Error()}
	}
	if g.leading != nil {
		g.leading.Applied(command, results[0])
	}
	if g.inlineRunner != nil {
		g.inlineRunner.Applied(command, results[0])
	}
	return results[0]
}

// roleChanged handles a change of role or term. A new leader serves only after applying an
// entry of its own term; before, it may lack committed entries.
func (g *group) roleChanged(change replication.RoleChanged) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	lost := g.role.Leading && (!change.Leading || change.Term != g.role.Term)
	g.logRole(change)
	g.role = change
	g.metrics.roleChanges.Inc()
	if g.halted.Load() {
		return
	}
	if lost || !change.Leading {
		g.stopLeading()
		g.failProposals(g.notLeader("commit command", api.OutcomeUnknown))
		g.failReads(g.notLeader("read group", api.OutcomeNotRun))
	}
	g.startLeading(g.state.position())
}

// logRole logs the new role and how long the previous one lasted; the mutex is held.
func (g *group) logRole(to replication.RoleChanged) {
	g.log.WithFields(logrus.Fields{
		"event": "role_changed", "leading": to.Leading, "term": to.Term, "leader": to.Leader,
		"before_leading": g.role.Leading, "before_term": g.role.Term, "before_leader": g.role.Leader,
		"before_ms": time.Since(g.roleSince).Milliseconds(),
	}).Info("The leadership of the group changed.")
	g.roleSince = time.Now()
}

// notLeader returns the error of a replica that doesn't lead, with the leader if known; the
// mutex is held.
func (g *group) notLeader(step string, outcome api.Outcome) *api.Error {
	failure := api.NewError(step, "", api.CodeNotLeader, outcome, "this replica does not lead group %d", g.id)
	failure.Leader = g.peers.node(g.role.Leader)
	failure.RetryAfter = g.electionTimeout
	return failure
}

// members returns the applied position, which includes the members.
func (g *group) members() position { return g.state.position() }

func (g *group) isLeading() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.leading != nil
}

// leadingTerm returns the current term, and whether this replica leads in it.
func (g *group) leadingTerm() (term uint64, leads bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.role.Term, g.leading != nil
}

// leadingSince returns when this replica last began to lead.
func (g *group) leadingSince() time.Time {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.leaderSince
}

// logBytesLimit returns how many bytes of log each group may keep in memory, given the heap
// limit (0: unlimited) and the number of groups.
func logBytesLimit(heapBytes int64, groups int) int64 {
	if heapBytes == 0 {
		return maxLogBytes
	}
	return min(max(heapBytes/logHeapDivisor/int64(groups), minLogBytes), maxLogBytes)
}

// maintain flushes applied state, removes replaced generations and compacts the log. It
// doesn't compact while a snapshot is being sent, since its receiver needs the log after it.
func (g *group) maintain() {
	if g.halted.Load() {
		return
	}
	if g.state.dirty() {
		g.writer.enqueue(task{group: g, flush: true})
	}
	if err := g.removeOldGenerations(g.installedGeneration.Load()); err != nil {
		g.log.WithError(err).Warn("Removing replaced state generations failed; retrying.")
	}
	onDisk := g.state.onDisk()
	full := onDisk >= g.compactedIndex+uint64(g.settings.SnapshotEntries) || g.appliedBytes.Load() >= logBytesLimit(g.heapBytes, g.settings.Groups)
	if !full || onDisk == g.compactedIndex || g.snapshots.serving.Load() > 0 {
		return
	}
	g.compactedIndex = onDisk
	g.appliedBytes.Store(0)
	g.tell(replication.Compact{Snapshot: replication.Snapshot{Index: onDisk}})
}

// drain refuses new proposals before a planned stop, and transfers leadership once none is
// pending. It is called repeatedly until this replica no longer leads.
func (g *group) drain() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.draining = true
	if g.leading == nil || len(g.proposals)+len(g.pending) > 0 {
		return
	}
	g.shell.Tell(replication.TransferLeadership{})
}

// transferLeadership makes a leader hand over to a voter and continue as a follower.
func (g *group) transferLeadership(to replication.ReplicaID) {
	g.shell.Tell(replication.TransferLeadership{To: to})
}

func (g *group) summary() api.GroupSummary {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	summary := api.GroupSummary{Group: g.id, Term: g.role.Term, Leading: g.leading != nil}
	if g.leading != nil {
		summary.Waiting = g.leading.Backlog()
	}
	return summary
}
