package store

import (
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

// verifyMetaPages refuses a file one of whose two meta pages is damaged. bbolt
// itself would go on from the other one, which is the transaction before: an
// acknowledged write would be gone without a word.
func verifyMetaPages(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	first, err := readMeta(file, 0)
	if err != nil {
		return err
	}
	size := int64(binary.NativeEndian.Uint32(first[metaPageSizeAt:]))
	if size < smallestPageBytes || size > largestPageBytes {
		return errMetaPage
	}
	second, err := readMeta(file, size)
	if err != nil {
		return err
	}
	newest := first
	if binary.NativeEndian.Uint64(second[metaTransactionAt:]) > binary.NativeEndian.Uint64(first[metaTransactionAt:]) {
		newest = second
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
