package guard

import (
	"fmt"
	"testing"
	"time"

	"github.com/dykewing/dykewing/worker"
)

// Guards against missing the crash of a worker that a supervisor restarts at once at the same
// address, where a probe finds the next incarnation listening.
func TestRestartedWorkerCountsAsCrashed(t *testing.T) {
	tests := []struct {
		name string
		next func(born int64) int64 // listed start time after the incarnation of born broke off
		want bool
	}{
		{"restarted each time", func(born int64) int64 { return born + 1 }, true},
		{"not restarted", func(born int64) int64 { return born }, false},
		{"start time unknown", func(int64) int64 { return 0 }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t, 1)
			inForce := worker.Incarnation{ID: "w"}
			g := f.start("front-0", func(g *Guard) {
				g.current = func(string) (worker.Incarnation, bool) { return inForce, true }
			})
			w := resettingWorker(t, "w")
			request, other := digestOf("request"), digestOf("other")
			for i := range int64(3) {
				w.StartedAt = time.UnixMilli(100 + i)
				g.mutex.Lock()
				inForce.StartedAt = time.UnixMilli(test.next(100 + i))
				g.mutex.Unlock()
				g.RecordBrokenResponse(w, request, false)
				f.await("the probe", func() bool {
					g.mutex.Lock()
					defer g.mutex.Unlock()
					return len(g.broken) == 0
				})
			}
			for i := range 3 {
				g.RecordBrokenResponse(crashedWorker(t, fmt.Sprint("later", i)), other, false)
			}
			f.await("the quarantine of the other request", func() bool { return g.IsQuarantined(other) })
			if got := g.IsQuarantined(request); got != test.want {
				t.Errorf("quarantined: %t", got)
			}
		})
	}
}
