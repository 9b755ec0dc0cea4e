package experiment

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/routing"
)

// maxAttempts limits the attempts per request, as the sidecar's retry policy
// does.
const maxAttempts = 4

// sidecar simulates the sidecar of the callers in a zone.
type sidecar struct {
	fleet   *fleet
	zone    api.ZoneName
	random  *rand.Rand
	chooser routing.Chooser
	view    []routing.Endpoint // homes as of the last heartbeat
}

func newSidecar(f *fleet, zone int) *sidecar {
	random := f.random
	location := api.Location{Zone: zoneName(zone)}
	return &sidecar{
		fleet: f, zone: location.Zone, random: random,
		chooser: routing.Chooser{Profile: routing.HomeProfile(location, random)},
	}
}

func (s *sidecar) start() {
	s.readHeartbeats()
}

// readHeartbeats reads the routers' summaries once per heartbeat interval.
func (s *sidecar) readHeartbeats() {
	view := make([]routing.Endpoint, 0, len(s.view))
	for _, router := range s.fleet.routers {
		for _, summary := range router.machine.Summaries() {
			if summary.Workers > 0 {
				view = append(view, routing.HomeEndpoint(router.node, summary))
			}
		}
	}
	s.fleet.simulation.After(s.fleet.scenario.Network.BetweenZones, func() { s.view = view })
	s.fleet.simulation.After(s.fleet.scenario.Fleet.Heartbeat, s.readHeartbeats)
}

// onlineRequest is a caller's request.
type onlineRequest struct {
	routed   routing.Request
	work     Work
	began    time.Time
	attempts int
	answered bool // the first token has been received
}

func (s *sidecar) receive(arrival arrival) {
	request := &onlineRequest{work: arrival.work, began: s.fleet.simulation.Now()}
	request.routed = routing.Request{
		ID: s.fleet.newID("online"), Service: arrival.work.Service, Class: api.ClassOnline,
		Repeatable: true, Prefix: arrival.work.Blocks,
	}
	s.fleet.measure.arrived(arrival.work.Service, request.began)
	s.send(request)
}

func (s *sidecar) send(request *onlineRequest) {
	request.attempts++
	home, ok := s.choose(&request.routed)
	if !ok || request.attempts > maxAttempts {
		s.fleet.measure.failed(request.work.Service, request.began)
		return
	}
	router := s.fleet.byNode[api.NodeID(home.Name)]
	delay := s.fleet.scenario.Network.ToCallers + s.fleet.latency(s.zone, router.node.Location.Zone)
	home.Sent.Add(1)
	routed := request.routed
	routed.ID = s.fleet.newID("attempt")
	retry := func() {
		s.fleet.simulation.After(delay, func() {
			request.routed.Excluded = append(slices.Clip(request.routed.Excluded), home.Name)
			s.fleet.measure.retried(request.work.Service, request.began)
			s.send(request)
		})
	}
	s.fleet.simulation.After(delay, func() {
		router.admit(routed, request.work, nil, attempt{
			onNotRun: retry,
			onBroken: retry,
			onToken:  func(index int, last bool) { s.handleToken(request, delay, index, last) },
		})
	})
}

func (s *sidecar) handleToken(request *onlineRequest, delay time.Duration, index int, last bool) {
	now := s.fleet.simulation.Now()
	if index == 0 && !request.answered {
		request.answered = true
		s.fleet.measure.firstToken(request.work.Service, request.began, now.Add(delay).Sub(request.began))
	}
	if last {
		s.fleet.measure.finished(request.work.Service, request.began)
	}
}

// choose picks a place at random by weight, then a home within it. When all
// homes are excluded it clears the exclusions and picks again.
func (s *sidecar) choose(routed *routing.Request) (routing.Endpoint, bool) {
	var rows []api.Row
	for _, service := range s.fleet.scenario.Services {
		if service.Name != routed.Service {
			continue
		}
		for _, place := range service.Places {
			rows = append(rows, s.fleet.rows[api.RowKey{Service: service.Name, Place: place.Name}])
		}
	}
	row, ok := routing.ChoosePlace(rows, s.random)
	if !ok {
		return routing.Endpoint{}, false
	}
	routed.Place = row.Place
	endpoint, ok := s.chooser.Choose(*routed, s.view)
	if !ok && len(routed.Excluded) > 0 {
		routed.Excluded = nil
		endpoint, ok = s.chooser.Choose(*routed, s.view)
	}
	return endpoint, ok
}
