// Package routing chooses an endpoint for a request in named stages: filters exclude
// endpoints, scorers rate the remaining ones, and a picker chooses one. It does not
// maintain the endpoints, and admission of requests is decided elsewhere.
package routing

import (
	"math/rand/v2"
	"sync/atomic"

	"github.com/dykewing/dykewing/api"
)

// Request holds the attributes of a request that stages may use.
type Request struct {
	ID         api.RequestID
	Tenant     api.TenantID
	Service    api.ServiceName
	Place      api.PlaceName // empty until chosen by weight
	Class      api.Class
	Repeatable bool
	Prefix     []uint64 // prompt prefix hashes, see PrefixHashes
	Excluded   []string // endpoint names already tried
}

// Endpoint is a candidate: a worker as seen by its home, or a home as seen by other
// nodes.
type Endpoint struct {
	Name               string // worker id or node id
	Address            string
	Key                api.RowKey
	Location           api.Location
	Slots              int
	Online             int // online requests in flight, including those sent since the last report
	Batch              int
	AwaitingFirstToken int // those of Online without a first token
	Leaving            bool
	// The number of requests sent since the report of the load, as a correction;
	// nil if the load is exact.
	Sent *atomic.Int64
	// CachedBlocks is the estimated number of leading prompt blocks of the request in
	// the endpoint's prefix cache.
	CachedBlocks int
	// PendingBlocks is the number of uncached prompt blocks of the online requests there
	// that have no first token yet.
	PendingBlocks int
	// BatchStarting is the number of recently sent batch requests, whose prefill is
	// probably running.
	BatchStarting int
}

// Filter excludes endpoints that cannot serve the request.
type Filter interface {
	Name() string
	Keep(request *Request, endpoint *Endpoint) bool
}

// Scorer rates an endpoint from 0 (worst) to 1 (best).
type Scorer interface {
	Name() string
	Score(request *Request, endpoint *Endpoint) float64
}

// Picker chooses one of the scored endpoints. scored is never empty.
type Picker interface {
	Name() string
	Pick(request *Request, scored []Scored) Scored
}

// Scored is an endpoint with its weighted score.
type Scored struct {
	Endpoint *Endpoint
	Score    float64
}

// WeightedScorer is a scorer with its weight in the total score.
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

// Choose runs the stages on the endpoints. It returns false if none remains.
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

// ChoosePlace draws a row by weight. It returns false if all weights are 0.
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
