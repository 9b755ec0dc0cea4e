// Package routing chooses an endpoint for a request in named stages: filters
// leave out what can't take it, scorers rate the rest, a picker takes one. The
// data that the stages read (Endpoint) is kept elsewhere; admission decides
// whether a request runs at all.
package routing

import (
	"math/rand/v2"
	"sync/atomic"

	"github.com/dykewing/dykewing/api"
)

// Request is what the stages may know of a request.
type Request struct {
	ID         api.RequestID
	Tenant     api.TenantID
	Service    api.ServiceName
	Place      api.PlaceName // chosen by weight; empty before
	Class      api.Class
	Repeatable bool
	Prefix     []uint64 // hashes of growing prefixes of the prompt, block by block
	Excluded   []string // endpoint names already tried
}

// Endpoint is a candidate: a worker seen by its home, or a home seen by others.
type Endpoint struct {
	Name     string // worker id or node id
	Address  string
	Key      api.RowKey
	Location api.Location
	Slots    int
	Online   int // online requests in flight, with those sent since the last report
	Batch    int
	Starting int // online requests that have no first token yet, of Online
	Leaving  bool
	// Sent counts what was sent there since the report that the other figures
	// come from, which it corrects for its age; nil where they are exact.
	Sent *atomic.Int64
	// Cached is how many leading blocks of the request's prompt are thought to
	// be in the endpoint's prefix cache.
	Cached int
	// Pending is how many blocks of prompt online requests there have yet to
	// be computed before their first token.
	Pending int
	// BatchStarting counts batch requests sent there a moment ago, whose
	// prompts are likely being computed.
	BatchStarting int
}

// Filter leaves out endpoints that can't take the request.
type Filter interface {
	Name() string
	Keep(request *Request, endpoint *Endpoint) bool
}

// Scorer rates an endpoint within 0 (worst) to 1 (best).
type Scorer interface {
	Name() string
	Score(request *Request, endpoint *Endpoint) float64
}

// Picker takes one of the scored endpoints; scored is never empty.
type Picker interface {
	Name() string
	Pick(request *Request, scored []Scored) Scored
}

// Scored is an endpoint with its weighted score.
type Scored struct {
	Endpoint *Endpoint
	Score    float64
}

// WeightedScorer is a scorer with its share of the sum.
type WeightedScorer struct {
	Scorer Scorer
	Weight float64
}

// Profile is a named set of stages.
type Profile struct {
	Name    string
	Filters []Filter
	Scorers []WeightedScorer
	Picker  Picker
}

// Choose runs the stages over the endpoints; false when none is left.
func (p Profile) Choose(request Request, endpoints []Endpoint) (Endpoint, bool) {
	chooser := Chooser{Profile: p, scored: make([]Scored, 0, len(endpoints))}
	return chooser.Choose(request, endpoints)
}

func (p Profile) keeps(request *Request, endpoint *Endpoint) bool {
	for _, filter := range p.Filters {
		if !filter.Keep(request, endpoint) {
			return false
		}
	}
	return true
}

func (p Profile) score(request *Request, endpoint *Endpoint) float64 {
	total := 0.0
	for _, weighted := range p.Scorers {
		total += weighted.Weight * weighted.Scorer.Score(request, endpoint)
	}
	return total
}

// ChoosePlace draws one of the rows by weight; false when all weights are 0.
func ChoosePlace(rows []api.Row, random *rand.Rand) (api.Row, bool) {
	total := 0.0
	for _, row := range rows {
		total += row.Weight
	}
	if total <= 0 {
		return api.Row{}, false
	}
	draw := random.Float64() * total
	for _, row := range rows {
		if draw < row.Weight {
			return row, true
		}
		draw -= row.Weight
	}
	return lastWeighted(rows), true
}

func lastWeighted(rows []api.Row) api.Row {
	for i := len(rows) - 1; i >= 0; i-- {
		if rows[i].Weight > 0 {
			return rows[i]
		}
	}
	return api.Row{}
}
