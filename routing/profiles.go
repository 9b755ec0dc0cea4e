package routing

import (
	"math/rand/v2"
	"sync/atomic"

	"github.com/dykewing/dykewing/api"
)

// Weights of the scorers in the profiles.
const (
	firstTokenWeight = 4
	onlineLoadWeight = 0.25
	onlineZoneWeight = 0.05
	homeLoadWeight   = 2
	homeZoneWeight   = 0.25
)

// OnlineProfile is how a home chooses the worker of an online request.
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

// BatchProfile is how a home chooses the worker of a batch request among those
// with idle room.
func BatchProfile(random *rand.Rand) Profile {
	return Profile{
		Name:    "batch",
		Filters: []Filter{RowFilter{}, NotLeavingFilter{}},
		Scorers: []WeightedScorer{{Scorer: LoadScorer{}, Weight: 1}},
		Picker:  BestPicker{Random: random},
	}
}

// HomeProfile is how a sidecar chooses a home router by summaries.
func HomeProfile(self api.Location, random *rand.Rand) Profile {
	return Profile{
		Name:    "home",
		Filters: []Filter{RowFilter{}, NotLeavingFilter{}, NotTriedFilter{}},
		Scorers: []WeightedScorer{
			{Scorer: LoadScorer{}, Weight: homeLoadWeight},
			{Scorer: ZoneScorer{Self: self}, Weight: homeZoneWeight},
		},
		Picker: TwoChoicesPicker{Random: random},
	}
}

// HomeEndpoint is a home router as a candidate for one of its rows, by its last
// report; nothing has been sent there since.
func HomeEndpoint(node api.Node, summary api.ServiceSummary) Endpoint {
	return Endpoint{
		Name: string(node.ID), Address: node.Address, Key: summary.Key(), Location: node.Location,
		Slots: summary.Slots, Online: summary.Online, Batch: summary.Batch, Leaving: node.Leaving,
		Sent: new(atomic.Int64),
	}
}
