package membership_test

import (
	"fmt"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/placement"
)

// Homes watches which routers take themselves for home of which workers.
type Homes struct {
	fleet   *Membership
	workers []api.Worker
	owners  map[api.NodeID]*ownedWorkers
}

type ownedWorkers struct {
	homes *placement.Homes
	mine  []api.Worker
}

// Overlap sums up, over time and workers, the slots that had more than one home
// and those that had none.
type Overlap struct {
	Doubled  float64       // slot-seconds with two homes or more
	Homeless float64       // slot-seconds with none
	LastBad  time.Duration // after the start, when a worker last had not just one
}

// NewHomes watches workers of the fleet's first zone.
func NewHomes(fleet *Membership, workers, slots int) *Homes {
	h := &Homes{fleet: fleet, owners: map[api.NodeID]*ownedWorkers{}}
	for i := range workers {
		h.workers = append(h.workers, api.Worker{
			ID: api.WorkerID(fmt.Sprintf("worker-%04d", i)), Location: fleet.Members[0].Node.Location, Slots: slots,
		})
	}
	return h
}

// Watch runs the fleet for a while and measures in steps.
func (h *Homes) Watch(duration, step time.Duration) Overlap {
	var overlap Overlap
	for elapsed := time.Duration(0); elapsed < duration; elapsed += step {
		h.fleet.Simulation.Run(step)
		bad := false
		for i, count := range h.count() {
			slots := float64(h.workers[i].Slots) * step.Seconds()
			switch {
			case count > 1:
				overlap.Doubled += slots
				bad = true
			case count == 0:
				overlap.Homeless += slots
				bad = true
			}
		}
		if bad {
			overlap.LastBad = elapsed + step
		}
	}
	return overlap
}

// count gives for each worker how many running routers take themselves for its
// home.
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
	owner, ok := h.owners[member.Node.ID]
	if !ok {
		owner = &ownedWorkers{homes: placement.NewHomes(member.Node.ID)}
		h.owners[member.Node.ID] = owner
	}
	if member.Machine.Settled() && owner.homes.SetNodes(member.Machine.Nodes()) {
		owner.mine = owner.homes.Mine(h.workers)
	}
	return owner.mine
}
