package kv

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"github.com/dykewing/dykewing/internal/transport"
)

const connectionsPerHost = 4

// Etcd is a Service over the HTTP/JSON mapping of the etcd v3 API. It is safe for
// concurrent use.
type Etcd struct {
	endpoints []string
	timeout   time.Duration
	limiter   *rate.Limiter
	client    *http.Client
	// Observe, if not nil, is called with the path and error of every attempt. It must be
	// set before first use.
	Observe func(path string, err error)
}

// NewEtcd returns a client of the endpoints, which are base URLs in order of preference.
// Every attempt, including retries, counts against requestsPerSecond.
func NewEtcd(endpoints []string, timeout time.Duration, requestsPerSecond float64) *Etcd {
	client := &http.Client{Transport: &transport.RoundTripper{Transport: &http.Transport{MaxIdleConnsPerHost: connectionsPerHost}}}
	return NewEtcdWithClient(endpoints, timeout, requestsPerSecond, client)
}

// NewEtcdWithClient is like NewEtcd but uses the given HTTP client.
func NewEtcdWithClient(endpoints []string, timeout time.Duration, requestsPerSecond float64, client *http.Client) *Etcd {
	burst := max(int(requestsPerSecond), 1)
	return &Etcd{
		endpoints: endpoints,
		timeout:   timeout,
		limiter:   rate.NewLimiter(rate.Limit(requestsPerSecond), burst),
		client:    client,
	}
}

// Read implements Service.
func (e *Etcd) Read(ctx context.Context, key string) (*Pair, int64, error) {
	var answer WireRangeResponse
	if err := e.call(ctx, PathRange, WireRangeRequest{Key: []byte(key)}, &answer); err != nil {
		return nil, 0, fmt.Errorf("read %s: %w", key, err)
	}
	revision := int64(answer.Header.Revision)
	if len(answer.Pairs) == 0 {
		return nil, revision, nil
	}
	pair := pairOf(answer.Pairs[0])
	return &pair, revision, nil
}

// Range implements Service.
func (e *Etcd) Range(ctx context.Context, prefix string) (RangeResult, error) {
	request := WireRangeRequest{Key: []byte(prefix), RangeEnd: PrefixEnd([]byte(prefix))}
	var answer WireRangeResponse
	if err := e.call(ctx, PathRange, request, &answer); err != nil {
		return RangeResult{}, fmt.Errorf("range %s: %w", prefix, err)
	}
	result := RangeResult{Revision: int64(answer.Header.Revision)}
	for _, pair := range answer.Pairs {
		result.Pairs = append(result.Pairs, pairOf(pair))
	}
	return result, nil
}

// Latest implements Service.
func (e *Etcd) Latest(ctx context.Context, prefix string) (Latest, error) {
	request := WireRangeRequest{
		Key: []byte(prefix), RangeEnd: PrefixEnd([]byte(prefix)),
		Limit: 1, SortOrder: WireSortDescend, SortTarget: WireSortMod,
	}
	var answer WireRangeResponse
	if err := e.call(ctx, PathRange, request, &answer); err != nil {
		return Latest{}, fmt.Errorf("read latest pair of %s: %w", prefix, err)
	}
	latest := Latest{Revision: int64(answer.Header.Revision), Count: int64(answer.Count)}
	for _, pair := range answer.Pairs {
		latest.ModRevision = max(latest.ModRevision, int64(pair.ModRevision))
	}
	return latest, nil
}

func pairOf(pair WirePair) Pair {
	return Pair{Key: string(pair.Key), Value: pair.Value, Revision: int64(pair.ModRevision)}
}

// Swap implements Service with a transaction on one key.
func (e *Etcd) Swap(ctx context.Context, swap Swap) (SwapResult, error) {
	key := []byte(swap.Key)
	operation := WireOperation{Put: &WirePut{Key: key, Value: swap.Value, Lease: Int64(swap.Lease)}}
	if swap.Delete {
		operation = WireOperation{Delete: &WireDelete{Key: key}}
	}
	txn := WireTxn{
		Compare: []WireCompare{{Result: WireCompareEqual, Target: WireCompareMod, Key: key, ModRevision: Int64(swap.Expected)}},
		Success: []WireOperation{operation},
		Failure: []WireOperation{{Range: &WireRangeRequest{Key: key}}},
	}
	var answer WireTxnResponse
	if err := e.call(ctx, PathTxn, txn, &answer); err != nil {
		return SwapResult{}, fmt.Errorf("swap %s: %w", swap.Key, err)
	}
	result := SwapResult{Succeeded: answer.Succeeded, Revision: int64(answer.Header.Revision)}
	if answer.Succeeded || len(answer.Responses) == 0 || answer.Responses[0].Range == nil {
		return result, nil
	}
	for _, pair := range answer.Responses[0].Range.Pairs {
		standing := pairOf(pair)
		result.Current = &standing
	}
	return result, nil
}

// GrantLease implements Service. The lifetime is truncated to whole seconds, at least one.
func (e *Etcd) GrantLease(ctx context.Context, lifetime time.Duration) (int64, error) {
	seconds := max(int64(lifetime.Seconds()), 1)
	var answer WireLeaseGrant
	err := e.call(ctx, PathLeaseGrant, WireLeaseGrant{TTL: Int64(seconds)}, &answer)
	return int64(answer.ID), err
}

// KeepLease implements Service.
func (e *Etcd) KeepLease(ctx context.Context, lease int64) error {
	var answer WireLeaseKeepAliveResponse
	if err := e.call(ctx, PathLeaseKeepAlive, WireLease{ID: Int64(lease)}, &answer); err != nil {
		return fmt.Errorf("keep lease: %w", err)
	}
	if answer.Result.TTL <= 0 {
		return fmt.Errorf("keep lease: lease %d has expired or was revoked", lease)
	}
	return nil
}

// RevokeLease implements Service.
func (e *Etcd) RevokeLease(ctx context.Context, lease int64) error {
	var answer struct{}
	return e.call(ctx, PathLeaseRevoke, WireLease{ID: Int64(lease)}, &answer)
}
