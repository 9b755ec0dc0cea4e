package jobs

import (
	"encoding/binary"
	"time"

	"github.com/dykewing/dykewing/api"
)

// Reader reads one consistent version of a Storage. What it returns is only
// valid until the transaction ends and must not be changed.
type Reader interface {
	// Get gives the value of key, nil when there is none.
	Get(key []byte) []byte
	// Scan visits keys in byte order from the first one that is not below
	// from, until visit returns false.
	Scan(from []byte, visit func(key, value []byte) bool)
}

// Writer is a Reader that also changes; it sees its own changes. A failed change
// fails the transaction as a whole.
type Writer interface {
	Reader
	Put(key, value []byte)
	Delete(key []byte)
}

// Storage is an ordered map of byte keys under a State. Views run beside an
// Update and see the version before it.
type Storage interface {
	View(read func(Reader) error) error
	// Update changes all or nothing, and returns once the change would last
	// through a crash.
	Update(change func(Writer) error) error
}

// The first byte of a key tells what it holds.
const (
	keyMeta      = 'm' // applied index
	keyFile      = 'f' // file: File
	keyLine      = 'l' // file, line: the raw line
	keyJob       = 'j' // job: Job
	keyActive    = 'a' // job: empty, while the job has not ended
	keyResult    = 'r' // job, item: storedResult
	keyStart     = 's' // job, item: storedStart, non-repeatable items only
	keyIdentity  = 'k' // tenant, idempotency key: job id
	keyClaim     = 'c' // tenant, idempotency key: storedClaim
	keyTenant    = 't' // tenant, newest first, job: empty
	keyFiles     = 'w' // tenant, newest first, file: empty
	keyRetention = 'e' // end time, kind, id: empty
	keyUpload    = 'u' // begin time, file: empty, while the file is not sealed
	keyHolder    = 'h' // router: empty, while it may hold shares of ceilings
	keyGarbage   = 'g' // prefix whose keys are to be deleted: empty

	keyInlineJob     = 'I' // inline job: InlineJob
	keyInlineItem    = 'N' // inline job, index: InlineItem
	keyInlineResult  = 'P' // inline job, position: InlineResult
	keyInlineListed  = 'Q' // inline job, index: empty, once the item stands in the list
	keyInlinePartial = 'O' // inline job, index: InlinePartial of an item that is not listed
	keyInlineRetain  = 'R' // time, inline job: empty
	keyInlineTokens  = 'W' // inline job: tokens of each item, by index

	keyQueueTotal = 'T' // queue: tokens that wait in it
	keyQueueEntry = 'U' // inline job: queueEntry
)

var appliedKey = []byte{keyMeta, 'a'}

// separator ends a name within a key; names never contain it.
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

// numberedPrefix begins the keys of a file's lines or a job's items.
func numberedPrefix(kind byte, name string) []byte {
	return append(nameKey(kind, name), separator)
}

func numberedKey(kind byte, name string, number int) []byte {
	return binary.BigEndian.AppendUint32(numberedPrefix(kind, name), uint32(number))
}

// numberOf reads the number at the end of a numberedKey.
func numberOf(key []byte) int {
	return int(binary.BigEndian.Uint32(key[len(key)-4:]))
}

// tenantKey sorts a tenant's jobs or files with the newest first.
func tenantKey(kind byte, tenant api.TenantID, created time.Time, id string) []byte {
	key := binary.BigEndian.AppendUint64(tenantPrefix(kind, tenant), ^uint64(created.UnixMicro()))
	return append(key, id...)
}

func tenantPrefix(kind byte, tenant api.TenantID) []byte {
	return append(nameKey(kind, string(tenant)), separator)
}

// timeBytes is the length of a time within a key.
const timeBytes = 8

// timedKey sorts holders, the keys of what is to be dropped, by a time.
func timedKey(kind byte, at time.Time, holder []byte) []byte {
	key := binary.BigEndian.AppendUint64([]byte{kind}, uint64(at.UnixMicro()))
	return append(key, holder...)
}

func timeOf(key []byte) time.Time {
	return time.UnixMicro(int64(binary.BigEndian.Uint64(key[1:])))
}

func holderOf(key []byte) []byte { return key[1+timeBytes:] }
