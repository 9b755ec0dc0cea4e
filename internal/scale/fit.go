package scale

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Slope is a straight line fitted by least squares.
type Slope struct {
	What      string  `json:"what"`      // the measure, with its unit
	Of        string  `json:"of"`        // the size that it grows with
	Intercept float64 `json:"intercept"` // at size 0
	PerUnit   float64 `json:"per_unit"`
	RSquared  float64 `json:"r_squared"` // 1 when all points lie on the line
}

// Fit fits a line through at least two points.
func Fit(what, of string, sizes, values []float64) Slope {
	intercept, perUnit := stat.LinearRegression(sizes, values, nil, false)
	squared := stat.RSquared(sizes, values, nil, intercept, perUnit)
	if math.IsNaN(squared) {
		squared = 1 // all values are the same
	}
	return Slope{What: what, Of: of, Intercept: intercept, PerUnit: perUnit, RSquared: squared}
}

// At is the line's value at a size.
func (s Slope) At(size float64) float64 { return s.Intercept + s.PerUnit*size }
