package sidecar

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/routing"
)

// globalSource draws from the runtime's generators, which goroutines use side
// by side without a lock.
type globalSource struct{}

// Uint64 draws.
func (globalSource) Uint64() uint64 { return rand.Uint64() }

// homeIndex is the view of home routers, built once a view so that requests
// only read it. It is immutable.
type homeIndex struct {
	byRow   map[api.RowKey][]routing.Endpoint
	routers []api.Node // not leaving
	leaving int        // routers that are
	reports map[api.NodeID]homeReport
}

// homeReport is a router's load report with what was sent there since.
type homeReport struct {
	incarnation uint64
	sequence    uint64
	sent        map[api.RowKey]*atomic.Int64
}

// newHomeIndex goes on with the counts of what was sent for routers whose
// report has not changed since the previous index.
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
	s.avoided.forget(nodes)
	index := newHomeIndex(nodes, s.homes.Load())
	s.homes.Store(index)
	if index.leaving > 0 {
		s.online.CloseIdleConnections() // a router that leaves waits for it
	}
}

// homeProfile chooses a home router by the summaries, which are old: two
// choices keep many sidecars from all taking the same. The endpoints given to
// it are of one row and stay.
func homeProfile(self api.Location, random *rand.Rand, avoided *avoidance) routing.Profile {
	return routing.Profile{
		Name:    "home",
		Filters: []routing.Filter{routing.NotTriedFilter{}, avoided},
		Scorers: []routing.WeightedScorer{
			{Scorer: routing.LoadScorer{}, Weight: 2},
			{Scorer: routing.ZoneScorer{Self: self}, Weight: 0.25},
		},
		Picker: routing.TwoChoicesPicker{Random: random},
	}
}

// chooseHome draws a place by weight and a home router in it; places without
// one are left out. When all homes have failed or are avoided, all are tried
// again.
func (s *Sidecar) chooseHome(routed *routing.Request) (routing.Endpoint, *api.Error) {
	const step = "choose router"
	endpoint, ok := s.drawHome(routed, s.profile)
	if !ok {
		everyHome := s.profile
		everyHome.Filters = nil
		routed.Excluded = nil
		endpoint, ok = s.drawHome(routed, everyHome)
	}
	if ok {
		return endpoint, nil
	}
	failure := api.NewError(step, "", api.CodeNoCapacity, api.OutcomeNotRun, "no router has a worker for %q", routed.Service)
	failure.RetryAfter = time.Second
	return routing.Endpoint{}, failure
}

func (s *Sidecar) drawHome(routed *routing.Request, profile routing.Profile) (routing.Endpoint, bool) {
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
	var kept []api.Row
	for _, row := range rows {
		if row.Place != left.Place {
			kept = append(kept, row)
		}
	}
	return kept
}
