package store

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"os"
)

// Layout of the two meta pages of a bbolt file, format version 2: a page header
// of 16 bytes, then magic, version, page size and flags of 4 bytes each, the
// root bucket of 16, and freelist, high-water page, transaction and checksum
// (FNV-1a of all before it) of 8 bytes each, in the machine's byte order.
const (
	pageHeaderBytes       = 16
	metaChecksumOffset    = 56
	metaBytes             = metaChecksumOffset + 8
	metaPageSizeOffset    = 8
	metaHighWaterOffset   = 40
	metaTransactionOffset = 48
	minPageBytes          = 512
	maxPageBytes          = 1 << 20
)

var (
	errMetaPage  = errors.New("meta page checksum mismatch")
	errTruncated = errors.New("data file truncated")
)

// verifyMetaPages returns an error if the file is truncated or its newest undamaged meta page
// is older than the acknowledged transaction. bbolt would silently fall back to that page,
// losing an acknowledged write. A damaged page of a newer, unacknowledged transaction, torn by
// a power loss, is harmless.
func verifyMetaPages(path string, acknowledged uint64) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	size := int64(os.Getpagesize())
	first, firstErr := readMeta(file, 0)
	if firstErr == nil {
		size = int64(binary.NativeEndian.Uint32(first[metaPageSizeOffset:]))
	}
	if size < minPageBytes || size > maxPageBytes {
		return errMetaPage
	}
	second, secondErr := readMeta(file, size)
	newest, err := newestMeta(first, firstErr, second, secondErr)
	if err != nil {
		return err
	}
	if binary.NativeEndian.Uint64(newest[metaTransactionOffset:]) < acknowledged {
		return fmt.Errorf("transaction %d was acknowledged: %w", acknowledged, cmp.Or(firstErr, secondErr, errMetaPage))
	}
	info, err := file.Stat()
	if err != nil {
		return err
	}
	if info.Size() < size*int64(binary.NativeEndian.Uint64(newest[metaHighWaterOffset:])) {
		return errTruncated
	}
	return nil
}

// newestMeta returns the undamaged page with the higher transaction ID. It fails if both are
// damaged or the file is truncated.
func newestMeta(first []byte, firstErr error, second []byte, secondErr error) ([]byte, error) {
	if errors.Is(firstErr, errTruncated) || errors.Is(secondErr, errTruncated) {
		return nil, errTruncated
	}
	switch {
	case firstErr != nil && secondErr != nil:
		return nil, firstErr
	case firstErr != nil:
		return second, nil
	case secondErr != nil:
		return first, nil
	case binary.NativeEndian.Uint64(second[metaTransactionOffset:]) > binary.NativeEndian.Uint64(first[metaTransactionOffset:]):
		return second, nil
	}
	return first, nil
}

func readMeta(file *os.File, offset int64) ([]byte, error) {
	raw := make([]byte, metaBytes)
	if _, err := file.ReadAt(raw, offset+pageHeaderBytes); err != nil {
		if errors.Is(err, io.EOF) {
			err = errTruncated
		}
		return nil, fmt.Errorf("meta page at byte %d: %w", offset, err)
	}
	digest := fnv.New64a()
	_, _ = digest.Write(raw[:metaChecksumOffset])
	if digest.Sum64() != binary.NativeEndian.Uint64(raw[metaChecksumOffset:]) {
		return nil, fmt.Errorf("meta page at byte %d: %w", offset, errMetaPage)
	}
	return raw, nil
}
