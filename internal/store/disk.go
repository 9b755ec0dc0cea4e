package store

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"path/filepath"
	"time"

	"github.com/google/uuid"
	"go.etcd.io/bbolt"

	"github.com/dykewing/dykewing/jobs"
	"github.com/dykewing/dykewing/replication"
)

const (
	databaseFile = "group.db"
	stateFile    = "state.db"
	stateBucket  = "state"
	openTimeout  = 2 * time.Second
	fileMode     = 0o600
)

var (
	bucketMeta   = []byte("meta")
	bucketLog    = []byte("log")
	keyIdentity  = []byte("identity")
	keyHardState = []byte("hard_state")
)

// disk is one group's part of the data folder. The identity lives on it: a new
// disk is a new replica.
type disk struct {
	database *bbolt.DB
	applied  *bbolt.DB // the applied state; nil before openState
	identity replication.ReplicaID
}

func openDisk(folder string) (*disk, error) {
	path := filepath.Join(folder, databaseFile)
	database, err := bbolt.Open(path, fileMode, &bbolt.Options{Timeout: openTimeout})
	if err != nil {
		return nil, fmt.Errorf("open data file %s: %w", path, err)
	}
	d := &disk{database: database}
	if err := database.Update(d.initialise); err != nil {
		database.Close()
		return nil, fmt.Errorf("prepare data file %s: %w", path, err)
	}
	return d, nil
}

func (d *disk) initialise(transaction *bbolt.Tx) error {
	meta, err := transaction.CreateBucketIfNotExists(bucketMeta)
	if err != nil {
		return err
	}
	if _, err := transaction.CreateBucketIfNotExists(bucketLog); err != nil {
		return err
	}
	if identity := meta.Get(keyIdentity); identity != nil {
		d.identity = replication.ReplicaID(identity)
		return nil
	}
	d.identity = replication.ReplicaID(uuid.NewString())
	return meta.Put(keyIdentity, []byte(d.identity))
}

// restore reads what a restarted replica goes on from.
func (d *disk) restore() (replication.Restored, error) {
	restored := replication.Restored{}
	restored.Snapshot.Members.Voters = []replication.ReplicaID{d.identity}
	err := d.database.View(func(transaction *bbolt.Tx) error {
		if raw := transaction.Bucket(bucketMeta).Get(keyHardState); raw != nil {
			if err := json.Unmarshal(raw, &restored.HardState); err != nil {
				return fmt.Errorf("decode hard state: %w", err)
			}
		}
		return transaction.Bucket(bucketLog).ForEach(func(_, raw []byte) error {
			var entry replication.Entry
			if err := json.Unmarshal(raw, &entry); err != nil {
				return fmt.Errorf("decode log entry: %w", err)
			}
			restored.Entries = append(restored.Entries, entry)
			return nil
		})
	})
	return restored, err
}

// write puts several Persist actions on disk with one sync.
func (d *disk) write(batch []replication.Persist) error {
	return d.database.Update(func(transaction *bbolt.Tx) error {
		for _, persist := range batch {
			if err := writeOne(transaction, persist); err != nil {
				return err
			}
		}
		return nil
	})
}

func writeOne(transaction *bbolt.Tx, persist replication.Persist) error {
	if persist.HardState != nil {
		raw, err := json.Marshal(persist.HardState)
		if err != nil {
			return err
		}
		if err := transaction.Bucket(bucketMeta).Put(keyHardState, raw); err != nil {
			return err
		}
	}
	for _, entry := range persist.Entries {
		raw, err := json.Marshal(entry)
		if err != nil {
			return err
		}
		if err := transaction.Bucket(bucketLog).Put(indexKey(entry.Index), raw); err != nil {
			return err
		}
	}
	return nil
}

func indexKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// openState opens the applied state, which has a file of its own so that its
// transactions do not wait for the log's.
func (d *disk) openState(folder string) (*jobs.State, error) {
	path := filepath.Join(folder, stateFile)
	database, err := bbolt.Open(path, fileMode, &bbolt.Options{Timeout: openTimeout})
	if err != nil {
		return nil, fmt.Errorf("open data file %s: %w", path, err)
	}
	d.applied = database
	storage, err := jobs.NewBoltStorage(database, stateBucket)
	if err != nil {
		return nil, fmt.Errorf("prepare data file %s: %w", path, err)
	}
	return jobs.OpenState(storage)
}

func (d *disk) close() error {
	if d.applied == nil {
		return d.database.Close()
	}
	return errors.Join(d.applied.Close(), d.database.Close())
}
