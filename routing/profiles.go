package routing

import (
	"math/rand/v2"
	"sync/atomic"

	"github.com/dykewing/dykewing/api"
)

// Scorer weights of the profiles.
const (
	firstTokenWeight = 4
	onlineLoadWeight = 0.25
	onlineZoneWeight = 0.05
	homeLoadWeight   = 2
	homeZoneWeight   = 0.25
)

// OnlineProfile is the profile by which a home chooses a worker for an online request.
func OnlineProfile(self api.Location, random *rand.Rand) Profile {
	return Profile{
		Name:    "online",
		Filters: []Filter{RowFilter{}, NotLeavingFilter{}, NotTriedFilter{}},
		Scorers: []WeightedScorer{
			{Scorer: FirstTokenScorer{}, Weight: firstTokenWeight},
			{Scorer: LoadScorer{}, Weight: onlineLoadWeight},
			{Scorer: ZoneScorer{Self: self}, Weight: onlineZoneWeight},
		},
		Picker: BestPicker{Random: random},
	}
}

// BatchProfile is the profile by which a home chooses a worker for a batch request
// among those with idle slots.
func BatchProfile(random *rand.Rand) Profile {
	return Profile{
		Name:    "batch",
		Filters: []Filter{RowFilter{}, NotLeavingFilter{}},
		Scorers: []WeightedScorer{{Scorer: LoadScorer{}, Weight: 1}},
		Picker:  BestPicker{Random: random},
	}
}

// HomeProfile is the profile by which a sidecar chooses a home router from load
// summaries.
func HomeProfile(self api.Location, random *rand.Rand) Profile {
	return Profile{
		Name:    "home",
		Filters: []Filter{RowFilter{}, NotLeavingFilter{}, NotTriedFilter{}},
		Scorers: []WeightedScorer{
			{Scorer: LoadScorer{}, Weight: homeLoadWeight},
			{Scorer: ZoneScorer{Self: self}, Weight: homeZoneWeight},
		},
		Picker: PowerOfTwoPicker{Random: random},
	}
}

// HomeEndpoint returns the endpoint of a home router for one of its rows, with the
// load of its last report and no requests sent since.
func HomeEndpoint(node api.Node, summary api.ServiceSummary) Endpoint {
	return Endpoint{
		Name: string(node.ID), Address: node.Address, Key: summary.Key(), Location: node.Location,
		Slots: summary.Slots, Online: summary.Online, Batch: summary.Batch, Leaving: node.Leaving,
		Sent: new(atomic.Int64),
	}
}
