package routing

import "math/rand/v2"

// BestPicker takes the highest score; ties are drawn.
type BestPicker struct{ Random *rand.Rand }

// Name is the stage's name in logs.
func (BestPicker) Name() string { return "best" }

// Pick draws among the endpoints that share the highest score.
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

// TwoChoicesPicker draws two endpoints and takes the better one, so that many
// choosers with old data do not all take the same.
type TwoChoicesPicker struct{ Random *rand.Rand }

// Name is the stage's name in logs.
func (TwoChoicesPicker) Name() string { return "two-choices" }

// Pick compares two drawn endpoints.
func (p TwoChoicesPicker) Pick(_ *Request, scored []Scored) Scored {
	first := scored[p.Random.IntN(len(scored))]
	second := scored[p.Random.IntN(len(scored))]
	if second.Score > first.Score {
		return second
	}
	return first
}
