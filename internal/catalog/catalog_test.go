package catalog

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/clock"
	"github.com/dykewing/dykewing/internal/kv"
	"github.com/dykewing/dykewing/route"
	"github.com/dykewing/dykewing/worker"
)

const testTimeout = 10 * time.Second

// fakeService is a service whose watches deliver only what a test sends.
type fakeService struct {
	kv.Service
	mutex   sync.Mutex
	pairs   map[string]kv.Pair
	ranges  map[string]int
	watch   chan watchEvent
	failing bool
}

type watchEvent struct {
	batch kv.Batch
	err   error
}

func newFakeService() *fakeService {
	return &fakeService{pairs: map[string]kv.Pair{}, ranges: map[string]int{}, watch: make(chan watchEvent)}
}

func (f *fakeService) put(key, value string, revision int64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.pairs[key] = kv.Pair{Key: key, Value: []byte(value), Revision: revision}
}

func (f *fakeService) remove(key string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	delete(f.pairs, key)
}

func (f *fakeService) setFailing(failing bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.failing = failing
}

func (f *fakeService) Range(_ context.Context, prefix string) (kv.RangeResult, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.ranges[prefix]++
	if f.failing {
		return kv.RangeResult{}, errors.New("down")
	}
	var result kv.RangeResult
	for _, pair := range f.pairs {
		if strings.HasPrefix(pair.Key, prefix) {
			result.Pairs = append(result.Pairs, pair)
			result.Revision = max(result.Revision, pair.Revision)
		}
	}
	return result, nil
}

func (f *fakeService) Watch(ctx context.Context, _ string, _ int64, deliver func(kv.Batch)) error {
	for {
		select {
		case event := <-f.watch:
			if event.err != nil {
				return event.err
			}
			deliver(event.batch)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

type recorder struct {
	mutex    sync.Mutex
	versions []int64
	workers  map[string]worker.Worker
	removed  []string // ids, in order
}

func (r *recorder) ConfigurationChanged(configuration *route.Configuration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.versions = append(r.versions, configuration.Version)
}

func (r *recorder) WorkersChanged(changes []Change) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, change := range changes {
		if change.Removed {
			delete(r.workers, change.ID)
			r.removed = append(r.removed, change.ID)
		} else {
			r.workers[change.ID] = change.Worker
		}
	}
}

func (r *recorder) wasRemoved(id string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return slices.Contains(r.removed, id)
}

func (r *recorder) matches(versions, workers string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	ids := []string{}
	for _, id := range []string{"a", "b", "c"} {
		if _, ok := r.workers[id]; ok {
			ids = append(ids, id)
		}
	}
	return fmt.Sprint(r.versions) == versions && fmt.Sprint(ids) == workers
}

func testSource() Source {
	return Source{
		ConfigurationPrefix: "config", WorkerPrefix: "workers/",
		DecodeConfiguration: func(raw []byte) (*route.Configuration, error) {
			var version int64
			if _, err := fmt.Sscan(string(raw), &version); err != nil {
				return nil, err
			}
			return route.New(version, nil, nil, route.Limits{}), nil
		},
		DecodeWorker: func(key string, raw []byte) (worker.Worker, error) {
			return worker.Worker{ID: strings.TrimPrefix(key, "workers/"), Address: string(raw)}, nil
		},
	}
}

func startCatalog(t *testing.T, service *fakeService) *recorder {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	r := &recorder{workers: map[string]worker.Worker{}}
	c := New(testSource(), service, logrus.NewEntry(log), r)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { c.Run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended })
	return r
}

func (r *recorder) await(t *testing.T, versions, workers string) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !r.matches(versions, workers); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out with versions %v and workers %v, want %s and %s", r.versions, r.workers, versions, workers)
		}
	}
}

// Guards against separate watches per prefix, of which one may not learn that the service has
// compacted its history and then keeps an outdated configuration.
func TestCompactedHistoryCausesFullRead(t *testing.T) {
	service := newFakeService()
	service.put("config", "4", 1)
	service.put("workers/a", "x", 2)
	r := startCatalog(t, service)
	r.await(t, "[4]", "[a]")
	service.put("config", "14", 5) // not delivered by a watch
	service.remove("workers/a")
	service.put("workers/b", "y", 6)
	service.watch <- watchEvent{err: kv.ErrCompacted}
	r.await(t, "[4 14]", "[b]")
}

// Guards against a history that counts as complete although a full read has left out changes.
func TestHistoryBeginsWithLastFullRead(t *testing.T) {
	service := newFakeService()
	service.put("workers/a", "x", 1)
	log := logrus.New()
	log.SetOutput(io.Discard)
	r := &recorder{workers: map[string]worker.Worker{}}
	c := New(testSource(), service, logrus.NewEntry(log), r)
	if age := c.HistoryAge(); age != 0 {
		t.Errorf("%v before the first read", age)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { c.Run(ctx); close(ended) }()
	defer func() { cancel(); <-ended }()
	r.await(t, "[]", "[a]")
	service.watch <- watchEvent{batch: kv.Batch{Revision: 2, Events: []kv.Event{{Pair: kv.Pair{Key: "workers/b", Value: []byte("y"), Revision: 2}}}}}
	r.await(t, "[]", "[a b]")
	first := c.lastFullRead.Load()
	service.put("workers/c", "z", 4)
	service.watch <- watchEvent{err: kv.ErrCompacted}
	r.await(t, "[]", "[a c]")
	service.watch <- watchEvent{batch: kv.Batch{Revision: 5}} // taken after the full read
	if second := c.lastFullRead.Load(); !second.After(*first) || c.HistoryAge() > clock.Since(*first) {
		t.Errorf("full reads at %v and %v", first, second)
	}
}

func TestOlderConfigurationNeverReplacesNewer(t *testing.T) {
	service := newFakeService()
	service.put("config", "7", 1)
	r := startCatalog(t, service)
	r.await(t, "[7]", "[]")
	send := func(value string, revision int64) {
		service.watch <- watchEvent{batch: kv.Batch{Revision: revision, Events: []kv.Event{{Pair: kv.Pair{Key: "config", Value: []byte(value), Revision: revision}}}}}
	}
	send("6", 2)
	send("not a number", 3)
	send("9", 4)
	r.await(t, "[7 9]", "[]")
}

func TestKnownStateStaysInForceDuringOutage(t *testing.T) {
	service := newFakeService()
	service.put("config", "7", 1)
	service.put("workers/a", "x", 2)
	r := startCatalog(t, service)
	r.await(t, "[7]", "[a]")
	service.setFailing(true)
	service.watch <- watchEvent{err: kv.ErrCompacted}
	r.await(t, "[7]", "[a]")
	service.put("workers/c", "z", 9)
	service.setFailing(false)
	r.await(t, "[7]", "[a c]")
}

func TestWorkerEventsAreAppliedOnce(t *testing.T) {
	service := newFakeService()
	service.put("workers/a", "x", 2)
	r := startCatalog(t, service)
	r.await(t, "[]", "[a]")
	deleted := kv.Event{Pair: kv.Pair{Key: "workers/a", Revision: 3}, Deleted: true}
	added := kv.Event{Pair: kv.Pair{Key: "workers/b", Value: []byte("y"), Revision: 4}}
	service.watch <- watchEvent{batch: kv.Batch{Revision: 4, Events: []kv.Event{deleted, added, added}}}
	r.await(t, "[]", "[b]")
}
