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

// outcomeCounts counts the outcomes of the requests of one phase.
type outcomeCounts struct {
	calls             int
	lost              int // no correct answer, and not reported as unknown
	unknown           int // non-repeatable, reported as unknown
	duplicated        int // non-repeatable, started more than once
	falseNotRun       int // reported as not run, but started
	repeated          int // repeatable, started more than once
	resumed           int // resumed streams
	brokenConnections int // broken connections to sidecars
	example           string
}

func countOutcomes(calls []*call, cut int, executions map[string]engine.Executions) outcomeCounts {
	t := outcomeCounts{calls: len(calls), brokenConnections: cut}
	for _, c := range calls {
		ran := executions[c.marker]
		t.resumed += ran.Resumed
		repeatable := c.kind == kindStream || c.kind == kindUnary
		switch {
		case c.last.correct:
		case !repeatable && c.last.outcome == api.OutcomeUnknown:
			t.unknown++
			t.example = fmt.Sprintf("%s: %s", c.marker, c.last.detail)
		default:
			t.lost++
			t.example = fmt.Sprintf("%s: %s", c.marker, c.last.detail)
		}
		if ran.Started > 1 && repeatable {
			t.repeated++
		}
		if ran.Started > 1 && !repeatable {
			t.duplicated++
			t.example = fmt.Sprintf("%s started %d times", c.marker, ran.Started)
		}
		if !repeatable && c.last.outcome == api.OutcomeNotRun && ran.Started > 0 {
			t.falseNotRun++
		}
	}
	return t
}

// TestCountOutcomesDetectsDuplicateAndLostRequests checks that duplicate, lost
// and falsely reported requests are counted.
func TestCountOutcomesDetectsDuplicateAndLostRequests(t *testing.T) {
	calls := []*call{
		{kind: kindKeyed, marker: "doubled", last: result{correct: true}},
		{kind: kindUnary, marker: "lost", last: result{detail: "half"}},
		{kind: kindUnkeyed, marker: "untrue", last: result{outcome: api.OutcomeNotRun}},
	}
	got := countOutcomes(calls, 0, map[string]engine.Executions{"doubled": {Started: 2}, "untrue": {Started: 1}})
	if got.duplicated != 1 || got.lost != 2 || got.falseNotRun != 1 {
		t.Fatalf("counts %+v", got)
	}
}

// TestKillAndStopEachRole ends one process of each role under load, with SIGTERM
// and with SIGKILL.
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
			if got.lost != 0 || got.duplicated != 0 || got.falseNotRun != 0 {
				t.Errorf("%s: %d lost, %d doubled, %d untrue: %s", name, got.lost, got.duplicated, got.falseNotRun, got.example)
			}
			if planned && (got.brokenConnections != 0 || got.unknown != 0) {
				t.Errorf("%s: a graceful stop broke %d connections and left %d requests unknown: %s", name, got.brokenConnections, got.unknown, got.example)
			}
		}
	}
}

// phase signals the target process under load, restarts it and returns the counts.
func (f *fleet) phase(name, target string, signal syscall.Signal, sidecars []string) outcomeCounts {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.t.Context(), readyTimeout)
	defer cancel()
	stop := make(chan struct{})
	done := make(chan outcomeCounts)
	go func() {
		calls, cut := runLoad(ctx, name, sidecars, stop)
		done <- countOutcomes(calls, cut, f.executions())
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
