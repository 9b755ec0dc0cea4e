package fairness

import (
	"slices"
	"time"
)

// Within orders a sorted list by shares, inside each run of entries that are same: those of
// one rank and class. The order of the runs stands. shares gives those of an entry's rank;
// nil: the order of its run stands, as where places were promised.
func Within[T any](now time.Time, list []T, same func(a, b T) bool, shares func(T) *Shares, request func(T) Request) {
	for begin := 0; begin < len(list); {
		end := begin + 1
		for end < len(list) && same(list[begin], list[end]) {
			end++
		}
		if of := shares(list[begin]); of != nil && end-begin > 1 {
			run := slices.Clone(list[begin:end])
			requests := make([]Request, len(run))
			for i, each := range run {
				requests[i] = request(each)
			}
			for i, from := range of.Order(now, requests) {
				list[begin+i] = run[from]
			}
		}
		begin = end
	}
}
