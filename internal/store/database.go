package store

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"
	"syscall"
	"time"

	"github.com/google/uuid"
	"go.etcd.io/bbolt"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/replication"
)

const (
	databaseFile     = "store.db"
	lockFile         = "lock"
	temporarySuffix  = ".new" // of a file whose header is not written yet
	formatVersion    = 1
	folderMode       = 0o700
	fileMode         = 0o600
	openTimeout      = 2 * time.Second
	initialMmapBytes = 16 << 30 // address space; remapping a growing file waits for readers
	allocBytes       = 1 << 20  // growth increment of the file
)

var (
	bucketStore  = []byte("store")
	bucketGroups = []byte("groups")
	keyHeader    = []byte("header")
	keyGroups    = []byte("groups")
)

// header is written once, when the data file is created.
type header struct {
	Format   int                   `json:"format"`
	Identity replication.ReplicaID `json:"identity"`
}

// database is the data folder of one store: one file for all groups, so that they share
// syncs. It holds the store's identity, so a replaced disk is a new replica.
type database struct {
	bolt *bbolt.DB
	lock *os.File

	marker   *commitMarker
	folder   string
	identity replication.ReplicaID
	hooks    hooks
}

// openDatabase locks the folder and verifies every record. Corruption is an error that
// names the folder.
func openDatabase(folder string, hooks hooks) (*database, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, fmt.Errorf("make data folder: %w", err)
	}
	lock, err := lockFolder(folder)
	if err != nil {
		return nil, err
	}
	d := &database{lock: lock, folder: folder, hooks: hooks}
	if err := recoverFault(d.open); err != nil {
		return nil, errors.Join(fmt.Errorf("data folder %s is damaged or can't be read; it is not served: %w", folder, err), d.close())
	}
	return d, nil
}

func lockFolder(folder string) (*os.File, error) {
	lock, err := os.OpenFile(filepath.Join(folder, lockFile), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, fmt.Errorf("lock data folder: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return nil, fmt.Errorf("data folder %s is in use by another process: %w", folder, err)
	}
	return lock, nil
}

// recoverFault converts panics of bbolt on a damaged file, and memory faults beyond the
// end of the mapped file, into errors.
func recoverFault(open func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if fault := recover(); fault != nil {
			err = fmt.Errorf("%v", fault)
		}
	}()
	return open()
}

func (d *database) open() error {
	path := filepath.Join(d.folder, databaseFile)
	var err error
	if d.marker, err = openCommitMarker(d.folder); err != nil {
		return err
	}
	if missing(path) {
		if err := errors.Join(d.marker.reset(), d.create(path)); err != nil {
			return err
		}
	}
	acknowledged, err := d.marker.last()
	if err != nil {
		return err
	}
	if err := verifyMetaPages(path, acknowledged); err != nil && !d.hooks.skipVerify {
		return err
	}
	bolt, err := openBolt(path)
	if err != nil {
		return err
	}
	bolt.NoSync = d.hooks.skipSync
	d.bolt = bolt
	return bolt.View(d.verify)
}

func openBolt(path string) (*bbolt.DB, error) {
	bolt, err := bbolt.Open(path, fileMode, &bbolt.Options{
		Timeout: openTimeout, InitialMmapSize: initialMmapBytes, FreelistType: bbolt.FreelistMapType,
	})
	if err == nil {
		bolt.AllocSize = allocBytes
	}
	return bolt, err
}

// create writes a new data file under a temporary name and renames it once its header is
// durable.
func (d *database) create(path string) error {
	unfinished := path + temporarySuffix
	if err := os.RemoveAll(unfinished); err != nil {
		return err
	}
	bolt, err := openBolt(unfinished)
	if err != nil {
		return err
	}
	identity := replication.ReplicaID(uuid.NewString())
	if d.hooks.identity != "" {
		identity = d.hooks.identity
	}
	err = bolt.Update(func(transaction *bbolt.Tx) error {
		return writeHeader(transaction, header{Format: formatVersion, Identity: identity})
	})
	if err := errors.Join(err, bolt.Close()); err != nil {
		return err
	}
	if err := os.Rename(unfinished, path); err != nil {
		return err
	}
	return syncFolder(d.folder)
}

func syncFolder(folder string) error {
	file, err := os.Open(folder)
	if err != nil {
		return err
	}
	return errors.Join(file.Sync(), file.Close())
}

func writeHeader(transaction *bbolt.Tx, header header) error {
	bucket, err := transaction.CreateBucket(bucketStore)
	if err != nil {
		return err
	}
	if _, err := transaction.CreateBucket(bucketGroups); err != nil {
		return err
	}
	raw, err := json.Marshal(header)
	if err != nil {
		return err
	}
	if err := bucket.Put(keyHeader, sealRecord(keyHeader, raw)); err != nil {
		return err
	}
	return putGroups(bucket, nil)
}

func putGroups(bucket *bbolt.Bucket, groups []api.GroupID) error {
	raw, err := json.Marshal(groups)
	if err != nil {
		return err
	}
	return bucket.Put(keyGroups, sealRecord(keyGroups, raw))
}

// verify reads the whole file and checks checksums and structure.
func (d *database) verify(transaction *bbolt.Tx) error {
	if err := d.readHeader(transaction); err != nil {
		return fmt.Errorf("header: %w", err)
	}
	if d.hooks.skipVerify {
		return nil
	}
	groups, err := listGroups(transaction)
	if err != nil {
		return fmt.Errorf("list of groups: %w", err)
	}
	for _, id := range groups {
		bucket := groupBucket(transaction, id)
		if bucket == nil {
			return fmt.Errorf("group %d: %w", id, errRecordSum)
		}
		if err := verifyRecords(bucket); err != nil {
			return fmt.Errorf("group %d: %w", id, err)
		}
	}
	for err := range transaction.Check() {
		return fmt.Errorf("structure: %w", err)
	}
	return nil
}

func (d *database) readHeader(transaction *bbolt.Tx) error {
	bucket := transaction.Bucket(bucketStore)
	if bucket == nil || transaction.Bucket(bucketGroups) == nil {
		return errors.New("missing")
	}
	raw, err := openRecord(keyHeader, bucket.Get(keyHeader))
	if err != nil {
		return err
	}
	var header header
	if err := json.Unmarshal(raw, &header); err != nil {
		return err
	}
	if header.Format != formatVersion {
		return fmt.Errorf("unsupported format %d, want %d", header.Format, formatVersion)
	}
	d.identity = header.Identity
	return nil
}

func listGroups(transaction *bbolt.Tx) ([]api.GroupID, error) {
	raw, err := openRecord(keyGroups, transaction.Bucket(bucketStore).Get(keyGroups))
	if err != nil {
		return nil, err
	}
	var groups []api.GroupID
	return groups, json.Unmarshal(raw, &groups)
}

// groups returns the groups that this disk holds a replica of.
func (d *database) groups() (groups []api.GroupID, err error) {
	err = d.bolt.View(func(transaction *bbolt.Tx) error {
		groups, err = listGroups(transaction)
		return err
	})
	return groups, err
}

// createGroup records a group's initial members, which are the same for all its replicas.
// It does nothing if the group exists.
func (d *database) createGroup(id api.GroupID, origin replication.Members) error {
	return d.update(func(transaction *bbolt.Tx) error {
		groups, err := listGroups(transaction)
		if err != nil || slices.Contains(groups, id) {
			return err
		}
		bucket, err := transaction.Bucket(bucketGroups).CreateBucket(groupKey(id))
		if err != nil {
			return err
		}
		if err := initializeGroup(bucket, origin); err != nil {
			return err
		}
		return putGroups(transaction.Bucket(bucketStore), append(groups, id))
	})
}

func (d *database) close() error {
	var err error
	if d.bolt != nil {
		err = d.bolt.Close()
	}
	if d.marker != nil {
		err = errors.Join(err, d.marker.close())
	}
	return errors.Join(err, d.lock.Close())
}
