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

// The file beside the data file that names its last acknowledged transaction: 8
// bytes of the number and 8 of its checksum. It costs no sync of its own: a loss
// of power may take it back or away, and then says less, never too much.
const (
	acknowledgedFile  = "acknowledged"
	acknowledgedBytes = 16
)

// acknowledgements notes which transaction was last synced. Invariant: the number
// is written only after that transaction's sync.
type acknowledgements struct{ file *os.File }

func openAcknowledgements(folder string) (*acknowledgements, error) {
	file, err := os.OpenFile(filepath.Join(folder, acknowledgedFile), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	return &acknowledgements{file: file}, nil
}

// last is the number noted; 0 when there is none, or a torn one.
func (a *acknowledgements) last() (uint64, error) {
	raw := make([]byte, acknowledgedBytes)
	if _, err := a.file.ReadAt(raw, 0); errors.Is(err, io.EOF) {
		return 0, nil
	} else if err != nil {
		return 0, err
	}
	if binary.BigEndian.Uint64(raw[8:]) != xxhash.Sum64(raw[:8]) {
		return 0, nil
	}
	return binary.BigEndian.Uint64(raw), nil
}

func (a *acknowledgements) note(transaction uint64) error {
	raw := binary.BigEndian.AppendUint64(nil, transaction)
	raw = binary.BigEndian.AppendUint64(raw, xxhash.Sum64(raw))
	_, err := a.file.WriteAt(raw, 0)
	return err
}

// forget starts anew with a new data file.
func (a *acknowledgements) forget() error { return a.file.Truncate(0) }

func (a *acknowledgements) close() error {
	return errors.Join(a.file.Sync(), a.file.Close())
}

// update changes the data file, syncs it, and notes that.
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
	return d.acknowledged.note(uint64(number))
}

// missing tells whether there is no file of that name.
func missing(path string) bool {
	_, err := os.Stat(path)
	return errors.Is(err, fs.ErrNotExist)
}
