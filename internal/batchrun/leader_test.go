package batchrun

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/config"
	"github.com/dykewing/dykewing/internal/backend"
	"github.com/dykewing/dykewing/internal/catalog"
	"github.com/dykewing/dykewing/internal/guard"
	"github.com/dykewing/dykewing/jobs"
	"github.com/dykewing/dykewing/platform"
	"github.com/dykewing/dykewing/worker"
)

const testConfiguration = `{"version": 1, "services": [{"name": "lm"}], "routes": [
	{"name": "batch", "host": "h", "pathPrefix": "/batch/", "routeKind": "batch", "service": "lm", "maxAttempts": 3}]}`

// testLeader returns the leader of one job of n items, whose workers refuse connections.
func testLeader(t *testing.T, n, workers int) *Leader {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log := logrus.NewEntry(logger)
	state, err := jobs.OpenState(jobs.NewMemoryStorage())
	if err != nil {
		t.Fatal(err)
	}
	var items []jobs.InlineItem
	for i := range n {
		items = append(items, jobs.InlineItem{ID: fmt.Sprint("item", i), Path: fmt.Sprint("/batch/", i)})
	}
	submit := jobs.Command{Time: time.Now(), SubmitInline: &jobs.SubmitInline{Job: "j", Host: "h", Items: items}}
	if _, err := state.Apply(jobs.Entry{Index: 1, Command: submit}); err != nil {
		t.Fatal(err)
	}
	s := &Service{
		settings: config.Default().Batch, groups: 1, log: log, caller: backend.NewClient(platform.Protocol{}),
		metrics: newMetrics(prometheus.NewRegistry()), leaders: map[*Leader]bool{},
		pool: backend.NewPool(worker.DefaultSettings("a"), nil), nodes: func() []api.Node { return nil },
	}
	s.catalog = catalog.New(platform.CatalogSource(), nil, log, s.pool)
	if err := s.catalog.Adopt([]byte(testConfiguration), "test"); err != nil {
		t.Fatal(err)
	}
	s.guard = guard.New(guard.Settings{Owners: s.nodes, Accepts: s.pool.Accepts, WatchDown: func() bool { return false }, Log: log, Registry: prometheus.NewRegistry()})
	var changes []catalog.Change
	for i := range workers {
		id := fmt.Sprint("w", i)
		changes = append(changes, catalog.Change{ID: id, Worker: worker.Worker{ID: id, Service: "lm", Address: "127.0.0.1:1", Slots: 12}})
	}
	s.pool.WorkersChanged(changes)
	s.slots, s.zoneWorkers = newSlotBroker(s), newZoneWorkers("")
	l := newLeader(s, 0, state, nil)
	l.startedAt = time.Now().Add(-2 * warmUp)
	s.leaders[l] = true
	t.Cleanup(l.cancel)
	if err := l.loadJobs(); err != nil {
		t.Fatal(err)
	}
	return l
}

// TestDispatchLimitsStartsPerPass guards against a new leader that starts all open items in one
// pass and is replaced because its heartbeats are late.
func TestDispatchLimitsStartsPerPass(t *testing.T) {
	for _, test := range []struct{ items, workers, want int }{
		{30, 10, startBurst}, {3, 10, 3}, {30, 0, 0},
	} {
		if n := testLeader(t, test.items, test.workers).dispatch(); n != test.want {
			t.Errorf("%d items and %d workers: %d started, want %d", test.items, test.workers, n, test.want)
		}
	}
}

// TestEachWorkerBelongsToOneGroup guards against two leaders that both run items at a worker and
// both preempt for the same request.
func TestEachWorkerBelongsToOneGroup(t *testing.T) {
	const groups, workers = 5, 200
	var leaders []*Leader
	for group := range api.GroupID(groups) {
		leaders = append(leaders, &Leader{service: &Service{groups: groups}, group: group})
	}
	owned := make([]int, groups)
	for i := range workers {
		owners := 0
		for group, l := range leaders {
			if l.owns(fmt.Sprint("worker-", i)) {
				owners++
				owned[group]++
			}
		}
		if owners != 1 {
			t.Errorf("worker %d belongs to %d groups", i, owners)
		}
	}
	for group, n := range owned {
		if n < workers/groups/2 {
			t.Errorf("group %d owns %d of %d workers", group, n, workers)
		}
	}
}

// queryOnly returns a query that only one worker matches.
func (l *Leader) queryOnly(id string) worker.Query {
	return worker.Query{Service: "lm", Filter: func(other string) bool { return other == id }}
}
