package admission

import (
	"cmp"
	"slices"

	"github.com/dykewing/dykewing/api"
)

// Position is the position of a worker among all workers of its row, at any
// home, sorted by ID. It determines the worker's share of the row's batch
// allowance without communication between the homes: routers with the same
// machine list and table compute the same shares, and the shares add up to the
// allowance.
type Position struct {
	SlotsBefore int // slots of the workers before this one
	Slots       int
	Total       int // slots of all workers of the row
}

// Positions computes the positions of all workers of the machine list. Leaving
// workers have none.
func Positions(workers []api.Worker) map[api.WorkerID]Position {
	staying := slices.DeleteFunc(slices.Clone(workers), func(worker api.Worker) bool { return worker.Leaving })
	slices.SortFunc(staying, func(a, b api.Worker) int { return cmp.Compare(a.ID, b.ID) })
	totals := map[api.RowKey]int{}
	positions := make(map[api.WorkerID]Position, len(staying))
	for _, worker := range staying {
		key := api.RowKey{Service: worker.Service, Place: worker.Place}
		positions[worker.ID] = Position{SlotsBefore: totals[key], Slots: worker.Slots}
		totals[key] += worker.Slots
	}
	for _, worker := range staying {
		position := positions[worker.ID]
		position.Total = totals[api.RowKey{Service: worker.Service, Place: worker.Place}]
		positions[worker.ID] = position
	}
	return positions
}

// Share returns the worker's share of the allowance.
func (p Position) Share(allowance int) int {
	if p.Total == 0 {
		return 0
	}
	return (p.SlotsBefore+p.Slots)*allowance/p.Total - p.SlotsBefore*allowance/p.Total
}

// shareAllowances sets each row's allowance to the sum of the shares of its
// workers here, or to the full allowance without positions.
func (m *Machine) shareAllowances() {
	for _, row := range m.rows {
		row.allowance = row.row.BatchAllowance
		if m.positions == nil {
			continue
		}
		row.allowance = 0
		for _, worker := range row.workers {
			row.allowance += m.positions[worker.worker.ID].Share(row.row.BatchAllowance)
		}
	}
}
