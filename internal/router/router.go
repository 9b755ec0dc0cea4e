// Package router implements the router role. A router is the home of a set of workers:
// it admits requests to them, relays responses, and fills idle capacity with batch items.
package router

import (
	"context"
	"math/rand/v2"
	"net/url"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/admission"
	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/config"
	"github.com/dykewing/dykewing/internal/discovery"
	"github.com/dykewing/dykewing/internal/engine"
	"github.com/dykewing/dykewing/internal/node"
	"github.com/dykewing/dykewing/internal/shell"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/routing"
	"github.com/dykewing/dykewing/table"
)

const (
	requestConnections = 256
	refusalRetryAfter  = time.Second
	maxHeldBytes       = 512 << 20 // of request bodies
	bodyTimeout        = 30 * time.Second
)

// Router is the router role of a process.
type Router struct {
	node         *node.Node
	log          *logrus.Entry
	backend      engine.Backend // online requests
	batchBackend engine.Backend // separate connections for batch requests
	bodies       *transport.BodyBudget
	forwarder    *forwarder // online requests to other routers
	list         discovery.List

	admission   *shell.Shell[admission.Message, admission.Action]
	machine     *admission.Machine
	inFlight    *inFlightRequests
	metrics     *metrics
	homeWorkers *homeWorkers
}

// New adds the router role to a node.
func New(common *node.Node) (*Router, error) {
	router := &Router{
		node: common, log: common.Logger("router"),
		backend:      &engine.HTTPBackend{Client: transport.NewClient(requestConnections), Control: common.Control},
		batchBackend: &engine.HTTPBackend{Client: transport.NewClient(requestConnections), Control: common.Control},
		bodies:       newBodyBudget(common.Settings.Sidecar.MaximumBodyBytes),
		inFlight:     newInFlightRequests(),
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
		BatchPolicy: batchPolicy(common.Settings.Router),
		Ceilings:    newQuotaHolder(common),
	})
	router.admission = shell.Start(common.System, router.machine, router.execute)
	router.homeWorkers = newHomeWorkers(router)
	router.homeWorkers.setNodes(common.Nodes())
	router.forwarder = newForwarder(router, transport.NewClient(requestConnections))
	common.OnView(router.homeWorkers.setNodes)
	common.OnView(router.forwarder.setNodes)
	common.OnTable(router.setRows)
	common.SetSummary(router.summary)
	common.Mux.HandleFunc("POST "+api.PathRequests+"/", router.serveRequest)
	common.Mux.HandleFunc("GET "+api.PathResumes+"{request}", router.serveResume)
	return router, nil
}

func batchPolicy(settings config.Router) admission.BatchPolicy {
	filling := admission.DefaultBatchPolicy()
	filling.StartPressure = settings.BatchStartPressure
	return filling
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// Run polls the machine list and workers' loads and pulls batch items until
// ctx ends.
func (r *Router) Run(ctx context.Context) {
	var group sync.WaitGroup
	if r.list != nil {
		group.Go(func() {
			discovery.Poll(ctx, r.list, r.node.Settings.MachineList.Interval, r.homeWorkers.setWorkers, func(err error) {
				r.log.WithError(err).Warn("Cannot read the machine list; keeping the last known workers.")
			})
		})
	}
	group.Go(func() { r.homeWorkers.pollLoads(ctx) })
	group.Go(func() { r.pullBatch(ctx) })
	group.Go(func() { r.reportShares(ctx) })
	group.Wait()
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

func (r *Router) summary() api.LoadSummary {
	var summary api.LoadSummary
	_ = r.admission.Inspect(func() { summary.Services = r.machine.Summaries() })
	return summary
}
