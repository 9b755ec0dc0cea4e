package membership_test

import (
	"fmt"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/placement"
)

// HomeTracker records which routers consider themselves home of which workers.
type HomeTracker struct {
	fleet   *Fleet
	workers []api.Worker
	routers map[api.NodeID]*routerHomes
}

type routerHomes struct {
	homes *placement.Homes
	owned []api.Worker
}

// HomeViolations accumulates the time during which slots had more than one home or none.
type HomeViolations struct {
	MultipleHomes float64       // slot-seconds with more than one home
	NoHome        float64       // slot-seconds without a home
	LastViolation time.Duration // time of the last sample in which some worker did not have exactly one home
}

// NewHomeTracker creates workers in the fleet's first zone.
func NewHomeTracker(fleet *Fleet, workers, slots int) *HomeTracker {
	h := &HomeTracker{fleet: fleet, routers: map[api.NodeID]*routerHomes{}}
	for i := range workers {
		h.workers = append(h.workers, api.Worker{
			ID: api.WorkerID(fmt.Sprintf("worker-%04d", i)), Location: fleet.Members[0].Node.Location, Slots: slots,
		})
	}
	return h
}

// Watch runs the fleet for the duration and samples it after each step.
func (h *HomeTracker) Watch(duration, step time.Duration) HomeViolations {
	var overlap HomeViolations
	for elapsed := time.Duration(0); elapsed < duration; elapsed += step {
		h.fleet.Simulation.Run(step)
		invalid := false
		for i, count := range h.count() {
			slots := float64(h.workers[i].Slots) * step.Seconds()
			switch {
			case count > 1:
				overlap.MultipleHomes += slots
				invalid = true
			case count == 0:
				overlap.NoHome += slots
				invalid = true
			}
		}
		if invalid {
			overlap.LastViolation = elapsed + step
		}
	}
	return overlap
}

// count returns, for each worker, the number of running routers that consider
// themselves its home.
func (h *HomeTracker) count() []int {
	index := map[api.WorkerID]int{}
	for i, worker := range h.workers {
		index[worker.ID] = i
	}
	counts := make([]int, len(h.workers))
	for _, member := range h.fleet.Members {
		if !member.Process.Up() || member.Process.Paused() || member.Node.Location != h.workers[0].Location {
			continue
		}
		for _, worker := range h.owned(member) {
			counts[index[worker.ID]]++
		}
	}
	return counts
}

func (h *HomeTracker) owned(member *Member) []api.Worker {
	owner, ok := h.routers[member.Node.ID]
	if !ok {
		owner = &routerHomes{homes: placement.NewHomes(member.Node.ID)}
		h.routers[member.Node.ID] = owner
	}
	if member.Machine.Settled() && owner.homes.SetNodes(member.Machine.Nodes()) {
		owner.owned = owner.homes.OwnWorkers(h.workers)
	}
	return owner.owned
}
