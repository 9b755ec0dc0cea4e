package membership_test

import (
	"fmt"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/placement"
)

// Homes records which routers consider themselves home of which workers.
type Homes struct {
	fleet   *Membership
	workers []api.Worker
	routers map[api.NodeID]*routerHomes
}

type routerHomes struct {
	homes *placement.Homes
	owned []api.Worker
}

// Overlap accumulates the time during which slots had more than one home or none.
type Overlap struct {
	Doubled  float64       // slot-seconds with more than one home
	Homeless float64       // slot-seconds without a home
	LastBad  time.Duration // time of the last sample in which some worker did not have exactly one home
}

// NewHomes creates workers in the fleet's first zone.
func NewHomes(fleet *Membership, workers, slots int) *Homes {
	h := &Homes{fleet: fleet, routers: map[api.NodeID]*routerHomes{}}
	for i := range workers {
		h.workers = append(h.workers, api.Worker{
			ID: api.WorkerID(fmt.Sprintf("worker-%04d", i)), Location: fleet.Members[0].Node.Location, Slots: slots,
		})
	}
	return h
}

// Watch runs the fleet for the duration and samples it after each step.
func (h *Homes) Watch(duration, step time.Duration) Overlap {
	var overlap Overlap
	for elapsed := time.Duration(0); elapsed < duration; elapsed += step {
		h.fleet.Simulation.Run(step)
		invalid := false
		for i, count := range h.count() {
			slots := float64(h.workers[i].Slots) * step.Seconds()
			switch {
			case count > 1:
				overlap.Doubled += slots
				invalid = true
			case count == 0:
				overlap.Homeless += slots
				invalid = true
			}
		}
		if invalid {
			overlap.LastBad = elapsed + step
		}
	}
	return overlap
}

// count returns, for each worker, the number of running routers that consider
// themselves its home.
func (h *Homes) count() []int {
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

func (h *Homes) owned(member *Member) []api.Worker {
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
