package jobs

import (
	"fmt"

	"go.etcd.io/bbolt"
)

// BoltStorage is a Storage in one bucket of a bbolt database. The caller keeps
// ownership of the database and closes it.
type BoltStorage struct {
	database *bbolt.DB
	bucket   []byte
}

// NewBoltStorage creates the bucket if it does not exist.
func NewBoltStorage(database *bbolt.DB, bucket string) (*BoltStorage, error) {
	storage := &BoltStorage{database: database, bucket: []byte(bucket)}
	err := database.Update(func(transaction *bbolt.Tx) error {
		_, err := transaction.CreateBucketIfNotExists(storage.bucket)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("prepare bucket %s: %w", bucket, err)
	}
	return storage, nil
}

// View runs read in a read-only transaction.
func (b *BoltStorage) View(read func(Reader) error) error {
	return b.database.View(func(transaction *bbolt.Tx) error {
		return read(&boltTransaction{bucket: transaction.Bucket(b.bucket)})
	})
}

// Update runs change in a read-write transaction, which is synced on commit.
func (b *BoltStorage) Update(change func(Writer) error) error {
	return b.database.Update(func(transaction *bbolt.Tx) error {
		writer := &boltTransaction{bucket: transaction.Bucket(b.bucket)}
		if err := change(writer); err != nil {
			return err
		}
		return writer.err
	})
}

type boltTransaction struct {
	bucket *bbolt.Bucket
	err    error // of the first failed write
}

func (t *boltTransaction) Get(key []byte) []byte { return t.bucket.Get(key) }

func (t *boltTransaction) Scan(from []byte, visit func(key, value []byte) bool) {
	cursor := t.bucket.Cursor()
	for key, value := cursor.Seek(from); key != nil; key, value = cursor.Next() {
		if !visit(key, value) {
			return
		}
	}
}

func (t *boltTransaction) Put(key, value []byte) { t.recordErr(t.bucket.Put(key, value)) }

func (t *boltTransaction) Delete(key []byte) { t.recordErr(t.bucket.Delete(key)) }

func (t *boltTransaction) recordErr(err error) {
	if t.err == nil && err != nil {
		t.err = fmt.Errorf("change state: %w", err)
	}
}
