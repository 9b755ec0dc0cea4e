package routing

import "github.com/dykewing/dykewing/api"

// LoadScorer prefers endpoints with free slots. Batch counts less than online
// requests, since it is preempted.
type LoadScorer struct{}

// batchLoadWeight is the load of a batch request, relative to an online one, when
// choosing for an online request.
const batchLoadWeight = 0.25

// Name is the stage's name in logs.
func (LoadScorer) Name() string { return "load" }

// Score returns slots / (slots + load): 1 when idle, 0.5 when full.
func (LoadScorer) Score(request *Request, endpoint *Endpoint) float64 {
	share := batchLoadWeight
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

// ZoneScorer prefers the zone of Self, then its region.
type ZoneScorer struct{ Self api.Location }

const sameRegionScore = 0.5

// Name is the stage's name in logs.
func (ZoneScorer) Name() string { return "zone" }

// Score returns 1 in the same zone, 0.5 in the same region, and 0 elsewhere.
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

// Score returns the estimated share of the prompt's blocks in the cache.
func (PrefixScorer) Score(request *Request, endpoint *Endpoint) float64 {
	if len(request.Prefix) == 0 {
		return 0
	}
	return float64(endpoint.CachedBlocks) / float64(len(request.Prefix))
}

// FirstTokenScorer prefers endpoints with the shortest expected time to first token,
// estimated from the prompt blocks to compute for this and earlier requests.
type FirstTokenScorer struct{}

const (
	halfScoreBlocks     = 64.0 // blocks at which the score is 0.5
	batchStartingBlocks = 12.0 // blocks per batch request in prefill
	onlineRequestBlocks = 0.5  // blocks per online request in flight
)

// Name is the stage's name in logs.
func (FirstTokenScorer) Name() string { return "first-token" }

// Score returns 1 if no block has to be computed, and decreases towards 0.
func (FirstTokenScorer) Score(request *Request, endpoint *Endpoint) float64 {
	blocks := float64(endpoint.PendingBlocks + len(request.Prefix) - endpoint.CachedBlocks)
	blocks += batchStartingBlocks * float64(endpoint.BatchStarting)
	blocks += onlineRequestBlocks * float64(endpoint.Online)
	return halfScoreBlocks / (halfScoreBlocks + blocks)
}
