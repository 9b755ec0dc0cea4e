// Package node is what every role's process has in common: the listener of the
// internal protocol, membership, the table in force, metrics, health and the
// planned stop.
package node

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/config"
	"github.com/dykewing/dykewing/internal/kv"
	"github.com/dykewing/dykewing/internal/shell"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/membership"
	"github.com/dykewing/dykewing/table"
)

const (
	controlConnections = 4
	gossipConnections  = 1 // to each peer
	// gossipIdleIntervals of heartbeats are waited before an idle connection to a peer
	// ends. A round of a zone takes as many as it has members: in a small one connections
	// are used again, in a large one each kept connection was one a member and process,
	// with its buffers and goroutines on both sides.
	gossipIdleIntervals = 10
	// gossipSilenceIntervals without an answer to the network's probes end a connection.
	gossipSilenceIntervals = 4
	readHeaderTimeout      = 10 * time.Second
	maximumHeaderBytes     = 64 << 10
)

// Node is one process's common part. Make it with New, add routes to Mux and
// callbacks, then Run it.
type Node struct {
	Role     api.Role
	Settings config.Settings
	Log      *logrus.Logger
	Registry *prometheus.Registry
	Mux      *http.ServeMux
	System   *actor.ActorSystem
	Control  *http.Client       // for control messages only
	Traffic  *transport.Traffic // what clients exchange; count further ones with it
	KeyValue kv.Service         // nil when no endpoint is set

	listener   net.Listener
	server     *http.Server
	membership *shell.Shell[membership.Message, membership.Action]
	machine    *membership.Machine
	replica    *shell.Shell[table.Message, table.Action]
	view       atomic.Pointer[[]api.Node]
	zones      atomic.Pointer[[]membership.ZoneSummary]
	gossip     *http.Client   // heartbeats only
	sends      sync.WaitGroup // heartbeats on their way
	reportNow  chan struct{}  // asks for a report before the next interval
	reached    atomic.Bool    // a peer has answered
	lastWork   atomic.Int64   // when a request of the data path last came, in Unix nanoseconds
	finished   sync.Once
	settled    atomic.Bool // see Settled
	viewAt     time.Time   // when the last view was published; within the actor, like viewDue
	viewDue    bool        // one will be

	unreachedLogged atomic.Bool
	snapshot        atomic.Pointer[table.Snapshot]
	tableMetrics    *tableMetrics
	paid            *membershipMetrics
	leaving         atomic.Bool
	callers         *callers
	panics          prometheus.Counter
	summary         func() api.Summary
	mutex           sync.Mutex // guards the callbacks
	onView          []func([]api.Node)
	onResume        []func()
	onTable         []func(*table.Snapshot)
	onLeave         []func()
	background      sync.WaitGroup
	incarnation     uint64
}

// Option changes what New builds.
type Option func(*Node)

// WithKeyValue takes a key-value service of the caller's instead of one that
// the settings name.
func WithKeyValue(service kv.Service) Option {
	return func(n *Node) { n.KeyValue = service }
}

// New binds the internal address and builds the common part.
func New(role api.Role, settings config.Settings, log *logrus.Logger, options ...Option) (*Node, error) {
	listener, err := net.Listen("tcp", settings.Node.Address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", settings.Node.Address, err)
	}
	node := &Node{
		Role: role, Settings: settings, Log: log,
		Registry: prometheus.NewRegistry(), Mux: http.NewServeMux(),
		System: newActorSystem(), Control: transport.NewClient(controlConnections),
		listener: listener, incarnation: uint64(time.Now().UnixMilli()),
		gossip: newGossipClient(settings.Membership.Interval), reportNow: make(chan struct{}, 1), callers: newCallers(),
		summary: func() api.Summary { return api.Summary{} },
	}
	node.panics = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "dykewing_node_panics_total", Help: "Panics of handlers of the internal protocol.",
	})
	node.Registry.MustRegister(node.panics)
	node.Traffic = transport.NewTraffic(settings.Node.Zone, node.zoneOf)
	node.Registry.MustRegister(node.Traffic)
	node.Traffic.Count(node.Control, transport.KindControl)
	node.Traffic.Count(node.gossip, transport.KindGossip)
	node.Registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	node.tableMetrics, node.paid = newTableMetrics(node.Registry), newMembershipMetrics(node.Registry)
	for _, option := range options {
		option(node)
	}
	if node.KeyValue == nil && len(settings.KeyValueService.Endpoints) > 0 {
		service := kv.NewEtcd(settings.KeyValueService.Endpoints, settings.KeyValueService.Timeout, settings.KeyValueService.RequestsPerSecond)
		service.Observe = node.tableMetrics.observeCall
		node.KeyValue = service
	}
	node.machine = membership.NewMachine(membership.Settings{
		Self: node.self(), Seeds: settings.Peers,
		Interval: settings.Membership.Interval, SuspectTimeout: settings.Membership.SuspectTimeout,
		Random: rand.New(rand.NewPCG(node.incarnation, uint64(len(settings.Node.ID)))),
	})
	node.view.Store(&[]api.Node{node.self()})
	node.zones.Store(&[]membership.ZoneSummary{})
	node.settled.Store(node.machine.Settled())
	node.routes()
	return node, nil
}

// newGossipClient gives the client of heartbeats. Invariant: a dial may take longer than the
// exchange that began it, and its connection serves the next one. Given up with its exchange,
// a peer that is short of processor time was never reached: its leaving mark stayed unknown
// and planned stops cut requests.
func newGossipClient(interval time.Duration) *http.Client {
	return transport.NewProbingClient(transport.Options{
		ConnectionsPerHost: gossipConnections, DialTimeout: gossipSilenceIntervals * interval, IdleLifetime: gossipIdleIntervals * interval,
		SilenceLimit: gossipSilenceIntervals * interval,
	})
}

func (n *Node) self() api.Node {
	return api.Node{
		ID: api.NodeID(n.Settings.Node.ID), Role: n.Role, Address: n.Address(),
		Location: n.Settings.Node.Location(), Incarnation: n.incarnation,
	}
}

// ID is the node's id.
func (n *Node) ID() api.NodeID { return api.NodeID(n.Settings.Node.ID) }

// Address is where the internal protocol is served.
func (n *Node) Address() string { return n.listener.Addr().String() }

// Logger gives a logger with the part's fixed prefix.
func (n *Node) Logger(part string) *logrus.Entry {
	return n.Log.WithField("part", part).WithField("node", n.Settings.Node.ID)
}

// Nodes is the view of live nodes: this one, the others of its zone, and the
// gateways and stores of other zones. A gateway's summary is its zone's.
func (n *Node) Nodes() []api.Node { return *n.view.Load() }

// Zones are the summaries of the known zones.
func (n *Node) Zones() []membership.ZoneSummary { return *n.zones.Load() }

// Settled is false while a starting node knows of no member that it has joined:
// it must not act on what it alone knows.
func (n *Node) Settled() bool { return n.settled.Load() }

// Table is the table in force; nil before the first.
func (n *Node) Table() *table.Snapshot { return n.snapshot.Load() }

// Leaving is true once a planned stop has begun.
func (n *Node) Leaving() bool { return n.leaving.Load() }

// SetSummary sets what the node reports with its heartbeats; before Run.
func (n *Node) SetSummary(summary func() api.Summary) { n.summary = summary }

// OnView is called, in order, with each new view; it must not block.
func (n *Node) OnView(callback func([]api.Node)) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.onView = append(n.onView, callback)
}

// OnTable is called, in order, with each table before Table shows it; it must
// not block.
func (n *Node) OnTable(callback func(*table.Snapshot)) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.onTable = append(n.onTable, callback)
}

func (n *Node) routes() {
	n.Mux.Handle("GET /metrics", promhttp.HandlerFor(n.Registry, promhttp.HandlerOpts{}))
	n.Mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	n.Mux.HandleFunc("GET /readyz", n.serveReady)
	n.Mux.HandleFunc("POST "+api.PathGossip, n.serveGossip)
	n.Mux.HandleFunc("GET "+api.PathTable, n.serveTable)
	n.Mux.HandleFunc("POST "+api.PathEdits, n.serveEdit)
	n.Mux.HandleFunc("GET "+api.PathHistory, n.serveHistory)
	n.Mux.HandleFunc("GET "+api.PathNodes, n.serveNodes)
}

func (n *Node) reportPanic(cause any, stack []byte) {
	n.panics.Inc()
	n.Logger("node").WithField("stack", string(stack)).Errorf("A handler panicked: %v.", cause)
}

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if n.Leaving() {
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	if n.Table() == nil {
		http.Error(w, "no table yet", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (n *Node) serveNodes(w http.ResponseWriter, _ *http.Request) {
	transport.WriteJSON(w, http.StatusOK, n.Nodes())
}

// Run serves until ctx ends, then stops as planned: it announces that it
// leaves, lets requests finish within the stop timeout, and returns. Cancel
// kill to end at once.
func (n *Node) Run(ctx, kill context.Context) error {
	n.membership = shell.Start(n.System, n.machine, n.executeMembership)
	n.replica = shell.Start(n.System, table.NewReplica(), n.executeTable)
	n.server = &http.Server{
		Handler: transport.Guard(n.Mux, n.reportPanic), ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maximumHeaderBytes,
		ConnContext: n.callers.connected, ConnState: n.callers.changed,
	}
	background, stopBackground := context.WithCancel(kill)
	defer stopBackground()
	n.server.Handler = n.drainable(n.server.Handler)
	n.background.Go(func() { n.heartbeat(background) })
	n.background.Go(func() { n.watchTable(background) })
	n.background.Go(func() { n.tellTraffic(background) })
	failed := make(chan error, 1)
	go func() { failed <- n.server.Serve(n.listener) }()
	n.Logger("node").Infof("Serving on %s.", n.Address())
	select {
	case err := <-failed:
		n.end(stopBackground)
		return fmt.Errorf("serve on %s: %w", n.Address(), err)
	case <-ctx.Done():
	case <-kill.Done():
	}
	return n.stop(kill, stopBackground)
}

func newActorSystem() *actor.ActorSystem {
	silent := func(*actor.ActorSystem) *slog.Logger { return slog.New(slog.DiscardHandler) }
	// A message to an actor that has stopped starts a goroutine of the library
	// that lives this long; nothing is logged at its end.
	const deadLetterInterval = 10 * time.Millisecond
	return actor.NewActorSystem(actor.WithLoggerFactory(silent), actor.WithDeadLetterThrottleInterval(deadLetterInterval))
}
