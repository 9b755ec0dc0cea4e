//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/dykewing/dykewing/internal/standin/address"
	"github.com/dykewing/dykewing/platform/standin"
)

const (
	program = "target/dykewing" // as in deploy/system.toml
	host    = "booking.example"
	zone    = "hal-a"

	// startTimeout is how long the fleet may take to serve.
	startTimeout = 30 * time.Second
	// entryTimeout is three heartbeats of a worker, after which the entry of a silent one goes.
	entryTimeout = 3600 * time.Millisecond
)

// run is one play of a case.
type run struct {
	trouble bool // false with TROUBLE=0
	folder  string
	started time.Time
	record  *os.File

	platform *standin.Store
	server   *http.Server
	address  string // of the platform's store
	members  map[string]*member
	order    []string
	seeds    []string

	mutex   sync.Mutex // guards the fields below
	reports []report
	procs   []*exec.Cmd
}

// member is a process of the system.
type member struct {
	id, role, ip, folder string
	process              *exec.Cmd
}

// workerProcess is a worker; a restart is a new incarnation at the same address.
type workerProcess struct {
	service string
	flags   workerFlags
	listed  string // address in its entry; that of its path, or its own
	path    *proxy // nil: it is reached straight
	process *exec.Cmd
}

func newRun(file string) (*run, error) {
	record, err := os.Create(file)
	if err != nil {
		return nil, err
	}
	work, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	c := &run{
		trouble: os.Getenv("TROUBLE") != "0", folder: work, started: time.Now(), record: record,
		platform: standin.NewStore(), members: map[string]*member{},
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c.address = listener.Addr().String()
	c.server = &http.Server{Handler: c.platform}
	go func() { _ = c.server.Serve(listener) }()
	c.note("TROUBLE is %t", c.trouble)
	return c, nil
}

// note writes a line of the record.
func (c *run) note(format string, arguments ...any) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	fmt.Fprintf(c.record, "%8.3f s  %s\n", time.Since(c.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// close ends the record.
func (c *run) close(verdict string) {
	c.note("verdict: %s", verdict)
	c.record.Close()
	fmt.Println(verdict)
}

// stop ends all processes of the play.
func (c *run) stop() {
	c.mutex.Lock()
	procs := c.procs
	c.mutex.Unlock()
	for _, p := range procs {
		_ = p.Process.Signal(syscall.SIGCONT)
		_ = p.Process.Kill()
	}
	for _, p := range procs {
		_ = p.Wait()
	}
	c.server.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(c.folder)
	}
}

// spawn starts a process; each line of its output is passed to line.
func (c *run) spawn(line func(string), name string, arguments ...string) (*exec.Cmd, error) {
	command := exec.Command(name, arguments...)
	output, err := command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	command.Stderr = command.Stdout
	if err := command.Start(); err != nil {
		return nil, err
	}
	go func() {
		lines := bufio.NewScanner(output)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			line(lines.Text())
		}
	}()
	c.mutex.Lock()
	c.procs = append(c.procs, command)
	c.mutex.Unlock()
	return command, nil
}

// configure puts a configuration into force.
func (c *run) configure(version int, routes []map[string]any, services ...string) {
	var list []map[string]any
	for _, name := range services {
		list = append(list, map[string]any{"name": name, "healthPath": "/healthz", "maxConns": 300, "engine": map[string]any{"slots": 8, "kvCapacity": 171000}})
	}
	raw, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 15000},
	})
	c.platform.Put("op/config", raw)
	c.note("the operator writes configuration %d", version)
}

// fleet starts frontends and stores with the commands of the deploy file and waits until they serve.
func (c *run) fleet(frontends, stores int) error {
	if _, err := os.Stat(program); err != nil {
		return err
	}
	for i := range stores {
		id := fmt.Sprintf("store-%d", i)
		c.addMember(&member{id: id, role: "store", ip: address.New().Addr().String(), folder: filepath.Join(c.folder, "data-"+id)})
	}
	for i := range frontends {
		c.addMember(&member{id: fmt.Sprintf("front-%d", i), role: "frontend", ip: address.New().Addr().String()})
	}
	for _, m := range c.members {
		if m.role == "frontend" && len(c.seeds) < 3 {
			c.seeds = append(c.seeds, m.ip+":8146")
		}
	}
	for _, id := range c.order {
		if err := c.start(id); err != nil {
			return err
		}
	}
	return c.awaitReady()
}

func (c *run) addMember(m *member) {
	c.members[m.id] = m
	c.order = append(c.order, m.id)
}

// start starts a member, anew after it has ended.
func (c *run) start(id string) error {
	m := c.members[id]
	file := filepath.Join(c.folder, id+".yaml")
	if err := os.WriteFile(file, []byte(c.settings(m)), 0o600); err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(c.folder, id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.process, err = c.spawn(func(line string) { fmt.Fprintln(logFile, line) }, program, m.role, "--settings", file)
	return err
}

// settings are those of deploy/settings.yaml, filled with the figures of a small deployment.
func (c *run) settings(m *member) string {
	lines := []string{
		"node:",
		fmt.Sprintf("  id: %q", m.id),
		fmt.Sprintf("  address: \"%s:8146\"", m.ip),
		"  region: \"dk-east\"", fmt.Sprintf("  zone: %q", zone), "  stop_timeout: \"8s\"", "  stop_margin: 1s", "  processor_share: 0.8", "  memory_mb: 314",
		fmt.Sprintf("peers: [\"%s\"]", strings.Join(c.seeds, "\", \"")),
		"membership:", "  interval: 400ms", "  suspect_timeout: 1s",
		"key_value_service:", "  prefix: \"/dykewing/\"",
		"platform:", fmt.Sprintf("  store_address: %q", c.address), "  timeout: 1s", "  freshness: \"3000ms\"", "  changes_within: \"2000ms\"",
		"  reads_per_second: 2000", "  writes_per_second: 400",
		"tenants:", "  window: \"5s\"", "  overshoot: 0.1", "  allowance: 0",
		"batch:", "  retention: \"120s\"",
		"store:", fmt.Sprintf("  data_folder: %q", m.folder), "  groups: 0", "  tolerated_losses: [1, 0, 0]", "  heartbeat: 40ms", "  election_timeout: 200ms",
		"  replace_after: 2s", "  minimum_free_bytes: 16777216",
		"log:", "  level: info", "  format: json",
	}
	if m.role == "frontend" {
		lines = append(lines, "frontend:", fmt.Sprintf("  address: \"%s:8144\"", m.ip), fmt.Sprintf("  ready_address: \"%s:8140\"", m.ip),
			fmt.Sprintf("  registry_address: \"%s:8143\"", m.ip), "  address_lifetime: \"5s\"", "  retry_after: 200ms")
	}
	return strings.Join(lines, "\n") + "\n"
}

// awaitReady waits until each frontend is ready and reaches the stores.
func (c *run) awaitReady() error {
	for _, id := range c.order {
		m := c.members[id]
		if m.role != "frontend" {
			continue
		}
		err := await(startTimeout, "readiness of "+id, func() bool {
			response, err := http.Get("http://" + m.ip + ":8140/-/readyz")
			if err != nil {
				return false
			}
			response.Body.Close()
			return response.StatusCode == http.StatusOK && c.call(id, http.MethodGet, "/-/lots/none", "", nil, nil).status == http.StatusNotFound
		})
		if err != nil {
			return err
		}
	}
	c.note("all frontends are ready and reach the stores")
	return nil
}

// await polls until done or the timeout.
func await(timeout time.Duration, what string, done func() bool) error {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if done() {
			return nil
		}
	}
	return errors.New("timed out: " + what)
}

// signal sends a signal to a member.
func (c *run) signal(id string, signal syscall.Signal) {
	c.note("%s gets %v", id, signal)
	_ = c.members[id].process.Process.Signal(signal)
}

// addWorker starts a worker process and lists it.
func (c *run) addWorker(id, service string, flags workerFlags) (*workerProcess, error) {
	flags.id, flags.address, flags.slots = id, address.New().String(), 8
	w := &workerProcess{service: service, flags: flags, listed: flags.address}
	return w, c.startWorker(w)
}

// addWorkerBehind is addWorker for a worker that is reached through a proxy.
func (c *run) addWorkerBehind(id, service string, flags workerFlags) (w *workerProcess, err error) {
	flags.id, flags.address, flags.slots = id, address.New().String(), 8
	w = &workerProcess{service: service, flags: flags, listed: address.New().String()}
	if w.path, err = newProxy(w.listed, flags.address); err != nil {
		return nil, err
	}
	return w, c.startWorker(w)
}

// startWorker starts an incarnation of a worker and lists it once it listens.
func (c *run) startWorker(w *workerProcess) (err error) {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	arguments := []string{"worker", "-id", w.flags.id, "-address", w.flags.address, "-slots", fmt.Sprint(w.flags.slots),
		"-events", fmt.Sprint(w.flags.events), "-pieces", fmt.Sprint(w.flags.pieces), "-pause", w.flags.pause.String()}
	if w.flags.unframed {
		arguments = append(arguments, "-unframed")
	}
	if w.process, err = c.spawn(c.workerLine, self, arguments...); err != nil {
		return err
	}
	err = await(5*time.Second, "worker "+w.flags.id, func() bool {
		conn, err := net.Dial("tcp", w.flags.address)
		if err == nil {
			conn.Close()
		}
		return err == nil
	})
	c.note("worker %s of %s listens", w.flags.id, w.service)
	go func() {
		if w.path != nil {
			w.path.wait() // a worker behind a cut can't write its entry
		}
		c.list(w, "ready")
	}()
	return err
}

// list writes the entry of a worker.
func (c *run) list(w *workerProcess, state string) {
	raw, _ := json.Marshal(map[string]any{
		"service": w.service, "address": w.listed, "zone": zone, "version": "v1", "slots": w.flags.slots, "state": state, "coldLeftMs": 0, "sequence": 1,
	})
	c.platform.Put("servers/"+w.flags.id, raw)
}

// crash kills a worker's process. Its entry goes after three heartbeats of silence.
func (c *run) crash(w *workerProcess) {
	c.note("worker %s is killed", w.flags.id)
	_ = w.process.Process.Kill()
	key := "servers/" + w.flags.id
	time.AfterFunc(entryTimeout, func() { c.platform.Remove(key) })
}

// restart starts the next incarnation of a worker, with a new id, at the same address.
func (c *run) restart(w *workerProcess) error {
	w.flags.id += "x"
	return c.startWorker(w)
}

// workerLine takes a line of a worker's output.
func (c *run) workerLine(line string) {
	var r report
	if json.Unmarshal([]byte(line), &r) != nil {
		return
	}
	c.note("worker %s, request %s: %s %s (after event %q, up to %d)", r.Worker, r.Request, r.What, r.Target, r.Last, r.Sent)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.reports = append(c.reports, r)
}

// reported lists what workers reported of a request.
func (c *run) reported(request, what string) (list []report) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, r := range c.reports {
		if r.Request == request && r.What == what {
			list = append(list, r)
		}
	}
	return list
}

// answer is what a client received.
type answer struct {
	status int
	header http.Header
	body   string
	err    error // nil if the answer is complete in the protocol
}

var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// call sends a client's request to a frontend, on a new connection.
func (c *run) call(frontend, method, path, id string, header map[string]string, body []byte) answer {
	request, err := http.NewRequest(method, "http://"+c.members[frontend].ip+":8144"+path, strings.NewReader(string(body)))
	if err != nil {
		return answer{err: err}
	}
	request.Host = host
	if id != "" {
		request.Header.Set("X-Dykewing-Request-Id", id)
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(raw), err: err}
}
