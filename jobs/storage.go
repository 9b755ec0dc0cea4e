package jobs

import (
	"encoding/binary"
	"time"

	"github.com/dykewing/dykewing/api"
)

// Reader reads a consistent version of a Storage. The returned slices must not be
// modified and are valid until the transaction ends.
type Reader interface {
	// Get returns the value of key, or nil if there is none.
	Get(key []byte) []byte
	// Scan visits the keys in byte order, starting at the first one that is not
	// less than from, until visit returns false.
	Scan(from []byte, visit func(key, value []byte) bool)
}

// Writer is a read-write transaction, which sees its own changes. A failed write fails
// the whole transaction.
type Writer interface {
	Reader
	Put(key, value []byte)
	Delete(key []byte)
}

// Storage is an ordered key-value store for a State. A View may run concurrently with
// an Update and sees the version before it.
type Storage interface {
	View(read func(Reader) error) error
	// Update commits all changes or none. It returns once they are durable.
	Update(change func(Writer) error) error
}

// The first byte of a key is the kind of record. The comments give the rest of the key
// and the value.
const (
	keyMeta        = 'm' // 'a': applied index; 'i': set during a snapshot import
	keyFile        = 'f' // file: File
	keyLine        = 'l' // file, line: the raw line
	keyJob         = 'j' // job: Job
	keyActive      = 'a' // job: empty, while the job has not ended
	keyResult      = 'r' // job, item: storedResult
	keyStart       = 's' // job, item: storedStart, non-repeatable items only
	keyIdempotency = 'k' // tenant, idempotency key: job ID
	keyClaim       = 'c' // tenant, idempotency key: storedClaim
	keyTenantJob   = 't' // tenant, newest first, job: empty
	keyTenantFile  = 'w' // tenant, newest first, file: empty
	keyRetention   = 'e' // time, key of the job, file or claim: empty
	keyUpload      = 'u' // creation time, key of the file: empty, while the file is not sealed
	keyHolder      = 'h' // router: empty, while it may hold shares of ceilings
	keyGarbage     = 'g' // prefix of keys to delete: empty

	keyInlineJob       = 'I' // inline job: InlineJob
	keyInlineItem      = 'N' // inline job, index: InlineItem
	keyInlineResult    = 'P' // inline job, position: InlineResult
	keyInlineListed    = 'Q' // inline job, index: set once the item is listed
	keyInlinePartial   = 'O' // inline job, index: InlinePartial, until the item is listed
	keyInlineRetention = 'R' // end of retention, inline job: empty
	keyInlineTokens    = 'W' // inline job: tokens of each item, by index
	keyInlineTerms     = 'V' // inline job: Terms

	keyQueueTotal = 'T' // queue: waiting tokens
	keyQueueEntry = 'U' // inline job: queueEntry
)

var appliedKey = []byte{keyMeta, 'a'}

// separator terminates a name within a key. Names never contain it.
const separator = 0

func nameKey(kind byte, names ...string) []byte {
	key := []byte{kind}
	for i, name := range names {
		if i > 0 {
			key = append(key, separator)
		}
		key = append(key, name...)
	}
	return key
}

// numberedPrefix is the common prefix of the keys of a file's lines or a job's items.
func numberedPrefix(kind byte, name string) []byte {
	return append(nameKey(kind, name), separator)
}

func numberedKey(kind byte, name string, number int) []byte {
	return binary.BigEndian.AppendUint32(numberedPrefix(kind, name), uint32(number))
}

// numberOf returns the number of a numberedKey.
func numberOf(key []byte) int {
	return int(binary.BigEndian.Uint32(key[len(key)-4:]))
}

// tenantKey orders a tenant's jobs or files from newest to oldest.
func tenantKey(kind byte, tenant api.TenantID, created time.Time, id string) []byte {
	key := binary.BigEndian.AppendUint64(tenantPrefix(kind, tenant), ^uint64(created.UnixMicro()))
	return append(key, id...)
}

func tenantPrefix(kind byte, tenant api.TenantID) []byte {
	return append(nameKey(kind, string(tenant)), separator)
}

// timeBytes is the size of a time within a key.
const timeBytes = 8

// timedKey orders targets, the keys of what is to be deleted, by time.
func timedKey(kind byte, at time.Time, target []byte) []byte {
	key := binary.BigEndian.AppendUint64([]byte{kind}, uint64(at.UnixMicro()))
	return append(key, target...)
}

func timeOf(key []byte) time.Time {
	return time.UnixMicro(int64(binary.BigEndian.Uint64(key[1:])))
}

func targetOf(key []byte) []byte { return key[1+timeBytes:] }
