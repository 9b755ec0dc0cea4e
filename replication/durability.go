package replication

// durability tracks which writes are on disk. Only what is on disk may be
// acknowledged; index and term alone would not do, as the same entry can be
// written, overwritten and written again while the first sync still runs.
type durability struct {
	issued      uint64 // sequence of the last Persist
	synced      uint64 // sequence up to which Persists are on disk
	index       uint64 // last entry of the present log on disk
	waiting     []write
	checked     uint64 // synced at the last call of stalled
	lastChecked uint64 // issued then
}

// write is a Persist of entries that is not yet known to be on disk.
type write struct {
	sequence uint64
	last     uint64
}

func (d *durability) next() uint64 {
	d.issued++
	return d.issued
}

// entries notes that a Persist replaces the log from first on.
func (d *durability) entries(first, last uint64) uint64 {
	d.forget(first)
	sequence := d.next()
	d.waiting = append(d.waiting, write{sequence: sequence, last: last})
	return sequence
}

// forget takes back what earlier writes promise from first on.
func (d *durability) forget(first uint64) {
	d.index = min(d.index, first-1)
	for i := range d.waiting {
		d.waiting[i].last = min(d.waiting[i].last, first-1)
	}
}

// reset notes that a Persist replaces the whole log by a snapshot.
func (d *durability) reset(index uint64) uint64 {
	d.index, d.waiting = 0, nil
	sequence := d.next()
	d.waiting = append(d.waiting, write{sequence: sequence, last: index})
	return sequence
}

// stalled tells whether entries wait and nothing was synced since the last call.
func (d *durability) stalled() bool {
	still := d.synced == d.checked && len(d.waiting) > 0 && d.waiting[0].sequence <= d.lastChecked
	d.checked, d.lastChecked = d.synced, d.issued
	return still
}

// complete takes the shell's answer and tells whether more of the log is on disk.
func (d *durability) complete(sequence uint64) bool {
	if sequence > d.issued || sequence <= d.synced {
		return false
	}
	d.synced = sequence
	before := d.index
	for len(d.waiting) > 0 && d.waiting[0].sequence <= sequence {
		d.index = max(d.index, d.waiting[0].last)
		d.waiting = d.waiting[1:]
	}
	return d.index > before
}
