package store

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"

	"go.etcd.io/bbolt"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/replication"
)

// The first byte of a key within a group's bucket is its record type.
const (
	prefixEntry = 'l' // followed by index: log entry
	prefixState = 's' // followed by generation and key: applied state
)

var (
	keyOrigin    = []byte("o") // the initial members, the same on all replicas
	keyHardState = []byte("h")
	keyCompacted = []byte("p") // position up to which the log is compacted
	keyApplied   = []byte("a") // position of the applied state
	entriesEnd   = []byte{prefixEntry + 1}
)

var errLogGap = errors.New("the log has a gap")

// position is a log position with the metadata to resume from it.
type position struct {
	Index   uint64              `json:"index"`
	Term    uint64              `json:"term"`
	Members replication.Members `json:"members"`
	// MembersIndex is the log index of the entry that set Members; 0: the initial members.
	MembersIndex uint64 `json:"members_index"`
	// Generation is part of the keys of the state records at this position.
	Generation uint64 `json:"generation"`
}

func (p position) snapshot() replication.Snapshot {
	return replication.Snapshot{Index: p.Index, Term: p.Term, Members: p.Members}
}

func groupKey(id api.GroupID) []byte { return binary.BigEndian.AppendUint32(nil, uint32(id)) }

func groupBucket(transaction *bbolt.Tx, id api.GroupID) *bbolt.Bucket {
	return transaction.Bucket(bucketGroups).Bucket(groupKey(id))
}

func entryKey(index uint64) []byte {
	return binary.BigEndian.AppendUint64([]byte{prefixEntry}, index)
}

// A log entry's record is its term (8 bytes), kind (1 byte) and data.
const entryHeaderBytes = 9

func encodeEntry(entry replication.Entry) []byte {
	raw := make([]byte, 0, entryHeaderBytes+len(entry.Data))
	raw = binary.BigEndian.AppendUint64(raw, entry.Term)
	raw = append(raw, byte(entry.Kind))
	return append(raw, entry.Data...)
}

func decodeEntry(index uint64, raw []byte) (replication.Entry, error) {
	if len(raw) < entryHeaderBytes {
		return replication.Entry{}, errChecksum
	}
	return replication.Entry{
		Index: index, Term: binary.BigEndian.Uint64(raw), Kind: replication.EntryKind(raw[entryHeaderBytes-1]),
		Data: append([]byte(nil), raw[entryHeaderBytes:]...),
	}, nil
}

func initializeGroup(bucket *bbolt.Bucket, origin replication.Members) error {
	records, err := openSealedBucket(bucket)
	if err != nil {
		return err
	}
	if err := putJSON(records, keyOrigin, origin); err != nil {
		return err
	}
	return records.close()
}

func putJSON(records *sealedBucket, key []byte, value any) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return records.put(key, raw)
}

// getJSON leaves value unchanged if there is no record.
func getJSON(records *sealedBucket, key []byte, value any) error {
	raw, err := records.get(key)
	if err != nil || raw == nil {
		return err
	}
	return json.Unmarshal(raw, value)
}

// restoredGroup is a group's state as read from disk at startup.
type restoredGroup struct {
	machine replication.RecoveredState
	origin  replication.Members
	applied position
}

func (d *database) restore(id api.GroupID) (restored restoredGroup, err error) {
	err = d.bolt.View(func(transaction *bbolt.Tx) error {
		records, err := openSealedBucket(groupBucket(transaction, id))
		if err != nil {
			return err
		}
		return restored.read(records)
	})
	if err != nil {
		return restored, fmt.Errorf("restore group %d from %s: %w", id, d.folder, err)
	}
	return restored, nil
}

func (r *restoredGroup) read(records *sealedBucket) error {
	var compacted position
	err := errors.Join(
		getJSON(records, keyOrigin, &r.origin),
		getJSON(records, keyHardState, &r.machine.HardState),
		getJSON(records, keyCompacted, &compacted),
	)
	if err != nil {
		return err
	}
	if compacted.Index == 0 {
		compacted.Members = r.origin
	}
	r.machine.Snapshot = compacted.snapshot()
	r.applied = compacted
	if err := getJSON(records, keyApplied, &r.applied); err != nil {
		return err
	}
	if err := r.readEntries(records, compacted.Index); err != nil {
		return err
	}
	// A fetched snapshot may be ahead of the local log.
	last := compacted.Index + uint64(len(r.machine.Entries))
	r.machine.Applied = min(r.applied.Index, last)
	return nil
}

func (r *restoredGroup) readEntries(records *sealedBucket, after uint64) error {
	cursor := records.bucket.Cursor()
	next := after + 1
	for key, sealed := cursor.Seek([]byte{prefixEntry}); key != nil && string(key) < string(entriesEnd); key, sealed = cursor.Next() {
		index := binary.BigEndian.Uint64(key[1:])
		if index != next {
			return fmt.Errorf("%w: entry %d follows %d", errLogGap, index, next-1)
		}
		raw, err := openRecord(key, sealed)
		if err != nil {
			return err
		}
		entry, err := decodeEntry(index, raw)
		if err != nil {
			return err
		}
		r.machine.Entries = append(r.machine.Entries, entry)
		next++
	}
	return nil
}

// writePersist carries out one replication.Persist. install is the position of a received
// snapshot's state; nil if the log is only compacted.
func writePersist(records *sealedBucket, persist replication.Persist, install *position) error {
	if persist.HardState != nil {
		if err := putJSON(records, keyHardState, persist.HardState); err != nil {
			return err
		}
	}
	if persist.Snapshot != nil {
		if err := writeSnapshot(records, *persist.Snapshot, install); err != nil {
			return err
		}
	}
	return writeEntries(records, persist.Entries)
}

func writeEntries(records *sealedBucket, entries []replication.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	if err := records.removeRange(entryKey(entries[0].Index), entriesEnd); err != nil {
		return err
	}
	for _, entry := range entries {
		if err := records.put(entryKey(entry.Index), encodeEntry(entry)); err != nil {
			return err
		}
	}
	return nil
}

// writeSnapshot removes the log up to the snapshot; with install it removes the whole log
// and makes the received state the applied one.
func writeSnapshot(records *sealedBucket, snapshot replication.Snapshot, install *position) error {
	compacted := position{Index: snapshot.Index, Term: snapshot.Term, Members: snapshot.Members}
	end := entryKey(snapshot.Index + 1)
	if install != nil {
		end = entriesEnd
		if err := putJSON(records, keyApplied, *install); err != nil {
			return err
		}
	}
	if err := records.removeRange([]byte{prefixEntry}, end); err != nil {
		return err
	}
	return putJSON(records, keyCompacted, compacted)
}
