package store

import (
	"time"

	"github.com/dykewing/dykewing/replication"
)

// stepper marks the messages of each step that must wait for a sync.
type stepper struct {
	group   *group
	machine *replication.Machine
}

// deferredSend is a message that follows a replication.Persist of the same step.
type deferredSend struct{ replication.Send }

func (s *stepper) Step(now time.Time, message replication.Message) []replication.Action {
	if staged, ok := message.(stagedSnapshot); ok {
		s.group.snapshots.staged = staged.at
		message = staged.SnapshotFetched
	}
	actions := s.machine.Step(now, message)
	deferred := false
	for i, action := range actions {
		switch action := action.(type) {
		case replication.Persist:
			deferred = true
		case replication.Send:
			if deferred {
				actions[i] = deferredSend{action}
			}
		}
	}
	return actions
}

func (g *group) persist(persist replication.Persist) {
	added := task{group: g, persist: &persist}
	if persist.Reset {
		added.install = g.install(g.snapshots.staged)
	}
	if persist.HardState != nil {
		g.pendingHardStates.Add(1)
	}
	g.writer.enqueue(added)
}

// persisted is called by the writer, in the order of the writes.
func (g *group) persisted(written task) {
	if written.persist.HardState != nil {
		g.pendingHardStates.Add(-1)
	}
	if written.install != nil {
		g.installedGeneration.Store(written.install.Generation)
	}
	g.tell(replication.Persisted{Sequence: written.persist.Sequence})
}

// send delays a message until the pending syncs are done if it follows a write of its own
// step, or while a term or vote is not on disk. Acknowledgements of entries need no delay: the
// state machine sends them only after replication.Persisted.
func (g *group) send(message replication.WireMessage, deferred bool) {
	if deferred {
		g.writer.enqueue(task{group: g, send: &message})
		return
	}
	g.transmit(message)
}

func (g *group) transmit(message replication.WireMessage) {
	cut := g.database.hooks.isolated
	if g.halted.Load() || cut != nil && cut() || !g.canDecode(message) {
		return
	}
	g.sender.send(message)
}
