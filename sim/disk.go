package sim

// Disk simulates a disk: a crash loses the writes that are not synced. Values are copied
// with the owner's clone function, so that disk and memory share no state.
type Disk[T any] struct {
	clone    func(T) T
	synced   T
	latest   T
	dirty    bool
	replaced bool
}

// NewDisk returns a disk that holds the initial value as synced.
func NewDisk[T any](initial T, clone func(T) T) *Disk[T] {
	return &Disk[T]{clone: clone, synced: clone(initial), latest: clone(initial)}
}

// Write changes the value without syncing it.
func (d *Disk[T]) Write(change func(*T)) {
	change(&d.latest)
	d.dirty = true
}

// Sync makes all previous writes durable.
func (d *Disk[T]) Sync() {
	if d.dirty {
		d.synced = d.clone(d.latest)
		d.dirty = false
	}
}

// Crash discards the writes that are not synced.
func (d *Disk[T]) Crash() {
	d.latest = d.clone(d.synced)
	d.dirty = false
}

// Replace replaces the disk by a new one with the initial value.
func (d *Disk[T]) Replace(initial T) {
	d.synced, d.latest = d.clone(initial), d.clone(initial)
	d.dirty, d.replaced = false, true
}

// Read returns a copy of the latest value.
func (d *Disk[T]) Read() T { return d.clone(d.latest) }

// Replaced reports whether the disk was ever replaced.
func (d *Disk[T]) Replaced() bool { return d.replaced }
