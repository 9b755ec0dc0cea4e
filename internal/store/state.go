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
	btreeDegree    = 32
	flushBytes     = 4 << 20 // unflushed state that triggers a flush
	recordOverhead = 64      // estimated bytes of memory per record besides its content
)

// record is a change of the applied state that is not on disk yet.
type record struct {
	key, value []byte
	deleted    bool
}

// layer is a set of changes over the state on disk. After a crash they are replayed from the
// log, so they need no sync of their own.
type layer struct {
	tree     *btree.BTreeG[record]
	bytes    int
	position position // applied position including this layer
	dirty    bool     // the position has advanced
}

func newLayer(at position) *layer {
	less := func(a, b record) bool { return bytes.Compare(a.key, b.key) < 0 }
	return &layer{tree: btree.NewG(btreeDegree, less), position: at}
}

// state is the applied state of one group: a jobs.Storage whose changes are flushed in log
// order with syncs that happen anyway, together with their position. An Update is therefore
// not on disk when it returns, but its log entry is, on a quorum.
type state struct {
	database *database
	group    api.GroupID

	mutex    sync.Mutex // guards all below
	active   *layer
	flushing *layer // being written; nil if none
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

// position returns the applied position.
func (s *state) position() position {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.active.position
}

// advance sets the applied position; it is flushed with the changes before it.
func (s *state) advance(to position) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	to.Generation = s.active.position.Generation
	s.active.position = to
	s.active.dirty = true
}

// install replaces the state by a received one, whose records are already on disk.
func (s *state) install(at position) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.active = newLayer(at)
	s.flushing = nil
}

// needsFlush reports whether the unflushed changes have reached flushBytes.
func (s *state) needsFlush() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.active.bytes >= flushBytes
}

// dirty reports whether there is anything to flush.
func (s *state) dirty() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.active.dirty
}

// flush writes the pending changes within the caller's transaction and returns the layer to
// pass to flushed after the commit; nil if there is nothing to write.
func (s *state) flush(records *sealedBucket) (*layer, error) {
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

func (l *layer) write(records *sealedBucket) error {
	if err := l.writeRecords(records); err != nil {
		return err
	}
	return putJSON(records, keyApplied, l.position)
}

func (l *layer) writeRecords(records *sealedBucket) error {
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

// flushed completes a layer whose transaction has been committed.
func (s *state) flushed(written *layer) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if written != nil && s.flushing == written {
		s.flushing = nil
		s.written = written.position.Index
	}
}

// onDisk returns the log index up to which the applied state is on disk.
func (s *state) onDisk() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.written
}

// View reads one consistent version.
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

// Update applies all changes or none. Only the group's actor calls it.
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
		s.active.bytes += len(change.key) + len(change.value) + recordOverhead
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
