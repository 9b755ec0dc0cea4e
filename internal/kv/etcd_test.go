package kv_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dykewing/dykewing/internal/kv"
	"github.com/dykewing/dykewing/internal/standin/keyvalue"
)

const (
	testTimeout = 5 * time.Second
	testRate    = 10_000
)

func start(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.URL
}

func TestSwapIsNotRetriedAfterUnknownOutcome(t *testing.T) {
	first, second := keyvalue.NewServer(), keyvalue.NewServer()
	first.SetFaults(keyvalue.Faults{DropResponses: 1})
	client := kv.NewEtcd([]string{start(t, first), start(t, second)}, testTimeout, testRate)
	_, err := client.Swap(context.Background(), kv.Swap{Key: "/a", Value: []byte("x")})
	if !errors.Is(err, kv.ErrOutcomeUnknown) {
		t.Errorf("got %v, want an unknown outcome", err)
	}
	if calls := second.Stats().Calls[kv.PathTxn]; calls != 0 {
		t.Errorf("%d swaps went to the second endpoint", calls)
	}
	if pair, _, err := client.Read(context.Background(), "/a"); err != nil || pair == nil {
		t.Errorf("the swap did not take effect: %v, %v", pair, err)
	}
}

func TestFailover(t *testing.T) {
	down := httptest.NewServer(http.NotFoundHandler())
	down.Close() // connections are refused
	outage, second := keyvalue.NewServer(), keyvalue.NewServer()
	outage.SetFaults(keyvalue.Faults{Outage: true})
	client := kv.NewEtcd([]string{down.URL, start(t, second)}, testTimeout, testRate)
	if result, err := client.Swap(context.Background(), kv.Swap{Key: "/a", Value: []byte("x")}); err != nil || !result.Succeeded {
		t.Errorf("swap: %+v, %v", result, err)
	}
	client = kv.NewEtcd([]string{start(t, outage), start(t, second)}, testTimeout, testRate)
	if result, err := client.Range(context.Background(), "/"); err != nil || len(result.Pairs) != 1 {
		t.Errorf("range: %+v, %v", result, err)
	}
}

func TestEveryAttemptCountsAgainstRateLimit(t *testing.T) {
	down := httptest.NewServer(http.NotFoundHandler())
	down.Close()
	attempts := 0
	client := kv.NewEtcd([]string{down.URL, down.URL, down.URL}, 200*time.Millisecond, 2)
	client.Observe = func(string, error) { attempts++ }
	_, err := client.Range(context.Background(), "/")
	if attempts != 2 || !errors.Is(err, kv.ErrRateLimited) {
		t.Errorf("%d attempts within the limit of 2, %v", attempts, err)
	}
}

func TestRateLimitOfServiceHasKnownOutcome(t *testing.T) {
	service := keyvalue.NewServer()
	service.SetFaults(keyvalue.Faults{RequestsPerSecond: 1e-9})
	client := kv.NewEtcd([]string{start(t, service)}, testTimeout, testRate)
	_, err := client.Swap(context.Background(), kv.Swap{Key: "/a", Value: []byte("x")})
	if !errors.Is(err, kv.ErrRateLimited) || errors.Is(err, kv.ErrOutcomeUnknown) {
		t.Errorf("got %v, want a rate limit error with a known outcome", err)
	}
}

// TestWatchIgnoresRevisionOfConfirmation guards against taking the revision of the message
// that confirms a watch for delivered: earlier changes may still follow.
func TestWatchIgnoresRevisionOfConfirmation(t *testing.T) {
	messages := `{"result":{"header":{"revision":"90"},"created":true}}
{"result":{"header":{"revision":90},"events":[{"kv":{"key":"L2E=","mod_revision":"7"}},{"type":"DELETE","kv":{"key":"L2I=","mod_revision":8}}]}}
{"result":{"header":{"revision":"95"}}}
{"result":{"compact_revision":"99","canceled":true}}`
	url := start(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(messages)) }))
	client := kv.NewEtcd([]string{url}, testTimeout, testRate)
	var revisions []int64
	err := client.Watch(context.Background(), "/", 5, func(batch kv.Batch) { revisions = append(revisions, batch.Revision) })
	if !errors.Is(err, kv.ErrCompacted) {
		t.Errorf("ended with %v, want compacted", err)
	}
	if len(revisions) != 2 || revisions[0] != 8 || revisions[1] != 95 {
		t.Errorf("got revisions %v, want 8 and 95", revisions)
	}
}

func TestWatchTimesOutWithoutConfirmation(t *testing.T) {
	service := keyvalue.NewServer()
	service.SetFaults(keyvalue.Faults{Hang: true})
	client := kv.NewEtcd([]string{start(t, service)}, 50*time.Millisecond, testRate)
	err := client.Watch(context.Background(), "/", 1, func(kv.Batch) {})
	if err == nil || !strings.Contains(err.Error(), "not confirmed") {
		t.Errorf("got %v", err)
	}
}

func TestLease(t *testing.T) {
	service := keyvalue.NewServer()
	client := kv.NewEtcd([]string{start(t, service)}, testTimeout, testRate)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var deleted atomic.Bool
	go func() {
		_ = client.Watch(ctx, "/", 1, func(batch kv.Batch) {
			for _, event := range batch.Events {
				deleted.Store(deleted.Load() || event.Deleted)
			}
		})
	}()
	lease, err := client.GrantLease(ctx, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := client.Swap(ctx, kv.Swap{Key: "/a", Value: []byte("x"), Lease: lease}); err != nil {
		t.Fatal(err)
	}
	if err := client.KeepLease(ctx, lease); err != nil {
		t.Error(err)
	}
	for !deleted.Load() && ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
	}
	if pair, _, err := client.Read(ctx, "/a"); err != nil || pair != nil {
		t.Errorf("the key outlived its lease: %v, %v", pair, err)
	}
	if err := client.KeepLease(ctx, lease); err == nil {
		t.Error("an expired lease was renewed")
	}
	if err := client.RevokeLease(ctx, lease); err != nil {
		t.Error(err)
	}
}

func FuzzWireAnswers(f *testing.F) {
	f.Add([]byte(`{"header":{"revision":"7"},"succeeded":true,"responses":[{"response_range":{"kvs":[{"key":"YQ==","mod_revision":3}]}}]}`))
	f.Add([]byte(`{"result":{"header":{"revision":12345678901234567890},"events":null}}`))
	f.Add([]byte(`{"kvs":[{"mod_revision":""}],"count":null}`))
	f.Fuzz(func(t *testing.T, input []byte) {
		serve := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(input) })
		client := &http.Client{Transport: roundTrip{serve}}
		etcd := kv.NewEtcdWithClient([]string{"http://127.0.0.1:1"}, testTimeout, testRate*testRate, client)
		ctx := context.Background()
		_, _, _ = etcd.Read(ctx, "/a")
		_, _ = etcd.Swap(ctx, kv.Swap{Key: "/a"})
		_ = etcd.Watch(ctx, "/", 0, func(kv.Batch) {})
		var number kv.Int64
		if err := json.Unmarshal(input, &number); err == nil {
			again, _ := json.Marshal(number)
			var back kv.Int64
			if err := json.Unmarshal(again, &back); err != nil || back != number {
				t.Fatalf("%s became %s", input, again)
			}
		}
	})
}

// roundTrip is an http.RoundTripper that calls a handler directly.
type roundTrip struct{ handler http.Handler }

func (r roundTrip) RoundTrip(request *http.Request) (*http.Response, error) {
	recorder := httptest.NewRecorder()
	r.handler.ServeHTTP(recorder, request)
	return recorder.Result(), nil
}
