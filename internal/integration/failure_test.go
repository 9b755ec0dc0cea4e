package integration

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/standin/engine"
)

const (
	loadBefore = 300 * time.Millisecond
	loadAfter  = 700 * time.Millisecond
)

// tally is what a phase did to the callers' requests.
type tally struct {
	calls    int
	lost     int // without a right answer, and none was said to be unknown
	unknown  int // may not be repeated, and the caller was told unknown
	doubled  int // may not be repeated, and began more than once
	untrue   int // not run was said last, but it began
	repeated int // repeatable, and began more than once
	resumed  int // streams gone on with
	cut      int // connections to sidecars that broke
	note     string
}

func count(calls []*call, cut int, executions map[string]engine.Executions) tally {
	t := tally{calls: len(calls), cut: cut}
	for _, c := range calls {
		ran := executions[c.marker]
		t.resumed += ran.Resumed
		repeatable := c.kind == kindStream || c.kind == kindWhole
		switch {
		case c.last.right:
		case !repeatable && c.last.outcome == api.OutcomeUnknown:
			t.unknown++
			t.note = fmt.Sprintf("%s: %s", c.marker, c.last.detail)
		default:
			t.lost++
			t.note = fmt.Sprintf("%s: %s", c.marker, c.last.detail)
		}
		if ran.Started > 1 && repeatable {
			t.repeated++
		}
		if ran.Started > 1 && !repeatable {
			t.doubled++
			t.note = fmt.Sprintf("%s began %d times", c.marker, ran.Started)
		}
		if !repeatable && c.last.outcome == api.OutcomeNotRun && ran.Started > 0 {
			t.untrue++
		}
	}
	return t
}

// TestCountsSeeDoubledAndLost shows that the counts can find what they are for.
func TestCountsSeeDoubledAndLost(t *testing.T) {
	calls := []*call{
		{kind: kindKeyed, marker: "doubled", last: result{right: true}},
		{kind: kindWhole, marker: "lost", last: result{detail: "half"}},
		{kind: kindPlain, marker: "untrue", last: result{outcome: api.OutcomeNotRun}},
	}
	got := count(calls, 0, map[string]engine.Executions{"doubled": {Started: 2}, "untrue": {Started: 1}})
	if got.doubled != 1 || got.lost != 2 || got.untrue != 1 {
		t.Fatalf("counts %+v", got)
	}
}

// TestKillAndStopEachRole ends one process of each role under load, once as
// planned and once by force.
func TestKillAndStopEachRole(t *testing.T) {
	f := startFleet(t)
	var sidecars []string
	for i := range sidecarCount {
		sidecars = append(sidecars, f.processes[fmt.Sprintf("sidecar-%d", i)].callers)
	}
	for _, signal := range []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL} {
		for _, role := range []string{"router", "store", "sidecar"} {
			name := fmt.Sprintf("%s-%s", role, signal)
			got := f.phase(name, role+"-0", signal, sidecars)
			t.Logf("%-18s %+v", name, got)
			planned := signal == syscall.SIGTERM
			if got.lost != 0 || got.doubled != 0 || got.untrue != 0 {
				t.Errorf("%s: %d lost, %d doubled, %d untrue: %s", name, got.lost, got.doubled, got.untrue, got.note)
			}
			if planned && (got.cut != 0 || got.unknown != 0) {
				t.Errorf("%s: a planned stop cut %d connections and left %d requests unknown: %s", name, got.cut, got.unknown, got.note)
			}
		}
	}
}

// phase ends the process under load and starts it again.
func (f *fleet) phase(name, target string, signal syscall.Signal, sidecars []string) tally {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.t.Context(), readyTimeout)
	defer cancel()
	stop := make(chan struct{})
	done := make(chan tally)
	go func() {
		calls, cut := runLoad(ctx, name, sidecars, stop)
		done <- count(calls, cut, f.executions())
	}()
	time.Sleep(loadBefore)
	f.signal(target, signal)
	time.Sleep(loadAfter)
	close(stop)
	got := <-done
	f.start(target)
	f.awaitReady(target)
	for i := range sidecarCount {
		f.awaitReady(fmt.Sprintf("sidecar-%d", i))
	}
	return got
}
