// Package frontend accepts requests from callers and forwards them to workers. It also
// serves the address registry and submits batch jobs to the stores.
package frontend

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/config"
	"github.com/dykewing/dykewing/internal/backend"
	"github.com/dykewing/dykewing/internal/catalog"
	"github.com/dykewing/dykewing/internal/guard"
	"github.com/dykewing/dykewing/internal/limiter"
	"github.com/dykewing/dykewing/internal/node"
	"github.com/dykewing/dykewing/internal/relayed"
	"github.com/dykewing/dykewing/internal/resume"
	"github.com/dykewing/dykewing/internal/startup"
	"github.com/dykewing/dykewing/internal/storeclient"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/worker"
)

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 5 * time.Minute // longer than callers keep idle connections
	maxHeaderBytes    = 64 << 10
	// maxSuccessLogsPerSecond limits log lines for requests served at the first
	// attempt.
	maxSuccessLogsPerSecond = 20
	// shutdownMargin is the part of the stop timeout reserved for cleanup after the
	// last request. Requests that are still running responseMargin before that are
	// answered with an error.
	shutdownMargin = 800 * time.Millisecond
	responseMargin = 250 * time.Millisecond
	// maxAcceptFraction of the stop timeout and maxAcceptTime bound how long new
	// requests are accepted during shutdown, so that accepted requests have time to
	// finish.
	maxAcceptFraction = 0.5
	maxAcceptTime     = 2800 * time.Millisecond
	// addressExpiryMargin is added to the time after which callers are expected to have
	// dropped this process's address.
	addressExpiryMargin = 300 * time.Millisecond
)

// Frontend serves callers' requests, the readiness check and the address registry.
type Frontend struct {
	node        *node.Node
	settings    config.Frontend
	log         *logrus.Entry
	protocol    backend.Protocol
	catalog     *catalog.Catalog
	pool        *backend.Pool
	caller      *backend.Client
	stores      *storeclient.Client
	relayClient *relayed.Client
	limiter     *limiter.Limiter
	registered  *storeclient.Registrations
	guard       *guard.Guard
	origins     *resume.Registry
	metrics     *metrics
	memory      *memoryBudget // bounds request and response bytes held in memory
	port        string        // of settings.Address; the same on all machines

	timeouts     timeoutTracker
	reservations *reservations
	capacity     capacityTracker
	leaders      *storeclient.Leaders

	successLogs *rate.Limiter // limits log lines for ordinary successes

	// shutdownCtx is cancelled shortly before the stop timeout. Requests without a
	// response are then answered with an error instead of a closed connection.
	shutdownCtx    context.Context
	cancelRequests context.CancelFunc

	randomMutex sync.Mutex
	random      *rand.Rand

	servers []boundServer
}

// boundServer is an HTTP server with its bound listener.
type boundServer struct {
	listener net.Listener
	server   *http.Server
}

// New binds the listen addresses and registers the frontend's handlers and metrics with
// the node. It returns an error if a required setting is missing or an address can't be
// bound. Call Run to serve.
func New(common *node.Node, protocol backend.Protocol, source catalog.Source) (*Frontend, error) {
	settings := common.Settings.Frontend
	if settings.Address == "" {
		return nil, errors.New("settings: frontend.address is missing")
	}
	if common.KeyValue == nil {
		return nil, errors.New("settings: a frontend needs the platform's store or a key-value service")
	}
	_, port, err := net.SplitHostPort(settings.Address)
	if err != nil {
		return nil, fmt.Errorf("settings: frontend.address: %w", err)
	}
	f := &Frontend{
		node: common, settings: settings, log: common.Logger("frontend"), protocol: protocol, port: port,
		caller: backend.NewClient(protocol).Instrument(common.Traffic), metrics: newMetrics(common.Registry),
		random:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		successLogs: rate.NewLimiter(maxSuccessLogsPerSecond, maxSuccessLogsPerSecond),
	}
	f.memory = newMemoryBudget(common.Settings.Node.MaxHeapBytes(), common.Logger("memory"), common.Registry)
	f.shutdownCtx, f.cancelRequests = context.WithCancel(context.Background())
	registered := &storeclient.Registrations{}
	f.registered = registered
	f.leaders = &storeclient.Leaders{Prefix: common.Settings.KeyValueService.Prefix}
	f.stores = &storeclient.Client{HTTP: common.Traffic.Instrument(newStoreClient(), transport.KindJobs), AttemptTimeout: storeAttemptTimeout, Nodes: func() []api.Node { return registered.Extend(common.Nodes()) }}
	f.relayClient = relayed.New(relayed.Settings{
		Self: f.selfNode, Nodes: common.Nodes, ForwardedPaths: []string{limiter.PathTokens}, Log: common.Logger("relayed"), Registry: common.Registry,
	})
	common.Mux.Handle("POST "+relayed.Path, f.relayClient)
	common.SetSummary(func() api.LoadSummary { return api.LoadSummary{StoresUnreachable: f.relayClient.Isolated()} })
	f.limiter = limiter.New(limiter.Settings{
		Tolerance: common.Settings.Tenants.Tolerance(), Self: common.ID(), Client: f.relayClient, Groups: common.Settings.Store.Groups, Owners: f.limitOwners, Leader: f.limitLeader, Peers: f.peerFrontends,
		Log: common.Logger("limits"), Registry: common.Registry,
	})
	common.Mux.Handle("POST "+limiter.PathPeerTokens, f.limiter)
	f.pool = backend.NewPool(worker.TwoChoiceSettings(common.Settings.Node.Zone), nil)
	f.pool.SetGroups(f.workerGroup)
	f.reservations = newReservations(f)
	f.catalog = catalog.New(source, common.KeyValue, common.Logger("catalog"), f.pool)
	common.OnResume(f.catalog.RestartWatch)
	f.catalog.SetMaxStaleness(common.Settings.Platform.Freshness)
	common.Registry.MustRegister(f.catalog.Metrics()...)
	f.guard = guard.New(guard.Settings{
		Self: common.ID(), Owners: func() []api.Node { return storeclient.OwnerCandidates(common.Nodes(), registered.Extend) },
		Accepts: f.pool.Accepts, CurrentIncarnation: f.pool.CurrentIncarnation, WatchDown: f.catalog.OutOfContact, KeyValue: common.KeyValue,
		Prefix: common.Settings.KeyValueService.Prefix, Log: common.Logger("guard"), Registry: common.Registry,
	})
	if source.EvacuationPrefix != "" {
		f.catalog.AddView(source.EvacuationPrefix, f.pool.EvacuationView(source.EvacuationPrefix, common.Logger("catalog")))
	}
	f.catalog.AddView(common.Settings.KeyValueService.Prefix+guard.Prefix, f.guard.View())
	f.guard.RegisterAdmin(common.Mux)
	f.origins = resume.New(resume.Settings{Holders: f.originHolders, Client: common.Control, Log: common.Logger("resume")})
	f.origins.Register(common.Mux)
	f.catalog.AddView(common.Settings.KeyValueService.Prefix+storeclient.PrefixStores, registered)
	f.catalog.AddView(common.Settings.KeyValueService.Prefix+storeclient.PrefixGroups, f.leaders)
	common.Mux.HandleFunc("GET "+catalog.PathConfiguration, f.catalog.ServeConfiguration)
	if err := f.listen(); err != nil {
		f.closeListeners()
		return nil, err
	}
	return f, nil
}

// Settings of the HTTP client for the stores.
const (
	storeConnections  = 8
	storeDialTimeout  = 300 * time.Millisecond
	storeIdleLifetime = 30 * time.Second
	storeSilenceLimit = 1200 * time.Millisecond
	// storeAttemptTimeout is well above the time of a commit and below that of a commit
	// that waits for an election.
	storeAttemptTimeout = 250 * time.Millisecond
)

func newStoreClient() *http.Client {
	return transport.NewKeepAliveClient(transport.ClientOptions{
		ConnectionsPerHost: storeConnections, DialTimeout: storeDialTimeout, IdleTimeout: storeIdleLifetime, KeepAliveTimeout: storeSilenceLimit,
		AcceptGzip: true,
	})
}

func (f *Frontend) listen() error {
	addresses := []struct {
		address string
		handler http.Handler
	}{
		{f.settings.Address, http.HandlerFunc(f.serve)},
		{f.settings.ReadyAddress, http.HandlerFunc(f.serveReady)},
		{f.settings.RegistryAddress, http.HandlerFunc(f.serveRegistry)},
	}
	for _, each := range addresses {
		if each.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", each.address)
		if err != nil {
			return fmt.Errorf("listen on %s: %w", each.address, err)
		}
		f.servers = append(f.servers, boundServer{listener: listener, server: &http.Server{
			Handler: each.handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
			MaxHeaderBytes: maxHeaderBytes, ErrorLog: discardLog(),
		}})
	}
	return nil
}

func (f *Frontend) closeListeners() {
	for _, s := range f.servers {
		s.listener.Close()
	}
}

// Run serves until ctx is cancelled and then shuts down gracefully: it accepts requests
// until callers have dropped the address, then waits for running requests. It returns
// an error if a listener fails.
func (f *Frontend) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { f.catalog.Run(background) })
	tasks.Go(func() { f.catalog.BootstrapFromPeers(background, f.node) })
	tasks.Go(func() { f.reservations.run(background) })
	tasks.Go(func() { f.guard.Run(background) })
	tasks.Go(func() { startup.Log(background, f.log, f.startupConditions()) })
	serveErrors := make(chan error, len(f.servers))
	for _, s := range f.servers {
		go func() { serveErrors <- s.server.Serve(s.listener) }()
	}
	f.log.WithField("event", "start").WithField("address", f.settings.Address).Info("Frontend started.")
	var err error
	select {
	case <-ctx.Done():
		f.drain()
	case err = <-serveErrors:
		err = fmt.Errorf("serve callers: %w", err)
	}
	stop()
	tasks.Wait()
	f.caller.Close()
	f.relayClient.Close()
	f.stores.HTTP.CloseIdleConnections()
	return err
}

// startupConditions returns what this process must know to serve all requests.
func (f *Frontend) startupConditions() []startup.Condition {
	return []startup.Condition{
		{Name: "configuration", Met: func() bool { return f.catalog.Configuration() != nil }},
		{Name: "workers", Met: func() bool { return f.pool.Generation() > 0 }},
		{Name: "members", Met: f.node.Settled},
		{Name: "leader", Met: func() bool { return len(f.leaders.All(f.node.Nodes(), f.node.Settings.Store.Groups)) > 0 }},
	}
}

// acceptTime returns how long requests are still accepted during shutdown: until
// callers have dropped the address, but short enough for running requests to finish.
// Callers that keep the address longer are refused the connection and try another one.
func (f *Frontend) acceptTime() time.Duration {
	expiry := time.Duration(f.settings.ForgetFactor*float64(f.settings.AddressLifetime)) + addressExpiryMargin
	return min(expiry, time.Duration(maxAcceptFraction*float64(f.node.Settings.Node.ShutdownTimeout())), maxAcceptTime)
}

// drain shuts the listeners down gracefully.
func (f *Frontend) drain() {
	start := time.Now()
	deadline := start.Add(f.node.Settings.Node.StopTimeout - shutdownMargin)
	defer time.AfterFunc(time.Until(deadline.Add(-responseMargin)), f.cancelRequests).Stop()
	accept := f.acceptTime()
	f.log.WithField("event", "stop_begun").WithField("forget_ms", accept.Milliseconds()).Info("Shutdown started; requests are accepted until callers have dropped this address.")
	time.Sleep(accept)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	var closing sync.WaitGroup
	cut := false
	for i, s := range f.servers {
		closing.Go(func() {
			if s.server.Shutdown(ctx) != nil {
				s.server.Close()
				cut = cut || i == 0
			}
		})
	}
	closing.Wait()
	f.log.WithField("event", "stop").WithField("took_ms", time.Since(start).Milliseconds()).WithField("requests_cut", cut).Info("Shutdown finished.")
}
