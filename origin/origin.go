// Package origin remembers which software version of a service began each stream. What workers
// of two versions write does not fit together, so a stream that breaks off may only go on at a
// worker of the version that began it.
//
// The package does no I/O and reads no clock: callers pass the time in.
package origin

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"
)

// Origin is the software that began a stream.
type Origin struct {
	Service string `json:"service"`
	Version string `json:"version"` // of the workers' software; empty if they tell none
}

// keyBytes is the length of the truncated SHA-256. It has to stay collision resistant, since
// callers choose the input.
const keyBytes = 16

// Key identifies a stream by the request that received its first event. It is lower-case
// hexadecimal.
type Key string

// KeyOf returns the key of a request. Callers choose the IDs of their requests, so the tenant and
// the host are part of the key: nobody can name a stream of another tenant.
func KeyOf(tenant, host, request string) Key {
	hash := sha256.New()
	for _, part := range []string{tenant, host, request} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write([]byte(part))
	}
	return Key(hex.EncodeToString(hash.Sum(nil)[:keyBytes]))
}

// Valid reports whether k has the form that KeyOf returns.
func (k Key) Valid() bool {
	raw, err := hex.DecodeString(string(k))
	return err == nil && len(raw) == keyBytes
}

// Table holds the origins of streams until they expire. It is not safe for concurrent use.
type Table struct {
	max     int
	records map[Key]*record
	order   []Key // of insertion; the oldest first
}

type record struct {
	origin    Origin
	ambiguous bool // different origins were recorded
	expires   time.Time
}

// NewTable returns a table of at most max records; the oldest are evicted.
func NewTable(max int) *Table { return &Table{max: max, records: map[Key]*record{}} }

// Put records the origin of a stream for ttl. A later record of the same stream extends its time.
// If it names another origin, two streams have the same key, and neither is found any more.
func (t *Table) Put(now time.Time, key Key, origin Origin, ttl time.Duration) {
	t.expire(now)
	known := t.records[key]
	if known == nil {
		known = &record{origin: origin}
		t.records[key] = known
		t.order = append(t.order, key)
	}
	known.ambiguous = known.ambiguous || known.origin != origin
	if expires := now.Add(ttl); expires.After(known.expires) {
		known.expires = expires
	}
	for len(t.order) > t.max {
		t.removeOldest()
	}
}

// Get returns the origin of a stream if it is known without doubt.
func (t *Table) Get(now time.Time, key Key) (Origin, bool) {
	known := t.records[key]
	if known == nil || known.ambiguous || !now.Before(known.expires) {
		return Origin{}, false
	}
	return known.origin, true
}

// Len returns the number of records, including expired ones that were not removed yet.
func (t *Table) Len() int { return len(t.records) }

// expire removes expired records from the oldest on. Records live about equally long, so few
// expired ones are left behind an unexpired one.
func (t *Table) expire(now time.Time) {
	for len(t.order) > 0 && !now.Before(t.records[t.order[0]].expires) {
		t.removeOldest()
	}
}

func (t *Table) removeOldest() {
	delete(t.records, t.order[0])
	t.order = t.order[1:]
}
