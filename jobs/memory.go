package jobs

import (
	"bytes"
	"sync"

	"github.com/google/btree"
)

const btreeDegree = 32

type pair struct{ key, value []byte }

// MemoryStorage is an in-memory Storage for tests, the simulator and embedding without
// a disk. It is safe for concurrent use.
type MemoryStorage struct {
	updateMutex sync.Mutex   // serializes Update
	mutex       sync.RWMutex // guards tree
	tree        *btree.BTreeG[pair]
}

// NewMemoryStorage returns an empty MemoryStorage.
func NewMemoryStorage() *MemoryStorage {
	less := func(a, b pair) bool { return bytes.Compare(a.key, b.key) < 0 }
	return &MemoryStorage{tree: btree.NewG(btreeDegree, less)}
}

// Clone returns an independent copy.
func (m *MemoryStorage) Clone() *MemoryStorage { return &MemoryStorage{tree: m.snapshot()} }

func (m *MemoryStorage) snapshot() *btree.BTreeG[pair] {
	m.mutex.Lock() // Clone modifies the tree
	defer m.mutex.Unlock()
	return m.tree.Clone()
}

// View runs read on a snapshot.
func (m *MemoryStorage) View(read func(Reader) error) error {
	return read(memoryTransaction{tree: m.snapshot()})
}

// Update runs change on a copy, which replaces the contents if change succeeds.
func (m *MemoryStorage) Update(change func(Writer) error) error {
	m.updateMutex.Lock()
	defer m.updateMutex.Unlock()
	next := m.snapshot()
	if err := change(memoryTransaction{tree: next}); err != nil {
		return err
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.tree = next
	return nil
}

type memoryTransaction struct{ tree *btree.BTreeG[pair] }

func (t memoryTransaction) Get(key []byte) []byte {
	found, ok := t.tree.Get(pair{key: key})
	if !ok {
		return nil
	}
	return found.value
}

func (t memoryTransaction) Scan(from []byte, visit func(key, value []byte) bool) {
	t.tree.AscendGreaterOrEqual(pair{key: from}, func(found pair) bool { return visit(found.key, found.value) })
}

func (t memoryTransaction) Put(key, value []byte) {
	t.tree.ReplaceOrInsert(pair{key: bytes.Clone(key), value: append([]byte{}, value...)})
}

func (t memoryTransaction) Delete(key []byte) { t.tree.Delete(pair{key: key}) }
