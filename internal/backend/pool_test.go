package backend

import (
	"testing"
	"time"

	"github.com/dykewing/dykewing/worker"
)

// A ticket that ends after its worker has restarted must not change the state of the new
// incarnation, whose own request stays counted.
func TestAssignmentToPreviousIncarnationChangesNothing(t *testing.T) {
	tests := []struct {
		name string
		end  func(ticket *Assignment)
	}{
		{"ends", func(ticket *Assignment) { ticket.End() }},
		{"connection refused", func(ticket *Assignment) { ticket.RecordRefused(); ticket.End() }},
		{"rejected", func(ticket *Assignment) { ticket.RecordFull(); ticket.End() }},
		{"address moved", func(ticket *Assignment) { ticket.RecordMoved() }},
		{"stale load", func(ticket *Assignment) { ticket.RecordLoad(worker.Load{Running: 8, Slots: 8}); ticket.End() }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := NewPool(worker.DefaultSettings("a"), nil)
			listed := worker.Worker{ID: "w", Service: "s", Slots: 8, StartedAt: time.UnixMilli(1_000)}
			p.Put(listed)
			old, _ := p.Assign(worker.Query{Service: "s"})
			listed.StartedAt = time.UnixMilli(2_000)
			p.Put(listed)
			if _, ok := p.Assign(worker.Query{Service: "s"}); !ok {
				t.Fatal("no slot at the new incarnation")
			}
			test.end(old)
			seen := p.Occupancies("s")
			if len(seen) != 1 || seen[0].InFlight != 1 || seen[0].OtherInFlight != 0 || !seen[0].Usable {
				t.Errorf("occupancies are %+v, want one usable worker with one request", seen)
			}
		})
	}
}
