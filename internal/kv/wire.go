package kv

import (
	"bytes"
	"fmt"
	"strconv"
)

// This file has the JSON bodies of the etcd v3 HTTP mapping: bytes are base64, 64-bit
// integers are strings, and fields with the zero value may be missing.
// Source: etcd API reference v3.5 (rpc.proto and its grpc-gateway mapping).

// Int64 is a 64-bit integer that is encoded as a JSON string and decoded from a string or
// a number.
type Int64 int64

// MarshalJSON implements json.Marshaler.
func (i Int64) MarshalJSON() ([]byte, error) {
	return []byte(`"` + strconv.FormatInt(int64(i), 10) + `"`), nil
}

// UnmarshalJSON implements json.Unmarshaler. An empty string and null decode as 0.
func (i *Int64) UnmarshalJSON(raw []byte) error {
	text := string(bytes.Trim(raw, `"`))
	if text == "" || text == "null" {
		*i = 0
		return nil
	}
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return fmt.Errorf("%s is not a 64-bit integer", raw)
	}
	*i = Int64(value)
	return nil
}

// Paths of the etcd v3 API.
const (
	PathRange          = "/v3/kv/range"
	PathTxn            = "/v3/kv/txn"
	PathWatch          = "/v3/watch"
	PathLeaseGrant     = "/v3/lease/grant"
	PathLeaseKeepAlive = "/v3/lease/keepalive"
	PathLeaseRevoke    = "/v3/lease/revoke"
)

// WireHeader is the header of each response.
type WireHeader struct {
	Revision Int64 `json:"revision,omitempty"`
}

// WirePair is a key-value pair.
type WirePair struct {
	Key            []byte `json:"key"`
	Value          []byte `json:"value,omitempty"`
	CreateRevision Int64  `json:"create_revision,omitempty"`
	ModRevision    Int64  `json:"mod_revision,omitempty"`
	Version        Int64  `json:"version,omitempty"`
	Lease          Int64  `json:"lease,omitempty"`
}

// WireRangeRequest asks for keys within [Key, RangeEnd).
type WireRangeRequest struct {
	Key        []byte `json:"key"`
	RangeEnd   []byte `json:"range_end,omitempty"`
	Limit      Int64  `json:"limit,omitempty"`
	SortOrder  string `json:"sort_order,omitempty"`  // DESCEND
	SortTarget string `json:"sort_target,omitempty"` // MOD
}

// Values of SortOrder and SortTarget in WireRangeRequest.
const (
	WireSortDescend = "DESCEND"
	WireSortMod     = "MOD"
)

// WireRangeResponse is the response to a range request.
type WireRangeResponse struct {
	Header WireHeader `json:"header"`
	Pairs  []WirePair `json:"kvs,omitempty"`
	Count  Int64      `json:"count,omitempty"`
}

// Values of Result and Target in WireCompare.
const (
	WireCompareEqual = "EQUAL"
	WireCompareMod   = "MOD"
)

// WireCompare compares one key; only Target MOD with Result EQUAL is used.
type WireCompare struct {
	Result      string `json:"result"`
	Target      string `json:"target"`
	Key         []byte `json:"key"`
	ModRevision Int64  `json:"mod_revision"`
}

// WirePut writes a key.
type WirePut struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease Int64  `json:"lease,omitempty"`
}

// WireDelete removes a key.
type WireDelete struct {
	Key []byte `json:"key"`
}

// WireOperation is one operation of a transaction.
type WireOperation struct {
	Range  *WireRangeRequest `json:"request_range,omitempty"`
	Put    *WirePut          `json:"request_put,omitempty"`
	Delete *WireDelete       `json:"request_delete_range,omitempty"`
}

// WireTxn is a transaction.
type WireTxn struct {
	Compare []WireCompare   `json:"compare"`
	Success []WireOperation `json:"success"`
	Failure []WireOperation `json:"failure"`
}

// WireOperationResponse is the response to one operation of a transaction.
type WireOperationResponse struct {
	Range *WireRangeResponse `json:"response_range,omitempty"`
}

// WireTxnResponse is the response to a transaction.
type WireTxnResponse struct {
	Header    WireHeader              `json:"header"`
	Succeeded bool                    `json:"succeeded,omitempty"`
	Responses []WireOperationResponse `json:"responses,omitempty"`
}

// WireWatchRequest opens a watch.
type WireWatchRequest struct {
	Create WireWatchCreate `json:"create_request"`
}

// WireWatchCreate selects the keys and the first revision to watch.
type WireWatchCreate struct {
	Key            []byte `json:"key"`
	RangeEnd       []byte `json:"range_end,omitempty"`
	StartRevision  Int64  `json:"start_revision,omitempty"`
	ProgressNotify bool   `json:"progress_notify,omitempty"`
}

// WireWatchResponse is one message of a watch stream.
type WireWatchResponse struct {
	Result *WireWatchResult `json:"result,omitempty"`
	Error  *WireError       `json:"error,omitempty"`
}

// WireWatchResult holds the events or the state of a watch.
type WireWatchResult struct {
	Header          WireHeader  `json:"header"`
	Created         bool        `json:"created,omitempty"`
	Canceled        bool        `json:"canceled,omitempty"`
	CompactRevision Int64       `json:"compact_revision,omitempty"`
	Events          []WireEvent `json:"events,omitempty"`
}

// WireEvent is one change; Type is empty for a put.
type WireEvent struct {
	Type string   `json:"type,omitempty"`
	Pair WirePair `json:"kv"`
}

// WireEventDelete is the Type of a deletion.
const WireEventDelete = "DELETE"

// WireError is the body of an error response.
type WireError struct {
	Code    int    `json:"code,omitempty"`
	HTTP    int    `json:"http_code,omitempty"`
	Message string `json:"message"`
}

// WireLeaseGrant is the request for a lease, with the TTL in seconds, and the response,
// which adds the ID.
type WireLeaseGrant struct {
	TTL Int64 `json:"TTL,omitempty"`
	ID  Int64 `json:"ID,omitempty"`
}

// WireLease identifies a lease.
type WireLease struct {
	ID Int64 `json:"ID"`
}

// WireLeaseKeepAliveResponse is one message of a keep-alive stream. A TTL of 0 means that the
// lease does not exist.
type WireLeaseKeepAliveResponse struct {
	Result WireLeaseGrant `json:"result"`
}

// PrefixEnd returns the first key after all keys that start with prefix, as the end of an
// etcd range. If there is none, it returns the zero byte, which etcd takes as unbounded.
func PrefixEnd(prefix []byte) []byte {
	end := append([]byte(nil), prefix...)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
