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
	// ticksPerHeartbeat is how finely a replica's machine sees time pass.
	ticksPerHeartbeat = 2
	// Bytes of applied commands that compact the log, however few they are: the
	// machine holds the log in memory. That is a part of the process's heap.
	mostLogBytes  = 32 << 20
	leastLogBytes = 1 << 20
	logHeapShare  = 16 // one part in so many of the heap, for all groups together
	// trailingEntries are kept in memory for replicas that lag a little; parts
	// of files make entries of hundreds of kilobytes.
	trailingEntries = 64
)

// parts are what the groups of one store share.
type parts struct {
	settings        config.Store
	heapBytes       int64 // that the process may take; 0: no bound
	electionTimeout time.Duration
	database        *database
	writer          *writer
	sender          *sender
	peers           *peers
	metrics         *metrics
	log             *logrus.Entry
	inline          StartInlineRunner // nil: inline jobs are kept, not run
	led             func()            // a group is led here from now on; must not block
}

// group runs one replica: its log, its applied state and, while it leads, its
// dispatcher. Methods called by the machine's actor say so; the others may be
// called from anywhere.
type group struct {
	parts
	id     api.GroupID
	origin replication.Members
	state  *state
	shell  *shell.Shell[replication.Message, replication.Action]
	ctx    context.Context // until the group stops
	cancel context.CancelFunc
	halted atomic.Bool // a write failed: nothing is taken in or sent
	// pendingVotes counts terms and votes that are not on disk yet.
	pendingVotes atomic.Int64
	// installed is the generation of the state in force on disk.
	installed atomic.Uint64
	snapshots snapshotTransfers
	// logBytes is what was applied since the log was last compacted.
	logBytes  atomic.Int64
	packs     atomic.Bool // the last command was packed
	compacted uint64      // only for maintain, like dropped
	dropped   uint64      // one more than the generation before which none is left

	mutex     sync.Mutex // guards all below
	jobs      *jobs.State
	leading   *dispatch.Leadership // nil unless leading and applied up to its own term
	inlineRun InlineRunner         // nil unless leading
	ledSince  time.Time            // when leading was set
	services  []api.ServiceName    // of the table in force; nil before the first
	role      replication.RoleChanged
	roleSince time.Time // when role was set
	draining  bool      // before a planned stop: nothing new is taken
	token     uint64
	proposals map[uint64]chan answer // by token, until the index is known
	waiting   map[uint64]proposal    // by log index
	reads     readRounds
	shares    *shareOwner // guards itself
}

func newGroup(system *actor.ActorSystem, shared parts, id api.GroupID) (*group, error) {
	restored, err := shared.database.restore(id)
	if err != nil {
		return nil, err
	}
	shared.log = shared.log.WithField("group", id)
	g := &group{
		roleSince: time.Now(),
		parts:     shared, id: id, origin: restored.origin,
		state:     newState(shared.database, id, restored.applied),
		proposals: map[uint64]chan answer{}, waiting: map[uint64]proposal{}, shares: newShareOwner(),
	}
	g.installed.Store(restored.applied.Generation)
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

// stop ends fetches and the actor, after the messages that wait.
func (g *group) stop() {
	g.cancel()
	g.mutex.Lock()
	g.endLeading()
	g.mutex.Unlock()
	g.shell.Stop()
}

// tell steps the machine, unless a write has failed.
func (g *group) tell(message replication.Message) {
	if !g.halted.Load() {
		g.shell.Tell(message)
	}
}

// halt stops all acknowledgements: what is proposed ends with an unknown
// outcome, what is read with an error, and the other replicas elect a leader.
func (g *group) halt(cause error) {
	g.halted.Store(true)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.endLeading()
	g.role = replication.RoleChanged{Term: g.role.Term}
	failure := api.NewError("write log", "", api.CodeNoQuorum, api.OutcomeUnknown, "%w", cause)
	g.failProposals(failure)
	g.failReads(failure)
}

// resume goes on after a write succeeded at last; the machine may have kept its
// role meanwhile, so it is asked.
func (g *group) resume() {
	g.halted.Store(false)
	g.shell.Tell(replication.Inspect{})
}

// stopOn ends this store's acknowledgements over a state that can't be read.
func (g *group) stopOn(err error) { go g.writer.failed(err) }

// execute carries out one action of the machine, in its actor; it never blocks.
func (g *group) execute(action replication.Action) {
	switch action := action.(type) {
	case replication.Persist:
		g.persist(action)
	case replication.Send:
		g.send(action.Message, g.pendingVotes.Load() > 0)
	case heldSend:
		g.send(action.Message, true)
	case replication.Apply:
		g.apply(action.Entries)
	case replication.Proposed:
		g.proposed(action)
	case replication.Confirmed:
		g.confirmed(action)
	case replication.RoleChanged:
		g.roleChanged(action)
	case replication.FetchSnapshot:
		g.fetchSnapshot(action)
	case replication.Halted:
		g.log.WithError(action.Err).Error("The replica has halted for good; it is to be replaced as after a lost disk.")
	case replication.Inspected:
		status := action.Status
		g.roleChanged(replication.RoleChanged{Leading: status.Role == replication.RoleLeader, Term: status.Term, Leader: status.Leader})
	}
}

// apply hands committed entries to the applied state.
func (g *group) apply(entries []replication.Entry) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	at := g.state.position()
	for _, entry := range entries {
		if entry.Index <= at.Index {
			continue // applied before a restart
		}
		g.logBytes.Add(int64(len(entry.Data)))
		result := g.applyOne(entry, &at)
		g.state.advance(at)
		g.resolve(entry, result)
	}
	g.metrics.applied.Add(float64(len(entries)))
	g.lead(at)
	g.releaseReads(at.Index)
	if g.state.wantsFlush() {
		g.writer.add(task{group: g, flush: true})
	}
}

func (g *group) applyOne(entry replication.Entry, at *position) jobs.Result {
	at.Index, at.Term = entry.Index, entry.Term
	switch entry.Kind {
	case replication.EntryMembers:
		var members replication.Members
		if err := json.Unmarshal(entry.Data, &members); err != nil {
			g.log.WithError(err).Error("An entry with members can't be decoded.")
			return jobs.Result{Code: api.CodeInternal, Message: err.Error()}
		}
		at.Members, at.MembersIndex = members, entry.Index
	case replication.EntryCommand:
		return g.applyCommand(entry)
	}
	return jobs.Result{}
}

func (g *group) applyCommand(entry replication.Entry) jobs.Result {
	command, err := readCommand(entry.Data)
	if err != nil {
		return jobs.Result{Code: api.CodeInternal, Message: err.Error()}
	}
	results, err := g.jobs.Apply(jobs.Entry{Index: entry.Index, Command: command})
	if err != nil {
		g.stopOn(fmt.Errorf("apply entry %d of group %d: %w", entry.Index, g.id, err))
		return jobs.Result{Code: api.CodeInternal, Message: err.Error()}
	}
	if g.leading != nil {
		g.leading.Applied(command, results[0])
	}
	if g.inlineRun != nil {
		g.inlineRun.Applied(command, results[0])
	}
	return results[0]
}

// roleChanged is told by the machine. A new leader serves only once it has
// applied an entry of its own term, since until then it may not know of all
// that is committed.
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
		g.endLeading()
		g.failProposals(g.notLeader("commit command", api.OutcomeUnknown))
		g.failReads(g.notLeader("read group", api.OutcomeNotRun))
	}
	g.lead(g.state.position())
}

// logRole says what this replica now believes of the leadership, and for how long
// it believed the last; the mutex is held.
func (g *group) logRole(to replication.RoleChanged) {
	g.log.WithFields(logrus.Fields{
		"event": "role_changed", "leading": to.Leading, "term": to.Term, "leader": to.Leader,
		"before_leading": g.role.Leading, "before_term": g.role.Term, "before_leader": g.role.Leader,
		"before_ms": time.Since(g.roleSince).Milliseconds(),
	}).Info("The leadership of the group changed.")
	g.roleSince = time.Now()
}

// notLeader is the answer of a replica that can't serve; the mutex is held.
func (g *group) notLeader(step string, outcome api.Outcome) *api.Error {
	failure := api.NewError(step, "", api.CodeNotLeader, outcome, "this replica does not lead group %d", g.id)
	failure.Leader = g.peers.node(g.role.Leader)
	failure.RetryAfter = g.electionTimeout
	return failure
}

// members are those of the applied state.
func (g *group) members() position { return g.state.position() }

func (g *group) leads() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.leading != nil
}

// leadingTerm is the term in which this replica leads; false when it does not.
func (g *group) leadingTerm() (term uint64, leads bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.role.Term, g.leading != nil
}

// leadingSince tells when this replica began to lead.
func (g *group) leadingSince() time.Time {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.ledSince
}

// logBytes is how much log each of so many groups keeps in memory, by the bound of
// the heap; 0 is no bound.
func logBytes(heapBytes int64, groups int) int64 {
	if heapBytes == 0 {
		return mostLogBytes
	}
	return min(max(heapBytes/logHeapShare/int64(groups), leastLogBytes), mostLogBytes)
}

// maintain writes applied state that is only in memory, drops replaced states
// and compacts the log, unless a snapshot is being streamed: the log after it
// will be needed.
func (g *group) maintain() {
	if g.halted.Load() {
		return
	}
	if g.state.dirty() {
		g.writer.add(task{group: g, flush: true})
	}
	if err := g.dropOldStates(g.installed.Load()); err != nil {
		g.log.WithError(err).Warn("A replaced state could not be removed yet.")
	}
	onDisk := g.state.onDisk()
	full := onDisk >= g.compacted+uint64(g.settings.SnapshotEntries) || g.logBytes.Load() >= logBytes(g.heapBytes, g.settings.Groups)
	if !full || onDisk == g.compacted || g.snapshots.serving.Load() > 0 {
		return
	}
	g.compacted = onDisk
	g.logBytes.Store(0)
	g.tell(replication.Compact{Snapshot: replication.Snapshot{Index: onDisk}})
}

// handOver ends what is proposed and then gives leadership away, before a
// planned stop; it is called again until this replica no longer leads.
func (g *group) handOver() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.draining = true
	if g.leading == nil || len(g.proposals)+len(g.waiting) > 0 {
		return
	}
	g.shell.Tell(replication.TransferLeadership{})
}

// giveAway hands leadership over and goes on as a follower.
func (g *group) giveAway() {
	if g.leads() {
		g.shell.Tell(replication.TransferLeadership{})
	}
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
