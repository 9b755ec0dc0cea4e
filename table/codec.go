package table

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/dykewing/dykewing/api"
)

// KeyPrefix follows the settings' prefix in the key-value service.
const KeyPrefix = "table/"

// maximumRecords bounds the edits that a row remembers.
const maximumRecords = 10

// storedRow is the value of a row's key. A deleted row stays as a tombstone,
// so that its edits can still be found. The edits are written in the same
// compare-and-swap as the row, which makes them exact.
type storedRow struct {
	Row     api.Row        `json:"row"`
	EditID  string         `json:"edit_id"`
	Deleted bool           `json:"deleted,omitempty"`
	Records []storedRecord `json:"records,omitempty"` // oldest first; the last wrote this value
}

// storedRecord is an edit. Revision is not known when it is written: it is the
// key's for the last record, and the next record's Previous for the others.
type storedRecord struct {
	ID       string    `json:"id"`
	Time     time.Time `json:"time"`
	By       string    `json:"by,omitempty"`
	Previous int64     `json:"previous,omitempty"` // the key's revision before; 0: absent
	Before   *api.Row  `json:"before,omitempty"`
	After    *api.Row  `json:"after,omitempty"`
}

// StoreKey is the key of a row.
func StoreKey(prefix string, key api.RowKey) string {
	return prefix + KeyPrefix + key.String()
}

// KeyOf reads a row's key; the inverse of StoreKey.
func KeyOf(prefix, key string) (api.RowKey, error) {
	name, found := strings.CutPrefix(key, prefix+KeyPrefix)
	service, place, cut := strings.Cut(name, "/")
	rowKey := api.RowKey{Service: api.ServiceName(service), Place: api.PlaceName(place)}
	if !found || !cut {
		return rowKey, fmt.Errorf("key %q is not service/place", key)
	}
	if err := api.ValidateName("service", service); err != nil {
		return rowKey, fmt.Errorf("key %q: %w", key, err)
	}
	if err := api.ValidateName("place", place); err != nil {
		return rowKey, fmt.Errorf("key %q: %w", key, err)
	}
	return rowKey, nil
}

// Encode gives the value of a row that starts without past edits.
func Encode(row api.Row, editID string) ([]byte, error) {
	return json.Marshal(storedRow{Row: row, EditID: editID})
}

// Decode reads a stored value and checks the row.
func Decode(value []byte, revision int64) (api.VersionedRow, error) {
	stored, err := decodeStored(value)
	if err != nil {
		return api.VersionedRow{}, err
	}
	return stored.versioned(revision), nil
}

// DecodeKeyed reads the value of a key and checks that the row is the key's.
func DecodeKeyed(prefix, key string, value []byte, revision int64) (api.VersionedRow, error) {
	rowKey, err := KeyOf(prefix, key)
	if err != nil {
		return api.VersionedRow{}, err
	}
	row, err := Decode(value, revision)
	if err != nil {
		return row, err
	}
	if row.Row.Key() != rowKey {
		return row, fmt.Errorf("decode row: the value is of row %s", row.Row.Key())
	}
	return row, nil
}

// History reads the edits that a stored value remembers, oldest first.
func History(value []byte, revision int64) ([]api.EditRecord, error) {
	stored, err := decodeStored(value)
	if err != nil {
		return nil, err
	}
	return stored.history(revision), nil
}

func decodeStored(value []byte) (storedRow, error) {
	var stored storedRow
	if err := json.Unmarshal(value, &stored); err != nil {
		return stored, fmt.Errorf("decode row: %w", err)
	}
	if err := stored.Row.Validate(); err != nil {
		return stored, fmt.Errorf("decode row: %w", err)
	}
	return stored, nil
}

func (s storedRow) versioned(revision int64) api.VersionedRow {
	return api.VersionedRow{Row: s.Row, Revision: revision, EditID: s.EditID, Deleted: s.Deleted}
}

func (s storedRow) history(revision int64) []api.EditRecord {
	records := make([]api.EditRecord, len(s.Records))
	for i, record := range s.Records {
		tookEffect := revision
		if i+1 < len(s.Records) {
			tookEffect = s.Records[i+1].Previous
		}
		records[i] = api.EditRecord{
			ID: record.ID, Key: s.Row.Key(), Revision: tookEffect, Time: record.Time,
			By: record.By, Before: record.Before, After: record.After,
		}
	}
	return records
}

// with adds a record and drops the oldest beyond the bound.
func (s storedRow) with(record storedRecord) storedRow {
	records := append(append([]storedRecord(nil), s.Records...), record)
	if excess := len(records) - maximumRecords; excess > 0 {
		records = records[excess:]
	}
	s.Records = records
	return s
}
