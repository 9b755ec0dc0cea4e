package transport

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// Kind is a class of traffic, a label of the metrics.
type Kind string

// Kinds of traffic.
const (
	KindLog          Kind = "log"     // between replicas of a group
	KindJobs         Kind = "jobs"    // commands to and reads from leaders of groups
	KindWorkers      Kind = "workers" // requests and batch items to workers
	KindReservations Kind = "places"  // requests for slot reservations at workers
	KindControl      Kind = "control" // configuration, origins, identities
	KindGossip       Kind = "gossip"  // heartbeats
)

// Crossing says whether a connection crosses the boundary of this process's zone.
type Crossing string

// Values of Crossing.
const (
	CrossingNone    Crossing = "none"    // the peer is in this zone
	CrossingZones   Crossing = "zones"   // the peer is in another zone
	CrossingUnknown Crossing = "unknown" // the zone of the peer or of this process is unknown
)

// Values of the direction label.
const (
	directionSent     = "sent"
	directionReceived = "received"
)

// Names of the metrics.
const (
	TrafficMetric     = "dykewing_traffic_bytes_total"
	ConnectionsMetric = "dykewing_traffic_connections_total"
)

// Traffic counts the bytes, including headers, of the connections that a process opens, by
// kind, direction and crossing. Traffic between two dykewing processes is counted once, by
// the process that opened the connection. Traffic is a prometheus.Collector with at most
// kinds x crossings x directions series of bytes and one series of connections per kind.
// It is safe for concurrent use.
type Traffic struct {
	zone   string // of this process
	zoneOf func(address string) (zone string, known bool)

	mutex  sync.Mutex // guards counts
	counts map[Kind]map[Crossing]*byteCounters
	dials  map[Kind]*atomic.Int64
	bytes  *prometheus.Desc
	opened *prometheus.Desc
}

type byteCounters struct{ sent, received atomic.Int64 }

// NewTraffic returns the counts of a process in the zone; zoneOf, which may be nil, returns
// the zone of a dykewing process by its address. If zone is empty, every crossing is
// CrossingUnknown.
func NewTraffic(zone string, zoneOf func(address string) (zone string, known bool)) *Traffic {
	return &Traffic{
		zone: zone, zoneOf: zoneOf, counts: map[Kind]map[Crossing]*byteCounters{}, dials: map[Kind]*atomic.Int64{},
		opened: prometheus.NewDesc(ConnectionsMetric, "Connections that this process opened, by kind.", []string{"kind"}, nil),
		bytes: prometheus.NewDesc(TrafficMetric, "Bytes of connections that this process opened, by kind, direction and crossing of zones.",
			[]string{"kind", "direction", "crossing"}, nil),
	}
}

// Describe implements prometheus.Collector.
func (t *Traffic) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- t.bytes
	descriptions <- t.opened
}

// Collect implements prometheus.Collector.
func (t *Traffic) Collect(metrics chan<- prometheus.Metric) {
	t.each(func(kind Kind, crossing Crossing, sent, received int64) {
		metrics <- prometheus.MustNewConstMetric(t.bytes, prometheus.CounterValue, float64(sent), string(kind), directionSent, string(crossing))
		metrics <- prometheus.MustNewConstMetric(t.bytes, prometheus.CounterValue, float64(received), string(kind), directionReceived, string(crossing))
	})
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for kind, dials := range t.dials {
		metrics <- prometheus.MustNewConstMetric(t.opened, prometheus.CounterValue, float64(dials.Load()), string(kind))
	}
}

// CrossZoneBytes returns the total cross-zone bytes in both directions by kind.
func (t *Traffic) CrossZoneBytes() map[Kind]int64 {
	crossed := map[Kind]int64{}
	t.each(func(kind Kind, crossing Crossing, sent, received int64) {
		if crossing == CrossingZones {
			crossed[kind] += sent + received
		}
	})
	return crossed
}

func (t *Traffic) each(visit func(kind Kind, crossing Crossing, sent, received int64)) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for kind, byCrossing := range t.counts {
		for crossing, flow := range byCrossing {
			visit(kind, crossing, flow.sent.Load(), flow.received.Load())
		}
	}
}

func (t *Traffic) counters(kind Kind, crossing Crossing) *byteCounters {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.counts[kind] == nil {
		t.counts[kind] = map[Crossing]*byteCounters{}
	}
	if t.counts[kind][crossing] == nil {
		t.counts[kind][crossing] = &byteCounters{}
	}
	return t.counts[kind][crossing]
}

// dialCounter returns the counter of connections of a kind.
func (t *Traffic) dialCounter(kind Kind) *atomic.Int64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.dials[kind] == nil {
		t.dials[kind] = &atomic.Int64{}
	}
	return t.dials[kind]
}

// classify returns the crossing of connections to a peer. If zone is empty, it looks up the
// zone by the address.
func (t *Traffic) classify(address, zone string) Crossing {
	if zone == "" && t.zoneOf != nil {
		zone, _ = t.zoneOf(address)
	}
	switch {
	case zone == "" || t.zone == "":
		return CrossingUnknown
	case zone == t.zone:
		return CrossingNone
	}
	return CrossingZones
}

type peerZoneKey struct{}

// WithPeerZone returns a context that sets the zone of a request's peer, for peers that
// are not dykewing processes, such as workers.
func WithPeerZone(ctx context.Context, zone string) context.Context {
	if zone == "" {
		return ctx
	}
	return context.WithValue(ctx, peerZoneKey{}, zone)
}

// Instrument instruments connections that the client opens from now on and returns the client.
// It does nothing if t is nil or if the client's transport is not a *RoundTripper. It
// must be called before the client is used.
func (t *Traffic) Instrument(client *http.Client, kind Kind) *http.Client {
	pool, ok := client.Transport.(*RoundTripper)
	if t == nil || !ok {
		return client
	}
	dial, dials := pool.DialContext, t.dialCounter(kind)
	pool.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if counted, ok := conn.(*countingConn); ok && err == nil {
			dials.Add(1)
			zone, _ := ctx.Value(peerZoneKey{}).(string)
			counted.meter = &connMeter{traffic: t, kind: kind, address: address, zone: zone}
		}
		return conn, err
	}
	return client
}

// connMeter counts the bytes of one connection. The zone of the peer may become known after
// the connection was opened, so that it is looked up until then.
type connMeter struct {
	traffic       *Traffic
	kind          Kind
	address, zone string
	resolved      atomic.Pointer[byteCounters] // set once the crossing is known
}

func (m *connMeter) counters() *byteCounters {
	if known := m.resolved.Load(); known != nil {
		return known
	}
	crossing := m.traffic.classify(m.address, m.zone)
	found := m.traffic.counters(m.kind, crossing)
	if crossing != CrossingUnknown {
		m.resolved.Store(found)
	}
	return found
}

func (m *connMeter) sent(n int) {
	if m != nil && n > 0 {
		m.counters().sent.Add(int64(n))
	}
}

func (m *connMeter) received(n int) {
	if m != nil && n > 0 {
		m.counters().received.Add(int64(n))
	}
}
