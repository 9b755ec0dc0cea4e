package store

import (
	"bytes"

	"github.com/google/btree"
	"go.etcd.io/bbolt"
)

// version is a consistent view of a state: layers of changes over the records on disk. In
// an Update the newest layer takes the changes.
type version struct {
	transaction *bbolt.Tx
	bucket      *bbolt.Bucket
	position    position
	layers      []*btree.BTreeG[record] // newest first
	failure     error                   // the first record that could not be read
}

func (v *version) end() { _ = v.transaction.Rollback() }

// Get returns the value of key; nil if there is none.
func (v *version) Get(key []byte) []byte {
	for _, layer := range v.layers {
		if found, ok := layer.Get(record{key: key}); ok {
			if found.deleted {
				return nil
			}
			return found.value
		}
	}
	diskKey := stateKey(v.position.Generation, key)
	sealed := v.bucket.Get(diskKey)
	if sealed == nil {
		return nil
	}
	return v.unseal(diskKey, sealed)
}

func (v *version) unseal(diskKey, sealed []byte) []byte {
	value, err := openRecord(diskKey, sealed)
	if err != nil && v.failure == nil {
		v.failure = err
	}
	return value
}

// Put sets a value. It may only be called within an Update.
func (v *version) Put(key, value []byte) {
	v.layers[0].ReplaceOrInsert(record{key: bytes.Clone(key), value: append([]byte{}, value...)})
}

// Delete removes a key. It may only be called within an Update.
func (v *version) Delete(key []byte) {
	v.layers[0].ReplaceOrInsert(record{key: bytes.Clone(key), deleted: true})
}

// Scan visits the keys from from on in order until visit returns false. Concurrent changes
// may or may not be visited.
func (v *version) Scan(from []byte, visit func(key, value []byte) bool) {
	sources := make([]*source, 0, len(v.layers)+1)
	for _, layer := range v.layers {
		sources = append(sources, &source{next: nextInLayer(layer)})
	}
	sources = append(sources, &source{next: v.nextOnDisk()})
	for _, source := range sources {
		source.advance(from)
	}
	for {
		smallest := pickSmallest(sources)
		if smallest == nil {
			return
		}
		found := smallest.current
		if !found.deleted && !visit(found.key, found.value) {
			return
		}
		for _, source := range sources {
			if source.valid && bytes.Equal(source.current.key, found.key) {
				source.advance(append(bytes.Clone(found.key), 0))
			}
		}
	}
}

// source is one sorted input of a scan's merge.
type source struct {
	next    func(from []byte) (record, bool)
	current record
	valid   bool
}

func (s *source) advance(from []byte) { s.current, s.valid = s.next(from) }

// pickSmallest returns the source with the smallest key, the newest one on a tie; nil if all
// are exhausted.
func pickSmallest(sources []*source) *source {
	var smallest *source
	for _, source := range sources {
		if source.valid && (smallest == nil || bytes.Compare(source.current.key, smallest.current.key) < 0) {
			smallest = source
		}
	}
	return smallest
}

func nextInLayer(layer *btree.BTreeG[record]) func([]byte) (record, bool) {
	return func(from []byte) (found record, ok bool) {
		layer.AscendGreaterOrEqual(record{key: from}, func(first record) bool {
			found, ok = first, true
			return false
		})
		return found, ok
	}
}

// nextOnDisk iterates over the records of the state's generation, without their prefix.
func (v *version) nextOnDisk() func([]byte) (record, bool) {
	prefix := generationPrefix(v.position.Generation)
	cursor := v.bucket.Cursor()
	started := false
	return func(from []byte) (record, bool) {
		var key, sealed []byte
		if started {
			key, sealed = cursor.Next()
		} else {
			key, sealed = cursor.Seek(append(bytes.Clone(prefix), from...))
			started = true
		}
		if !bytes.HasPrefix(key, prefix) {
			return record{}, false
		}
		return record{key: key[len(prefix):], value: v.unseal(key, sealed)}, true
	}
}
