package table

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/dykewing/dykewing/api"
)

// KeyPrefix follows the configured prefix in keys of the key-value service.
const KeyPrefix = "table/"

// maxRecords bounds the edits kept with a row.
const maxRecords = 10

// storedRow is the value of a row's key. A deleted row is kept as a tombstone, so that
// its edits can still be found. Records are written in the same compare-and-swap as the
// row, so they are always consistent with it.
type storedRow struct {
	Row     api.Row        `json:"row"`
	EditID  string         `json:"edit_id"`
	Deleted bool           `json:"deleted,omitempty"`
	Records []storedRecord `json:"records,omitempty"` // oldest first; the last wrote this value
}

// storedRecord is an edit. Its revision is not known when it is written: for the last
// record it is the key's, for any other the next record's Previous.
type storedRecord struct {
	ID       string    `json:"id"`
	Time     time.Time `json:"time"`
	By       string    `json:"by,omitempty"`
	Previous int64     `json:"previous,omitempty"` // the key's revision before the edit; 0 if absent
	Before   *api.Row  `json:"before,omitempty"`
	After    *api.Row  `json:"after,omitempty"`
}

// StoreKey returns the key of a row in the key-value service.
func StoreKey(prefix string, key api.RowKey) string {
	return prefix + KeyPrefix + key.String()
}

// ParseStoreKey parses a key of the key-value service; it is the inverse of StoreKey.
func ParseStoreKey(prefix, key string) (api.RowKey, error) {
	name, found := strings.CutPrefix(key, prefix+KeyPrefix)
	service, place, cut := strings.Cut(name, "/")
	rowKey := api.RowKey{Service: api.ServiceName(service), Place: api.PlaceName(place)}
	if !found || !cut {
		return rowKey, fmt.Errorf("key %q: want service/place", key)
	}
	if err := api.ValidateName("service", service); err != nil {
		return rowKey, fmt.Errorf("key %q: %w", key, err)
	}
	if err := api.ValidateName("place", place); err != nil {
		return rowKey, fmt.Errorf("key %q: %w", key, err)
	}
	return rowKey, nil
}

// Encode returns the stored value of a row without past edits.
func Encode(row api.Row, editID string) ([]byte, error) {
	return json.Marshal(storedRow{Row: row, EditID: editID})
}

// Decode parses a stored value and validates its row.
func Decode(value []byte, revision int64) (api.VersionedRow, error) {
	stored, err := decodeStored(value)
	if err != nil {
		return api.VersionedRow{}, err
	}
	return stored.versioned(revision), nil
}

// DecodeKeyed is Decode for the value of a key; it also checks that the row belongs to
// the key.
func DecodeKeyed(prefix, key string, value []byte, revision int64) (api.VersionedRow, error) {
	rowKey, err := ParseStoreKey(prefix, key)
	if err != nil {
		return api.VersionedRow{}, err
	}
	row, err := Decode(value, revision)
	if err != nil {
		return row, err
	}
	if row.Row.Key() != rowKey {
		return row, fmt.Errorf("decode row: value belongs to row %s", row.Row.Key())
	}
	return row, nil
}

// History returns the edits kept in a stored value, oldest first.
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
		effective := revision
		if i+1 < len(s.Records) {
			effective = s.Records[i+1].Previous
		}
		records[i] = api.EditRecord{
			ID: record.ID, Key: s.Row.Key(), Revision: effective, Time: record.Time,
			Author: record.By, Before: record.Before, After: record.After,
		}
	}
	return records
}

// withRecord appends a record and drops the oldest beyond maxRecords.
func (s storedRow) withRecord(record storedRecord) storedRow {
	records := append(append([]storedRecord(nil), s.Records...), record)
	if excess := len(records) - maxRecords; excess > 0 {
		records = records[excess:]
	}
	s.Records = records
	return s
}
