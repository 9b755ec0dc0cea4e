// Package frontend is the role that takes callers' requests and sends them
// straight to workers, tells callers where to connect, and passes batch jobs to
// the stores.
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
	"github.com/dykewing/dykewing/internal/storeclient"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/worker"
)

const (
	readHeaderTimeout  = 10 * time.Second
	idleTimeout        = 5 * time.Minute // callers end idle connections sooner
	maximumHeaderBytes = 64 << 10
	// servedLinesPerSecond bounds the log lines about ordinary successes.
	servedLinesPerSecond = 20
	// endMargin is kept of the stop timeout for what ends after the requests, and
	// answerMargin before it for the answers of those that still run then.
	endMargin    = 800 * time.Millisecond
	answerMargin = 250 * time.Millisecond
	// takingShare of the stop timeout is the most during which requests are taken,
	// and mostTaking at most: what is taken must have time to end.
	takingShare = 0.5
	mostTaking  = 2800 * time.Millisecond
	// forgetMargin is waited beyond the time after which callers have forgotten
	// an address.
	forgetMargin = 300 * time.Millisecond
)

// Frontend is the role's part of a process.
type Frontend struct {
	node     *node.Node
	settings config.Frontend
	log      *logrus.Entry
	protocol backend.Protocol
	catalog  *catalog.Catalog
	pool     *backend.Pool
	caller   *backend.Caller
	stores   *storeclient.Client
	asker    *relayed.Asker
	limiter  *limiter.Limiter
	guard    *guard.Guard
	metrics  *metrics
	memory   *memory // that is held for callers and workers
	port     string  // of Address, alike on all machines

	patience patience
	places   *places
	rooms    rooms
	leaders  *storeclient.Leaders

	samples *rate.Limiter // of lines about ordinary successes

	// ending ends when a planned stop can wait no longer: what has no answer yet
	// gets the system's own then, instead of a closed connection.
	ending context.Context
	endAll context.CancelFunc

	randomMutex sync.Mutex
	random      *rand.Rand

	listeners []listening
}

// listening is one address with what serves it.
type listening struct {
	listener net.Listener
	server   *http.Server
}

// New binds the addresses and adds the role to a node.
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
		caller: backend.NewCaller(protocol).Count(common.Traffic), metrics: newMetrics(common.Registry),
		random:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		samples: rate.NewLimiter(servedLinesPerSecond, servedLinesPerSecond),
	}
	f.memory = newMemory(common.Settings.Node.HeapBytes(), common.Logger("memory"), common.Registry)
	f.ending, f.endAll = context.WithCancel(context.Background())
	registered := &storeclient.Registered{}
	f.leaders = &storeclient.Leaders{Prefix: common.Settings.KeyValueService.Prefix}
	f.stores = &storeclient.Client{HTTP: common.Traffic.Count(newStoreClient(), transport.KindJobs), AttemptTimeout: storeAttempt, Nodes: func() []api.Node { return registered.With(common.Nodes()) }}
	f.asker = relayed.New(relayed.Settings{
		Self: f.self, Nodes: common.Nodes, Paths: []string{limiter.PathTokens}, Log: common.Logger("relayed"), Registry: common.Registry,
	})
	common.Mux.Handle("POST "+relayed.Path, f.asker)
	common.SetSummary(func() api.Summary { return api.Summary{Apart: f.asker.Apart()} })
	f.limiter = limiter.New(common.Settings.Tenants.Tolerance(), common.ID(), f.asker, func() []api.Node { return storeclient.Owners(common.Nodes(), registered.With) }, f.holders, common.Logger("limits"), common.Registry)
	f.pool = backend.NewPool(worker.BlindSettings(common.Settings.Node.Zone), nil)
	f.pool.SetGroups(f.workerGroup)
	f.places = newPlaces(f)
	f.catalog = catalog.New(source, common.KeyValue, common.Logger("catalog"), f.pool)
	common.OnResume(f.catalog.Renew)
	f.catalog.Freshness(common.Settings.Platform.Freshness)
	common.Registry.MustRegister(f.catalog.Metrics()...)
	f.guard = guard.New(guard.Settings{
		Self: common.ID(), Owners: func() []api.Node { return storeclient.Owners(common.Nodes(), registered.With) },
		Accepts: f.pool.Accepts, Current: f.pool.Current, Blind: f.catalog.OutOfContact, KeyValue: common.KeyValue,
		Prefix: common.Settings.KeyValueService.Prefix, Log: common.Logger("guard"), Registry: common.Registry,
	})
	if source.EvacuationPrefix != "" {
		f.catalog.Also(source.EvacuationPrefix, f.pool.Evacuations(source.EvacuationPrefix, common.Logger("catalog")))
	}
	f.catalog.Also(common.Settings.KeyValueService.Prefix+guard.Prefix, f.guard.View())
	f.guard.ServeRequests(common.Mux)
	f.catalog.Also(common.Settings.KeyValueService.Prefix+storeclient.PrefixStores, registered)
	f.catalog.Also(common.Settings.KeyValueService.Prefix+storeclient.PrefixGroups, f.leaders)
	common.Mux.HandleFunc("GET "+catalog.PathConfiguration, f.catalog.ServeConfiguration)
	if err := f.listen(); err != nil {
		f.closeListeners()
		return nil, err
	}
	return f, nil
}

// Calls to stores.
const (
	storeConnections  = 8
	storeDialTimeout  = 300 * time.Millisecond
	storeIdleLifetime = 30 * time.Second
	storeSilence      = 1200 * time.Millisecond
	// storeAttempt is over the time of a commit by far and under that of an
	// election with it.
	storeAttempt = 250 * time.Millisecond
)

func newStoreClient() *http.Client {
	return transport.NewProbingClient(transport.Options{
		ConnectionsPerHost: storeConnections, DialTimeout: storeDialTimeout, IdleLifetime: storeIdleLifetime, SilenceLimit: storeSilence,
		Compressed: true,
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
		f.listeners = append(f.listeners, listening{listener: listener, server: &http.Server{
			Handler: each.handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
			MaxHeaderBytes: maximumHeaderBytes, ErrorLog: discardLog(),
		}})
	}
	return nil
}

func (f *Frontend) closeListeners() {
	for _, each := range f.listeners {
		each.listener.Close()
	}
}

// Run serves until ctx ends and then stops as planned: requests are taken until
// callers have forgotten the address, and those that run finish.
func (f *Frontend) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { f.catalog.Run(background) })
	running.Go(func() { f.catalog.AskPeers(background, f.node) })
	running.Go(func() { f.places.run(background) })
	running.Go(func() { f.guard.Run(background) })
	failed := make(chan error, len(f.listeners))
	for _, each := range f.listeners {
		go func() { failed <- each.server.Serve(each.listener) }()
	}
	f.log.WithField("event", "start").WithField("address", f.settings.Address).Info("Serving callers.")
	var failure error
	select {
	case <-ctx.Done():
		f.drain()
	case failure = <-failed:
		failure = fmt.Errorf("serve callers: %w", failure)
	}
	stop()
	running.Wait()
	f.caller.Close()
	f.asker.Close()
	f.stores.HTTP.CloseIdleConnections()
	return failure
}

// forgetTime is how long requests are still taken during a planned stop: until
// callers have forgotten the address, but so that those that run can finish.
// Callers that hold it longer are refused the connection and try another.
func (f *Frontend) forgetTime() time.Duration {
	longest := time.Duration(f.settings.ForgetFactor*float64(f.settings.AddressLifetime)) + forgetMargin
	return min(longest, time.Duration(takingShare*float64(f.node.Settings.Node.StopWithin())), mostTaking)
}

// drain is the planned stop.
func (f *Frontend) drain() {
	began := time.Now()
	deadline := began.Add(f.node.Settings.Node.StopTimeout - endMargin)
	defer time.AfterFunc(time.Until(deadline.Add(-answerMargin)), f.endAll).Stop()
	forgotten := f.forgetTime()
	f.log.WithField("event", "stop_begun").WithField("forget_ms", forgotten.Milliseconds()).Info("Leaving: callers are told other addresses.")
	time.Sleep(forgotten)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	var closing sync.WaitGroup
	cut := false
	for i, each := range f.listeners {
		closing.Go(func() {
			if each.server.Shutdown(ctx) != nil {
				each.server.Close()
				cut = cut || i == 0
			}
		})
	}
	closing.Wait()
	f.log.WithField("event", "stop").WithField("took_ms", time.Since(began).Milliseconds()).WithField("requests_cut", cut).Info("Stopped.")
}
