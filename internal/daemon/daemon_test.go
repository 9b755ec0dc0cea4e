package daemon_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/config"
	"github.com/dykewing/dykewing/internal/daemon"
	"github.com/dykewing/dykewing/internal/kv"
	"github.com/dykewing/dykewing/internal/logging"
	"github.com/dykewing/dykewing/internal/node"
	"github.com/dykewing/dykewing/internal/standin/engine"
	"github.com/dykewing/dykewing/internal/standin/keyvalue"
	"github.com/dykewing/dykewing/internal/standin/machinelist"
	"github.com/dykewing/dykewing/table"
)

const (
	loopback    = "127.0.0.1:0"
	interval    = 50 * time.Millisecond
	testTimeout = 30 * time.Second
	service     = api.ServiceName("model")
	place       = api.PlaceName("north")
	homeZone    = "north"
	otherZone   = "south"
)

// platform holds the fake services that the daemons of a test use.
type platform struct {
	keyValue string
	list     *machinelist.Server
	listURL  string
	peers    []string
	workers  []api.Worker
	servers  []*httptest.Server
}

func newPlatform(t *testing.T, rows ...api.Row) *platform {
	t.Helper()
	keyValue := httptest.NewServer(keyvalue.NewServer())
	t.Cleanup(keyValue.Close)
	list := machinelist.NewServer(0)
	lists := httptest.NewServer(list)
	t.Cleanup(lists.Close)
	client := kv.NewEtcd([]string{keyValue.URL}, time.Second, 1000)
	for _, row := range rows {
		value, err := table.Encode(row, "test")
		if err != nil {
			t.Fatal(err)
		}
		key := table.StoreKey(config.Default().KeyValueService.Prefix, row.Key())
		if _, err := client.Swap(t.Context(), kv.Swap{Key: key, Value: value}); err != nil {
			t.Fatal(err)
		}
	}
	return &platform{keyValue: keyValue.URL, list: list, listURL: lists.URL + "/"}
}

// engines starts workers of the zone and lists them.
func (p *platform) engines(t *testing.T, zone string, count int) []*engine.Engine {
	t.Helper()
	var engines []*engine.Engine
	p.workers = nil
	for i := range count {
		stub := engine.New(engine.DefaultSettings())
		server := httptest.NewServer(stub)
		t.Cleanup(server.Close)
		engines = append(engines, stub)
		p.servers = append(p.servers, server)
		p.workers = append(p.workers, api.Worker{
			ID: api.WorkerID(fmt.Sprintf("worker-%d", i)), Address: server.Listener.Addr().String(),
			Service: service, Place: place, Location: api.Location{Region: "r", Zone: api.ZoneName(zone)}, Slots: 8,
		})
	}
	p.list.Set(p.workers)
	return engines
}

func (p *platform) settings(id, zone string) config.Settings {
	settings := config.Default()
	settings.Node.ID, settings.Node.Address, settings.Node.Region, settings.Node.Zone = id, loopback, "r", zone
	settings.Membership = config.Membership{Interval: interval, SuspectTimeout: time.Second}
	settings.KeyValueService.Endpoints = []string{p.keyValue}
	settings.MachineList = config.MachineList{URL: p.listURL, Interval: interval}
	settings.Sidecar.Address = loopback
	settings.Peers = append([]string(nil), p.peers...)
	return settings
}

// process is a running daemon.
type process struct {
	*daemon.Daemon
	stop  context.CancelFunc
	kill  context.CancelFunc
	ended chan error
}

func (p *platform) start(t *testing.T, role api.Role, id, zone string) *process {
	t.Helper()
	logger, err := logging.New(config.Log{Level: "error", Format: "text"}, t.Output())
	if err != nil {
		t.Fatal(err)
	}
	started, err := daemon.New(role, p.settings(id, zone), logger, nil)
	if err != nil {
		t.Fatal(err)
	}
	p.peers = append(p.peers, started.Node.Address())
	ctx, stop := context.WithCancel(context.Background())
	killed, kill := context.WithCancel(context.Background())
	result := &process{Daemon: started, stop: stop, kill: kill, ended: make(chan error, 1)}
	go func() { result.ended <- started.Run(ctx, killed) }()
	t.Cleanup(kill) // before the fake services close, also if the test fails
	return result
}

func (p *process) await(t *testing.T) error {
	t.Helper()
	select {
	case err := <-p.ended:
		p.ended <- err
		return err
	case <-time.After(testTimeout):
		t.Fatalf("%s did not stop in time", p.Node.ID())
		return nil
	}
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for begin := time.Now(); !condition(); time.Sleep(interval / 5) {
		if time.Since(begin) > testTimeout {
			t.Fatalf("timeout after %v waiting for %s", testTimeout, what)
		}
	}
}

// ask sends one non-repeatable request.
func ask(client *http.Client, address string) error {
	body := `{"model":"model","max_tokens":8,"messages":[{"role":"user","content":"hello"}]}`
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewBufferString(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(api.HeaderRepeatable, "false")
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", response.StatusCode, answer)
	}
	return err
}

func row() api.Row { return api.Row{Service: service, Place: place, Weight: 1, Priority: 1} }

// homeRouters counts the routers that are homes of the row in a node's view.
func homeRouters(process *process) int {
	count := 0
	for _, other := range process.Node.Nodes() {
		for _, summary := range other.Summary.Services {
			if summary.Key() == row().Key() && summary.Workers > 0 {
				count++
			}
		}
	}
	return count
}

func TestRequestsCrossZonesThroughGateways(t *testing.T) {
	platform := newPlatform(t, row())
	engines := platform.engines(t, homeZone, 2)
	var all []*process
	for i := range 3 {
		all = append(all, platform.start(t, api.RoleRouter, fmt.Sprintf("north-%d", i), homeZone))
	}
	all = append(all, platform.start(t, api.RoleRouter, "south-0", otherZone))
	caller := platform.start(t, api.RoleSidecar, "caller", otherZone)
	defer stopAll(t, append(all, caller))
	eventually(t, "the other zone's gateways", func() bool { return caller.Node.Table() != nil && homeRouters(caller) == 3 })
	client := &http.Client{}
	defer client.CloseIdleConnections()
	for i := range 30 {
		if err := ask(client, caller.Sidecar.Address()); err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
	}
	if served := engines[0].Completed() + engines[1].Completed(); served != 30 {
		t.Errorf("engines served %d requests, want 30", served)
	}
	for _, router := range all[:3] {
		for _, other := range router.Node.Nodes() {
			if other.Location.Zone == otherZone && other.Role == api.RoleSidecar {
				t.Error("a sidecar is in a router's view")
			}
		}
	}
}

// One worker is marked as leaving in the machine list, another dies while still listed as
// live.
func TestLeavingAndDeadWorkersGetNoRequests(t *testing.T) {
	platform := newPlatform(t, row())
	engines := platform.engines(t, homeZone, 3)
	router := platform.start(t, api.RoleRouter, "router-0", homeZone)
	caller := platform.start(t, api.RoleSidecar, "caller", homeZone)
	defer stopAll(t, []*process{router, caller})
	eventually(t, "a home", func() bool { return caller.Node.Table() != nil && homeRouters(caller) == 1 })
	platform.list.Set([]api.Worker{leavingWorker(platform.workers[0]), platform.workers[1], platform.workers[2]})
	eventually(t, "two workers offered", func() bool { return workersOffered(caller) == 2 })
	before := engines[0].Completed()
	platform.servers[1].CloseClientConnections()
	platform.servers[1].Close()
	client := &http.Client{}
	defer client.CloseIdleConnections()
	for i := range 30 {
		if err := ask(client, caller.Sidecar.Address()); err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
	}
	if served := engines[0].Completed() - before; served > 0 {
		t.Errorf("the leaving worker got %d new requests", served)
	}
}

func leavingWorker(worker api.Worker) api.Worker {
	worker.Leaving = true
	return worker
}

// workersOffered counts the workers that the routers in a node's view offer.
func workersOffered(process *process) int {
	count := 0
	for _, other := range process.Node.Nodes() {
		for _, summary := range other.Summary.Services {
			count += summary.Workers
		}
	}
	return count
}

func stopAll(t *testing.T, processes []*process) {
	for i := len(processes) - 1; i >= 0; i-- {
		processes[i].stop()
	}
	for _, process := range processes {
		if err := process.await(t); err != nil {
			t.Errorf("%s: %v", process.Node.ID(), err)
		}
	}
}

// Routers are replaced one after another while callers send non-repeatable requests.
func TestGracefulStopAbortsNoRequest(t *testing.T) {
	platform := newPlatform(t, row())
	platform.engines(t, homeZone, 4)
	routers := []*process{
		platform.start(t, api.RoleRouter, "router-0", homeZone),
		platform.start(t, api.RoleRouter, "router-1", homeZone),
		platform.start(t, api.RoleRouter, "router-2", homeZone),
	}
	caller := platform.start(t, api.RoleSidecar, "caller", homeZone)
	eventually(t, "three homes", func() bool { return caller.Node.Table() != nil && homeRouters(caller) >= 2 })
	var sent, failed atomic.Int64
	var first atomic.Pointer[error]
	done := make(chan struct{})
	finish := sync.OnceFunc(func() { close(done) })
	defer finish()
	var callers sync.WaitGroup
	for range 8 {
		callers.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for {
				select {
				case <-done:
					return
				default:
				}
				sent.Add(1)
				if err := ask(client, caller.Sidecar.Address()); err != nil {
					failed.Add(1)
					first.CompareAndSwap(nil, &err)
				}
			}
		})
	}
	for i := range 3 {
		began := time.Now()
		routers[i].stop()
		if err := routers[i].await(t); err != nil {
			t.Errorf("router-%d: %v", i, err)
		}
		if last := routers[i].Node.LastRequest(); last.After(began) {
			t.Logf("router-%d: last new request %v after the signal, ended after %v", i, last.Sub(began), time.Since(began))
		}
		routers = append(routers, platform.start(t, api.RoleRouter, fmt.Sprintf("router-%d", 3+i), homeZone))
		eventually(t, "the next home", func() bool { return homeRouters(caller) >= 2 })
	}
	finish()
	callers.Wait()
	stopAll(t, append(routers[3:], caller))
	if failed.Load() > 0 {
		t.Errorf("%d of %d requests failed, the first: %v", failed.Load(), sent.Load(), *first.Load())
	}
	t.Logf("%d requests", sent.Load())
}

func TestKillDuringStopEndsAtOnce(t *testing.T) {
	platform := newPlatform(t, row())
	router := platform.start(t, api.RoleRouter, "router-0", homeZone)
	caller := platform.start(t, api.RoleSidecar, "caller", homeZone)
	for _, process := range []*process{caller, router} {
		process.stop()
		process.kill()
		if err := process.await(t); err != nil && !errors.Is(err, node.ErrKilled) {
			t.Errorf("%s: %v", process.Node.ID(), err)
		}
	}
}

func TestAddressInUseIsOneLineError(t *testing.T) {
	taken, err := net.Listen("tcp", loopback)
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	settings := (&platform{}).settings("router-0", homeZone)
	settings.KeyValueService.Endpoints = nil
	settings.Node.Address = taken.Addr().String()
	logger, _ := logging.New(config.Log{Level: "error", Format: "text"}, t.Output())
	_, err = daemon.New(api.RoleRouter, settings, logger, nil)
	if err == nil || !strings.Contains(err.Error(), "listen on "+settings.Node.Address) || strings.Contains(err.Error(), "\n") {
		t.Errorf("error %v, want one line that names the address", err)
	}
}

// A stopped daemon leaves no goroutines, even if its peers and the key-value service are
// unreachable.
func TestStopLeaksNoGoroutines(t *testing.T) {
	before := goleak.IgnoreCurrent()
	for _, role := range []api.Role{api.RoleRouter, api.RoleSidecar} {
		platform := &platform{keyValue: "http://127.0.0.1:1", listURL: "http://127.0.0.1:1/", peers: []string{"127.0.0.1:1"}}
		started := platform.start(t, role, "node-0", homeZone)
		time.Sleep(3 * interval)
		stopAll(t, []*process{started})
	}
	goleak.VerifyNone(t, before)
}
