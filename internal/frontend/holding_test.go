package frontend

import (
	"context"
	"testing"
	"time"

	"github.com/dykewing/dykewing/hold"
	"github.com/dykewing/dykewing/internal/backend"
	"github.com/dykewing/dykewing/internal/catalog"
	"github.com/dykewing/dykewing/worker"
)

const patienceOfTests = 10 * time.Second

// testHolding holds requests before one worker of two slots, which is full with what
// others hold.
func testHolding(t *testing.T) *holding {
	t.Helper()
	f := &Frontend{}
	f.holding = newHolding(f)
	f.sharing = &sharing{frontend: f, full: make(chan struct{}, 1)}
	settings := worker.DefaultSettings("a")
	settings.ToldLife = time.Hour // the verdict does not depend on the clock
	f.pool = backend.NewPool(settings, nil)
	f.pool.WorkersChanged([]catalog.Change{{ID: "w", Worker: worker.Worker{ID: "w", Service: "s", Zone: "a", Slots: 2}}})
	f.pool.SetOthers(map[string]worker.Others{"w": {Held: 4}})
	return f.holding
}

func (h *holding) hold(ctx context.Context, request hold.Request) <-chan bool {
	before := h.counts()["s"]
	placed := make(chan bool, 1)
	go func() {
		_, ok := h.take(ctx, worker.Query{Service: "s"}, request)
		placed <- ok
	}()
	for h.counts()["s"] == before {
		time.Sleep(time.Millisecond)
	}
	return placed
}

func TestAHeldRequestGoesOnceThereIsASlot(t *testing.T) {
	h := testHolding(t)
	now := time.Now()
	late := h.hold(t.Context(), hold.Request{Begin: now.Add(-time.Second), Last: now.Add(time.Hour)})
	inTime := h.hold(t.Context(), hold.Request{Begin: now.Add(time.Hour), Last: now.Add(time.Hour)})
	h.placeAll()
	if n := h.counts()["s"]; n != 2 {
		t.Fatalf("%d requests wait before a full worker, want 2", n)
	}
	h.frontend.pool.SetOthers(map[string]worker.Others{"w": {Held: 1}})
	h.placeAll()
	select {
	case ok := <-inTime:
		if !ok {
			t.Error("the request that can be in time got no worker")
		}
	case <-time.After(patienceOfTests):
		t.Fatal("the request that can be in time still waits")
	}
	if n := h.counts()["s"]; n != 1 {
		t.Errorf("%d requests wait, want the late one", n)
	}
	h.frontend.pool.SetOthers(map[string]worker.Others{"w": {Held: 0}})
	h.placeAll()
	select {
	case <-late:
	case <-time.After(patienceOfTests):
		t.Fatal("the late request still waits")
	}
}

func TestARequestWhoseTimeIsNearlyOverIsOffered(t *testing.T) {
	h := testHolding(t)
	now := time.Now()
	request := hold.Request{Begin: now.Add(-time.Second), Last: now}
	if _, ok := h.take(t.Context(), worker.Query{Service: "s"}, request); !ok {
		t.Error("a request whose time is nearly over was not offered to a worker")
	}
}

func TestACallerThatLeavesIsHeldNoLonger(t *testing.T) {
	h := testHolding(t)
	ctx, leave := context.WithCancel(t.Context())
	now := time.Now()
	placed := h.hold(ctx, hold.Request{Begin: now.Add(time.Hour), Last: now.Add(time.Hour)})
	leave()
	if <-placed {
		t.Error("a caller that left got a worker")
	}
	if n := h.counts()["s"]; n != 0 {
		t.Errorf("%d requests wait", n)
	}
	h.frontend.pool.SetOthers(map[string]worker.Others{"w": {}})
	if held := h.frontend.pool.Held("w"); held != 0 {
		t.Errorf("%d requests are noted at the worker", held)
	}
}

func TestWithoutAWorkerNothingIsHeld(t *testing.T) {
	h := testHolding(t)
	now := time.Now()
	if _, ok := h.take(t.Context(), worker.Query{Service: "unknown"}, hold.Request{Begin: now, Last: now}); ok {
		t.Error("a service without workers took a request")
	}
}

func TestPatienceOfCallers(t *testing.T) {
	var p patience
	if got := p.first("r", 3*time.Second); got != 3*time.Second {
		t.Errorf("%v at first", got)
	}
	if got := p.first("r", 5*time.Second); got != 5*time.Second {
		t.Errorf("%v after a longer one", got)
	}
	if got := p.first("r", time.Second); got != 5*time.Second {
		t.Errorf("%v for a later attempt", got)
	}
}

func TestReportsAreSpacedByHowManyFrontendsThereAre(t *testing.T) {
	tests := []struct {
		peers int
		want  time.Duration
	}{{0, shareInterval}, {5, shareInterval}, {50, 300 * time.Millisecond}}
	for _, test := range tests {
		if got := shareEvery(test.peers); got != test.want {
			t.Errorf("%d peers: %v, want %v", test.peers, got, test.want)
		}
	}
}
