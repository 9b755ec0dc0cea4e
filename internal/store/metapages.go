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
	pageHeaderBytes   = 16
	metaChecksumAt    = 56
	metaBytes         = metaChecksumAt + 8
	metaPageSizeAt    = 8
	metaHighWaterAt   = 40
	metaTransactionAt = 48
	smallestPageBytes = 512
	largestPageBytes  = 1 << 20
)

var (
	errMetaPage = errors.New("a meta page's checksum does not match")
	errCutOff   = errors.New("the data file is cut off")
)

// verifyMetaPages refuses a file whose newest acknowledged meta page is damaged.
// bbolt itself would go on from the other one, which is the transaction before: an
// acknowledged write would be gone without a word. A page that is damaged while
// the other one holds all that was acknowledged was torn by a loss of power in the
// middle of a transaction that nobody was told of: the file is whole without it.
func verifyMetaPages(path string, acknowledged uint64) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	size := int64(os.Getpagesize())
	first, firstErr := readMeta(file, 0)
	if firstErr == nil {
		size = int64(binary.NativeEndian.Uint32(first[metaPageSizeAt:]))
	}
	if size < smallestPageBytes || size > largestPageBytes {
		return errMetaPage
	}
	second, secondErr := readMeta(file, size)
	newest, err := newestMeta(first, firstErr, second, secondErr)
	if err != nil {
		return err
	}
	if binary.NativeEndian.Uint64(newest[metaTransactionAt:]) < acknowledged {
		return fmt.Errorf("transaction %d was acknowledged: %w", acknowledged, cmp.Or(firstErr, secondErr, errMetaPage))
	}
	info, err := file.Stat()
	if err != nil {
		return err
	}
	if info.Size() < size*int64(binary.NativeEndian.Uint64(newest[metaHighWaterAt:])) {
		return errCutOff
	}
	return nil
}

// newestMeta is the undamaged page of the later transaction. Two damaged ones, or
// a file that ends before a page, are an error.
func newestMeta(first []byte, firstErr error, second []byte, secondErr error) ([]byte, error) {
	if errors.Is(firstErr, errCutOff) || errors.Is(secondErr, errCutOff) {
		return nil, errCutOff
	}
	switch {
	case firstErr != nil && secondErr != nil:
		return nil, firstErr
	case firstErr != nil:
		return second, nil
	case secondErr != nil:
		return first, nil
	case binary.NativeEndian.Uint64(second[metaTransactionAt:]) > binary.NativeEndian.Uint64(first[metaTransactionAt:]):
		return second, nil
	}
	return first, nil
}

func readMeta(file *os.File, offset int64) ([]byte, error) {
	raw := make([]byte, metaBytes)
	if _, err := file.ReadAt(raw, offset+pageHeaderBytes); err != nil {
		if errors.Is(err, io.EOF) {
			err = errCutOff
		}
		return nil, fmt.Errorf("meta page at byte %d: %w", offset, err)
	}
	digest := fnv.New64a()
	_, _ = digest.Write(raw[:metaChecksumAt])
	if digest.Sum64() != binary.NativeEndian.Uint64(raw[metaChecksumAt:]) {
		return nil, fmt.Errorf("meta page at byte %d: %w", offset, errMetaPage)
	}
	return raw, nil
}
