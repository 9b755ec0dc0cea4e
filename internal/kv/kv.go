// Package kv reaches the platform's key-value service. Service is what the
// rest of dykewing needs of it; Etcd speaks the published etcd v3 HTTP/JSON
// mapping. Another service takes an adapter of its own and nothing else.
package kv

import (
	"context"
	"errors"
	"time"
)

// ErrUnknown says that a change may or may not have taken effect.
var ErrUnknown = errors.New("key-value service: outcome unknown")

// ErrCompacted says that a watch asked for revisions that are gone; range again.
var ErrCompacted = errors.New("key-value service: revision compacted")

// ErrLimited says that the rate limit, the service's or this client's, let the
// call not through; it had no effect.
var ErrLimited = errors.New("key-value service: rate limit reached")

// Pair is a key with its value and modification revision.
type Pair struct {
	Key      string
	Value    []byte
	Revision int64
}

// RangeResult is the state of a prefix at Revision.
type RangeResult struct {
	Pairs    []Pair
	Revision int64
}

// Latest tells how a prefix stands, without its values.
type Latest struct {
	Revision int64 // of the service
	Modified int64 // newest modification revision of a pair; 0 without one
	Count    int64 // pairs
}

// Swap writes Value if the key's modification revision is still Expected (0:
// the key is absent). Delete removes the key instead. Lease 0 is no lease.
type Swap struct {
	Key      string
	Expected int64
	Value    []byte
	Delete   bool
	Lease    int64
}

// SwapResult tells whether the swap took effect, and the pair that stands when
// it did not (nil when the key is absent).
type SwapResult struct {
	Succeeded bool
	Revision  int64 // of the service after the call
	Standing  *Pair
}

// Event is a change of one key; Deleted pairs have no value.
type Event struct {
	Pair    Pair
	Deleted bool
}

// Batch is what a watch delivers: events in order. All changes of the prefix
// up to Revision have been delivered with it.
type Batch struct {
	Events   []Event
	Revision int64
}

// Service is a key-value service with compare-and-swap, leases and watches.
// Errors of Swap wrap ErrUnknown unless the change certainly had no effect.
type Service interface {
	// Read gives one pair, nil when the key is absent, and the service's
	// revision.
	Read(ctx context.Context, key string) (*Pair, int64, error)
	Range(ctx context.Context, prefix string) (RangeResult, error)
	// Latest is a cheap check of whether a watch has missed something.
	Latest(ctx context.Context, prefix string) (Latest, error)
	Swap(ctx context.Context, swap Swap) (SwapResult, error)
	// Watch delivers changes of the prefix after revision until ctx ends or
	// the connection breaks; it returns why.
	Watch(ctx context.Context, prefix string, revision int64, deliver func(Batch)) error
	GrantLease(ctx context.Context, lifetime time.Duration) (int64, error)
	KeepLease(ctx context.Context, lease int64) error
	RevokeLease(ctx context.Context, lease int64) error
}
