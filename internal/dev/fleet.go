// Package dev runs a small fleet with every role and fakes of the platform in one process on
// loopback, and sends test traffic through it.
package dev

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/config"
	"github.com/dykewing/dykewing/internal/daemon"
	"github.com/dykewing/dykewing/internal/kv"
	"github.com/dykewing/dykewing/internal/standin/engine"
	"github.com/dykewing/dykewing/internal/standin/keyvalue"
	"github.com/dykewing/dykewing/internal/standin/machinelist"
	"github.com/dykewing/dykewing/table"
)

const (
	loopback          = "127.0.0.1:0"
	heartbeatInterval = 100 * time.Millisecond
	suspectTimeout    = time.Second
	readyTimeout      = 20 * time.Second
)

// Services and places of the development fleet.
const (
	ModelService       = api.ServiceName("dev-model")
	ApplicationService = api.ServiceName("dev-calendar")
	OldPlace           = api.PlaceName("old")
	NewPlace           = api.PlaceName("new")
)

// Options configure a Fleet.
type Options struct {
	ClientAddress string // address for clients; port 0 selects a free one
	// Engine configures the fake workers.
	Engine        engine.Settings
	Routers       int
	Stores        int
	WorkersPerRow int
	Log           *logrus.Logger
}

// DefaultOptions returns the options of a minimal fleet with every role.
func DefaultOptions(log *logrus.Logger) Options {
	return Options{ClientAddress: loopback, Routers: 2, Stores: 3, WorkersPerRow: 2, Engine: engine.DefaultSettings(), Log: log}
}

// Fleet is a running development fleet.
type Fleet struct {
	options     Options
	folder      string
	servers     []*http.Server
	daemons     []*daemon.Daemon
	stops       []context.CancelFunc // one per daemon, for a graceful stop
	running     sync.WaitGroup
	sidecar     *daemon.Daemon
	keyValue    kv.Service
	keyValueURL string
	listURL     string
	workers     []api.Worker
	engines     map[api.WorkerID]*engine.Engine
	list        *machinelist.Server
}

// Start starts a fleet and waits until it is ready for requests. After an error, everything is
// stopped.
func Start(ctx context.Context, options Options) (*Fleet, error) {
	fleet := &Fleet{options: options, engines: map[api.WorkerID]*engine.Engine{}}
	if err := fleet.start(ctx); err != nil {
		fleet.Stop()
		return nil, err
	}
	return fleet, nil
}

func (f *Fleet) start(ctx context.Context) error {
	folder, err := os.MkdirTemp("", "dykewing-dev-")
	if err != nil {
		return fmt.Errorf("make data folder: %w", err)
	}
	f.folder = folder
	if err := f.startPlatform(ctx); err != nil {
		return err
	}
	if err := f.startDaemons(ctx); err != nil {
		return err
	}
	return f.awaitReady(ctx)
}

// serve starts an HTTP server and returns its address.
func (f *Fleet) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", fmt.Errorf("listen for a fake: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: suspectTimeout}
	f.servers = append(f.servers, server)
	f.running.Go(func() { _ = server.Serve(listener) })
	return listener.Addr().String(), nil
}

func (f *Fleet) startPlatform(ctx context.Context) error {
	address, err := f.serve(keyvalue.NewServer())
	if err != nil {
		return err
	}
	f.keyValueURL = "http://" + address
	f.keyValue = kv.NewEtcd([]string{f.keyValueURL}, time.Second, 1000)
	f.list = machinelist.NewServer(heartbeatInterval)
	address, err = f.serve(f.list)
	if err != nil {
		return err
	}
	f.listURL = "http://" + address + "/"
	for _, row := range initialRows() {
		if err := f.startWorkers(row); err != nil {
			return err
		}
		if err := f.SetRow(ctx, row); err != nil {
			return err
		}
	}
	f.list.Set(f.workers)
	return nil
}

func initialRows() []api.Row {
	return []api.Row{
		{Service: ModelService, Place: OldPlace, Weight: 100, BatchAllowance: 8, Priority: 1, Repeatable: true},
		{Service: ModelService, Place: NewPlace, Weight: 0, BatchAllowance: 8, Priority: 1, Repeatable: true},
		{Service: ApplicationService, Place: OldPlace, Weight: 1, Priority: 1},
	}
}

func (f *Fleet) startWorkers(row api.Row) error {
	for i := range f.options.WorkersPerRow {
		id := api.WorkerID(fmt.Sprintf("%s-%s-%d", row.Service, row.Place, i))
		stub := engine.New(f.options.Engine)
		address, err := f.serve(stub)
		if err != nil {
			return err
		}
		f.engines[id] = stub
		f.workers = append(f.workers, api.Worker{
			ID: id, Address: address, Service: row.Service, Place: row.Place,
			Location: api.Location{Region: "local", Zone: "local"}, Slots: f.options.Engine.Slots,
		})
	}
	return nil
}

// SetRow writes a row of the table. It retries while the row is changed concurrently.
func (f *Fleet) SetRow(ctx context.Context, row api.Row) error {
	value, err := table.Encode(row, fmt.Sprintf("dev-%d", time.Now().UnixNano()))
	if err != nil {
		return err
	}
	key := table.StoreKey(config.Default().KeyValueService.Prefix, row.Key())
	swap := kv.Swap{Key: key, Value: value}
	for {
		result, err := f.keyValue.Swap(ctx, swap)
		if err != nil {
			return err
		}
		if result.Succeeded {
			return nil
		}
		if result.Current == nil {
			return fmt.Errorf("write row %s: the key changes too often", row.Key())
		}
		swap.Expected = result.Current.Revision
	}
}

func (f *Fleet) startDaemons(ctx context.Context) error {
	for i := range f.options.Routers {
		if err := f.startDaemon(ctx, api.RoleRouter, i); err != nil {
			return err
		}
	}
	for i := range f.options.Stores {
		if err := f.startDaemon(ctx, api.RoleStore, i); err != nil {
			return err
		}
	}
	return f.startDaemon(ctx, api.RoleSidecar, 0)
}

func (f *Fleet) startDaemon(ctx context.Context, role api.Role, number int) error {
	settings := config.Default()
	settings.Node.ID = fmt.Sprintf("%s-%d", role, number)
	settings.Node.Address = loopback
	settings.Membership = config.Membership{Interval: heartbeatInterval, SuspectTimeout: suspectTimeout}
	settings.KeyValueService.Endpoints = []string{f.keyValueURL}
	settings.MachineList = config.MachineList{URL: f.listURL, Interval: heartbeatInterval}
	settings.Sidecar.Address = f.options.ClientAddress
	settings.Store.DataFolder = fmt.Sprintf("%s/store-%d", f.folder, number)
	settings.Store.Replicas = f.options.Stores
	for _, peer := range f.daemons {
		settings.Peers = append(settings.Peers, peer.Node.Address())
	}
	started, err := daemon.New(role, settings, f.options.Log, nil)
	if err != nil {
		return fmt.Errorf("start %s: %w", settings.Node.ID, err)
	}
	running, stop := context.WithCancel(ctx)
	f.daemons = append(f.daemons, started)
	f.stops = append(f.stops, stop)
	if role == api.RoleSidecar {
		f.sidecar = started
	}
	f.running.Go(func() {
		if err := started.Run(running, context.Background()); err != nil {
			f.options.Log.WithError(err).Errorf("%s ended.", settings.Node.ID)
		}
	})
	return nil
}

// awaitReady waits until the sidecar has a table, the nodes report all workers, and each group
// has a leader.
func (f *Fleet) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		missing := f.missing()
		if missing == nil {
			return nil
		}
		select {
		case <-time.After(heartbeatInterval / 2):
		case <-ctx.Done():
			return fmt.Errorf("wait for the fleet: not ready after %v: %w", readyTimeout, missing)
		}
	}
}

// missing returns what the fleet lacks to be ready; nil if it is ready.
func (f *Fleet) missing() error {
	if f.sidecar.Node.Table() == nil {
		return errors.New("the sidecar has no table")
	}
	workers, leaders := 0, map[api.GroupID]bool{}
	for _, node := range f.sidecar.Node.Nodes() {
		for _, service := range node.Summary.Services {
			workers += service.Workers
		}
		for _, group := range node.Summary.Groups {
			if group.Leading {
				leaders[group.Group] = true
			}
		}
	}
	if groups := config.Default().Store.Groups; workers != len(f.workers) || len(leaders) != groups {
		return fmt.Errorf("routers report %d of %d workers, stores leaders of %d of %d groups", workers, len(f.workers), len(leaders), groups)
	}
	return nil
}

// NodeAddress returns the internal address of a router, for operator tools.
func (f *Fleet) NodeAddress() string { return f.daemons[0].Node.Address() }

// ClientAddress returns the address for clients.
func (f *Fleet) ClientAddress() string { return f.sidecar.Sidecar.Address() }

// URL returns the base URL for clients.
func (f *Fleet) URL() string { return "http://" + f.sidecar.Sidecar.Address() + "/v1" }

// StopRouter starts the graceful stop of a router.
func (f *Fleet) StopRouter(number int) { f.stops[number]() }

// Stop stops the daemons gracefully, the sidecar first, then the fakes, and removes the data folder.
func (f *Fleet) Stop() {
	for i := len(f.stops) - 1; i >= 0; i-- {
		f.stops[i]()
	}
	for _, server := range f.servers {
		shutdown, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		_ = server.Shutdown(shutdown)
		cancel()
		_ = server.Close()
	}
	f.running.Wait()
	if f.folder != "" {
		_ = os.RemoveAll(f.folder)
	}
}
