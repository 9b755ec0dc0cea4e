package store

import (
	"encoding/binary"
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/bbolt"
)

// The commit marker file lies beside the data file and holds the ID of its last
// acknowledged transaction: 8 bytes of ID and 8 of checksum, big endian. It is not
// synced: after a power loss it may name an older transaction or none, never a newer one.
const (
	commitMarkerFile  = "acknowledged"
	commitMarkerBytes = 16
)

// commitMarker records which transaction was last synced. Invariant: an ID is written
// only after that transaction's sync.
type commitMarker struct{ file *os.File }

func openCommitMarker(folder string) (*commitMarker, error) {
	file, err := os.OpenFile(filepath.Join(folder, commitMarkerFile), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	return &commitMarker{file: file}, nil
}

// last returns the recorded ID; 0 if there is none or its checksum is wrong.
func (m *commitMarker) last() (uint64, error) {
	raw := make([]byte, commitMarkerBytes)
	if _, err := m.file.ReadAt(raw, 0); errors.Is(err, io.EOF) {
		return 0, nil
	} else if err != nil {
		return 0, err
	}
	if binary.BigEndian.Uint64(raw[8:]) != xxhash.Sum64(raw[:8]) {
		return 0, nil
	}
	return binary.BigEndian.Uint64(raw), nil
}

func (m *commitMarker) record(transaction uint64) error {
	raw := binary.BigEndian.AppendUint64(nil, transaction)
	raw = binary.BigEndian.AppendUint64(raw, xxhash.Sum64(raw))
	_, err := m.file.WriteAt(raw, 0)
	return err
}

// reset clears the marker for a new data file.
func (m *commitMarker) reset() error { return m.file.Truncate(0) }

func (m *commitMarker) close() error {
	return errors.Join(m.file.Sync(), m.file.Close())
}

// update commits a transaction, syncs it and records its ID in the commit marker.
func (d *database) update(change func(*bbolt.Tx) error) error {
	number := 0
	err := d.bolt.Update(func(transaction *bbolt.Tx) error {
		number = transaction.ID()
		return change(transaction)
	})
	if err != nil {
		return err
	}
	if d.hooks.skipSync {
		return nil
	}
	if d.hooks.synced != nil {
		d.hooks.synced()
	}
	return d.marker.record(uint64(number))
}

// missing reports whether the file does not exist.
func missing(path string) bool {
	_, err := os.Stat(path)
	return errors.Is(err, fs.ErrNotExist)
}
