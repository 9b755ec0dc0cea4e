// Package kv provides access to the platform's key-value service. Service is the interface
// that the rest of dykewing uses; Etcd implements it over the HTTP/JSON mapping of the etcd
// v3 API. Supporting another service only requires another implementation of Service.
package kv

import (
	"context"
	"errors"
	"time"
)

// ErrOutcomeUnknown reports that a change may or may not have taken effect.
var ErrOutcomeUnknown = errors.New("key-value service: outcome unknown")

// ErrCompacted reports that a watch asked for compacted revisions; the caller has to read
// the range again.
var ErrCompacted = errors.New("key-value service: revision compacted")

// ErrRateLimited reports that the rate limit of the service or of this client rejected the
// call, which had no effect.
var ErrRateLimited = errors.New("key-value service: rate limit reached")

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

// Page is a part of the state of a prefix, in order of keys.
type Page struct {
	Pairs    []Pair
	Revision int64 // of the service when it was read
	More     bool  // there are further keys
}

// Latest describes the state of a prefix without its values.
type Latest struct {
	Revision    int64 // of the service
	ModRevision int64 // highest modification revision of a pair; 0 if there is none
	Count       int64 // number of pairs
}

// Swap writes Value if the key's modification revision is still Expected, where 0 means
// that the key is absent. Delete removes the key instead. Lease 0 means no lease.
type Swap struct {
	Key      string
	Expected int64
	Value    []byte
	Delete   bool
	Lease    int64
}

// SwapResult reports whether the swap took effect. If it did not, it holds the current
// pair, or nil if the key is absent.
type SwapResult struct {
	Succeeded bool
	Revision  int64 // of the service after the call
	Current   *Pair
}

// Event is a change of one key; Deleted pairs have no value.
type Event struct {
	Pair    Pair
	Deleted bool
}

// Batch holds events of a watch in order. Once it is delivered, all changes of the prefix
// up to Revision have been.
type Batch struct {
	Events   []Event
	Revision int64
}

// Service is a key-value service with compare-and-swap, leases and watches.
// Implementations are safe for concurrent use. Errors of Swap wrap
// ErrOutcomeUnknown unless the change certainly had no effect.
type Service interface {
	// Read returns the pair of a key, nil if the key is absent, and the service's
	// revision.
	Read(ctx context.Context, key string) (*Pair, int64, error)
	// Range returns all pairs whose keys have the prefix.
	Range(ctx context.Context, prefix string) (RangeResult, error)
	// Latest returns the state of a prefix without its values. It is a cheap way to
	// check whether a watch has missed changes.
	Latest(ctx context.Context, prefix string) (Latest, error)
	// Swap is a compare-and-swap on one key.
	Swap(ctx context.Context, swap Swap) (SwapResult, error)
	// Watch delivers changes of the prefix after revision until ctx ends or the
	// connection breaks, and returns the cause.
	Watch(ctx context.Context, prefix string, revision int64, deliver func(Batch)) error
	// GrantLease returns the id of a new lease.
	GrantLease(ctx context.Context, lifetime time.Duration) (int64, error)
	// KeepLease renews a lease once. It fails if the lease no longer exists.
	KeepLease(ctx context.Context, lease int64) error
	// RevokeLease ends a lease and deletes its keys.
	RevokeLease(ctx context.Context, lease int64) error
}
