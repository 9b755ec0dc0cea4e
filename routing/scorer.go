package routing

import "github.com/dykewing/dykewing/api"

// LoadScorer prefers endpoints with free slots; batch counts little, since it
// yields to online work.
type LoadScorer struct{}

// batchLoadShare is how much a batch request weighs against an online one
// when an online request chooses.
const batchLoadShare = 0.25

// Name is the stage's name in logs.
func (LoadScorer) Name() string { return "load" }

// Score is 1 when idle and falls towards 0 as load passes the slots.
func (LoadScorer) Score(request *Request, endpoint *Endpoint) float64 {
	share := batchLoadShare
	if request.Class == api.ClassBatch {
		share = 1
	}
	load := float64(endpoint.Online) + share*float64(endpoint.Batch)
	if endpoint.Sent != nil {
		load += float64(endpoint.Sent.Load())
	}
	slots := float64(max(endpoint.Slots, 1))
	return slots / (slots + load)
}

// ZoneScorer prefers the own zone, then the own region.
type ZoneScorer struct{ Self api.Location }

const sameRegionScore = 0.5

// Name is the stage's name in logs.
func (ZoneScorer) Name() string { return "zone" }

// Score is 1 in the zone, 0.5 in the region, else 0.
func (s ZoneScorer) Score(_ *Request, endpoint *Endpoint) float64 {
	switch {
	case endpoint.Location == s.Self:
		return 1
	case endpoint.Location.Region == s.Self.Region:
		return sameRegionScore
	}
	return 0
}

// PrefixScorer prefers endpoints that hold the prompt's prefix in their cache.
type PrefixScorer struct{}

// Name is the stage's name in logs.
func (PrefixScorer) Name() string { return "prefix" }

// Score is the share of the prompt's blocks thought to be cached.
func (PrefixScorer) Score(request *Request, endpoint *Endpoint) float64 {
	if len(request.Prefix) == 0 {
		return 0
	}
	return float64(endpoint.Cached) / float64(len(request.Prefix))
}

// FirstTokenScorer prefers endpoints where the first token will come soonest:
// few blocks of prompt to compute, of this request and of those before it.
type FirstTokenScorer struct{}

const (
	firstTokenScale     = 64.0 // blocks at which the score is a half
	batchStartingBlocks = 12.0 // a batch prompt that is being computed
	onlineRequestBlocks = 0.5  // an online request that makes tokens
)

// Name is the stage's name in logs.
func (FirstTokenScorer) Name() string { return "first-token" }

// Score is 1 when nothing has to be computed and falls towards 0.
func (FirstTokenScorer) Score(request *Request, endpoint *Endpoint) float64 {
	blocks := float64(endpoint.Pending + len(request.Prefix) - endpoint.Cached)
	blocks += batchStartingBlocks * float64(endpoint.BatchStarting)
	blocks += onlineRequestBlocks * float64(endpoint.Online)
	return firstTokenScale / (firstTokenScale + blocks)
}
