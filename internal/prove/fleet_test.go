package prove

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"text/template"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/config"
	"github.com/dykewing/dykewing/internal/kv"
	"github.com/dykewing/dykewing/internal/standin/address"
	"github.com/dykewing/dykewing/internal/standin/engine"
	"github.com/dykewing/dykewing/internal/standin/keyvalue"
	"github.com/dykewing/dykewing/internal/standin/machinelist"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/table"
)

const (
	modelService   = api.ServiceName("tutor")
	bookingService = api.ServiceName("booking")
	place          = api.PlaceName("cairo")
	waitTimeout    = 60 * time.Second // limit of each wait; results do not depend on the time taken
	pollInterval   = 50 * time.Millisecond
)

// binary is the path of the command under test, built once by TestMain.
var binary string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "dykewing-prove-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binary = filepath.Join(folder, "dykewing")
	build := exec.Command("go", "build", "-o", binary, "github.com/dykewing/dykewing/cmd/dykewing")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, output)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// fleet is a set of daemon processes with stand-ins of the platform in the test
// process.
type fleet struct {
	t        *testing.T
	folder   string
	keyValue *switchableHandler
	list     *machinelist.Server
	engines  []*recorder
	workers  []api.Worker
	daemons  map[string]*process
	order    []string
	kvURL    string
	listURL  string
	callers  []string // addresses for callers, one per sidecar
}

// switchableHandler is a handler that aborts all requests while down is set.
type switchableHandler struct {
	handler http.Handler
	down    atomic.Bool
}

func (s *switchableHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.down.Load() {
		panic(http.ErrAbortHandler)
	}
	s.handler.ServeHTTP(w, r)
}

// recorder is a back end that counts bookings by the name in their body.
type recorder struct {
	*switchableHandler
	loseAnswers atomic.Bool // count the booking, then close the connection without a response
	mutex       sync.Mutex
	runs        map[string]int
}

func (r *recorder) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if strings.HasPrefix(request.URL.Path, "/v1/services/") {
		var body bytes.Buffer
		_, _ = body.ReadFrom(request.Body)
		r.mutex.Lock()
		r.runs[body.String()]++
		r.mutex.Unlock()
		request.Body = http.NoBody
		if r.loseAnswers.Load() {
			panic(http.ErrAbortHandler)
		}
	}
	r.switchableHandler.ServeHTTP(w, request)
}

func newFleet(t *testing.T, routers, stores, sidecars int) *fleet {
	t.Helper()
	f := &fleet{t: t, folder: t.TempDir(), daemons: map[string]*process{}}
	f.startPlatform()
	for i := range routers {
		f.add(api.RoleRouter, i, stores)
	}
	for i := range stores {
		f.add(api.RoleStore, i, stores)
	}
	for i := range sidecars {
		f.add(api.RoleSidecar, i, stores)
	}
	t.Cleanup(f.stop)
	for _, name := range f.order {
		f.daemons[name].start(t)
	}
	f.awaitReady()
	return f
}

func (f *fleet) serve(handler http.Handler) string {
	server := httptest.NewServer(handler)
	f.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener.Addr().String()
}

func (f *fleet) startPlatform() {
	f.keyValue = &switchableHandler{handler: keyvalue.NewServer()}
	f.kvURL = "http://" + f.serve(f.keyValue)
	f.list = machinelist.NewServer(0)
	f.listURL = "http://" + f.serve(f.list) + "/"
	for _, service := range []api.ServiceName{modelService, bookingService} {
		for i := range 3 {
			back := &recorder{switchableHandler: &switchableHandler{handler: engine.New(engine.DefaultSettings())}, runs: map[string]int{}}
			f.engines = append(f.engines, back)
			f.workers = append(f.workers, api.Worker{
				ID: api.WorkerID(fmt.Sprintf("%s-%d", service, i)), Address: f.serve(back), Service: service, Place: place,
				Location: api.Location{Region: "cairo", Zone: "cairo-a"}, Slots: 8,
			})
		}
	}
	f.list.Set(f.workers)
	f.setRow(api.Row{Service: modelService, Place: place, Weight: 1, BatchAllowance: 12, Repeatable: true})
	f.setRow(api.Row{Service: bookingService, Place: place, Weight: 1})
}

// setRow writes a table row directly to the key-value service.
func (f *fleet) setRow(row api.Row) {
	f.t.Helper()
	service := kv.NewEtcd([]string{f.kvURL}, time.Second, 1000)
	value, err := table.Encode(row, fmt.Sprintf("prove-%d", time.Now().UnixNano()))
	if err != nil {
		f.t.Fatal(err)
	}
	key := table.StoreKey(config.Default().KeyValueService.Prefix, row.Key())
	if _, err := service.Swap(context.Background(), kv.Swap{Key: key, Value: value}); err != nil {
		f.t.Fatal(err)
	}
}

var settingsTemplate = template.Must(template.New("settings").Parse(`node:
  id: {{.ID}}
  address: {{.Address}}
  region: cairo
  zone: cairo-a
  stop_timeout: 30s
peers: [{{.Peers}}]
membership: {interval: 100ms, suspect_timeout: 1s}
key_value_service: {endpoints: ["{{.KeyValue}}"], requests_per_second: 100, timeout: 500ms}
machine_list: {url: "{{.List}}", interval: 200ms}
sidecar: {address: "{{.Callers}}", default_deadline: 20s}
store: {data_folder: "{{.Folder}}", groups: 2, replicas: {{.Replicas}}, grant_lifetime: 3s}
log: {level: info}
`))

func (f *fleet) add(role api.Role, number, replicas int) {
	name := fmt.Sprintf("%s-%d", role, number)
	p := &process{
		name: name, role: role, address: address.New().String(), callers: address.New().String(),
		settings: filepath.Join(f.folder, name+".yaml"), log: filepath.Join(f.folder, name+".log"),
	}
	var peers []string
	for _, other := range f.order {
		peers = append(peers, f.daemons[other].address)
	}
	var text bytes.Buffer
	err := settingsTemplate.Execute(&text, map[string]any{
		"ID": name, "Address": p.address, "Peers": strings.Join(peers, ", "), "KeyValue": f.kvURL, "List": f.listURL,
		"Callers": p.callers, "Folder": filepath.Join(f.folder, name+"-data"), "Replicas": replicas,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	if err := os.WriteFile(p.settings, text.Bytes(), 0o600); err != nil {
		f.t.Fatal(err)
	}
	f.daemons[name] = p
	f.order = append(f.order, name)
	if role == api.RoleSidecar {
		f.callers = append(f.callers, p.callers)
	}
}

// awaitReady waits until each sidecar is ready and knows all workers and the
// leader of each group.
func (f *fleet) awaitReady() {
	f.t.Helper()
	f.await("the fleet to be ready", func() bool {
		for _, name := range f.order {
			p := f.daemons[name]
			if p.role == api.RoleSidecar && !f.isReady(p) {
				return false
			}
		}
		return true
	})
}

func (f *fleet) isReady(p *process) bool {
	var nodes []api.Node
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if transport.Get(ctx, http.DefaultClient, "read nodes", p.address, api.PathNodes, &nodes) != nil {
		return false
	}
	ready, err := http.Get("http://" + p.address + "/readyz")
	if err != nil {
		return false
	}
	ready.Body.Close()
	workers, leaders := 0, map[api.GroupID]bool{}
	for _, node := range nodes {
		for _, service := range node.Summary.Services {
			workers += service.Workers
		}
		for _, group := range node.Summary.Groups {
			if group.Leading {
				leaders[group.Group] = true
			}
		}
	}
	return ready.StatusCode == http.StatusOK && workers == len(f.workers) && len(leaders) == 2
}

func (f *fleet) await(what string, done func() bool) {
	f.t.Helper()
	for end := time.Now().Add(waitTimeout); !done(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			f.t.Fatalf("timed out waiting for %s\n%s", what, f.logs())
		}
	}
}

// logs returns the tail of each process's log.
func (f *fleet) logs() string {
	const tail = 1500
	var all strings.Builder
	for _, name := range f.order {
		raw, _ := os.ReadFile(f.daemons[name].log)
		fmt.Fprintf(&all, "--- %s\n%s\n", name, raw[max(0, len(raw)-tail):])
	}
	return all.String()
}

func (f *fleet) stop() {
	for _, name := range f.order {
		f.daemons[name].kill()
	}
}

// leader returns the name of the store process that leads the group, as seen by
// sidecar-0.
func (f *fleet) leader(group api.GroupID) string {
	f.t.Helper()
	found := ""
	f.await(fmt.Sprintf("a leader of group %d", group), func() bool {
		var nodes []api.Node
		address := f.daemons["sidecar-0"].address
		if transport.Get(context.Background(), http.DefaultClient, "read nodes", address, api.PathNodes, &nodes) != nil {
			return false
		}
		for _, node := range nodes {
			for _, summary := range node.Summary.Groups {
				if summary.Group == group && summary.Leading {
					found = string(node.ID)
				}
			}
		}
		return found != ""
	})
	return found
}

// process is a daemon process.
type process struct {
	name     string
	role     api.Role
	address  string
	callers  string
	settings string
	log      string
	command  *exec.Cmd
	ended    chan error
}

func (p *process) start(t *testing.T) {
	t.Helper()
	output, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	defer output.Close()
	p.command = exec.Command(binary, string(p.role), "--settings", p.settings)
	p.command.Stdout, p.command.Stderr = output, output
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	command, ended := p.command, make(chan error, 1)
	p.ended = ended
	go func() { ended <- command.Wait() }()
}

func (p *process) signal(signal syscall.Signal) { _ = p.command.Process.Signal(signal) }

// kill sends SIGKILL and waits for the process to exit.
func (p *process) kill() {
	if p.command == nil {
		return
	}
	p.signal(syscall.SIGKILL)
	<-p.ended
	p.command = nil
}

// stopGracefully sends SIGTERM and returns the process's exit error.
func (p *process) stopGracefully(t *testing.T) error {
	t.Helper()
	p.signal(syscall.SIGTERM)
	select {
	case err := <-p.ended:
		p.command = nil
		return err
	case <-time.After(waitTimeout):
		t.Fatalf("%s did not exit after SIGTERM", p.name)
		return nil
	}
}
