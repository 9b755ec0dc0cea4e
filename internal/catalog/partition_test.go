package catalog

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/internal/kv"
	"github.com/dykewing/dykewing/worker"
)

// Timing of the modelled client: a connection attempt times out after modelDialTimeout, and a
// poll after modelPollWait and modelPollMargin.
const (
	modelDialTimeout = 500 * time.Millisecond
	modelPollWait    = 2250 * time.Millisecond
	modelPollMargin  = 500 * time.Millisecond
	modelDelay       = 8 * time.Millisecond
)

// partitionedService is a service on a virtual clock that this process cannot reach from begin
// to end. Entries of workers are written and removed according to a plan.
type partitionedService struct {
	kv.Service
	started    time.Time
	begin, end time.Duration // since started
	failsFast  bool          // calls during the partition fail immediately
	compacts   bool          // the history before end is compacted
	plan       []plannedChange
}

// plannedChange is one change of a worker's entry.
type plannedChange struct {
	at      time.Duration
	entry   string
	removed bool
}

func (s *partitionedService) now() time.Duration { return time.Since(s.started) }

func (s *partitionedService) unreachable() bool { return s.now() >= s.begin && s.now() < s.end }

// connect models the connection of a call to the service.
func (s *partitionedService) connect() error {
	if !s.unreachable() {
		time.Sleep(modelDelay)
		return nil
	}
	if !s.failsFast {
		time.Sleep(modelDialTimeout) // its first packet is lost, even if the partition ends soon
	}
	return errors.New("service unreachable")
}

// events returns the changes up to now; the n-th has revision n.
func (s *partitionedService) events() (list []kv.Event) {
	for i, change := range s.plan {
		if change.at <= s.now() {
			list = append(list, kv.Event{Pair: kv.Pair{Key: "workers/" + change.entry, Value: []byte("x"), Revision: int64(i + 1)}, Deleted: change.removed})
		}
	}
	return list
}

func (s *partitionedService) Range(context.Context, string) (kv.RangeResult, error) {
	if err := s.connect(); err != nil {
		return kv.RangeResult{}, err
	}
	pairs := map[string]kv.Pair{}
	result := kv.RangeResult{}
	for _, event := range s.events() {
		delete(pairs, event.Pair.Key)
		if !event.Deleted {
			pairs[event.Pair.Key] = event.Pair
		}
		result.Revision = event.Pair.Revision
	}
	for _, pair := range pairs {
		result.Pairs = append(result.Pairs, pair)
	}
	return result, nil
}

func (s *partitionedService) Watch(ctx context.Context, _ string, revision int64, deliver func(kv.Batch)) error {
	for {
		batch, err := s.poll(ctx, revision)
		if err != nil {
			return err
		}
		revision = batch.Revision
		deliver(batch)
	}
}

func (s *partitionedService) poll(ctx context.Context, revision int64) (kv.Batch, error) {
	if err := s.connect(); err != nil {
		return kv.Batch{}, err
	}
	began := time.Now()
	if s.compacts && s.now() >= s.end && len(s.events()) > int(revision) {
		return kv.Batch{}, kv.ErrCompacted
	}
	for time.Since(began) < modelPollWait {
		if ctx.Err() != nil {
			return kv.Batch{}, ctx.Err()
		}
		if s.unreachable() {
			time.Sleep(modelPollWait + modelPollMargin - time.Since(began))
			return kv.Batch{}, errors.New("no answer")
		}
		if list := s.events(); len(list) > int(revision) {
			return kv.Batch{Events: list[revision:], Revision: int64(len(list))}, nil
		}
		time.Sleep(modelDelay)
	}
	return kv.Batch{Revision: revision}, nil
}

// removalRecorder records when workers were removed from the list.
type removalRecorder struct {
	recorder
	service *partitionedService
	mutex   sync.Mutex
	at      map[string]time.Duration
}

func (g *removalRecorder) WorkersChanged(changes []Change) {
	g.recorder.WorkersChanged(changes)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, change := range changes {
		if change.Removed {
			g.at[change.ID] = g.service.now()
		}
	}
}

// run runs a catalog against the service until well after the partition, and returns when
// workers were removed.
func (s *partitionedService) run(t *testing.T) (removed map[string]time.Duration) {
	synctest.Test(t, func(*testing.T) {
		s.started = time.Now()
		log := logrus.New()
		log.SetOutput(io.Discard)
		g := &removalRecorder{recorder: recorder{workers: map[string]worker.Worker{}}, service: s, at: map[string]time.Duration{}}
		c := New(testSource(), s, logrus.NewEntry(log), g)
		c.SetMaxStaleness(stalenessLimit)
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { c.Run(ctx) })
		time.Sleep(s.end + 10*time.Second)
		cancel()
		running.Wait()
		removed = g.at
	})
	return removed
}

// stalenessLimit is the time within which a process that can reach the service must learn of
// its changes.
const stalenessLimit = 3 * time.Second

// Guards against counting the retention of removed entries from the moment at which the
// process detects the end of a partition: it would add to the time to detect it, and requests
// would go to a worker that left long ago.
func TestWorkerRemovedDuringPartitionIsDroppedInTime(t *testing.T) {
	tests := []struct {
		name                string
		failsFast, compacts bool
	}{
		{"calls time out, history compacted", false, true},
		{"calls time out", false, false},
		{"calls fail immediately, history compacted", true, true},
		{"calls fail immediately", true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for step := range 40 {
				end := 10*time.Second + time.Duration(step)*50*time.Millisecond
				s := &partitionedService{
					begin: 5 * time.Second, end: end, failsFast: test.failsFast, compacts: test.compacts,
					plan: []plannedChange{{at: 0, entry: "a"}, {at: 0, entry: "b"}, {at: 8 * time.Second, entry: "a", removed: true}},
				}
				removed := s.run(t)
				if at, ok := removed["a"]; !ok || at > end+stalenessLimit-dispatchMargin {
					t.Errorf("partition until %v: worker that left was removed at %v (%t)", end, at, ok)
				}
				if _, ok := removed["b"]; ok {
					t.Errorf("partition until %v: worker that stayed was removed", end)
				}
			}
		})
	}
}

// dispatchMargin is the time from the choice of a worker until the request arrives there.
const dispatchMargin = 200 * time.Millisecond

// An outage of the service lets entries expire that could not be renewed. Their workers renew
// them within two seconds of its recovery and must stay in use.
func TestWorkerWhoseEntryExpiredInOutageStaysInUse(t *testing.T) {
	for _, failsFast := range []bool{true, false} {
		for _, renewedAfter := range []time.Duration{500 * time.Millisecond, time.Second, 1500 * time.Millisecond} {
			t.Run(fmt.Sprintf("fails fast %t, renewed after %v", failsFast, renewedAfter), func(t *testing.T) {
				for step := range 20 {
					end := 10*time.Second + time.Duration(step)*50*time.Millisecond
					s := &partitionedService{
						begin: 5 * time.Second, end: end, failsFast: failsFast,
						plan: []plannedChange{{at: 0, entry: "a"}, {at: 9 * time.Second, entry: "a", removed: true}, {at: end + renewedAfter, entry: "a"}},
					}
					if at, ok := s.run(t)["a"]; ok {
						t.Errorf("outage until %v: worker was removed at %v", end, at)
					}
				}
			})
		}
	}
}
