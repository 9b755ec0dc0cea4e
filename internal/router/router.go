// Package router is the role that is home of workers: it admits requests to
// them, passes answers back, and fills idle room with batch items.
package router

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/admission"
	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/discovery"
	"github.com/dykewing/dykewing/internal/engine"
	"github.com/dykewing/dykewing/internal/node"
	"github.com/dykewing/dykewing/internal/shell"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/placement"
	"github.com/dykewing/dykewing/routing"
	"github.com/dykewing/dykewing/table"
)

const (
	requestConnections = 256
	refusalRetryAfter  = time.Second
	maximumHeldBytes   = 512 << 20 // of request bodies
	bodyTimeout        = 30 * time.Second
)

// Router is the role's part of a process.
type Router struct {
	node    *node.Node
	log     *logrus.Entry
	backend engine.Backend // online requests
	// batchBackend has connections of its own, so that batch holds none up.
	batchBackend engine.Backend
	bodies       *transport.BodyBudget
	forward      *http.Client // online requests to other routers
	list         discovery.List

	admission *shell.Shell[admission.Message, admission.Action]
	machine   *admission.Machine
	homed     atomic.Pointer[[]api.Worker] // those that this router is home of
	flights   *flights
	metrics   *metrics

	homesMutex sync.Mutex // guards homes and workers
	homes      *placement.Homes
	workers    []api.Worker // the machine list
}

// New adds the role to a node.
func New(common *node.Node) (*Router, error) {
	router := &Router{
		node: common, log: common.Logger("router"),
		backend:      &engine.HTTPBackend{Client: transport.NewClient(requestConnections), Control: common.Control},
		batchBackend: &engine.HTTPBackend{Client: transport.NewClient(requestConnections), Control: common.Control},
		bodies:       newBodyBudget(common.Settings.Sidecar.MaximumBodyBytes),
		forward:      transport.NewClient(requestConnections),
		flights:      newFlights(),
		metrics:      newMetrics(common.Registry),
	}
	if address := common.Settings.MachineList.URL; address != "" {
		parsed, err := url.Parse(address)
		if err != nil {
			return nil, err
		}
		router.list = &discovery.HTTPList{Address: parsed.Host, Path: parsed.RequestURI(), Client: common.Control}
	}
	router.machine = admission.NewMachine(admission.Settings{
		Online: routing.OnlineProfile(common.Settings.Node.Location(), newRandom()), Batch: routing.BatchProfile(newRandom()),
		RetryAfter: refusalRetryAfter, Reserve: common.Settings.Router.BatchReserve,
		Ceilings: newHolder(common),
	})
	router.admission = shell.Start(common.System, router.machine, router.execute)
	router.homes = placement.NewHomes(common.ID())
	router.homes.SetNodes(common.Nodes())
	router.homed.Store(&[]api.Worker{})
	common.OnView(router.setNodes)
	common.OnTable(router.setRows)
	common.SetSummary(router.summary)
	common.Mux.HandleFunc("POST "+api.PathRequests+"/", router.serveRequest)
	common.Mux.HandleFunc("GET "+api.PathResumes+"{request}", router.serveResume)
	return router, nil
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// Run polls the machine list and workers' loads and pulls batch items until
// ctx ends.
func (r *Router) Run(ctx context.Context) {
	var group sync.WaitGroup
	if r.list != nil {
		group.Go(func() {
			discovery.Poll(ctx, r.list, r.node.Settings.MachineList.Interval, r.setWorkers, func(err error) {
				r.log.WithError(err).Warn("Machine list is not whole; the last known workers stay.")
			})
		})
	}
	group.Go(func() { r.pollLoads(ctx) })
	group.Go(func() { r.pullBatch(ctx) })
	group.Go(func() { r.reportShares(ctx) })
	group.Wait()
}

func (r *Router) setWorkers(workers []api.Worker) {
	r.homesMutex.Lock()
	defer r.homesMutex.Unlock()
	r.workers = workers
	r.rehome()
}

// setNodes moves workers only when the routers changed: a view changes with
// every load report.
func (r *Router) setNodes(nodes []api.Node) {
	r.homesMutex.Lock()
	defer r.homesMutex.Unlock()
	if r.homes.SetNodes(nodes) {
		r.rehome()
	}
}

// listed is the machine list; do not modify.
func (r *Router) listed() []api.Worker {
	r.homesMutex.Lock()
	defer r.homesMutex.Unlock()
	return r.workers
}

// rehome finds the workers that this router is home of.
func (r *Router) rehome() {
	homed := r.homes.Mine(r.workers)
	r.homed.Store(&homed)
	r.admission.Tell(admission.Workers{Workers: homed, Positions: admission.Positions(r.workers)})
}

func (r *Router) setRows(snapshot *table.Snapshot) {
	rows := map[api.RowKey]api.Row{}
	for _, service := range snapshot.Services() {
		for _, row := range snapshot.Service(service) {
			rows[row.Key()] = row
		}
	}
	r.admission.Tell(admission.Rows{Rows: rows})
}

func (r *Router) summary() api.Summary {
	var summary api.Summary
	_ = r.admission.Inspect(func() { summary.Services = r.machine.Summaries() })
	return summary
}

func (r *Router) pollLoads(ctx context.Context) {
	ticker := time.NewTicker(r.node.Settings.Router.LoadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for _, worker := range *r.homed.Load() {
			r.pollLoad(ctx, worker)
		}
	}
}

func (r *Router) pollLoad(ctx context.Context, worker api.Worker) {
	ctx, cancel := context.WithTimeout(ctx, r.node.Settings.Router.LoadInterval)
	defer cancel()
	asked := time.Now()
	load, err := r.backend.Load(ctx, worker.Address)
	if err != nil {
		return
	}
	r.admission.Tell(admission.Load{Worker: worker.ID, Running: load.Running, Waiting: load.Waiting, Leaving: load.Leaving, Asked: asked})
	r.pollCache(ctx, worker)
}

// pollCache reads what has changed in the worker's prefix cache. Applications
// have none, and an engine that publishes nothing is left alone.
func (r *Router) pollCache(ctx context.Context, worker api.Worker) {
	var after uint64
	if r.admission.Inspect(func() { after = r.machine.CacheSequence(worker.ID) }) != nil {
		return
	}
	events, err := r.backend.CacheEvents(ctx, worker.Address, after)
	if err != nil || len(events) == 0 {
		return
	}
	r.admission.Tell(admission.CacheEvents{Worker: worker.ID, Events: events})
}
