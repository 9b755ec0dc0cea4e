package routing

import "math/rand/v2"

// BestPicker picks the highest score. Ties are broken at random.
type BestPicker struct{ Random *rand.Rand }

// Name is the stage's name in logs.
func (BestPicker) Name() string { return "best" }

// Pick returns a random endpoint among those with the highest score.
func (p BestPicker) Pick(_ *Request, scored []Scored) Scored {
	best, ties := 0, 1
	for i := 1; i < len(scored); i++ {
		switch {
		case scored[i].Score > scored[best].Score:
			best, ties = i, 1
		case scored[i].Score == scored[best].Score:
			ties++
			if p.Random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return scored[best]
}

// PowerOfTwoPicker implements the power of two choices: it draws two endpoints and
// picks the better one, so that choosers with stale data do not herd.
type PowerOfTwoPicker struct{ Random *rand.Rand }

// Name is the stage's name in logs.
func (PowerOfTwoPicker) Name() string { return "two-choices" }

// Pick returns the better one of two random endpoints.
func (p PowerOfTwoPicker) Pick(_ *Request, scored []Scored) Scored {
	first := scored[p.Random.IntN(len(scored))]
	second := scored[p.Random.IntN(len(scored))]
	if second.Score > first.Score {
		return second
	}
	return first
}
