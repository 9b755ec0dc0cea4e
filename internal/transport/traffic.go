package transport

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// Kind names what a client's connections carry.
type Kind string

// The kinds of connections that are counted.
const (
	KindLog     Kind = "log"     // between replicas of a group
	KindJobs    Kind = "jobs"    // commands to and reads from leaders of groups
	KindWorkers Kind = "workers" // requests and items to workers, and their answers
	KindPlaces  Kind = "places"  // questions for places at workers
	KindControl Kind = "control" // configuration, origins, identities
	KindGossip  Kind = "gossip"  // heartbeats
)

// Crossing tells whether a connection leaves this process's zone.
type Crossing string

// The crossings.
const (
	CrossingNone    Crossing = "none"    // the peer is in this zone
	CrossingZones   Crossing = "zones"   // the peer is in another
	CrossingUnknown Crossing = "unknown" // nobody has told where the peer is
)

// Directions of bytes.
const (
	directionSent     = "sent"
	directionReceived = "received"
)

// Names of the counters among a process's metrics.
const (
	TrafficName     = "dykewing_traffic_bytes_total"
	ConnectionsName = "dykewing_traffic_connections_total"
)

// Traffic counts the bytes of the connections that a process opens, with their headers,
// by kind, direction and whether they cross zones. A byte between two own processes is
// counted once, by the one that opened the connection. It is a prometheus.Collector with
// at most kinds x crossings x directions series, and one a kind of the connections.
type Traffic struct {
	zone   string // of this process
	zoneOf func(address string) (zone string, known bool)

	mutex  sync.Mutex // guards counts
	counts map[Kind]map[Crossing]*flow
	dials  map[Kind]*atomic.Int64
	bytes  *prometheus.Desc
	opened *prometheus.Desc
}

type flow struct{ sent, received atomic.Int64 }

// NewTraffic gives a count for a process of a zone; zoneOf tells where own processes are.
// A process that knows no zone of its own takes every peer's for unknown.
func NewTraffic(zone string, zoneOf func(address string) (zone string, known bool)) *Traffic {
	return &Traffic{
		zone: zone, zoneOf: zoneOf, counts: map[Kind]map[Crossing]*flow{}, dials: map[Kind]*atomic.Int64{},
		opened: prometheus.NewDesc(ConnectionsName, "Connections that this process opened, by kind.", []string{"kind"}, nil),
		bytes: prometheus.NewDesc(TrafficName, "Bytes of connections that this process opened, by kind, direction and crossing of zones.",
			[]string{"kind", "direction", "crossing"}, nil),
	}
}

// Describe is prometheus.Collector's.
func (t *Traffic) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- t.bytes
	descriptions <- t.opened
}

// Collect is prometheus.Collector's.
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

// Crossed gives, by kind, the bytes that crossed zones so far in both directions.
func (t *Traffic) Crossed() map[Kind]int64 {
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

func (t *Traffic) flow(kind Kind, crossing Crossing) *flow {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.counts[kind] == nil {
		t.counts[kind] = map[Crossing]*flow{}
	}
	if t.counts[kind][crossing] == nil {
		t.counts[kind][crossing] = &flow{}
	}
	return t.counts[kind][crossing]
}

// dialsOf counts the connections of a kind.
func (t *Traffic) dialsOf(kind Kind) *atomic.Int64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.dials[kind] == nil {
		t.dials[kind] = &atomic.Int64{}
	}
	return t.dials[kind]
}

// crossing is what is known of a peer; zone is what the caller knows, or empty.
func (t *Traffic) crossing(address, zone string) Crossing {
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

// WithPeerZone says in which zone the peer of a request is, for peers that are no own
// processes.
func WithPeerZone(ctx context.Context, zone string) context.Context {
	if zone == "" {
		return ctx
	}
	return context.WithValue(ctx, peerZoneKey{}, zone)
}

// Count lets the client's connections from now on be counted and gives the client. A nil
// Traffic counts nothing.
func (t *Traffic) Count(client *http.Client, kind Kind) *http.Client {
	pool, ok := client.Transport.(*http.Transport)
	if t == nil || !ok {
		return client
	}
	dial, dials := pool.DialContext, t.dialsOf(kind)
	pool.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if counted, ok := conn.(*countingConn); ok && err == nil {
			dials.Add(1)
			zone, _ := ctx.Value(peerZoneKey{}).(string)
			counted.meter = &meter{traffic: t, kind: kind, address: address, zone: zone}
		}
		return conn, err
	}
	return client
}

// meter counts one connection. Where its peer is may be told after it was opened, so it is
// asked again until it is known.
type meter struct {
	traffic       *Traffic
	kind          Kind
	address, zone string
	flow          atomic.Pointer[flow] // once the crossing is known
}

func (m *meter) now() *flow {
	if known := m.flow.Load(); known != nil {
		return known
	}
	crossing := m.traffic.crossing(m.address, m.zone)
	found := m.traffic.flow(m.kind, crossing)
	if crossing != CrossingUnknown {
		m.flow.Store(found)
	}
	return found
}

func (m *meter) sent(n int) {
	if m != nil && n > 0 {
		m.now().sent.Add(int64(n))
	}
}

func (m *meter) received(n int) {
	if m != nil && n > 0 {
		m.now().received.Add(int64(n))
	}
}
