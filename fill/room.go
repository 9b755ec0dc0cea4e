package fill

import (
	"cmp"
	"math"
	"slices"
)

// WorkerLoad is the load of a worker.
type WorkerLoad struct {
	Slots  int
	Online int // online requests
	Batch  int // batch items
}

// Free returns the number of free slots. It is negative if requests wait at the worker.
func (w WorkerLoad) Free() int { return w.Slots - w.Online - w.Batch }

// StartCapacity returns how many items may start at the workers together while reserve slots stay
// free in addition to those for requests that wait elsewhere.
func StartCapacity(workers []WorkerLoad, reserve float64, waiting int) int {
	return max(freeSlots(workers)-int(math.Ceil(reserve))-waiting, 0)
}

// UrgentStartCapacity returns how many items that have to run now may start. They may use the half
// of the reserve that preemption does not restore, but no slot that a request waits for:
// otherwise an item would be started and preempted in a loop.
func UrgentStartCapacity(workers []WorkerLoad, reserve float64, waiting int) int {
	return max(freeSlots(workers)-int(reserve/2)-waiting, 0)
}

// freeSlots counts the free slots of all workers.
func freeSlots(workers []WorkerLoad) (total int) {
	for _, w := range workers {
		total += max(w.Free(), 0)
	}
	return total
}

// RequiredPreemptions returns how many items have to be preempted at each worker: one for each request
// that waits there, then one for each that waits elsewhere, at the fullest workers first.
func RequiredPreemptions(workers []WorkerLoad, waiting int) []int {
	excess := make([]int, len(workers))
	for i, w := range workers {
		excess[i] = min(max(-w.Free(), 0), w.Batch)
	}
	preemptMore(workers, excess, waiting-freeSlots(workers))
	return excess
}

// EarlyPreemptions returns how many items to preempt at each worker, including the required ones, to
// restore half of the reserve before requests arrive. The additional preemptions must spare
// items that have to run now. Only half is restored, so that the next request does not
// preempt an item that has just started.
func EarlyPreemptions(workers []WorkerLoad, reserve float64, waiting int) []int {
	early := RequiredPreemptions(workers, waiting)
	given := 0
	for i, w := range workers {
		given += early[i] - min(max(-w.Free(), 0), w.Batch)
	}
	preemptMore(workers, early, int(reserve/2)+waiting-freeSlots(workers)-given)
	return early
}

// preemptMore adds missing items to excess, at the fullest workers first.
func preemptMore(workers []WorkerLoad, excess []int, missing int) {
	for missing > 0 {
		given := false
		for _, i := range byFreeSlots(workers, excess) {
			if missing > 0 && excess[i] < workers[i].Batch {
				excess[i]++
				missing--
				given = true
			}
		}
		if !given {
			break
		}
	}
}

// byFreeSlots sorts the indexes of workers by free slots after the preemption of excess.
func byFreeSlots(workers []WorkerLoad, excess []int) []int {
	order := make([]int, len(workers))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(workers[a].Free()+excess[a], workers[b].Free()+excess[b])
	})
	return order
}
