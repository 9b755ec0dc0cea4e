package replication

// persistTracker tracks which entries are on disk and may be acknowledged. Index and
// term don't identify a write, as the same entry may be written, overwritten and written
// again before the first sync completes; therefore writes are tracked by sequence
// number.
type persistTracker struct {
	lastIssued    uint64 // sequence number of the last Persist
	lastSynced    uint64 // sequence number up to which all Persists are synced
	durableIndex  uint64 // index of the last entry of the current log that is on disk
	pending       []pendingAppend
	syncedAtCheck uint64 // lastSynced at the last call of stalled
	issuedAtCheck uint64 // lastIssued at the last call of stalled
}

// pendingAppend is a Persist of entries that is not yet synced.
type pendingAppend struct {
	sequence uint64
	last     uint64
}

func (d *persistTracker) nextSequence() uint64 {
	d.lastIssued++
	return d.lastIssued
}

// recordAppend records a Persist that replaces the log from first on, and returns its
// sequence number.
func (d *persistTracker) recordAppend(first, last uint64) uint64 {
	d.truncate(first)
	sequence := d.nextSequence()
	d.pending = append(d.pending, pendingAppend{sequence: sequence, last: last})
	return sequence
}

// truncate discards the entries from first on from all earlier writes.
func (d *persistTracker) truncate(first uint64) {
	d.durableIndex = min(d.durableIndex, first-1)
	for i := range d.pending {
		d.pending[i].last = min(d.pending[i].last, first-1)
	}
}

// recordReset records a Persist that replaces the whole log by a snapshot at index, and
// returns its sequence number.
func (d *persistTracker) recordReset(index uint64) uint64 {
	d.durableIndex, d.pending = 0, nil
	sequence := d.nextSequence()
	d.pending = append(d.pending, pendingAppend{sequence: sequence, last: index})
	return sequence
}

// stalled reports whether a write was already pending at the last call and nothing has
// been synced since.
func (d *persistTracker) stalled() bool {
	stalled := d.lastSynced == d.syncedAtCheck && len(d.pending) > 0 && d.pending[0].sequence <= d.issuedAtCheck
	d.syncedAtCheck, d.issuedAtCheck = d.lastSynced, d.lastIssued
	return stalled
}

// complete records that all writes up to sequence are synced, and reports whether the
// durable index advanced.
func (d *persistTracker) complete(sequence uint64) bool {
	if sequence > d.lastIssued || sequence <= d.lastSynced {
		return false
	}
	d.lastSynced = sequence
	before := d.durableIndex
	for len(d.pending) > 0 && d.pending[0].sequence <= sequence {
		d.durableIndex = max(d.durableIndex, d.pending[0].last)
		d.pending = d.pending[1:]
	}
	return d.durableIndex > before
}
