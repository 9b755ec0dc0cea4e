package jobs

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash"
	"io"

	"github.com/cespare/xxhash/v2"
)

// A snapshot is a sequence of key-value pairs, each preceded by the lengths of its key
// and value, followed by two zero lengths and a checksum of all preceding bytes.
const (
	snapshotHeader = 8 // size of the two lengths
	snapshotChunk  = 1 << 20
	maxPairBytes   = 64 << 20
)

var importingKey = []byte{keyMeta, 'i'}

// ErrBadSnapshot is returned for a truncated or corrupted snapshot.
var ErrBadSnapshot = errors.New("snapshot is truncated or corrupted")

// WriteSnapshot writes a consistent snapshot of the state, using bounded memory, and
// returns the index of the last entry applied to it.
func (s *State) WriteSnapshot(w io.Writer) (index uint64, err error) {
	digest := xxhash.New()
	buffered := bufio.NewWriterSize(w, snapshotChunk)
	out := io.MultiWriter(buffered, digest)
	err = s.storage.View(func(r Reader) error {
		index = appliedIndex(r)
		var scanErr error
		r.Scan(nil, func(key, value []byte) bool {
			scanErr = writePair(out, key, value)
			return scanErr == nil
		})
		return scanErr
	})
	if err != nil {
		return 0, fmt.Errorf("write snapshot: %w", err)
	}
	if err := writePair(out, nil, nil); err != nil {
		return 0, fmt.Errorf("write snapshot: %w", err)
	}
	if _, err := buffered.Write(digest.Sum(nil)); err != nil {
		return 0, fmt.Errorf("write snapshot: %w", err)
	}
	return index, buffered.Flush()
}

func writePair(w io.Writer, key, value []byte) error {
	header := binary.BigEndian.AppendUint32(nil, uint32(len(key)))
	header = binary.BigEndian.AppendUint32(header, uint32(len(value)))
	for _, part := range [][]byte{header, key, value} {
		if _, err := w.Write(part); err != nil {
			return err
		}
	}
	return nil
}

// ReadSnapshot replaces the contents of the storage with a snapshot and opens the
// resulting state. It uses bounded memory and several transactions. If it is
// interrupted or fails, OpenState rejects the storage until a later ReadSnapshot
// succeeds. A truncated or corrupted snapshot gives an error that wraps ErrBadSnapshot.
func ReadSnapshot(storage Storage, r io.Reader) (*State, error) {
	if err := clearStorage(storage); err != nil {
		return nil, fmt.Errorf("read snapshot: %w", err)
	}
	digest := xxhash.New()
	buffered := bufio.NewReaderSize(r, snapshotChunk)
	for end := false; !end; {
		err := storage.Update(func(w Writer) (err error) {
			end, err = readChunk(w, buffered, digest)
			return err
		})
		if err != nil {
			return nil, fmt.Errorf("read snapshot: %w", err)
		}
	}
	if err := checkDigest(buffered, digest); err != nil {
		return nil, fmt.Errorf("read snapshot: %w", err)
	}
	err := storage.Update(func(w Writer) error {
		w.Delete(importingKey)
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("read snapshot: %w", err)
	}
	return OpenState(storage)
}

func checkDigest(r io.Reader, digest hash.Hash) error {
	sum := make([]byte, digest.Size())
	if _, err := io.ReadFull(r, sum); err != nil || !bytes.Equal(sum, digest.Sum(nil)) {
		return ErrBadSnapshot
	}
	return nil
}

// readChunk stores pairs until a chunk is full, and reports whether the snapshot has
// ended.
func readChunk(w Writer, r io.Reader, digest hash.Hash) (end bool, err error) {
	in := io.TeeReader(r, digest)
	for size := 0; size < snapshotChunk; {
		header := make([]byte, snapshotHeader)
		if _, err := io.ReadFull(in, header); err != nil {
			return false, fmt.Errorf("%w: %w", ErrBadSnapshot, err)
		}
		keyLength, valueLength := binary.BigEndian.Uint32(header), binary.BigEndian.Uint32(header[4:])
		if keyLength == 0 {
			return true, nil
		}
		if uint64(keyLength)+uint64(valueLength) > maxPairBytes {
			return false, fmt.Errorf("%w: key and value have %d bytes", ErrBadSnapshot, uint64(keyLength)+uint64(valueLength))
		}
		pair := make([]byte, keyLength+valueLength)
		if _, err := io.ReadFull(in, pair); err != nil {
			return false, fmt.Errorf("%w: %w", ErrBadSnapshot, err)
		}
		w.Put(pair[:keyLength], pair[keyLength:])
		size += len(pair)
	}
	return false, nil
}

// clearStorage deletes all keys and marks the storage as an incomplete import.
func clearStorage(storage Storage) error {
	for more := true; more; {
		err := storage.Update(func(w Writer) error {
			var keys [][]byte
			w.Scan(nil, func(key, _ []byte) bool {
				keys = append(keys, bytes.Clone(key))
				return len(keys) < maxDeleted
			})
			more = len(keys) == maxDeleted
			for _, key := range keys {
				w.Delete(key)
			}
			w.Put(importingKey, []byte{1})
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}
