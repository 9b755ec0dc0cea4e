package store

import (
	"bytes"
	"encoding/binary"
	"sync"

	"github.com/google/btree"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/jobs"
)

const (
	btreeDegree     = 32
	flushBytes      = 4 << 20 // applied state in memory that asks for a flush
	recordOverheads = 64      // bytes of memory a record costs beside its content
)

// record is a change of the applied state that is not on disk yet.
type record struct {
	key, value []byte
	deleted    bool
}

// layer is a set of changes over the state on disk. The log can make them again
// after a crash, so they cost no sync of their own.
type layer struct {
	tree     *btree.BTreeG[record]
	bytes    int
	position position // what the state is applied up to, with this layer
	dirty    bool     // the position has moved
}

func newLayer(at position) *layer {
	less := func(a, b record) bool { return bytes.Compare(a.key, b.key) < 0 }
	return &layer{tree: btree.NewG(btreeDegree, less), position: at}
}

// state is the applied state of one group: a jobs.Storage whose changes go to
// disk in the order of the log, with syncs that happen anyway, each together
// with the position that it belongs to. An Update is therefore not on disk when
// it returns; the entry that asked for it is, on a quorum.
type state struct {
	database *database
	group    api.GroupID

	mutex    sync.Mutex // guards all below
	active   *layer
	flushing *layer // being written; nil when none is
	written  uint64 // index up to which the state is on disk
}

func newState(database *database, group api.GroupID, applied position) *state {
	return &state{database: database, group: group, active: newLayer(applied), written: applied.Index}
}

func generationPrefix(generation uint64) []byte {
	return binary.BigEndian.AppendUint64([]byte{prefixState}, generation)
}

func stateKey(generation uint64, key []byte) []byte {
	return append(generationPrefix(generation), key...)
}

// position is what the state is applied up to.
func (s *state) position() position {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.active.position
}

// advance moves the position; it goes to disk with the changes before it.
func (s *state) advance(to position) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	to.Generation = s.active.position.Generation
	s.active.position = to
	s.active.dirty = true
}

// install goes on from a state that was received whole; its records are on disk.
func (s *state) install(at position) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.active = newLayer(at)
	s.flushing = nil
}

// wantsFlush tells whether much is only in memory.
func (s *state) wantsFlush() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.active.bytes >= flushBytes
}

// dirty tells whether anything is only in memory.
func (s *state) dirty() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.active.dirty
}

// flush writes the changes so far within the caller's transaction and gives the
// layer that flushed then ends; nil when there is nothing to write.
func (s *state) flush(records *ledger) (*layer, error) {
	s.mutex.Lock()
	if s.flushing == nil && s.active.dirty {
		s.flushing = s.active
		s.active = newLayer(s.flushing.position)
	}
	flushing := s.flushing
	s.mutex.Unlock()
	if flushing == nil {
		return nil, nil
	}
	return flushing, flushing.write(records)
}

func (l *layer) write(records *ledger) error {
	if err := l.writeRecords(records); err != nil {
		return err
	}
	return putJSON(records, keyApplied, l.position)
}

func (l *layer) writeRecords(records *ledger) error {
	var failure error
	l.tree.Ascend(func(change record) bool {
		key := stateKey(l.position.Generation, change.key)
		if change.deleted {
			failure = records.remove(key)
		} else {
			failure = records.put(key, change.value)
		}
		return failure == nil
	})
	return failure
}

// flushed ends a layer whose transaction is on disk.
func (s *state) flushed(written *layer) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if written != nil && s.flushing == written {
		s.flushing = nil
		s.written = written.position.Index
	}
}

// onDisk is the index up to which the applied state is on disk.
func (s *state) onDisk() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.written
}

// View reads one version.
func (s *state) View(read func(jobs.Reader) error) error {
	v, err := s.begin()
	if err != nil {
		return err
	}
	defer v.end()
	if err := read(v); err != nil {
		return err
	}
	return v.failure
}

// Update changes all or nothing. Only the group's actor calls it.
func (s *state) Update(change func(jobs.Writer) error) error {
	v, err := s.begin()
	if err != nil {
		return err
	}
	defer v.end()
	writes := newLayer(v.position)
	v.layers = append([]*btree.BTreeG[record]{writes.tree}, v.layers...)
	if err := change(v); err != nil {
		return err
	}
	if v.failure != nil {
		return v.failure
	}
	s.merge(writes)
	return nil
}

func (s *state) merge(writes *layer) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	writes.tree.Ascend(func(change record) bool {
		s.active.tree.ReplaceOrInsert(change)
		s.active.bytes += len(change.key) + len(change.value) + recordOverheads
		return true
	})
}

func (s *state) begin() (*version, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	transaction, err := s.database.bolt.Begin(false)
	if err != nil {
		return nil, err
	}
	v := &version{transaction: transaction, bucket: groupBucket(transaction, s.group), position: s.active.position}
	v.layers = append(v.layers, s.active.tree.Clone())
	if s.flushing != nil {
		v.layers = append(v.layers, s.flushing.tree.Clone())
	}
	return v, nil
}
