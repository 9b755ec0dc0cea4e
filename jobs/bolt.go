package jobs

import (
	"fmt"

	"go.etcd.io/bbolt"
)

// BoltStorage is a Storage in one bucket of a bbolt database. The database stays
// its owner's to close.
type BoltStorage struct {
	database *bbolt.DB
	bucket   []byte
}

// NewBoltStorage makes the bucket when it is not there.
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

// View reads one version.
func (b *BoltStorage) View(read func(Reader) error) error {
	return b.database.View(func(transaction *bbolt.Tx) error {
		return read(&boltTransaction{bucket: transaction.Bucket(b.bucket)})
	})
}

// Update changes all or nothing and syncs.
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
	err    error // the first failed change
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

func (t *boltTransaction) Put(key, value []byte) { t.keep(t.bucket.Put(key, value)) }

func (t *boltTransaction) Delete(key []byte) { t.keep(t.bucket.Delete(key)) }

func (t *boltTransaction) keep(err error) {
	if t.err == nil && err != nil {
		t.err = fmt.Errorf("change state: %w", err)
	}
}
