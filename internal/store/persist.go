package store

import (
	"time"

	"github.com/dykewing/dykewing/replication"
)

// stepper marks, in each step, the messages that have to wait for a sync.
type stepper struct {
	group   *group
	machine *replication.Machine
}

// heldSend is a message that comes after a Persist of the same step.
type heldSend struct{ replication.Send }

// Step steps the machine.
func (s *stepper) Step(now time.Time, message replication.Message) []replication.Action {
	if staged, ok := message.(stagedSnapshot); ok {
		s.group.snapshots.staged = staged.at
		message = staged.SnapshotFetched
	}
	actions := s.machine.Step(now, message)
	held := false
	for i, action := range actions {
		switch action := action.(type) {
		case replication.Persist:
			held = true
		case replication.Send:
			if held {
				actions[i] = heldSend{action}
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
		g.pendingVotes.Add(1)
	}
	g.writer.add(added)
}

// persisted is told by the writer, in the order of the Persists.
func (g *group) persisted(written task) {
	if written.persist.HardState != nil {
		g.pendingVotes.Add(-1)
	}
	if written.install != nil {
		g.installed.Store(written.install.Generation)
	}
	g.tell(replication.Persisted{Sequence: written.persist.Sequence})
}

// send holds a message back behind the syncs that wait now: when it follows a
// Persist of its own step, and, whatever it says, while a term or vote is not on
// disk. What it says of entries the machine has checked against Persisted.
func (g *group) send(message replication.WireMessage, held bool) {
	if held {
		g.writer.add(task{group: g, send: &message})
		return
	}
	g.transmit(message)
}

func (g *group) transmit(message replication.WireMessage) {
	cut := g.database.hooks.cut
	if g.halted.Load() || cut != nil && cut() || !g.readable(message) {
		return
	}
	g.sender.send(message)
}
