package backend

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/dykewing/dykewing/internal/catalog"
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

// Guards against a version that counts as the only one for a time in which another one was listed briefly.
func TestSoleVersionIsNotThatOfBrieflyMixedWorkers(t *testing.T) {
	const period = time.Minute
	put := func(id, version string) catalog.Change {
		return catalog.Change{ID: id, Worker: worker.Worker{ID: id, Service: "s", Version: version, Slots: 1}}
	}
	removed := catalog.Change{ID: "b", Removed: true}
	tests := []struct {
		name    string
		changes [][]catalog.Change // after period with a worker of v2
		sole    bool
	}{
		{"no change", nil, true},
		{"another worker of the version", [][]catalog.Change{{put("b", "v2")}, {removed}}, true},
		{"another version, then gone", [][]catalog.Change{{put("b", "v1")}, {removed}}, false},
		{"another version, gone in the same batch", [][]catalog.Change{{put("b", "v1"), removed}}, false},
		{"worker updated in the same batch", [][]catalog.Change{{put("a", "v1"), put("a", "v2")}}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := NewPool(worker.DefaultSettings("a"), nil)
				p.WorkersChanged([]catalog.Change{put("a", "v2")})
				time.Sleep(period)
				for _, changes := range test.changes {
					p.WorkersChanged(changes)
				}
				if version, ok := p.SoleVersion("s", period); ok != test.sole || ok && version != "v2" {
					t.Errorf("version %q, %t", version, ok)
				}
				time.Sleep(period)
				if version, ok := p.SoleVersion("s", period); !ok || version != "v2" {
					t.Errorf("version %q, %t after another period", version, ok)
				}
			})
		})
	}
}
