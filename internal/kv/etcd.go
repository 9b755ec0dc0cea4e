package kv

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"golang.org/x/time/rate"
)

// Etcd is a Service over the etcd v3 HTTP/JSON mapping.
type Etcd struct {
	endpoints []string
	timeout   time.Duration
	limiter   *rate.Limiter
	client    *http.Client
}

// NewEtcd reaches the given base URLs in order of preference. Every call counts
// against requestsPerSecond.
func NewEtcd(endpoints []string, timeout time.Duration, requestsPerSecond float64) *Etcd {
	burst := max(int(requestsPerSecond), 1)
	return &Etcd{
		endpoints: endpoints,
		timeout:   timeout,
		limiter:   rate.NewLimiter(rate.Limit(requestsPerSecond), burst),
		client:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
	}
}

// Range reads all pairs of the prefix.
func (e *Etcd) Range(ctx context.Context, prefix string) (RangeResult, error) {
	request := WireRangeRequest{Key: []byte(prefix), RangeEnd: PrefixEnd([]byte(prefix))}
	var answer WireRangeAnswer
	if err := e.call(ctx, PathRange, request, &answer); err != nil {
		return RangeResult{}, fmt.Errorf("range %s: %w", prefix, err)
	}
	result := RangeResult{Revision: answer.Header.Revision}
	for _, pair := range answer.Pairs {
		result.Pairs = append(result.Pairs, pairOf(pair))
	}
	return result, nil
}

func pairOf(pair WirePair) Pair {
	return Pair{Key: string(pair.Key), Value: pair.Value, Revision: pair.ModRevision}
}

// Swap is a compare-and-swap on one key.
func (e *Etcd) Swap(ctx context.Context, swap Swap) (SwapResult, error) {
	key := []byte(swap.Key)
	operation := WireOperation{Put: &WirePut{Key: key, Value: swap.Value, Lease: swap.Lease}}
	if swap.Delete {
		operation = WireOperation{Delete: &WireDelete{Key: key}}
	}
	txn := WireTxn{
		Compare: []WireCompare{{Result: "EQUAL", Target: "MOD", Key: key, ModRevision: swap.Expected}},
		Success: []WireOperation{operation},
		Failure: []WireOperation{{Range: &WireRangeRequest{Key: key}}},
	}
	var answer WireTxnAnswer
	if err := e.call(ctx, PathTxn, txn, &answer); err != nil {
		return SwapResult{}, fmt.Errorf("swap %s: %w", swap.Key, err)
	}
	result := SwapResult{Succeeded: answer.Succeeded, Revision: answer.Header.Revision}
	if !answer.Succeeded && len(answer.Responses) > 0 && answer.Responses[0].Range != nil {
		for _, pair := range answer.Responses[0].Range.Pairs {
			standing := pairOf(pair)
			result.Standing = &standing
		}
	}
	return result, nil
}

// Watch streams changes after the revision.
func (e *Etcd) Watch(ctx context.Context, prefix string, revision int64, deliver func(Batch)) error {
	body, err := json.Marshal(WireWatchRequest{Create: WireWatchCreate{
		Key: []byte(prefix), RangeEnd: PrefixEnd([]byte(prefix)), StartRevision: revision + 1,
	}})
	if err != nil {
		return fmt.Errorf("watch %s: %w", prefix, err)
	}
	answer, err := e.post(ctx, PathWatch, body)
	if err != nil {
		return fmt.Errorf("watch %s: %w", prefix, err)
	}
	defer answer.Body.Close()
	decoder := json.NewDecoder(answer.Body)
	for {
		var message WireWatchAnswer
		if err := decoder.Decode(&message); err != nil {
			return fmt.Errorf("watch %s: %w", prefix, err)
		}
		if err := deliverMessage(message, deliver); err != nil {
			return fmt.Errorf("watch %s: %w", prefix, err)
		}
	}
}

func deliverMessage(message WireWatchAnswer, deliver func(Batch)) error {
	if message.Error != nil {
		return errors.New(message.Error.Message)
	}
	if message.Result == nil {
		return nil
	}
	if message.Result.CompactRevision > 0 {
		return ErrCompacted
	}
	if message.Result.Canceled {
		return errors.New("watch was cancelled by the service")
	}
	batch := Batch{Revision: message.Result.Header.Revision}
	for _, event := range message.Result.Events {
		batch.Events = append(batch.Events, Event{Pair: pairOf(event.Pair), Deleted: event.Type == WireEventDelete})
	}
	deliver(batch)
	return nil
}

// GrantLease asks for a lease of at least a second.
func (e *Etcd) GrantLease(ctx context.Context, lifetime time.Duration) (int64, error) {
	seconds := max(int64(lifetime.Seconds()), 1)
	var answer WireLeaseGrant
	err := e.call(ctx, PathLeaseGrant, WireLeaseGrant{TTL: seconds}, &answer)
	return answer.ID, err
}

// KeepLease renews a lease once.
func (e *Etcd) KeepLease(ctx context.Context, lease int64) error {
	var answer WireLeaseKeepAnswer
	if err := e.call(ctx, PathLeaseKeep, WireLease{ID: lease}, &answer); err != nil {
		return fmt.Errorf("keep lease: %w", err)
	}
	if answer.Result.TTL <= 0 {
		return fmt.Errorf("keep lease: lease %d is gone", lease)
	}
	return nil
}

// RevokeLease ends a lease and deletes its keys.
func (e *Etcd) RevokeLease(ctx context.Context, lease int64) error {
	var answer struct{}
	return e.call(ctx, PathLeaseRevoke, WireLease{ID: lease}, &answer)
}

// call posts once, with the timeout; a failure after the request may have left
// wraps ErrUnknown.
func (e *Etcd) call(ctx context.Context, path string, request, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, e.timeout)
	defer cancel()
	body, err := json.Marshal(request)
	if err != nil {
		return err
	}
	response, err := e.post(ctx, path, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(answer); err != nil {
		return fmt.Errorf("%w: read answer: %w", ErrUnknown, err)
	}
	return nil
}

// post tries each endpoint until one takes the connection.
func (e *Etcd) post(ctx context.Context, path string, body []byte) (*http.Response, error) {
	if err := e.limiter.Wait(ctx); err != nil {
		return nil, fmt.Errorf("client-side rate limit: %w", err)
	}
	failure := errors.New("no endpoint is set")
	for _, endpoint := range e.endpoints {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, endpoint+path, bytes.NewReader(body))
		if err != nil {
			return nil, err
		}
		request.Header.Set("Content-Type", "application/json")
		response, err := e.client.Do(request)
		if err != nil {
			failure = fmt.Errorf("%w: %s: %w", ErrUnknown, endpoint, err)
			continue
		}
		if response.StatusCode == http.StatusOK {
			return response, nil
		}
		text, _ := io.ReadAll(io.LimitReader(response.Body, 512))
		response.Body.Close()
		failure = fmt.Errorf("%s answered %d: %s", endpoint, response.StatusCode, bytes.TrimSpace(text))
		if response.StatusCode >= 500 {
			failure = fmt.Errorf("%w: %w", ErrUnknown, failure)
		}
	}
	return nil, failure
}
