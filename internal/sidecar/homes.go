package sidecar

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/routing"
)

// globalSource is a rand.Source over the top-level generator of math/rand/v2, which is
// safe for concurrent use.
type globalSource struct{}

func (globalSource) Uint64() uint64 { return rand.Uint64() }

// homeIndex is an immutable index of the home routers in a view.
type homeIndex struct {
	byRow   map[api.RowKey][]routing.Endpoint
	routers []api.Node // not leaving
	leaving int        // number of leaving routers
	reports map[api.NodeID]homeReport
}

// homeReport identifies a router's load report and counts the requests sent there since.
type homeReport struct {
	incarnation uint64
	sequence    uint64
	sent        map[api.RowKey]*atomic.Int64
}

// newHomeIndex keeps the counts of sent requests for routers whose report has not changed
// since the previous index.
func newHomeIndex(nodes []api.Node, previous *homeIndex) *homeIndex {
	index := &homeIndex{byRow: map[api.RowKey][]routing.Endpoint{}, reports: map[api.NodeID]homeReport{}}
	for _, node := range nodes {
		switch {
		case node.Role != api.RoleRouter:
		case node.Leaving:
			index.leaving++
		default:
			index.routers = append(index.routers, node)
		}
		report := reportOf(node, previous)
		index.reports[node.ID] = report
		for _, summary := range node.Summary.Services {
			if summary.Workers == 0 || node.Leaving {
				continue
			}
			endpoint := routing.HomeEndpoint(node, summary)
			endpoint.Sent = report.counter(summary.Key())
			index.byRow[summary.Key()] = append(index.byRow[summary.Key()], endpoint)
		}
	}
	return index
}

func reportOf(node api.Node, previous *homeIndex) homeReport {
	if previous != nil {
		known, ok := previous.reports[node.ID]
		if ok && known.incarnation == node.Incarnation && known.sequence == node.Summary.Sequence {
			return known
		}
	}
	return homeReport{incarnation: node.Incarnation, sequence: node.Summary.Sequence, sent: map[api.RowKey]*atomic.Int64{}}
}

func (r homeReport) counter(key api.RowKey) *atomic.Int64 {
	counter, ok := r.sent[key]
	if !ok {
		counter = new(atomic.Int64)
		r.sent[key] = counter
	}
	return counter
}

func (s *Sidecar) setHomes(nodes []api.Node) {
	s.unavailable.prune(nodes)
	index := newHomeIndex(nodes, s.homes.Load())
	s.homes.Store(index)
	if index.leaving > 0 {
		s.online.CloseIdleConnections() // a leaving router waits for its connections to close
	}
}

// homeProfile returns the profile for choosing a home router of a row. Since the load
// summaries are stale, it picks the better of two random choices, so that sidecars do not
// all choose the same router.
func homeProfile(self api.Location, random *rand.Rand, avoided *unavailableHomes) routing.Profile {
	return routing.Profile{
		Name:    "home",
		Filters: []routing.Filter{routing.NotTriedFilter{}, avoided},
		Scorers: []routing.WeightedScorer{
			{Scorer: routing.LoadScorer{}, Weight: 2},
			{Scorer: routing.ZoneScorer{Self: self}, Weight: 0.25},
		},
		Picker: routing.PowerOfTwoPicker{Random: random},
	}
}

// chooseHome picks a place by weight and a home router in it, skipping places without
// one. If all homes have failed or are excluded, it considers all of them again.
func (s *Sidecar) chooseHome(routed *routing.Request) (routing.Endpoint, *api.Error) {
	const step = "choose router"
	endpoint, ok := s.pickHome(routed, s.profile)
	if !ok {
		everyHome := s.profile
		everyHome.Filters = nil
		routed.Excluded = nil
		endpoint, ok = s.pickHome(routed, everyHome)
	}
	if ok {
		return endpoint, nil
	}
	failure := api.NewError(step, "", api.CodeNoCapacity, api.OutcomeNotRun, "no router has a worker for %q", routed.Service)
	failure.RetryAfter = time.Second
	return routing.Endpoint{}, failure
}

func (s *Sidecar) pickHome(routed *routing.Request, profile routing.Profile) (routing.Endpoint, bool) {
	rows := s.table.Load().Service(routed.Service)
	homes := s.homes.Load()
	for len(rows) > 0 {
		row, ok := routing.ChoosePlace(rows, s.random)
		if !ok {
			break
		}
		routed.Place = row.Place
		if endpoint, ok := profile.Choose(*routed, homes.byRow[row.Key()]); ok {
			endpoint.Sent.Add(1)
			return endpoint, true
		}
		rows = without(rows, row)
	}
	return routing.Endpoint{}, false
}

func without(rows []api.Row, left api.Row) []api.Row {
	var rest []api.Row
	for _, row := range rows {
		if row.Place != left.Place {
			rest = append(rest, row)
		}
	}
	return rest
}
