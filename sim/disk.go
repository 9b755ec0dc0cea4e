package sim

// Disk is a process's disk: what was written but not synced is lost in a crash.
// T is copied by the owner's clone function, so that disk and memory share
// nothing.
type Disk[T any] struct {
	clone  func(T) T
	synced T
	latest T
	dirty  bool
	lost   bool
}

// NewDisk holds the initial value as synced.
func NewDisk[T any](initial T, clone func(T) T) *Disk[T] {
	return &Disk[T]{clone: clone, synced: clone(initial), latest: clone(initial)}
}

// Write changes the value without syncing it.
func (d *Disk[T]) Write(change func(*T)) {
	change(&d.latest)
	d.dirty = true
}

// Sync makes what was written last through a crash.
func (d *Disk[T]) Sync() {
	if d.dirty {
		d.synced = d.clone(d.latest)
		d.dirty = false
	}
}

// Crash loses what was not synced.
func (d *Disk[T]) Crash() {
	d.latest = d.clone(d.synced)
	d.dirty = false
}

// Lose replaces the disk by a new one with the initial value.
func (d *Disk[T]) Lose(initial T) {
	d.synced, d.latest = d.clone(initial), d.clone(initial)
	d.dirty, d.lost = false, true
}

// Read gives a copy of the value, for a restart.
func (d *Disk[T]) Read() T { return d.clone(d.latest) }

// Lost tells whether the disk was ever replaced.
func (d *Disk[T]) Lost() bool { return d.lost }
