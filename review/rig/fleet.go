//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/dykewing/dykewing/internal/standin/address"
	"github.com/dykewing/dykewing/platform/standin"
)

// errSetup means that the case could not run.
var errSetup = errors.New("the case could not run")

const (
	program  = "target/dykewing"
	host     = "ficu95.example"
	zones    = 3
	region   = "cai"
	awaitFor = 30 * time.Second
	// startSpread is the time within which all machines start.
	startSpread = 300 * time.Millisecond
	// Ports of each machine, counted from address.FirstPort.
	portControl  = address.FirstPort
	portFront    = address.FirstPort + 1
	portReady    = address.FirstPort + 2
	portRegistry = address.FirstPort + 3
)

// fleet is a small deployment: a stand-in of the platform's store, stores and frontends as processes of
// their own, and stand-ins of workers.
type fleet struct {
	folder   string
	record   *record
	platform *standin.Store
	server   *http.Server
	storeAt  string
	seeds    []string
	machines []*machine
	workers  []*worker
	stopped  chan struct{}
}

// machine runs one process of the system.
type machine struct {
	name    string
	role    string
	ip      string
	command *exec.Cmd
	ended   chan struct{}
}

// record is the file in which a case writes what was sent, answered and run.
type record struct {
	mutex sync.Mutex
	file  *os.File
	begun time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, begun: time.Now()}, err
}

func (r *record) log(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f ", time.Since(r.begun).Seconds())
	fmt.Fprintf(r.file, format+"\n", arguments...)
}

// newFleet starts the stand-in of the platform's store, which holds a configuration.
func newFleet(r *record, configuration map[string]any) (*fleet, error) {
	folder, err := os.MkdirTemp("", "dykewing-review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{folder: folder, record: r, platform: standin.NewStore(), stopped: make(chan struct{})}
	ip := address.New().Addr().String()
	listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, portFront))
	if err != nil {
		return nil, err
	}
	f.storeAt = listener.Addr().String()
	f.server = &http.Server{Handler: f.platform}
	go f.server.Serve(listener)
	f.configure(configuration)
	return f, nil
}

func (f *fleet) configure(configuration map[string]any) {
	raw, _ := json.Marshal(configuration)
	f.platform.Put("op/config", raw)
	f.record.log("operator: configuration %v acknowledged", configuration["version"])
}

// start starts the processes and waits until every frontend serves requests and jobs.
func (f *fleet) start(frontends, stores int) error {
	for i := range stores {
		f.machines = append(f.machines, &machine{name: fmt.Sprintf("storage-%d", i+1), role: "store", ip: address.New().Addr().String()})
	}
	for i := range frontends {
		f.machines = append(f.machines, &machine{name: fmt.Sprintf("edge-%d", i+1), role: "frontend", ip: address.New().Addr().String()})
	}
	for _, m := range f.machines {
		if m.role == "frontend" {
			f.seeds = append(f.seeds, fmt.Sprintf("%s:%d", m.ip, portControl))
		}
	}
	f.seeds = f.seeds[:min(len(f.seeds), 3)]
	for i, m := range f.machines {
		if err := f.prepare(m, i%zones); err != nil {
			return err
		}
	}
	// All machines start within 0.3 s of each other, in any order (DEPLOY.md).
	for _, at := range rand.Perm(len(f.machines)) {
		time.Sleep(rand.N(startSpread / time.Duration(len(f.machines))))
		if err := f.run(f.machines[at]); err != nil {
			return err
		}
	}
	for _, m := range f.machines {
		if m.role != "frontend" {
			continue
		}
		ready := func() bool {
			status, _ := call(http.MethodGet, fmt.Sprintf("http://%s:%d/-/readyz", m.ip, portReady), "", nil, time.Second)
			return status == http.StatusOK
		}
		jobs := func() bool {
			status, _ := call(http.MethodGet, f.front(m)+"/-/lots/none", "", nil, time.Second)
			return status == http.StatusNotFound
		}
		if !await(ready) || !await(jobs) {
			return fmt.Errorf("%s is not ready", m.name)
		}
	}
	time.Sleep(2 * time.Second)
	f.record.log("fleet: %d frontends and %d stores are ready", frontends, stores)
	return nil
}

func await(done func() bool) bool {
	for deadline := time.Now().Add(awaitFor); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if done() {
			return true
		}
	}
	return false
}

// prepare writes the settings file of a machine from the template of the deploy file.
func (f *fleet) prepare(m *machine, zone int) error {
	template, err := os.ReadFile("deploy/settings.yaml")
	if err != nil {
		return err
	}
	fields := map[string]any{
		"nodeName": m.name, "ip": m.ip, "zone": fmt.Sprintf("cai-%c", 'a'+zone), "region": region,
		"internalPorts": []string{fmt.Sprint(portControl), fmt.Sprint(portControl)}, "seeds": f.seeds,
		"limits":         map[string]any{"cpuShare": 0.4, "memoryMb": 244},
		"faultTolerance": map[string]any{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"graceS": 8, "contactMs": 3000, "configApplyMs": 2000, "ttl_max_s": 5, "statusS": 120, "quotaOvershoot": 0.1,
		},
		"platform": map[string]any{"address": f.storeAt, "readsPerS": 2000, "writesPerS": 400},
	}
	switch m.role {
	case "frontend":
		fields["listen"] = map[string]any{
			"front": fmt.Sprintf("%s:%d", m.ip, portFront), "ready": fmt.Sprintf("%s:%d", m.ip, portReady),
			"control": fmt.Sprintf("%s:%d", m.ip, portControl), "directory": fmt.Sprintf("%s:%d", m.ip, portRegistry),
		}
	case "store":
		fields["limits"] = map[string]any{"cpuShare": 0.8, "memoryMb": 274}
		fields["dataDir"] = filepath.Join(f.folder, m.name)
	}
	return os.WriteFile(f.settings(m), []byte(render(string(template), fields)), 0o600)
}

func (f *fleet) settings(m *machine) string { return filepath.Join(f.folder, m.name+".yaml") }

// started are the processes that this one has started.
var (
	startedMutex sync.Mutex
	started      []*os.Process
)

// killAll ends them when this process is told to stop.
func killAll() {
	startedMutex.Lock()
	defer startedMutex.Unlock()
	for _, process := range started {
		_ = process.Kill()
	}
}

// run starts the process of a machine with the command of the deploy file.
func (f *fleet) run(m *machine) error {
	log, err := os.OpenFile(filepath.Join(f.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	m.command = exec.Command(program, m.role, "--settings", f.settings(m))
	m.command.Stdout, m.command.Stderr = log, log
	if err := m.command.Start(); err != nil {
		return err
	}
	startedMutex.Lock()
	started = append(started, m.command.Process)
	startedMutex.Unlock()
	m.ended = make(chan struct{})
	go func(command *exec.Cmd, ended chan struct{}) {
		_ = command.Wait()
		close(ended)
	}(m.command, m.ended)
	f.record.log("%s: started as %s", m.name, m.role)
	return nil
}

// signal sends a signal to a machine's process.
func (f *fleet) signal(m *machine, signal syscall.Signal) {
	f.record.log("%s: %v", m.name, signal)
	_ = m.command.Process.Signal(signal)
}

// stop ends all processes and removes the folder, unless it is to be kept.
func (f *fleet) stop() {
	close(f.stopped)
	for _, m := range f.machines {
		if m.command != nil && m.command.Process != nil {
			_ = m.command.Process.Signal(syscall.SIGKILL)
			<-m.ended
		}
	}
	for _, w := range f.workers {
		w.close()
	}
	f.server.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
		return
	}
	fmt.Println("logs:", f.folder)
}

func (f *fleet) frontends() (list []*machine) {
	for _, m := range f.machines {
		if m.role == "frontend" {
			list = append(list, m)
		}
	}
	return list
}

func (f *fleet) front(m *machine) string { return fmt.Sprintf("http://%s:%d", m.ip, portFront) }

// call makes one call on a new connection. The status is 0 without an answer.
func call(method, url, id string, body io.Reader, timeout time.Duration) (int, []byte) {
	request, err := http.NewRequest(method, url, body)
	if err != nil {
		return 0, nil
	}
	request.Host = host
	if id != "" {
		request.Header.Set("X-Dykewing-Request-Id", id)
	}
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, raw
}
