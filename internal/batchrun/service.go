// Package batchrun runs the items of inline jobs in the process that leads a job's group. It uses
// the worker capacity that online requests leave idle, resumes an item after its last event when a
// worker is lost, and proposes results.
package batchrun

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/config"
	"github.com/dykewing/dykewing/internal/backend"
	"github.com/dykewing/dykewing/internal/catalog"
	"github.com/dykewing/dykewing/internal/dispatch"
	"github.com/dykewing/dykewing/internal/guard"
	"github.com/dykewing/dykewing/internal/node"
	"github.com/dykewing/dykewing/internal/store"
	"github.com/dykewing/dykewing/internal/storeclient"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/jobs"
	"github.com/dykewing/dykewing/placement"
	"github.com/dykewing/dykewing/reservation"
	"github.com/dykewing/dykewing/worker"
)

// Service holds what the leaders of a process's groups share. It is safe for concurrent use.
type Service struct {
	settings config.Batch
	groups   int     // total number of job groups
	cpuShare float64 // share of a core available to the process; 0 if unknown
	log      *logrus.Entry
	catalog  *catalog.Catalog
	nodes    func() []api.Node
	stores   *storeclient.Client // client of other groups' leaders
	members  *storeclient.Registrations
	pool     *backend.Pool
	caller   *backend.Client
	metrics  *metrics
	guard    *guard.Guard

	unreported   unreportedLoad
	slots        *slotBroker
	zoneWorkers  *zoneWorkers
	confirmation confirmation

	mutex   sync.Mutex // guards leaders
	leaders map[*Leader]bool
}

// New returns a service that gets its configuration and workers from source. It registers metrics
// and HTTP handlers with common.
func New(common *node.Node, protocol backend.Protocol, source catalog.Source) *Service {
	s := &Service{
		settings: common.Settings.Batch, groups: common.Settings.Store.Groups, cpuShare: common.Settings.Node.ProcessorShare, log: common.Logger("batch"), caller: backend.NewClient(protocol).Instrument(common.Traffic),
		metrics: newMetrics(common.Registry), leaders: map[*Leader]bool{}, members: &storeclient.Registrations{}, nodes: common.Nodes,
	}
	s.slots, s.zoneWorkers = newSlotBroker(s), newZoneWorkers(common.Settings.Node.Zone)
	s.pool = backend.NewPool(worker.DefaultSettings(common.Settings.Node.Zone), s.wakeAll)
	s.pool.SetGroups(func(id string) int { return int(placement.WorkerGroup(id, max(s.groups, 1))) })
	s.catalog = catalog.New(source, common.KeyValue, common.Logger("catalog"), s.pool)
	common.OnResume(s.catalog.RestartWatch)
	s.catalog.SetMaxStaleness(common.Settings.Platform.Freshness)
	s.guard = guard.New(guard.Settings{
		Self: common.ID(), Owners: func() []api.Node { return storeclient.OwnerCandidates(common.Nodes(), s.members.Extend) },
		Accepts: s.pool.Accepts, CurrentIncarnation: s.pool.CurrentIncarnation, WatchDown: s.catalog.OutOfContact, OnTrialGranted: s.wakeAll, KeyValue: common.KeyValue,
		Prefix: common.Settings.KeyValueService.Prefix, Log: common.Logger("guard"), Registry: common.Registry,
	})
	if source.EvacuationPrefix != "" {
		s.catalog.AddView(source.EvacuationPrefix, s.pool.EvacuationView(source.EvacuationPrefix, common.Logger("catalog")))
	}
	s.catalog.AddView(common.Settings.KeyValueService.Prefix+guard.Prefix, s.guard.View())
	s.guard.RegisterOwner(common.Mux)
	s.guard.RegisterAdmin(common.Mux)
	common.Registry.MustRegister(s.catalog.Metrics()...)
	s.catalog.AddView(common.Settings.KeyValueService.Prefix+storeclient.PrefixStores, s.members)
	s.stores = &storeclient.Client{
		HTTP: common.Traffic.Instrument(transport.NewClient(storeConnections), transport.KindJobs), AttemptTimeout: storeAttemptTimeout,
		Nodes: func() []api.Node { return s.members.Extend(common.Nodes()) },
	}
	common.Mux.HandleFunc("POST "+reservation.Path, s.serveSlots)
	common.Mux.HandleFunc("GET "+catalog.PathConfiguration, s.catalog.ServeConfiguration)
	return s
}

const (
	storeConnections    = 4
	storeAttemptTimeout = 500 * time.Millisecond
)

// RegisteredStores returns the registry of store nodes.
func (s *Service) RegisteredStores() *storeclient.Registrations { return s.members }

// Catalog returns the service's view of configuration and workers.
func (s *Service) Catalog() *catalog.Catalog { return s.catalog }

// Run watches configuration, polls loads and runs the guard until ctx ends, then closes
// connections.
func (s *Service) Run(ctx context.Context, peers catalog.Peers) {
	var running sync.WaitGroup
	running.Go(func() { s.catalog.Run(ctx) })
	running.Go(func() { s.catalog.BootstrapFromPeers(ctx, peers) })
	running.Go(func() { s.pollLoads(ctx) })
	running.Go(func() { s.guard.Run(ctx) })
	running.Wait()
	s.caller.Close()
	s.stores.HTTP.CloseIdleConnections()
}

func (s *Service) wakeAll() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for leader := range s.leaders {
		leader.wakeUp()
	}
}

// pollLoads polls workers for their load while there are unfinished items, to learn of requests
// that others send there.
func (s *Service) pollLoads(ctx context.Context) {
	ticker := time.NewTicker(s.settings.ReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for _, w := range s.pollTargets() {
			s.pollLoad(ctx, w)
		}
		s.wakeAll()
	}
}

func (s *Service) pollTargets() map[string]worker.Worker {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	targets := map[string]worker.Worker{}
	for leader := range s.leaders {
		leader.addPollTargets(targets)
	}
	return targets
}

func (s *Service) pollLoad(ctx context.Context, w worker.Worker) {
	ctx, cancel := context.WithTimeout(ctx, s.settings.ReportInterval)
	defer cancel()
	report, err := s.caller.FetchReport(ctx, w)
	if err != nil {
		s.log.WithFields(logrus.Fields{"event": "report_missing", "worker": w.ID}).WithError(err).Debug("Polling a worker's load failed.")
		return
	}
	s.applyLoadReport(w, report)
}

// StartLeader starts running a group's open jobs. It returns an error if they cannot be read from state.
// It is a store.StartInlineRunner.
func (s *Service) StartLeader(group api.GroupID, state *jobs.State, propose dispatch.ProposeFunc) (store.InlineRunner, error) {
	leader := newLeader(s, group, state, propose)
	if err := leader.loadJobs(); err != nil {
		leader.cancel()
		return nil, err
	}
	s.mutex.Lock()
	s.leaders[leader] = true
	s.mutex.Unlock()
	leader.start()
	return leader, nil
}

func (s *Service) removeLeader(leader *Leader) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.leaders, leader)
}

type metrics struct {
	items       *prometheus.CounterVec // by outcome
	attempts    *prometheus.CounterVec // by verdict
	waiting     prometheus.Gauge
	running     prometheus.Gauge
	preempted   prometheus.Counter
	refused     prometheus.Counter // requests that cannot get a slot in time
	lostSeconds prometheus.Counter // run time of preempted items since their last event
	heldBack    prometheus.Gauge
	newerTerms  prometheus.Counter   // jobs accepted under a newer configuration than this process had
	itemSeconds prometheus.Histogram // from submission to result

	workers *workerMetrics
}

func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		workers: newWorkerMetrics(registry),
		items: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dykewing_batch_items_total", Help: "Items listed, by outcome.",
		}, []string{"outcome"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dykewing_batch_attempts_total", Help: "Sends of items to workers, by how they ended.",
		}, []string{"verdict"}),
		waiting: prometheus.NewGauge(prometheus.GaugeOpts{Name: "dykewing_batch_items_waiting", Help: "Items that wait for a worker."}),
		running: prometheus.NewGauge(prometheus.GaugeOpts{Name: "dykewing_batch_items_running", Help: "Items at a worker."}),
		preempted: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dykewing_batch_items_yielded_total", Help: "Items stopped because requests waited at their worker.",
		}),
		refused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dykewing_places_refused_total", Help: "Requests refused a place since there will be none in time.",
		}),
		lostSeconds: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dykewing_batch_run_lost_seconds_total", Help: "Time that items that gave way had run since their last event.",
		}),
		heldBack: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "dykewing_batch_items_held_back", Help: "Items that wait beside free slots for a rise of online requests that is expected.",
		}),
		newerTerms: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dykewing_batch_jobs_newer_terms_total", Help: "Jobs accepted under a newer configuration than this process had.",
		}),
		itemSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "dykewing_batch_item_seconds", Help: "Time from a job's submission to an item's result.",
			Buckets: prometheus.ExponentialBuckets(0.25, 2, 12),
		}),
	}
	registry.MustRegister(m.items, m.attempts, m.waiting, m.running, m.preempted, m.refused, m.lostSeconds, m.heldBack, m.newerTerms, m.itemSeconds)
	return m
}
