// Package sidecar is the role beside a caller: it serves the OpenAI HTTP API,
// sends each request to a home router, and keeps nothing.
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
	"github.com/dykewing/dykewing/internal/pause"
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
	maximumHeaderBytes = 64 << 10
	maximumHeldBytes   = 256 << 20 // of request bodies
	// closeGrace is how long a planned stop tells callers with each answer to
	// close their connection, before idle ones are closed on them: a request
	// that meets a closing connection could not be told from one that ran.
	closeGrace = time.Second
)

// Sidecar is the role's part of a process.
type Sidecar struct {
	node     *node.Node
	log      *logrus.Entry
	listener net.Listener
	online   *http.Client // online requests only
	stores   *storeclient.Client
	metrics  *metrics
	bodies   *transport.BodyBudget
	held     atomic.Int64 // bytes of answers held whole
	homes    atomic.Pointer[homeIndex]
	random   *rand.Rand      // of globalSource: safe side by side
	profile  routing.Profile // likewise
	avoided  *avoidance

	table atomic.Pointer[table.Snapshot]

	// Claimed requests worked on here, and records not committed yet, by
	// api.RequestID.
	unrecorded sync.Map
	running    sync.Map
	holder     string // address at which this sidecar is asked about them
	leaving    atomic.Bool
	recording  sync.WaitGroup // records in the background

	mutex  sync.Mutex // guards policy
	policy *retry.Policy

	// Faults that tests plant.
	takeCrossed, takeTruncated bool
}

// New binds the callers' address and adds the role to a node.
func New(common *node.Node) (*Sidecar, error) {
	listener, err := net.Listen("tcp", common.Settings.Sidecar.Address)
	if err != nil {
		return nil, fmt.Errorf("listen for callers on %s: %w", common.Settings.Sidecar.Address, err)
	}
	random := rand.New(globalSource{})
	sidecar := &Sidecar{
		node: common, log: common.Logger("sidecar"), listener: listener,
		online:  transport.NewClient(requestConnections),
		stores:  &storeclient.Client{HTTP: transport.NewClient(storeConnections), Nodes: common.Nodes},
		metrics: newMetrics(common.Registry),
		bodies:  &transport.BodyBudget{Total: maximumHeldBytes, Each: common.Settings.Sidecar.MaximumBodyBytes, Timeout: bodyTimeout},
		random:  random,
		policy:  retry.NewPolicy(retry.DefaultSettings(), random),
		avoided: &avoidance{},
	}
	sidecar.profile = homeProfile(common.Settings.Node.Location(), random, sidecar.avoided)
	sidecar.holder = common.Address()
	sidecar.setHomes(common.Nodes())
	common.OnView(sidecar.setHomes)
	common.OnTable(func(snapshot *table.Snapshot) { sidecar.table.Store(snapshot) })
	common.Mux.HandleFunc("GET "+api.PathClaims+"{request}", sidecar.serveHolder)
	return sidecar, nil
}

// Address is where callers connect.
func (s *Sidecar) Address() string { return s.listener.Addr().String() }

// Run serves callers until ctx ends, then lets their requests finish.
func (s *Sidecar) Run(ctx context.Context) error {
	server := &http.Server{
		Handler:           transport.Guard(s.closing(s.routes()), s.reportPanic),
		ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maximumHeaderBytes,
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
	// New connections are refused first, which is certainly not run; they are
	// rare while callers hold theirs.
	_ = s.listener.Close()
	pause.For(deadline, closeGrace)
	err := server.Shutdown(deadline)
	s.awaitRecords(deadline)
	return err
}

// closing tells callers to close their connections once the sidecar leaves.
func (s *Sidecar) closing(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

// awaitRecords lets records in the background be committed.
func (s *Sidecar) awaitRecords(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		s.recording.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (s *Sidecar) reportPanic(cause any, stack []byte) {
	s.metrics.panics.Inc()
	s.log.WithField("stack", string(stack)).Errorf("A request's handler panicked: %v.", cause)
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
		transport.WriteError(w, noTable("list models"))
		return
	}
	models := []model{}
	for _, service := range snapshot.Services() {
		models = append(models, model{ID: string(service), Object: "model", OwnedBy: "dykewing"})
	}
	transport.WriteJSON(w, http.StatusOK, list[model]{Object: "list", Data: models})
}

func noTable(step string) *api.Error {
	failure := api.NewError(step, "", api.CodeNoTable, api.OutcomeNotRun, "this node has no table yet")
	failure.RetryAfter = time.Second
	return failure
}

// tenantOf names the caller's tenant: the header, or the API key's owner as
// given, or "default".
func tenantOf(r *http.Request) api.TenantID {
	if tenant := r.Header.Get(api.HeaderTenant); tenant != "" {
		return api.TenantID(tenant)
	}
	return "default"
}
