package replication

import (
	"fmt"
	"time"
)

// checker checks the safety and liveness properties of a cluster.
type checker struct {
	leaders    map[uint64]ReplicaID
	entries    map[[2]uint64]string // by index and term: previous term, kind and data
	committed  map[uint64]committedEntry
	applied    uint64 // highest index applied by any replica
	acked      int
	confirmed  int
	acks       map[uint64]bool // acknowledged commands
	only       invariant
	violations []violation
}

type committedEntry struct {
	term          uint64
	digest        uint64
	appliedInTerm uint64 // term of the replica that first applied it
}

type invariant string

const (
	electionSafety         invariant = "election safety"
	logMatching            invariant = "log matching"
	leaderCompleteness     invariant = "leader completeness"
	stateMachineSafety     invariant = "state machine safety"
	acknowledgedDurability invariant = "nothing acknowledged is lost"
	linearizableRead       invariant = "linearisable read"
	liveness               invariant = "liveness"
)

type violation struct {
	invariant invariant
	detail    string
}

func (c *checker) reportViolation(name invariant, format string, arguments ...any) {
	if c.only != "" && c.only != name {
		return
	}
	c.violations = append(c.violations, violation{invariant: name, detail: fmt.Sprintf(format, arguments...)})
}

// checkApplied checks state machine safety: all replicas apply the same sequence.
func (c *cluster) checkApplied(r *replica, entry Entry) {
	c.simulation.Tracef("%s applies %d of term %d", r.id, entry.Index, entry.Term)
	known, ok := c.committed[entry.Index]
	if ok && (known.term != entry.Term || known.digest != r.digest) {
		c.reportViolation(stateMachineSafety, "%s applies (%d, term %d), but another replica applied (%d, term %d) or a different history before it", r.id, entry.Index, entry.Term, entry.Index, known.term)
	}
	if !ok {
		c.committed[entry.Index] = committedEntry{term: entry.Term, digest: r.digest, appliedInTerm: r.machine.state.Term}
	}
	c.checker.applied = max(c.checker.applied, entry.Index)
	if entry.Kind == EntryCommand && r.proposed[entry.Index] == entry.Term {
		c.acked++
		c.acks[chain(0, entry)] = true
	}
}

// checkPersist checks log matching: an index and term identify the same entry with the
// same predecessor in all logs.
func (r *replica) checkPersist(persist Persist) {
	if persist.Reset {
		r.restore(*persist.Snapshot)
		r.snapshotsInstalled++
		if known := r.cluster.committed[r.applied]; known.digest != r.digest {
			r.cluster.reportViolation(stateMachineSafety, "%s installs a snapshot at %d that differs from the committed state", r.id, r.applied)
		}
	}
	for _, entry := range persist.Entries {
		previous, known := r.machine.log.term(entry.Index - 1)
		if !known {
			continue
		}
		key, value := [2]uint64{entry.Index, entry.Term}, fmt.Sprintf("%d %d %s", previous, entry.Kind, entry.Data)
		if other, ok := r.cluster.entries[key]; ok && other != value {
			r.cluster.reportViolation(logMatching, "%s has a different entry (%d, term %d)", r.id, entry.Index, entry.Term)
		}
		r.cluster.entries[key] = value
	}
}

// checkLeader checks election safety and leader completeness: at most one leader per
// term, which has every entry committed in earlier terms. A replica that was paused may
// win an old term late, without the entries committed in newer ones.
func (r *replica) checkLeader(term uint64) {
	c := r.cluster
	if other, ok := c.leaders[term]; ok && other != r.id {
		c.reportViolation(electionSafety, "%s and %s are both leader in term %d", other, r.id, term)
	}
	c.leaders[term] = r.id
	for index, entry := range c.committed {
		if entry.appliedInTerm < term && index > r.machine.log.offset && !r.machine.log.matches(index, entry.term) {
			c.reportViolation(leaderCompleteness, "leader %s of term %d lacks committed entry (%d, term %d)", r.id, term, index, entry.term)
			return
		}
	}
}

// checkConfirmed checks linearizability of reads: a confirmed index covers all entries
// that any replica had applied before the request.
func (r *replica) checkConfirmed(response LeadershipConfirmed) {
	minIndex := r.confirms[response.Token]
	delete(r.confirms, response.Token)
	if response.Err != nil {
		return
	}
	r.cluster.confirmed++
	if response.Index < minIndex {
		r.cluster.reportViolation(linearizableRead, "%s confirms a read at %d after %d was applied", r.id, response.Index, minIndex)
	}
}

// checkLiveness checks that, after the faults end, the group commits, all replicas catch
// up and the leader has each acknowledged command exactly once.
func (c *cluster) checkLiveness() {
	before := c.acked
	c.simulation.Run(4 * time.Second)
	if len(c.violations) == 0 && c.acked <= before {
		c.reportViolation(liveness, "no command was committed after the faults ended")
	}
	for _, r := range c.replicas {
		if r.leading && r.process.Up() {
			r.checkAcknowledged()
		}
		if len(c.violations) == 0 && r.applied+20 < c.checker.applied {
			c.reportViolation(liveness, "%s has applied %d of %d entries after the faults ended", r.id, r.applied, c.checker.applied)
		}
	}
}

func (r *replica) checkAcknowledged() {
	counts := map[uint64]int{}
	for _, command := range r.commands {
		counts[command]++
	}
	for command := range r.cluster.acks {
		if counts[command] != 1 {
			r.cluster.reportViolation(acknowledgedDurability, "leader %s has an acknowledged command %d times, want once", r.id, counts[command])
			return
		}
	}
}
