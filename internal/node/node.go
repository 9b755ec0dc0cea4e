// Package node implements what the processes of all roles share: the listener of the
// internal protocol, membership, the current table, metrics, health checks and graceful
// shutdown.
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
	// gossipIdleIntervals is the idle timeout of connections in heartbeat intervals. A
	// round visits each member of a zone once, so that small zones reuse connections and
	// large ones do not keep one open to every member.
	gossipIdleIntervals = 10
	// gossipKeepAliveIntervals is the TCP keep-alive timeout in heartbeat intervals.
	gossipKeepAliveIntervals = 4
	readHeaderTimeout        = 10 * time.Second
	maxHeaderBytes           = 64 << 10
)

// Node is the part of a process that all roles share. Create it with New, register
// routes on Mux and callbacks, then call Run.
type Node struct {
	Role     api.Role
	Settings config.Settings
	Log      *logrus.Logger
	Registry *prometheus.Registry
	Mux      *http.ServeMux
	System   *actor.ActorSystem
	Control  *http.Client       // control messages only
	Traffic  *transport.Traffic // counts bytes by kind; register further clients with it
	KeyValue kv.Service         // nil if no endpoint is configured

	listener      net.Listener
	server        *http.Server
	membership    *shell.Shell[membership.Message, membership.Action]
	machine       *membership.Machine
	replica       *shell.Shell[table.Message, table.Action]
	view          atomic.Pointer[[]api.Node]
	zones         atomic.Pointer[[]membership.ZoneSummary]
	gossip        *http.Client   // heartbeats only
	sends         sync.WaitGroup // heartbeats in flight
	reportNow     chan struct{}  // requests a report before the next heartbeat
	peerAnswered  atomic.Bool    // a peer has responded
	lastRequest   atomic.Int64   // arrival of the latest data path request, in Unix nanoseconds
	shutdownOnce  sync.Once
	settled       atomic.Bool // see Settled
	lastViewAt    time.Time   // owned by the membership actor, like viewScheduled
	viewScheduled bool        // a view will be published when minViewInterval has passed

	unreachableLogged atomic.Bool
	snapshot          atomic.Pointer[table.Snapshot]
	tableMetrics      *tableMetrics
	membershipMetrics *membershipMetrics
	leaving           atomic.Bool
	connections       *connTracker
	panics            prometheus.Counter
	summary           func() api.LoadSummary
	mutex             sync.Mutex // guards the callbacks
	onView            []func([]api.Node)
	onResume          []func()
	onTable           []func(*table.Snapshot)
	onLeave           []func()
	background        sync.WaitGroup
	incarnation       uint64
}

// Option configures a Node in New.
type Option func(*Node)

// WithKeyValue sets the key-value service instead of the one that the settings configure.
func WithKeyValue(service kv.Service) Option {
	return func(n *Node) { n.KeyValue = service }
}

// New creates a Node and listens on the internal address.
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
		gossip: newGossipClient(settings.Membership.Interval), reportNow: make(chan struct{}, 1), connections: newConnTracker(),
		summary: func() api.LoadSummary { return api.LoadSummary{} },
	}
	node.panics = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "dykewing_node_panics_total", Help: "Panics of handlers of the internal protocol.",
	})
	node.Registry.MustRegister(node.panics)
	node.Traffic = transport.NewTraffic(settings.Node.Zone, node.zoneOf)
	node.Registry.MustRegister(node.Traffic)
	node.Traffic.Instrument(node.Control, transport.KindControl)
	node.Traffic.Instrument(node.gossip, transport.KindGossip)
	node.Registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	node.tableMetrics, node.membershipMetrics = newTableMetrics(node.Registry), newMembershipMetrics(node.Registry)
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

// newGossipClient returns the client for heartbeats. A dial may take longer than the
// exchange that started it, and its connection then serves the next exchange. Otherwise a
// peer that is short of CPU time might never be reached, and its graceful shutdown would
// interrupt requests.
func newGossipClient(interval time.Duration) *http.Client {
	return transport.NewKeepAliveClient(transport.ClientOptions{
		ConnectionsPerHost: gossipConnections, DialTimeout: gossipKeepAliveIntervals * interval, IdleTimeout: gossipIdleIntervals * interval,
		KeepAliveTimeout: gossipKeepAliveIntervals * interval,
	})
}

func (n *Node) self() api.Node {
	return api.Node{
		ID: api.NodeID(n.Settings.Node.ID), Role: n.Role, Address: n.Address(),
		Location: n.Settings.Node.Location(), Incarnation: n.incarnation,
	}
}

// ID returns the node's id.
func (n *Node) ID() api.NodeID { return api.NodeID(n.Settings.Node.ID) }

// Address returns the host:port on which the internal protocol is served.
func (n *Node) Address() string { return n.listener.Addr().String() }

// Logger returns a log entry with the name of the part and the node id as fields.
func (n *Node) Logger(part string) *logrus.Entry {
	return n.Log.WithField("part", part).WithField("node", n.Settings.Node.ID)
}

// Nodes returns the current view of live nodes: this one, the others of its zone, and the
// gateways and stores of other zones. A gateway's summary is that of its zone. The caller
// must not modify the slice.
func (n *Node) Nodes() []api.Node { return *n.view.Load() }

// Zones returns the summaries of the known zones.
func (n *Node) Zones() []membership.ZoneSummary { return *n.zones.Load() }

// Settled reports whether the node has joined other members. Until then it must not act
// on its own view alone.
func (n *Node) Settled() bool { return n.settled.Load() }

// Table returns the current table, or nil before the first one.
func (n *Node) Table() *table.Snapshot { return n.snapshot.Load() }

// Leaving reports whether a graceful shutdown has begun.
func (n *Node) Leaving() bool { return n.leaving.Load() }

// SetSummary sets the function that returns the summary in the node's heartbeats. It must
// be called before Run.
func (n *Node) SetSummary(summary func() api.LoadSummary) { n.summary = summary }

// OnView adds a callback that is called, in order, with each new view; it must not block.
func (n *Node) OnView(callback func([]api.Node)) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.onView = append(n.onView, callback)
}

// OnTable adds a callback that is called, in order, with each new table before Table
// returns it; it must not block.
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
	n.Logger("node").WithField("stack", string(stack)).Errorf("HTTP handler panicked: %v.", cause)
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

// Run serves until ctx ends, then shuts down gracefully: it announces that the node
// leaves, lets requests finish within the stop timeout, and returns. Canceling kill stops
// it at once.
func (n *Node) Run(ctx, kill context.Context) error {
	n.membership = shell.Start(n.System, n.machine, n.executeMembership)
	n.replica = shell.Start(n.System, table.NewReplica(), n.executeTable)
	n.server = &http.Server{
		Handler: transport.RecoverPanics(n.Mux, n.reportPanic), ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnContext: n.connections.connContext, ConnState: n.connections.connState,
	}
	background, stopBackground := context.WithCancel(kill)
	defer stopBackground()
	n.server.Handler = n.trackRequests(n.server.Handler)
	n.background.Go(func() { n.heartbeat(background) })
	n.background.Go(func() { n.watchTable(background) })
	n.background.Go(func() { n.reportTraffic(background) })
	failed := make(chan error, 1)
	go func() { failed <- n.server.Serve(n.listener) }()
	n.Logger("node").Infof("Serving on %s.", n.Address())
	select {
	case err := <-failed:
		n.shutdown(stopBackground)
		return fmt.Errorf("serve on %s: %w", n.Address(), err)
	case <-ctx.Done():
	case <-kill.Done():
	}
	return n.stop(kill, stopBackground)
}

func newActorSystem() *actor.ActorSystem {
	silent := func(*actor.ActorSystem) *slog.Logger { return slog.New(slog.DiscardHandler) }
	// A message to a stopped actor starts a goroutine in protoactor that lives this long.
	const deadLetterInterval = 10 * time.Millisecond
	return actor.NewActorSystem(actor.WithLoggerFactory(silent), actor.WithDeadLetterThrottleInterval(deadLetterInterval))
}
