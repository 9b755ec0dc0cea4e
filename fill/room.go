package fill

import (
	"cmp"
	"math"
	"slices"
)

// Worker is a worker as a plan sees it.
type Worker struct {
	Slots  int
	Online int // requests of others
	Batch  int // items
}

// Free is how many slots nothing takes; below 0 something waits.
func (w Worker) Free() int { return w.Slots - w.Online - w.Batch }

// Room is how many items may be started at the workers together, if reserve of
// their slots are to stay free beside those for the requests that wait elsewhere.
func Room(workers []Worker, reserve float64, waiting int) int {
	return max(free(workers)-int(math.Ceil(reserve))-waiting, 0)
}

// RoomPressed is how many items may be started that have to run now: they take the half
// of the reserve for which nothing gives way, and never a slot that a request waits
// for. Without that bound an item was begun and stopped again hundreds of times a second
// at one worker.
func RoomPressed(workers []Worker, reserve float64, waiting int) int {
	return max(free(workers)-int(reserve/2)-waiting, 0)
}

// free counts the slots that nothing takes.
func free(workers []Worker) (total int) {
	for _, w := range workers {
		total += max(w.Free(), 0)
	}
	return total
}

// Excess is how many items are to give way at each worker: as many as requests wait
// there; and where the least is free first, as many as wait elsewhere.
func Excess(workers []Worker, waiting int) []int {
	excess := make([]int, len(workers))
	for i, w := range workers {
		excess[i] = min(max(-w.Free(), 0), w.Batch)
	}
	spread(workers, excess, waiting-free(workers))
	return excess
}

// Early is how many items, with those of Excess, are to give way at each worker before
// requests come, unless they have to run now: what is missing of half of the reserve.
// Not of all of it, so that an item that just began is not ended by the next request.
func Early(workers []Worker, reserve float64, waiting int) []int {
	early := Excess(workers, waiting)
	given := 0
	for i, w := range workers {
		given += early[i] - min(max(-w.Free(), 0), w.Batch)
	}
	spread(workers, early, int(reserve/2)+waiting-free(workers)-given)
	return early
}

// spread lets so many more items give way, where the least is free first.
func spread(workers []Worker, excess []int, missing int) {
	for missing > 0 {
		given := false
		for _, i := range fullest(workers, excess) {
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

// fullest orders the workers by what is free once the excess is gone.
func fullest(workers []Worker, excess []int) []int {
	order := make([]int, len(workers))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(workers[a].Free()+excess[a], workers[b].Free()+excess[b])
	})
	return order
}
