// Package store is the role of a machine with a small disk: it holds replicas
// of the groups that keep jobs, files and claims.
package store

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/node"
	"github.com/dykewing/dykewing/internal/storeclient"
	"github.com/dykewing/dykewing/quota"
	"github.com/dykewing/dykewing/replication"
	"github.com/dykewing/dykewing/table"
)

// flushInterval bounds how long applied state stays only in memory.
const flushInterval = time.Second

// Store is the role's part of a process.
type Store struct {
	node          *node.Node
	log           *logrus.Entry
	shared        parts
	space         *space
	inline        StartInlineRunner       // nil: inline jobs are kept, not run
	decommissions *Decommissions          // nil: no machine is emptied on request
	registrations *storeclient.Registered // nil: only views tell of other stores
	records       *GroupRecords           // nil: this store reads the published groups itself
	began         time.Time
	registered    bool // only for the loop that meets other stores, like the next two
	candidates    int  // stores of which groups could be formed at the last look
	looks         int  // in a row that saw as many

	ctx        context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup
	failure    chan error    // a write failed for good
	changed    chan struct{} // members or a leader changed here: they are to be published

	mutex   sync.Mutex // guards all below
	groups  map[api.GroupID]*group
	joining map[api.GroupID]bool
	stopped bool

	grouped chan struct{} // a group was started; holds one signal
}

// Option changes what New builds.
type Option func(*Store)

// WithInlineRunner lets the leader of a group run its inline jobs.
func WithInlineRunner(start StartInlineRunner) Option {
	return func(s *Store) { s.inline = start }
}

// WithRegistered lets the store know of others by their registrations, before a
// view of nodes shows them.
func WithRegistered(registered *storeclient.Registered) Option {
	return func(s *Store) { s.registrations = registered }
}

// WithGroupRecords lets the store know of the published groups as all processes do.
func WithGroupRecords(records *GroupRecords) Option {
	return func(s *Store) { s.records = records }
}

// WithDecommissions lets operators have machines emptied.
func WithDecommissions(decommissions *Decommissions) Option {
	return func(s *Store) { s.decommissions = decommissions }
}

// New opens the data folder and adds the role to a node.
func New(common *node.Node, options ...Option) (*Store, error) {
	return newStore(common, hooks{}, options...)
}

func newStore(common *node.Node, hooks hooks, options ...Option) (*Store, error) {
	settings := common.Settings.Store
	if settings.DataFolder == "" {
		return nil, errors.New("settings: store.data_folder is missing")
	}
	if common.KeyValue == nil && settings.Voters() > 1 {
		return nil, errors.New("settings: key_value_service.endpoints is missing; without it only store.replicas 1 can be formed")
	}
	database, err := openDatabase(settings.DataFolder, hooks)
	if err != nil {
		return nil, err
	}
	s := &Store{
		node: common, log: common.Logger("store"), failure: make(chan error, 1), changed: make(chan struct{}, 1),
		groups: map[api.GroupID]*group{}, joining: map[api.GroupID]bool{}, began: time.Now(), grouped: make(chan struct{}, 1),
	}
	for _, option := range options {
		option(s)
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.build(database, hooks)
	if err := s.startKnown(); err != nil {
		s.stop()
		return nil, err
	}
	common.SetSummary(s.summary)
	common.OnView(func(view []api.Node) { s.shared.peers.observe(view) })
	common.OnTable(s.tableChanged)
	s.routes()
	return s, nil
}

func (s *Store) build(database *database, hooks hooks) {
	metrics := newMetrics(s.node.Registry)
	settings := s.node.Settings.Store
	peers := newPeers(settings.ReplaceAfter)
	s.shared = parts{
		settings: settings, heapBytes: s.node.Settings.Node.HeapBytes(),
		electionTimeout: settings.ElectionTimeoutAt(s.node.Settings.Node.ProcessorShare), database: database, peers: peers, metrics: metrics, log: s.log, inline: s.inline, led: s.publishSoon,
		sender: newSender(database.identity, s.node.Address(), peers, metrics, s.node.Traffic, hooks.level()),
	}
	s.shared.writer = newWriter(database, metrics, s.writeFailed, s.writeRecovered)
	s.space = &space{folder: settings.DataFolder, minimum: uint64(settings.MinimumFreeBytes), hooks: hooks, metrics: metrics}
	s.space.check()
	go s.shared.writer.run()
}

// startKnown starts the groups of this disk. Without a key-value service the
// store forms groups of its own.
func (s *Store) startKnown() error {
	if s.node.KeyValue == nil {
		alone := replication.Members{Voters: []replication.ReplicaID{s.shared.database.identity}}
		for id := range api.GroupID(s.node.Settings.Store.Groups) {
			if err := s.shared.database.createGroup(id, alone); err != nil {
				return fmt.Errorf("form group %d: %w", id, err)
			}
		}
	}
	known, err := s.shared.database.groups()
	if err != nil {
		return fmt.Errorf("read groups of %s: %w", s.shared.database.folder, err)
	}
	for _, id := range known {
		if err := s.openGroup(id); err != nil {
			return err
		}
	}
	return nil
}

// startGroup records a group's first members on the disk and starts its replica.
func (s *Store) startGroup(id api.GroupID, origin replication.Members) error {
	if err := s.shared.database.createGroup(id, origin); err != nil {
		return fmt.Errorf("record group %d: %w", id, err)
	}
	return s.openGroup(id)
}

func (s *Store) openGroup(id api.GroupID) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, ok := s.groups[id]; ok || s.stopped {
		return nil
	}
	group, err := newGroup(s.node.System, s.shared, id)
	if err != nil {
		return err
	}
	if snapshot := s.node.Table(); snapshot != nil {
		group.setServices(snapshot.Services())
		group.shares.step(quota.Bounds{Rows: ceilingsOf(snapshot)})
	}
	s.groups[id] = group
	select {
	case s.grouped <- struct{}{}:
	default:
	}
	return nil
}

func (s *Store) tableChanged(snapshot *table.Snapshot) {
	ceilings := ceilingsOf(snapshot)
	for _, group := range s.list() {
		group.setServices(snapshot.Services())
		group.shares.step(quota.Bounds{Rows: ceilings})
	}
}

func (s *Store) group(id api.GroupID) (*group, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	group, ok := s.groups[id]
	return group, ok
}

// list gives the groups in the order of their ids.
func (s *Store) list() []*group {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	list := make([]*group, 0, len(s.groups))
	for _, group := range s.groups {
		list = append(list, group)
	}
	slices.SortFunc(list, func(a, b *group) int { return cmp.Compare(a.id, b.id) })
	return list
}

// Run drives the groups until ctx ends, or until a write fails in a way after
// which it is not known what the disk holds: that is the error.
func (s *Store) Run(ctx context.Context) error {
	defer s.stop()
	s.background.Go(func() { s.tick(s.ctx) })
	s.background.Go(func() { s.maintain(s.ctx) })
	s.background.Go(func() { s.lookAfterMembers(s.ctx) })
	s.background.Go(func() { s.space.watch(s.ctx, s.spaceChanged) })
	if s.node.KeyValue != nil {
		s.background.Go(func() { s.meetOtherStores(s.ctx) })
	}
	select {
	case <-ctx.Done():
		return nil
	case err := <-s.failure:
		return err
	}
}

// tick lets time pass for the machines and hands over leadership before a
// planned stop.
func (s *Store) tick(ctx context.Context) {
	ticker := time.NewTicker(s.node.Settings.Store.Heartbeat / ticksPerHeartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		groups := s.list()
		if len(groups) == 0 && !s.awaitGroup(ctx) {
			return
		}
		for _, group := range groups {
			group.tell(replication.Tick{})
			if s.node.Leaving() {
				group.handOver()
			}
		}
	}
}

// awaitGroup waits for the first group of this store: of hundreds of stores most hold
// none, and each woke 75 times a second for nothing. False when ctx ends before.
func (s *Store) awaitGroup(ctx context.Context) bool {
	select {
	case <-s.grouped:
		return true
	case <-ctx.Done():
		return false
	}
}

// maintain writes applied state that waits too long and compacts logs.
func (s *Store) maintain(ctx context.Context) {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for _, group := range s.list() {
			group.maintain()
		}
	}
}

func (s *Store) spaceChanged(full bool) {
	if full {
		s.log.Warnf("Less than %d bytes are free; new jobs and files are refused.", s.space.minimum)
		return
	}
	s.log.Info("There is space again; new jobs and files are taken.")
}

// writeFailed stops acknowledgements of all groups.
func (s *Store) writeFailed(err error) {
	s.shared.metrics.failures.Inc()
	s.log.WithError(err).Error("The data file could not be written; nothing is acknowledged.")
	for _, group := range s.list() {
		group.halt(err)
	}
	if errors.Is(err, syscall.ENOSPC) {
		return
	}
	select {
	case s.failure <- fmt.Errorf("write data folder %s: %w", s.shared.database.folder, err):
	default:
	}
}

func (s *Store) writeRecovered() {
	s.log.Info("The data file can be written again.")
	for _, group := range s.list() {
		group.resume()
	}
}

// stop ends the groups, writes what waits and closes the disk.
func (s *Store) stop() {
	s.mutex.Lock()
	s.stopped = true
	s.mutex.Unlock()
	s.cancel()
	s.background.Wait()
	for _, group := range s.list() {
		group.stop()
	}
	s.shared.writer.stop()
	s.shared.sender.close()
	if err := s.shared.database.close(); err != nil {
		s.log.WithError(err).Error("The data file did not close.")
	}
}

func (s *Store) summary() api.Summary {
	summary := api.Summary{Replica: string(s.shared.database.identity), DiskFull: s.space.full.Load()}
	for _, group := range s.list() {
		summary.Groups = append(summary.Groups, group.summary())
	}
	return summary
}
