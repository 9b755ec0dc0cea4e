package guard

import (
	"fmt"
	"testing"
	"time"

	"github.com/dykewing/dykewing/worker"
)

// A supervisor starts a worker again at once, under its id and at its address: a look found
// it listening, and its three ends under one request were no evidence.
func TestAWorkerThatStartedAgainHasEnded(t *testing.T) {
	tests := []struct {
		name string
		next func(born int64) int64 // the start in force after a break at the start of born
		want bool
	}{
		{"it starts again each time", func(born int64) int64 { return born + 1 }, true},
		{"it runs on", func(born int64) int64 { return born }, false},
		{"its starts are not told", func(int64) int64 { return 0 }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t, 1)
			inForce := worker.Incarnation{ID: "w"}
			g := f.start("front-0", func(g *Guard) {
				g.current = func(string) (worker.Incarnation, bool) { return inForce, true }
			})
			w := livingWorker(t, "w")
			request, other := digestOf("request"), digestOf("other")
			for i := range int64(3) {
				w.Born = time.UnixMilli(100 + i)
				g.mutex.Lock()
				inForce.Born = time.UnixMilli(test.next(100 + i))
				g.mutex.Unlock()
				g.Broke(w, request, false)
				f.await("a look", func() bool {
					g.mutex.Lock()
					defer g.mutex.Unlock()
					return len(g.broken) == 0
				})
			}
			for i := range 3 {
				g.Broke(endedWorker(t, fmt.Sprint("later", i)), other, false)
			}
			f.await("the other request", func() bool { return g.Holds(other) })
			if got := g.Holds(request); got != test.want {
				t.Errorf("held: %t", got)
			}
		})
	}
}
