package store

import (
	"encoding/binary"
	"errors"
	"hash/crc32"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/bbolt"
)

const checksumBytes = 4

var (
	errChecksum  = errors.New("checksum does not match")
	errRecordSum = errors.New("records are missing or outdated")

	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// sealRecord prepends a checksum over key and value to the value, so that a value found
// under another key is invalid.
func sealRecord(key, value []byte) []byte {
	sealed := make([]byte, checksumBytes, checksumBytes+len(value))
	binary.BigEndian.PutUint32(sealed, checksum(key, value))
	return append(sealed, value...)
}

// openRecord verifies a sealed record and returns its value, which aliases sealed.
func openRecord(key, sealed []byte) ([]byte, error) {
	if len(sealed) < checksumBytes {
		return nil, errChecksum
	}
	value := sealed[checksumBytes:]
	if binary.BigEndian.Uint32(sealed) != checksum(key, value) {
		return nil, errChecksum
	}
	return value, nil
}

func checksum(key, value []byte) uint32 {
	return crc32.Update(crc32.Checksum(key, castagnoli), castagnoli, value)
}

// recordSum is an order-independent sum over all records of a bucket, stored with them. It
// detects missing and outdated records, which the checksums of single records can't.
type recordSum struct {
	Sum   uint64
	Count uint64
}

func recordHash(key, sealed []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.Write(key)
	_, _ = digest.Write(sealed)
	return digest.Sum64()
}

func (s *recordSum) add(key, sealed []byte) {
	s.Sum += recordHash(key, sealed)
	s.Count++
}

func (s *recordSum) remove(key, sealed []byte) {
	s.Sum -= recordHash(key, sealed)
	s.Count--
}

func (s *recordSum) encode() []byte {
	raw := binary.BigEndian.AppendUint64(nil, s.Sum)
	return binary.BigEndian.AppendUint64(raw, s.Count)
}

func decodeSum(raw []byte) (recordSum, error) {
	const size = 16
	if len(raw) != size {
		return recordSum{}, errChecksum
	}
	return recordSum{Sum: binary.BigEndian.Uint64(raw), Count: binary.BigEndian.Uint64(raw[8:])}, nil
}

// keySum is the key of the sum, the only record not included in it.
var keySum = []byte("z/sum")

// sealedBucket writes checksummed records of one bucket within one transaction and updates
// their sum. Create it with openSealedBucket; close stores the sum.
type sealedBucket struct {
	bucket *bbolt.Bucket
	sum    recordSum
}

func openSealedBucket(bucket *bbolt.Bucket) (*sealedBucket, error) {
	b := &sealedBucket{bucket: bucket}
	sealed := bucket.Get(keySum)
	if sealed == nil {
		return b, nil
	}
	raw, err := openRecord(keySum, sealed)
	if err != nil {
		return nil, err
	}
	b.sum, err = decodeSum(raw)
	return b, err
}

func (b *sealedBucket) put(key, value []byte) error {
	if old := b.bucket.Get(key); old != nil {
		b.sum.remove(key, old)
	}
	sealed := sealRecord(key, value)
	b.sum.add(key, sealed)
	return b.bucket.Put(key, sealed)
}

func (b *sealedBucket) remove(key []byte) error {
	old := b.bucket.Get(key)
	if old == nil {
		return nil
	}
	b.sum.remove(key, old)
	return b.bucket.Delete(key)
}

// removeRange removes the records within [from, end).
func (b *sealedBucket) removeRange(from, end []byte) error {
	cursor := b.bucket.Cursor()
	for key, sealed := cursor.Seek(from); key != nil && string(key) < string(end); key, sealed = cursor.Seek(from) {
		b.sum.remove(key, sealed)
		if err := cursor.Delete(); err != nil {
			return err
		}
	}
	return nil
}

func (b *sealedBucket) get(key []byte) ([]byte, error) {
	sealed := b.bucket.Get(key)
	if sealed == nil {
		return nil, nil
	}
	return openRecord(key, sealed)
}

func (b *sealedBucket) close() error {
	return b.bucket.Put(keySum, sealRecord(keySum, b.sum.encode()))
}

// verifyRecords checks every record of a bucket and their sum.
func verifyRecords(bucket *bbolt.Bucket) error {
	kept, err := openSealedBucket(bucket)
	if err != nil {
		return err
	}
	var found recordSum
	err = bucket.ForEach(func(key, sealed []byte) error {
		if string(key) == string(keySum) {
			return nil
		}
		if _, err := openRecord(key, sealed); err != nil {
			return err
		}
		found.add(key, sealed)
		return nil
	})
	if err == nil && found != kept.sum {
		err = errRecordSum
	}
	return err
}
