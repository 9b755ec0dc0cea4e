package replication

import (
	"fmt"
	"time"
)

// checker holds the invariants.
type checker struct {
	leaders   map[uint64]ReplicaID
	entries   map[[2]uint64]string // (index, term) to previous term and data
	committed map[uint64]committedEntry
	applied   uint64 // highest anywhere
	acked     int
	confirmed int
	acks      map[uint64]bool // acknowledged commands
	only      invariant
	broken    []violation
}

type committedEntry struct {
	term   uint64
	digest uint64
	during uint64 // term of the replica that first applied it
}

// invariant names what must hold.
type invariant string

const (
	electionSafety     invariant = "election safety"
	logMatching        invariant = "log matching"
	leaderCompleteness invariant = "leader completeness"
	stateMachineSafety invariant = "state machine safety"
	nothingLost        invariant = "nothing acknowledged is lost"
	linearisableRead   invariant = "linearisable read"
	liveness           invariant = "liveness"
)

type violation struct {
	invariant invariant
	detail    string
}

func (c *checker) violate(broken invariant, format string, arguments ...any) {
	if c.only != "" && c.only != broken {
		return
	}
	c.broken = append(c.broken, violation{invariant: broken, detail: fmt.Sprintf(format, arguments...)})
}

// checkApplied is state machine safety: all replicas apply the same sequence.
func (c *cluster) checkApplied(r *replica, entry Entry) {
	c.simulation.Tracef("%s applies %d of term %d", r.id, entry.Index, entry.Term)
	known, ok := c.committed[entry.Index]
	if ok && (known.term != entry.Term || known.digest != r.digest) {
		c.violate(stateMachineSafety, "%s applies (%d, term %d), but (%d, term %d) was applied elsewhere, or another history before it", r.id, entry.Index, entry.Term, entry.Index, known.term)
	}
	if !ok {
		c.committed[entry.Index] = committedEntry{term: entry.Term, digest: r.digest, during: r.machine.state.Term}
	}
	c.checker.applied = max(c.checker.applied, entry.Index)
	if entry.Kind == EntryCommand && r.proposed[entry.Index] == entry.Term {
		c.acked++
		c.acks[chain(0, entry)] = true
	}
}

// checkPersist is log matching: index and term name one entry with one
// predecessor, in all logs and for ever.
func (r *replica) checkPersist(persist Persist) {
	if persist.Reset {
		r.restore(*persist.Snapshot)
		r.fetched++
		if known := r.cluster.committed[r.applied]; known.digest != r.digest {
			r.cluster.violate(stateMachineSafety, "%s installs another state at %d", r.id, r.applied)
		}
	}
	for _, entry := range persist.Entries {
		previous, known := r.machine.log.term(entry.Index - 1)
		if !known {
			continue
		}
		key, value := [2]uint64{entry.Index, entry.Term}, fmt.Sprintf("%d %d %s", previous, entry.Kind, entry.Data)
		if other, ok := r.cluster.entries[key]; ok && other != value {
			r.cluster.violate(logMatching, "%s has another entry (%d, term %d)", r.id, entry.Index, entry.Term)
		}
		r.cluster.entries[key] = value
	}
}

// checkLeader is election safety and leader completeness: one leader a term, and
// it has every entry that was committed in an older one. (A replica that was
// paused may win an old term late, without what a newer one has committed.)
func (r *replica) checkLeader(term uint64) {
	c := r.cluster
	if other, ok := c.leaders[term]; ok && other != r.id {
		c.violate(electionSafety, "%s and %s lead term %d", other, r.id, term)
	}
	c.leaders[term] = r.id
	for index, entry := range c.committed {
		if entry.during < term && index > r.machine.log.offset && !r.machine.log.matches(index, entry.term) {
			c.violate(leaderCompleteness, "leader %s of term %d lacks committed (%d, term %d)", r.id, term, index, entry.term)
			return
		}
	}
}

// checkConfirmed is the linearisable read: an answer covers all that was applied
// anywhere before the question.
func (r *replica) checkConfirmed(answer Confirmed) {
	least := r.confirms[answer.Token]
	delete(r.confirms, answer.Token)
	if answer.Err != nil {
		return
	}
	r.cluster.confirmed++
	if answer.Index < least {
		r.cluster.violate(linearisableRead, "%s confirms a read at %d after %d was applied", r.id, answer.Index, least)
	}
}

// checkLive says that a healed group commits, that all replicas catch up and that
// the leader has each acknowledged command once.
func (c *cluster) checkLive() {
	before := c.acked
	c.simulation.Run(4 * time.Second)
	if len(c.broken) == 0 && c.acked <= before {
		c.violate(liveness, "nothing commits after the faults")
	}
	for _, r := range c.replicas {
		if r.leading && r.process.Up() {
			r.checkAcknowledged()
		}
		if len(c.broken) == 0 && r.applied+20 < c.checker.applied {
			c.violate(liveness, "%s stays at %d of %d after the faults", r.id, r.applied, c.checker.applied)
		}
	}
}

func (r *replica) checkAcknowledged() {
	times := map[uint64]int{}
	for _, command := range r.commands {
		times[command]++
	}
	for command := range r.cluster.acks {
		if times[command] != 1 {
			r.cluster.violate(nothingLost, "leader %s has an acknowledged command %d times", r.id, times[command])
			return
		}
	}
}
