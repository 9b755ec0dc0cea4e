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

// testLeader leads one job of n items before workers that refuse connections.
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
		settings: config.Default().Batch, groups: 1, log: log, caller: backend.NewCaller(platform.Protocol{}),
		metrics: newMetrics(prometheus.NewRegistry()), leaders: map[*Leader]bool{},
		pool: backend.NewPool(worker.DefaultSettings("a"), nil), nodes: func() []api.Node { return nil },
	}
	s.catalog = catalog.New(platform.Source(), nil, log, s.pool)
	if err := s.catalog.Adopt([]byte(testConfiguration), "test"); err != nil {
		t.Fatal(err)
	}
	s.guard = guard.New(guard.Settings{Owners: s.nodes, Accepts: s.pool.Accepts, Blind: func() bool { return false }, Log: log, Registry: prometheus.NewRegistry()})
	var changes []catalog.Change
	for i := range workers {
		id := fmt.Sprint("w", i)
		changes = append(changes, catalog.Change{ID: id, Worker: worker.Worker{ID: id, Service: "lm", Address: "127.0.0.1:1", Slots: 12}})
	}
	s.pool.WorkersChanged(changes)
	s.places, s.near = newPlaces(s), newNearby("")
	l := newLeader(s, 0, state, nil)
	l.began = time.Now().Add(-2 * blindTime)
	s.leaders[l] = true
	t.Cleanup(l.cancel)
	if err := l.load(); err != nil {
		t.Fatal(err)
	}
	return l
}

// TestALeaderStartsFewItemsAtOnce: on the bench a new leader that started 450 items
// at once sent no heartbeat in time and was replaced.
func TestALeaderStartsFewItemsAtOnce(t *testing.T) {
	for _, test := range []struct{ items, workers, want int }{
		{30, 10, startsAtOnce}, {3, 10, 3}, {30, 0, 0},
	} {
		if n := testLeader(t, test.items, test.workers).dispatch(); n != test.want {
			t.Errorf("%d items and %d workers: %d started, want %d", test.items, test.workers, n, test.want)
		}
	}
}

// TestEachWorkerIsFilledByOneGroup: two leaders would each see half of the batch at
// a worker, and both would give way to the same request.
func TestEachWorkerIsFilledByOneGroup(t *testing.T) {
	const groups, workers = 5, 200
	var leaders []*Leader
	for group := range api.GroupID(groups) {
		leaders = append(leaders, &Leader{service: &Service{groups: groups}, group: group})
	}
	filled := make([]int, groups)
	for i := range workers {
		owners := 0
		for group, l := range leaders {
			if l.mine(fmt.Sprint("worker-", i)) {
				owners++
				filled[group]++
			}
		}
		if owners != 1 {
			t.Errorf("worker %d is filled by %d groups", i, owners)
		}
	}
	for group, n := range filled {
		if n < workers/groups/2 {
			t.Errorf("group %d fills %d of %d workers", group, n, workers)
		}
	}
}

// queryOf is a query that only one worker fits.
func (l *Leader) queryOf(id string) worker.Query {
	return worker.Query{Service: "lm", Only: func(other string) bool { return other == id }}
}
