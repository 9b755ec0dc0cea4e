// Package store implements the store role: it holds replicas of the groups that keep jobs,
// files and claims, replicated by consensus and persisted on a small local disk.
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

// flushInterval bounds how long applied state stays unflushed.
const flushInterval = time.Second

// Store is a node's store role.
type Store struct {
	node            *node.Node
	log             *logrus.Entry
	shared          groupDependencies
	space           *diskSpace
	inline          StartInlineRunner          // nil: inline jobs are stored but not run
	decommissions   *Decommissions             // nil: no decommission requests
	registrations   *storeclient.Registrations // nil: other stores are known from views only
	records         *GroupRecords              // nil: this store reads the records itself
	startedAt       time.Time
	registered      bool // used by runBootstrap only, like the next two
	candidateCount  int  // candidates in the last round
	unchangedRounds int  // consecutive rounds with that count

	ctx             context.Context
	cancel          context.CancelFunc
	background      sync.WaitGroup
	failure         chan error    // receives a permanent write failure
	publishRequests chan struct{} // signals that members or a leader have changed

	mutex   sync.Mutex // guards all below
	groups  map[api.GroupID]*group
	joining map[api.GroupID]bool
	stopped bool

	groupStarted chan struct{} // signals that a group has started
}

// Option configures New.
type Option func(*Store)

// WithInlineRunner makes leaders run the inline jobs of their groups.
func WithInlineRunner(start StartInlineRunner) Option {
	return func(s *Store) { s.inline = start }
}

// WithRegistrations makes the store use registrations to find stores that the membership view
// doesn't show yet.
func WithRegistrations(registered *storeclient.Registrations) Option {
	return func(s *Store) { s.registrations = registered }
}

// WithGroupRecords makes the store use the process's watch of group records instead of
// polling them.
func WithGroupRecords(records *GroupRecords) Option {
	return func(s *Store) { s.records = records }
}

// WithDecommissions enables decommission requests.
func WithDecommissions(decommissions *Decommissions) Option {
	return func(s *Store) { s.decommissions = decommissions }
}

// New opens the data folder and adds the store role to a node. It fails if the folder is in
// use or corrupt.
func New(common *node.Node, options ...Option) (*Store, error) {
	return newStore(common, hooks{}, options...)
}

func newStore(common *node.Node, hooks hooks, options ...Option) (*Store, error) {
	settings := common.Settings.Store
	if settings.DataFolder == "" {
		return nil, errors.New("settings: store.data_folder is missing")
	}
	if common.KeyValue == nil && settings.Voters() > 1 {
		return nil, errors.New("settings: key_value_service.endpoints is missing; store.replicas above 1 requires it")
	}
	database, err := openDatabase(settings.DataFolder, hooks)
	if err != nil {
		return nil, err
	}
	s := &Store{
		node: common, log: common.Logger("store"), failure: make(chan error, 1), publishRequests: make(chan struct{}, 1),
		groups: map[api.GroupID]*group{}, joining: map[api.GroupID]bool{}, startedAt: time.Now(), groupStarted: make(chan struct{}, 1),
	}
	for _, option := range options {
		option(s)
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.buildShared(database, hooks)
	if err := s.openExistingGroups(); err != nil {
		s.stop()
		return nil, err
	}
	common.SetSummary(s.summary)
	common.OnView(func(view []api.Node) { s.shared.peers.observe(time.Now(), view) })
	common.OnTable(s.tableChanged)
	s.routes()
	return s, nil
}

func (s *Store) buildShared(database *database, hooks hooks) {
	metrics := newMetrics(s.node.Registry)
	settings := s.node.Settings.Store
	peers := newPeers(settings.ReplaceAfter)
	s.shared = groupDependencies{
		settings: settings, heapBytes: s.node.Settings.Node.MaxHeapBytes(),
		electionTimeout: settings.ElectionTimeoutAt(s.node.Settings.Node.ProcessorShare), database: database, peers: peers, metrics: metrics, log: s.log, inline: s.inline, onLeading: s.requestPublish,
		sender: newSender(database.identity, s.node.Address(), peers, metrics, s.node.Traffic, hooks.level()),
	}
	s.shared.writer = newWriter(database, metrics, s.writeFailed, s.writeRecovered)
	s.space = &diskSpace{folder: settings.DataFolder, minFreeBytes: uint64(settings.MinimumFreeBytes), hooks: hooks, metrics: metrics}
	s.space.check()
	go s.shared.writer.run()
}

// openExistingGroups starts the groups on this disk. Without a key-value service it creates
// all groups, with this store as the only voter.
func (s *Store) openExistingGroups() error {
	if s.node.KeyValue == nil {
		alone := replication.Members{Voters: []replication.ReplicaID{s.shared.database.identity}}
		for id := range api.GroupID(s.node.Settings.Store.Groups) {
			if err := s.shared.database.createGroup(id, alone); err != nil {
				return fmt.Errorf("create group %d: %w", id, err)
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

// startGroup records a group's initial members on disk and starts its replica.
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
		group.shareOwner.step(quota.OwnerCeilings{Rows: ceilingsOf(snapshot)})
	}
	s.groups[id] = group
	select {
	case s.groupStarted <- struct{}{}:
	default:
	}
	return nil
}

func (s *Store) tableChanged(snapshot *table.Snapshot) {
	ceilings := ceilingsOf(snapshot)
	for _, group := range s.sortedGroups() {
		group.setServices(snapshot.Services())
		group.shareOwner.step(quota.OwnerCeilings{Rows: ceilings})
	}
}

func (s *Store) group(id api.GroupID) (*group, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	group, ok := s.groups[id]
	return group, ok
}

// sortedGroups returns the groups sorted by ID.
func (s *Store) sortedGroups() []*group {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	list := make([]*group, 0, len(s.groups))
	for _, group := range s.groups {
		list = append(list, group)
	}
	slices.SortFunc(list, func(a, b *group) int { return cmp.Compare(a.id, b.id) })
	return list
}

// Run drives the groups until ctx ends. It returns an error if a write fails such that the
// state of the disk is unknown.
func (s *Store) Run(ctx context.Context) error {
	defer s.stop()
	s.background.Go(func() { s.tick(s.ctx) })
	s.background.Go(func() { s.maintain(s.ctx) })
	s.background.Go(func() { s.maintainMembership(s.ctx) })
	s.background.Go(func() { s.space.watch(s.ctx, s.spaceChanged) })
	if s.node.KeyValue != nil {
		s.background.Go(func() { s.runBootstrap(s.ctx) })
	}
	select {
	case <-ctx.Done():
		return nil
	case err := <-s.failure:
		return err
	}
}

// tick sends ticks to the groups' state machines and drains the groups before a planned stop.
func (s *Store) tick(ctx context.Context) {
	ticker := time.NewTicker(s.node.Settings.Store.Heartbeat / ticksPerHeartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		groups := s.sortedGroups()
		if len(groups) == 0 && !s.awaitGroup(ctx) {
			return
		}
		for _, group := range groups {
			group.tell(replication.Tick{})
			if s.node.Leaving() {
				group.drain()
			}
		}
	}
}

// awaitGroup blocks until a group has started, so that stores without groups don't tick. It
// returns false if ctx ends before.
func (s *Store) awaitGroup(ctx context.Context) bool {
	select {
	case <-s.groupStarted:
		return true
	case <-ctx.Done():
		return false
	}
}

// maintain periodically flushes applied state and compacts logs.
func (s *Store) maintain(ctx context.Context) {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for _, group := range s.sortedGroups() {
			group.maintain()
		}
	}
}

func (s *Store) spaceChanged(full bool) {
	if full {
		s.log.Warnf("Free disk space is below %d bytes; refusing new jobs and files.", s.space.minFreeBytes)
		return
	}
	s.log.Info("Free disk space is sufficient again; accepting new jobs and files.")
}

// writeFailed halts all groups. Run ends unless the disk is merely full.
func (s *Store) writeFailed(err error) {
	s.shared.metrics.failures.Inc()
	s.log.WithError(err).Error("Writing the data file failed; nothing is acknowledged.")
	for _, group := range s.sortedGroups() {
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
	s.log.Info("Writing the data file succeeded again; resuming.")
	for _, group := range s.sortedGroups() {
		group.resume()
	}
}

// stop ends the groups, writes pending tasks and closes the data file.
func (s *Store) stop() {
	s.mutex.Lock()
	s.stopped = true
	s.mutex.Unlock()
	s.cancel()
	s.background.Wait()
	for _, group := range s.sortedGroups() {
		group.stop()
	}
	s.shared.writer.stop()
	s.shared.sender.close()
	if err := s.shared.database.close(); err != nil {
		s.log.WithError(err).Error("Closing the data file failed.")
	}
}

func (s *Store) summary() api.LoadSummary {
	summary := api.LoadSummary{Replica: string(s.shared.database.identity), DiskFull: s.space.full.Load()}
	for _, group := range s.sortedGroups() {
		summary.Groups = append(summary.Groups, group.summary())
	}
	return summary
}
