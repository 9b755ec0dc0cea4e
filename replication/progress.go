package replication

import "time"

// ProgressState is the leader's mode of sending to a replica.
type ProgressState string

// The states of progress.
const (
	ProgressProbe     ProgressState = "probe"     // one append at a time, to find the last matching entry
	ProgressReplicate ProgressState = "replicate" // pipelined appends
	ProgressSnapshot  ProgressState = "snapshot"  // no appends until the replica has installed a snapshot
)

// progress is the leader's view of a replica's log.
type progress struct {
	state           ProgressState
	match           uint64 // last entry known to match and to be on the replica's disk
	next            uint64 // first entry to send
	inflight        []uint64
	probeSent       bool // in ProgressProbe: an append is unanswered
	active          bool // responded since the last quorum check
	wasInactive     bool // did not respond between the last two quorum checks
	round           uint64
	snapshotIndex   uint64    // index of the snapshot sent
	snapshotRetryAt time.Time // of the snapshot
	heardAt         time.Time // a response; at first the start of progress
	lastSentAt      time.Time // an append, also an empty one
	sentCommit      uint64    // that the last append carried
}

func (p *progress) becomeProbe(next uint64) {
	p.state, p.probeSent, p.inflight = ProgressProbe, false, nil
	p.next = max(next, p.match+1)
}

func (p *progress) becomeReplicate(next uint64) {
	p.state, p.probeSent, p.inflight = ProgressReplicate, false, nil
	p.next = max(next, p.match+1)
}

// canSend reports whether another append may be sent without waiting for a response.
func (p *progress) canSend(maxInflight int) bool {
	switch p.state {
	case ProgressProbe:
		return !p.probeSent
	case ProgressReplicate:
		return len(p.inflight) < maxInflight
	}
	return false
}

// recordSent records an append with the given number of entries.
func (p *progress) recordSent(entries int) {
	switch {
	case p.state == ProgressProbe:
		p.probeSent = true
	case entries > 0:
		p.next += uint64(entries)
		p.inflight = append(p.inflight, p.next-1)
	}
}

// recordAccepted handles a positive response: entries up to verified match, and those up
// to match are also on the replica's disk. It reports whether match increased.
func (p *progress) recordAccepted(verified, match uint64) bool {
	advanced := match > p.match
	p.match = max(p.match, match)
	p.freeInflight()
	switch p.state {
	case ProgressProbe:
		if advanced || verified+1 >= p.next {
			p.becomeReplicate(verified + 1)
		}
	case ProgressSnapshot:
		if advanced { // this or an older snapshot was installed; the log is sent from here on
			p.becomeReplicate(p.match + 1)
		}
	default:
		p.next = max(p.next, p.match+1)
	}
	return advanced
}

// freeInflight removes the appends that are on the replica's disk from the window.
func (p *progress) freeInflight() {
	for len(p.inflight) > 0 && p.inflight[0] <= p.match {
		p.inflight = p.inflight[1:]
	}
}

// recordRejected handles a rejection and reports whether it was not stale.
func (p *progress) recordRejected(previous, retry uint64) bool {
	switch {
	case p.state == ProgressSnapshot:
		return false
	case p.state == ProgressProbe && previous != p.next-1:
		return false
	case previous <= p.match:
		return false
	}
	p.becomeProbe(min(previous, retry+1))
	return true
}
