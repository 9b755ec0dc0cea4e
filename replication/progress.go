package replication

import "time"

// ProgressState tells how the leader sends to a replica.
type ProgressState string

// The states of progress.
const (
	ProgressProbe     ProgressState = "probe"     // one append at a time, to find where the logs part
	ProgressReplicate ProgressState = "replicate" // appends sent ahead of their answers
	ProgressSnapshot  ProgressState = "snapshot"  // waits until a snapshot is in force there
)

// progress is what the leader knows of a replica's log.
type progress struct {
	state     ProgressState
	match     uint64 // last entry known equal and on the replica's disk
	next      uint64 // first entry to send
	inflight  []uint64
	waiting   bool // in probe: an append is on its way
	active    bool // was heard since the last check of the quorum
	silent    bool // was not heard between the last two checks
	round     uint64
	snapshot  uint64    // index of the snapshot sent
	resendDue time.Time // of the snapshot
	lastSent  time.Time // an append, also an empty one
	commit    uint64    // that the last append carried
}

func (p *progress) probe(next uint64) {
	p.state, p.waiting, p.inflight = ProgressProbe, false, nil
	p.next = max(next, p.match+1)
}

func (p *progress) replicate(next uint64) {
	p.state, p.waiting, p.inflight = ProgressReplicate, false, nil
	p.next = max(next, p.match+1)
}

// mayAppend tells whether one more append may be on its way.
func (p *progress) mayAppend(maxInflight int) bool {
	switch p.state {
	case ProgressProbe:
		return !p.waiting
	case ProgressReplicate:
		return len(p.inflight) < maxInflight
	}
	return false
}

// sent notes an append with the given number of entries.
func (p *progress) sent(entries int) {
	switch {
	case p.state == ProgressProbe:
		p.waiting = true
	case entries > 0:
		p.next += uint64(entries)
		p.inflight = append(p.inflight, p.next-1)
	}
}

// accepted takes a positive answer: entries up to verified are equal, those up
// to match are also on disk there. It tells whether match grew.
func (p *progress) accepted(verified, match uint64) bool {
	grew := match > p.match
	p.match = max(p.match, match)
	p.free()
	switch p.state {
	case ProgressProbe:
		if grew || verified+1 >= p.next {
			p.replicate(verified + 1)
		}
	case ProgressSnapshot:
		if grew { // by this snapshot or an older one; what lacks is sent from here
			p.replicate(p.match + 1)
		}
	default:
		p.next = max(p.next, p.match+1)
	}
	return grew
}

// free forgets appends that are on the replica's disk.
func (p *progress) free() {
	for len(p.inflight) > 0 && p.inflight[0] <= p.match {
		p.inflight = p.inflight[1:]
	}
}

// refused takes a negative answer and tells whether it is news.
func (p *progress) refused(previous, retry uint64) bool {
	switch {
	case p.state == ProgressSnapshot:
		return false
	case p.state == ProgressProbe && previous != p.next-1:
		return false
	case previous <= p.match:
		return false
	}
	p.probe(min(previous, retry+1))
	return true
}
