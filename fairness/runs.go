package fairness

import (
	"slices"
	"time"
)

// OrderRuns applies shares to a sorted list, separately in each run of entries for which same
// is true, which are those of equal rank and class. shares returns the Shares of an entry's
// rank; a run for which it returns nil, such as promised retries, keeps its order.
func OrderRuns[T any](now time.Time, list []T, same func(a, b T) bool, shares func(T) *Shares, request func(T) Request) {
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
