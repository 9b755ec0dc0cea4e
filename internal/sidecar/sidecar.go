// Package sidecar implements the sidecar role. A sidecar runs next to a caller, serves the
// OpenAI HTTP API and sends each request to a home router. It has no durable state.
package sidecar

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/node"
	"github.com/dykewing/dykewing/internal/sleep"
	"github.com/dykewing/dykewing/internal/storeclient"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/retry"
	"github.com/dykewing/dykewing/routing"
	"github.com/dykewing/dykewing/table"
)

const (
	requestConnections = 256
	storeConnections   = 32
	readHeaderTimeout  = 10 * time.Second
	bodyTimeout        = 30 * time.Second
	idleTimeout        = 2 * time.Minute
	maxHeaderBytes     = 64 << 10
	maxHeldBytes       = 256 << 20 // of request bodies
	// drainPeriod is how long a graceful stop sends Connection: close with each response
	// before it closes idle connections. A request sent on a connection that is being
	// closed could not be told from one that ran.
	drainPeriod = time.Second
)

// Sidecar is the sidecar role of a process.
type Sidecar struct {
	node          *node.Node
	log           *logrus.Entry
	listener      net.Listener
	online        *http.Client // online requests only
	stores        *storeclient.Client
	metrics       *metrics
	bodies        *transport.BodyBudget
	bufferedBytes atomic.Int64 // bytes reserved for buffered responses
	homes         atomic.Pointer[homeIndex]
	random        *rand.Rand      // over globalSource: safe for concurrent use
	profile       routing.Profile // safe for concurrent use
	unavailable   *unavailableHomes

	table atomic.Pointer[table.Snapshot]

	// Uncommitted records and claimed requests in progress, by api.RequestID.
	pendingRecords sync.Map
	running        sync.Map
	holder         string // address at which other sidecars ask about them
	leaving        atomic.Bool
	recorders      sync.WaitGroup // records in the background

	mutex  sync.Mutex // guards policy
	policy *retry.Policy

	// Faults injected by tests.
	faultAcceptMismatched, faultAcceptTruncated bool
}

// New listens on the callers' address and adds the sidecar role to a node.
func New(common *node.Node) (*Sidecar, error) {
	listener, err := net.Listen("tcp", common.Settings.Sidecar.Address)
	if err != nil {
		return nil, fmt.Errorf("listen for callers on %s: %w", common.Settings.Sidecar.Address, err)
	}
	random := rand.New(globalSource{})
	sidecar := &Sidecar{
		node: common, log: common.Logger("sidecar"), listener: listener,
		online:      transport.NewClient(requestConnections),
		stores:      &storeclient.Client{HTTP: transport.NewClient(storeConnections), Nodes: common.Nodes},
		metrics:     newMetrics(common.Registry),
		bodies:      &transport.BodyBudget{MaxTotal: maxHeldBytes, MaxBody: common.Settings.Sidecar.MaximumBodyBytes, Timeout: bodyTimeout},
		random:      random,
		policy:      retry.NewPolicy(retry.DefaultSettings(), random),
		unavailable: &unavailableHomes{},
	}
	sidecar.profile = homeProfile(common.Settings.Node.Location(), random, sidecar.unavailable)
	sidecar.holder = common.Address()
	sidecar.setHomes(common.Nodes())
	common.OnView(sidecar.setHomes)
	common.OnTable(func(snapshot *table.Snapshot) { sidecar.table.Store(snapshot) })
	common.Mux.HandleFunc("GET "+api.PathClaims+"{request}", sidecar.serveHolder)
	return sidecar, nil
}

// Address returns the address on which callers are served.
func (s *Sidecar) Address() string { return s.listener.Addr().String() }

// Run serves callers until ctx ends, then lets their requests finish.
func (s *Sidecar) Run(ctx context.Context) error {
	server := &http.Server{
		Handler:           transport.RecoverPanics(s.closeConnections(s.routes()), s.reportPanic),
		ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(s.listener) }()
	s.log.Infof("Serving callers on %s.", s.Address())
	select {
	case err := <-failed:
		return fmt.Errorf("serve callers on %s: %w", s.Address(), err)
	case <-ctx.Done():
	}
	deadline, cancel := context.WithTimeout(context.Background(), s.node.Settings.Node.StopTimeout)
	defer cancel()
	s.leaving.Store(true)
	// Refuse new connections first: a refused request certainly did not run.
	_ = s.listener.Close()
	sleep.For(deadline, drainPeriod)
	err := server.Shutdown(deadline)
	s.awaitRecords(deadline)
	return err
}

// closeConnections adds Connection: close to responses while the sidecar is leaving.
func (s *Sidecar) closeConnections(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

// awaitRecords waits until background records are committed or ctx ends.
func (s *Sidecar) awaitRecords(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		s.recorders.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (s *Sidecar) reportPanic(cause any, stack []byte) {
	s.metrics.panics.Inc()
	s.log.WithField("stack", string(stack)).Errorf("A request handler panicked: %v.", cause)
}

func (s *Sidecar) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.serveOnline)
	mux.HandleFunc("POST /v1/completions", s.serveOnline)
	mux.HandleFunc("POST /v1/services/{service}/{path...}", s.serveOnline)
	mux.HandleFunc("GET /v1/models", s.serveModels)
	mux.HandleFunc("POST /v1/files", s.createFile)
	mux.HandleFunc("GET /v1/files", s.listFiles)
	mux.HandleFunc("GET /v1/files/{id}", s.getFile)
	mux.HandleFunc("DELETE /v1/files/{id}", s.deleteFile)
	mux.HandleFunc("GET /v1/files/{id}/content", s.getContent)
	mux.HandleFunc("POST /v1/batches", s.createBatch)
	mux.HandleFunc("GET /v1/batches", s.listBatches)
	mux.HandleFunc("GET /v1/batches/{id}", s.getBatch)
	mux.HandleFunc("POST /v1/batches/{id}/cancel", s.cancelBatch)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		transport.WriteError(w, api.NewError("find path", "", api.CodeNotFound, api.OutcomeNotRun, "no %s %s", r.Method, r.URL.Path))
	})
	return mux
}

// model is one element of the models list, in the OpenAI API's shape.
type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

type list[T any] struct {
	Object  string `json:"object"`
	Data    []T    `json:"data"`
	HasMore bool   `json:"has_more"`
}

func (s *Sidecar) serveModels(w http.ResponseWriter, _ *http.Request) {
	snapshot := s.table.Load()
	if snapshot == nil {
		transport.WriteError(w, newNoTableError("list models"))
		return
	}
	models := []model{}
	for _, service := range snapshot.Services() {
		models = append(models, model{ID: string(service), Object: "model", OwnedBy: "dykewing"})
	}
	transport.WriteJSON(w, http.StatusOK, list[model]{Object: "list", Data: models})
}

func newNoTableError(step string) *api.Error {
	failure := api.NewError(step, "", api.CodeNoTable, api.OutcomeNotRun, "this node has no table yet")
	failure.RetryAfter = time.Second
	return failure
}

// tenantOf returns the tenant named by the header, or "default".
func tenantOf(r *http.Request) api.TenantID {
	if tenant := r.Header.Get(api.HeaderTenant); tenant != "" {
		return api.TenantID(tenant)
	}
	return "default"
}
