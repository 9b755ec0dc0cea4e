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

// A snapshot is a stream of pairs, each with two lengths before it, then two
// zero lengths and a checksum of all before it.
const (
	snapshotHeader   = 8 // bytes of the two lengths
	snapshotPiece    = 1 << 20
	maximumPairBytes = 64 << 20
)

var importingKey = []byte{keyMeta, 'i'}

// ErrBadSnapshot says that a snapshot is cut off or changed.
var ErrBadSnapshot = errors.New("the snapshot is not whole")

// WriteSnapshot writes one version of the whole state, in bounded memory, and
// gives the index that it was applied up to.
func (s *State) WriteSnapshot(w io.Writer) (index uint64, err error) {
	digest := xxhash.New()
	buffered := bufio.NewWriterSize(w, snapshotPiece)
	out := io.MultiWriter(buffered, digest)
	err = s.storage.View(func(r Reader) error {
		index = appliedIndex(r)
		var failed error
		r.Scan(nil, func(key, value []byte) bool {
			failed = writePair(out, key, value)
			return failed == nil
		})
		return failed
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

// ReadSnapshot replaces all that the storage holds by a snapshot and opens it.
// It takes bounded memory and several transactions; when it is interrupted or
// the snapshot is not whole, OpenState refuses the storage until another
// ReadSnapshot ends well.
func ReadSnapshot(storage Storage, r io.Reader) (*State, error) {
	if err := clearStorage(storage); err != nil {
		return nil, fmt.Errorf("read snapshot: %w", err)
	}
	digest := xxhash.New()
	buffered := bufio.NewReaderSize(r, snapshotPiece)
	for end := false; !end; {
		err := storage.Update(func(w Writer) (err error) {
			end, err = readPiece(w, buffered, digest)
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

// readPiece takes pairs until a piece is full or the stream ends.
func readPiece(w Writer, r io.Reader, digest hash.Hash) (end bool, err error) {
	in := io.TeeReader(r, digest)
	for size := 0; size < snapshotPiece; {
		header := make([]byte, snapshotHeader)
		if _, err := io.ReadFull(in, header); err != nil {
			return false, fmt.Errorf("%w: %w", ErrBadSnapshot, err)
		}
		keyLength, valueLength := binary.BigEndian.Uint32(header), binary.BigEndian.Uint32(header[4:])
		if keyLength == 0 {
			return true, nil
		}
		if uint64(keyLength)+uint64(valueLength) > maximumPairBytes {
			return false, fmt.Errorf("%w: a pair of %d bytes", ErrBadSnapshot, uint64(keyLength)+uint64(valueLength))
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

// clearStorage empties the storage and marks it as being read into.
func clearStorage(storage Storage) error {
	for more := true; more; {
		err := storage.Update(func(w Writer) error {
			var keys [][]byte
			w.Scan(nil, func(key, _ []byte) bool {
				keys = append(keys, bytes.Clone(key))
				return len(keys) < maximumDeleted
			})
			more = len(keys) == maximumDeleted
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
