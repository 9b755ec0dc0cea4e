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

// The first byte of a key within a group's bucket tells what it holds.
const (
	prefixEntry = 'l' // index: log entry
	prefixState = 's' // generation, key: applied state
)

var (
	keyOrigin    = []byte("o") // the first members, the same at all replicas
	keyHardState = []byte("h")
	keyCompacted = []byte("p") // position up to which the log is compacted
	keyApplied   = []byte("a") // position of the applied state
	entriesEnd   = []byte{prefixEntry + 1}
)

var errLogGap = errors.New("the log has a gap")

// position is a place in the log with what a replica that goes on from there
// has to know.
type position struct {
	Index   uint64              `json:"index"`
	Term    uint64              `json:"term"`
	Members replication.Members `json:"members"`
	// MembersIndex is the log index of the entry that made Members; 0 is the
	// group's origin.
	MembersIndex uint64 `json:"members_index"`
	// Generation names the state records that belong to it.
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

// Layout of a log entry's record: term of 8 bytes, kind of one, data.
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

func initialiseGroup(bucket *bbolt.Bucket, origin replication.Members) error {
	records, err := openLedger(bucket)
	if err != nil {
		return err
	}
	if err := putJSON(records, keyOrigin, origin); err != nil {
		return err
	}
	return records.close()
}

func putJSON(records *ledger, key []byte, value any) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return records.put(key, raw)
}

// getJSON leaves value as it is when there is no record.
func getJSON(records *ledger, key []byte, value any) error {
	raw, err := records.get(key)
	if err != nil || raw == nil {
		return err
	}
	return json.Unmarshal(raw, value)
}

// restoredGroup is what a group goes on from after a start.
type restoredGroup struct {
	machine replication.Restored
	origin  replication.Members
	applied position
}

func (d *database) restore(id api.GroupID) (restored restoredGroup, err error) {
	err = d.bolt.View(func(transaction *bbolt.Tx) error {
		records, err := openLedger(groupBucket(transaction, id))
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

func (r *restoredGroup) read(records *ledger) error {
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
	// A fetched state may be ahead of the log that is rebuilt after it.
	last := compacted.Index + uint64(len(r.machine.Entries))
	r.machine.Applied = min(r.applied.Index, last)
	return nil
}

func (r *restoredGroup) readEntries(records *ledger, after uint64) error {
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

// writePersist carries out one Persist. install is the position of a state that
// was received beside a snapshot; nil when the log is only compacted.
func writePersist(records *ledger, persist replication.Persist, install *position) error {
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

func writeEntries(records *ledger, entries []replication.Entry) error {
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

// writeSnapshot drops the log up to the snapshot; with install it drops the
// whole log and makes the received state the applied one.
func writeSnapshot(records *ledger, snapshot replication.Snapshot, install *position) error {
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
