package table

import (
	"encoding/json"
	"fmt"

	"github.com/dykewing/dykewing/api"
)

// KeyPrefix follows the settings' prefix in the key-value service.
const KeyPrefix = "table/"

// storedRow is the value of a row's key.
type storedRow struct {
	Row    api.Row `json:"row"`
	EditID string  `json:"edit_id"`
}

// StoreKey is the key of a row.
func StoreKey(prefix string, key api.RowKey) string {
	return prefix + KeyPrefix + key.String()
}

// Encode gives the value to store.
func Encode(row api.Row, editID string) ([]byte, error) {
	return json.Marshal(storedRow{Row: row, EditID: editID})
}

// Decode reads a stored value and checks the row.
func Decode(value []byte, revision int64) (api.VersionedRow, error) {
	var stored storedRow
	if err := json.Unmarshal(value, &stored); err != nil {
		return api.VersionedRow{}, fmt.Errorf("decode row: %w", err)
	}
	if err := stored.Row.Validate(); err != nil {
		return api.VersionedRow{}, fmt.Errorf("decode row: %w", err)
	}
	return api.VersionedRow{Row: stored.Row, Revision: revision, EditID: stored.EditID}, nil
}
