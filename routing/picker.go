package routing

import "math/rand/v2"

// BestPicker takes the highest score; ties are drawn.
type BestPicker struct{ Random *rand.Rand }

// Name is the stage's name in logs.
func (BestPicker) Name() string { return "best" }

// Pick draws among the endpoints that share the highest score.
func (p BestPicker) Pick(_ Request, scored []Scored) Scored {
	best := scored[:1]
	for _, candidate := range scored[1:] {
		switch {
		case candidate.Score > best[0].Score:
			best = []Scored{candidate}
		case candidate.Score == best[0].Score:
			best = append(best[:len(best):len(best)], candidate)
		}
	}
	return best[p.Random.IntN(len(best))]
}

// TwoChoicesPicker draws two endpoints and takes the better one, so that many
// choosers with old data do not all take the same.
type TwoChoicesPicker struct{ Random *rand.Rand }

// Name is the stage's name in logs.
func (TwoChoicesPicker) Name() string { return "two-choices" }

// Pick compares two drawn endpoints.
func (p TwoChoicesPicker) Pick(_ Request, scored []Scored) Scored {
	first := scored[p.Random.IntN(len(scored))]
	second := scored[p.Random.IntN(len(scored))]
	if second.Score > first.Score {
		return second
	}
	return first
}
