package store

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/config"
	"github.com/dykewing/dykewing/internal/logging"
	"github.com/dykewing/dykewing/internal/node"
	"github.com/dykewing/dykewing/internal/standin/keyvalue"
	"github.com/dykewing/dykewing/internal/storeclient"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/jobs"
)

const testTimeout = 60 * time.Second

// cluster is a set of stores with real disks and connections in this process, and a fake
// key-value service that can be taken down.
type cluster struct {
	t            testing.TB
	keyValue     *httptest.Server
	keyValueDown atomic.Bool
	settings     config.Store
	hooks        hooks // of stores started later
	mutex        sync.Mutex
	machines     []*testMachine
	client       *storeclient.Client
}

// testMachine is one machine with its disk. durable is the data file that would survive a
// power loss.
type testMachine struct {
	cluster   *cluster
	number    int
	folder    string
	node      *node.Node
	store     *Store
	isolated  atomic.Bool
	roleEnded atomic.Bool
	kill      context.CancelFunc
	leave     context.CancelFunc
	ended     chan error

	mutex         sync.Mutex
	durable       []byte
	durableMarker []byte // commit marker file that belongs to durable
}

func newCluster(t testing.TB, stores int, adjust func(*config.Store)) *cluster {
	c := &cluster{t: t}
	server := keyvalue.NewServer()
	c.keyValue = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c.keyValueDown.Load() {
			panic(http.ErrAbortHandler)
		}
		server.ServeHTTP(w, r)
	}))
	t.Cleanup(c.keyValue.Close)
	c.settings = config.Default().Store
	c.settings.Groups, c.settings.Replicas = 1, stores
	c.settings.Heartbeat, c.settings.ElectionTimeout = 30*time.Millisecond, 400*time.Millisecond
	c.settings.ReplaceAfter = time.Second
	if adjust != nil {
		adjust(&c.settings)
	}
	c.client = &storeclient.Client{HTTP: transport.NewClient(32), Nodes: c.view}
	for range stores {
		c.add()
	}
	t.Cleanup(c.stopAll)
	return c
}

// add starts a machine with a new disk.
func (c *cluster) add() *testMachine {
	m := &testMachine{cluster: c, number: len(c.machines), folder: filepath.Join(c.t.TempDir(), "data")}
	c.machines = append(c.machines, m)
	m.start()
	return m
}

func (m *testMachine) start() {
	c := m.cluster
	settings := config.Default()
	settings.Store = c.settings
	settings.Store.DataFolder = m.folder
	settings.Node = config.Node{
		ID: fmt.Sprintf("store-%d", m.number), Address: "127.0.0.1:0", Region: "local",
		Zone: fmt.Sprintf("zone-%d", m.number%3), StopTimeout: 10 * time.Second,
	}
	settings.Membership = config.Membership{Interval: 50 * time.Millisecond, SuspectTimeout: 400 * time.Millisecond}
	settings.KeyValueService.Endpoints = []string{c.keyValue.URL}
	settings.KeyValueService.RequestsPerSecond = 1000
	for _, other := range c.machines {
		if other.alive() {
			settings.Peers = append(settings.Peers, other.node.Address())
		}
	}
	log, err := logging.New(config.Log{Level: "error", Format: "text"}, c.t.Output())
	c.require(err)
	common, err := node.New(api.RoleStore, settings, log)
	c.require(err)
	m.isolated.Store(false)
	store, err := newStore(common, m.hooks())
	c.require(err)
	running, leave := context.WithCancel(context.Background())
	killed, kill := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	c.mutex.Lock()
	m.node, m.store, m.leave, m.kill, m.ended = common, store, leave, kill, ended
	m.roleEnded.Store(false)
	c.mutex.Unlock()
	go func() {
		storeContext, stopStore := context.WithCancel(killed)
		done := make(chan error, 1)
		go func() { done <- store.Run(storeContext); m.roleEnded.Store(true); kill() }()
		_ = common.Run(running, killed)
		stopStore()
		ended <- <-done
		common.System.Shutdown()
	}()
}

func (m *testMachine) hooks() hooks {
	h := m.cluster.hooks
	if !h.skipDurableCopy {
		h.synced = m.captureDurable
	}
	h.isolated = m.isolated.Load
	h.wrap = m.wrap
	return h
}

// captureDurable records the data file after a sync.
func (m *testMachine) captureDurable() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.isolated.Load() {
		return
	}
	raw, err := os.ReadFile(filepath.Join(m.folder, databaseFile))
	m.cluster.require(err)
	m.durable = raw
	// The commit marker is never synced: a power loss restores its content from
	// before this sync.
	if m.durableMarker, err = os.ReadFile(filepath.Join(m.folder, commitMarkerFile)); errors.Is(err, fs.ErrNotExist) {
		err = nil
	}
	m.cluster.require(err)
}

// wrap aborts all responses of a crashed machine.
func (m *testMachine) wrap(handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if m.isolated.Load() {
			panic(http.ErrAbortHandler)
		}
		handler(isolatedWriter{ResponseWriter: w, cut: &m.isolated}, r)
	}
}

type isolatedWriter struct {
	http.ResponseWriter
	cut *atomic.Bool
}

func (w isolatedWriter) Write(raw []byte) (int, error) {
	if w.cut.Load() {
		panic(http.ErrAbortHandler)
	}
	return w.ResponseWriter.Write(raw)
}

func (m *testMachine) alive() bool {
	m.cluster.mutex.Lock()
	defer m.cluster.mutex.Unlock()
	return m.node != nil
}

// end waits until the process has ended and returns the role's error.
func (m *testMachine) end() error {
	err := <-m.ended
	m.cluster.mutex.Lock()
	defer m.cluster.mutex.Unlock()
	m.node, m.store = nil, nil
	return err
}

// crash simulates a power loss: nothing more is sent, and the disk keeps what was synced.
func (m *testMachine) crash() {
	m.isolated.Store(true)
	m.kill()
	_ = m.end()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.durable != nil {
		m.cluster.require(os.WriteFile(filepath.Join(m.folder, databaseFile), m.durable, fileMode))
		m.cluster.require(os.WriteFile(filepath.Join(m.folder, commitMarkerFile), m.durableMarker, fileMode))
	}
}

// loseDisk deletes the data folder of a stopped machine.
func (m *testMachine) loseDisk() {
	m.cluster.require(os.RemoveAll(m.folder))
	m.durable = nil
}

// stop performs a planned stop.
func (m *testMachine) stop() error {
	m.leave()
	return m.end()
}

func (c *cluster) stopAll() {
	for _, m := range c.machines {
		if m.alive() {
			m.kill()
			_ = m.end()
		}
	}
}

func (c *cluster) require(err error) {
	c.t.Helper()
	if err != nil {
		c.t.Fatal(err)
	}
}

// view returns the view of any running store. A store whose role has ended is skipped, since
// its view stays at the last state.
func (c *cluster) view() []api.Node {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, m := range c.machines {
		if m.node != nil && !m.roleEnded.Load() && (len(m.node.Nodes()) > 1 || len(c.machines) == 1) {
			return m.node.Nodes()
		}
	}
	return nil
}

// await polls until the condition holds.
func (c *cluster) await(what string, holds func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(testTimeout); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			c.t.Fatalf("waiting for %s: timed out after %v", what, testTimeout)
		}
	}
}

// leader returns the machine that leads group 0, or nil.
func (c *cluster) leader() *testMachine {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, m := range c.machines {
		if m.store == nil {
			continue
		}
		if group, ok := m.store.group(0); ok && group.isLeading() {
			return m
		}
	}
	return nil
}

func (c *cluster) awaitLeader() *testMachine {
	c.t.Helper()
	c.await("a leader", func() bool { return c.leader() != nil })
	return c.leader()
}

func fileID(number int) jobs.FileID { return jobs.FileID(fmt.Sprintf("file-0-%d", number)) }

// create commits one file and returns the client's error.
func (c *cluster) create(ctx context.Context, number int) error {
	command := jobs.Command{CreateFile: &jobs.CreateFile{File: fileID(number), Tenant: "tenant", Name: "name", Purpose: "batch"}}
	_, err := c.client.Command(ctx, 0, command)
	return err
}

// createAll commits files with up to 8 concurrent requests.
func (c *cluster) createAll(from, count int) {
	c.t.Helper()
	var creating errgroup.Group
	creating.SetLimit(8)
	for number := from; number < from+count; number++ {
		creating.Go(func() error {
			return c.retryWhileNoQuorum(func(ctx context.Context) error { return c.create(ctx, number) })
		})
	}
	c.require(creating.Wait())
}

func (c *cluster) requireEventually(call func(context.Context) error) {
	c.t.Helper()
	c.require(c.retryWhileNoQuorum(call))
}

// retryWhileNoQuorum retries a call while the group has no leader, up to testTimeout.
func (c *cluster) retryWhileNoQuorum(call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for {
		err := call(ctx)
		if err == nil || ctx.Err() != nil || api.AsError("", err).Code != api.CodeNoQuorum {
			return err
		}
	}
}

// lostFiles returns the acknowledged files that can't be found.
func (c *cluster) lostFiles(count int) (lost []int) {
	c.t.Helper()
	for number := range count {
		c.requireEventually(func(ctx context.Context) error {
			var file jobs.File
			err := c.client.Read(ctx, 0, storeclient.FilePath(0, string(fileID(number))), &file)
			if err != nil && api.AsError("", err).Code == api.CodeNotFound {
				lost = append(lost, number)
				return nil
			}
			return err
		})
	}
	return lost
}

func (c *cluster) requireFiles(count int) {
	c.t.Helper()
	if lost := c.lostFiles(count); len(lost) > 0 {
		c.t.Fatalf("%d of %d acknowledged files are lost, the first is %d", len(lost), count, lost[0])
	}
}

// awaitMembers waits until the voters are exactly those of the given running machines.
func (c *cluster) awaitMembers(machines ...*testMachine) {
	c.t.Helper()
	want := map[string]bool{}
	for _, m := range machines {
		want[string(m.store.shared.database.identity)] = true
	}
	c.await("the group's members", func() bool {
		leader := c.leader()
		if leader == nil {
			return false
		}
		group, ok := leader.store.group(0)
		if !ok {
			return false
		}
		members := group.members().Members
		if len(members.Voters) != len(want) || len(members.Learners) > 0 {
			return false
		}
		for _, voter := range members.Voters {
			if !want[string(voter)] {
				return false
			}
		}
		return true
	})
}
