// Package platform runs fakes of the whole platform in one process on loopback, and writes settings
// files for daemons that run as separate processes.
package platform

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/config"
	"github.com/dykewing/dykewing/internal/kv"
	"github.com/dykewing/dykewing/internal/standin/engine"
	"github.com/dykewing/dykewing/internal/standin/keyvalue"
	"github.com/dykewing/dykewing/internal/standin/machinelist"
	"github.com/dykewing/dykewing/table"
)

// Services and places of the initial table.
const (
	Model       = api.ServiceName("demo-model")
	Application = api.ServiceName("demo-calendar")
	OldPlace    = api.PlaceName("old")
	NewPlace    = api.PlaceName("new")
)

const (
	loopback          = "127.0.0.1"
	machineListLag    = 500 * time.Millisecond
	readHeaderTimeout = 5 * time.Second
	serviceTimeout    = 2 * time.Second
	serviceRate       = 1000 // requests per second
)

// Options size a Platform and the daemons that it writes settings for.
type Options struct {
	Folder         string // for settings and data
	Routers        int
	Stores         int
	Sidecars       int
	WorkersPerRow  int
	Zones          int // daemons and workers are distributed round-robin
	Heartbeat      time.Duration
	SuspectTimeout time.Duration
	Engine         engine.Settings
}

// DefaultOptions returns the options of a small fleet with every role.
func DefaultOptions(folder string) Options {
	return Options{
		Folder: folder, Routers: 2, Stores: 3, Sidecars: 1, WorkersPerRow: 3, Zones: 1,
		Heartbeat: 250 * time.Millisecond, SuspectTimeout: 2 * time.Second, Engine: engine.DefaultSettings(),
	}
}

// Platform is a set of running fakes.
type Platform struct {
	KeyValueURL    string
	MachineListURL string
	Daemons        []Daemon // daemons with a settings file, routers first
	options        Options
	servers        []*http.Server
	keyValue       *keyvalue.Server
	machineList    *machinelist.Server
	workers        []api.Worker
	allocated      map[string]bool // addresses allocated to daemons
}

// Start starts the fakes, fills the table and the machine list, and writes the settings files. After
// an error, everything is stopped.
func Start(ctx context.Context, options Options) (*Platform, error) {
	platform := &Platform{options: options, keyValue: keyvalue.NewServer(), machineList: machinelist.NewServer(machineListLag), allocated: map[string]bool{}}
	if err := platform.start(ctx); err != nil {
		return nil, errors.Join(err, platform.Close())
	}
	return platform, nil
}

func (p *Platform) start(ctx context.Context) error {
	address, err := p.serve(p.keyValue)
	if err != nil {
		return err
	}
	p.KeyValueURL = "http://" + address
	if address, err = p.serve(p.machineList); err != nil {
		return err
	}
	p.MachineListURL = "http://" + address + "/"
	for _, row := range Rows() {
		if err := p.startWorkers(row.Key()); err != nil {
			return err
		}
	}
	p.machineList.Set(p.workers)
	if err := p.writeRows(ctx); err != nil {
		return err
	}
	return p.writeSettings()
}

// Rows returns the rows of the initial table.
func Rows() []api.Row {
	return []api.Row{
		{Service: Model, Place: OldPlace, Weight: 100, BatchAllowance: 16, Priority: 1, Repeatable: true},
		{Service: Model, Place: NewPlace, BatchAllowance: 16, Priority: 1, Repeatable: true},
		{Service: Application, Place: OldPlace, Weight: 1, Priority: 1},
	}
}

func (p *Platform) serve(handler http.Handler) (address string, err error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(loopback, "0"))
	if err != nil {
		return "", fmt.Errorf("listen for a fake: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	p.servers = append(p.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

func (p *Platform) startWorkers(key api.RowKey) error {
	for i := range p.options.WorkersPerRow {
		address, err := p.serve(engine.New(p.options.Engine))
		if err != nil {
			return err
		}
		p.workers = append(p.workers, api.Worker{
			ID:      api.WorkerID(fmt.Sprintf("%s-%s-%d", key.Service, key.Place, i+1)),
			Address: address, Service: key.Service, Place: key.Place,
			Location: p.location(i), Slots: p.options.Engine.Slots,
		})
	}
	return nil
}

func (p *Platform) location(number int) api.Location {
	return api.Location{Region: "demo", Zone: api.ZoneName(fmt.Sprintf("demo-%c", 'a'+number%max(p.options.Zones, 1)))}
}

func (p *Platform) writeRows(ctx context.Context) error {
	service := kv.NewEtcd([]string{p.KeyValueURL}, serviceTimeout, serviceRate)
	for _, row := range Rows() {
		value, err := table.Encode(row, "platform-"+row.Key().String())
		if err != nil {
			return fmt.Errorf("write row %s: %w", row.Key(), err)
		}
		swap := kv.Swap{Key: table.StoreKey(config.Default().KeyValueService.Prefix, row.Key()), Value: value}
		if _, err := service.Swap(ctx, swap); err != nil {
			return fmt.Errorf("write row %s: %w", row.Key(), err)
		}
	}
	return nil
}

// Close stops the fakes immediately. Files are kept.
func (p *Platform) Close() error {
	var problems []error
	for _, server := range p.servers {
		problems = append(problems, server.Close())
	}
	return errors.Join(problems...)
}
