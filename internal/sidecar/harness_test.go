package sidecar

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/config"
	"github.com/dykewing/dykewing/internal/logging"
	"github.com/dykewing/dykewing/internal/node"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/jobs"
	"github.com/dykewing/dykewing/table"
)

const testTimeout = 30 * time.Second

// fixture is a sidecar whose routers and store are scripted.
type fixture struct {
	t       *testing.T
	sidecar *Sidecar
	url     string
	nodes   []api.Node
	sent    atomic.Int64 // requests that arrived at routers
}

// newFixture starts a sidecar in front of the given routers, with the services "model",
// which is repeatable, and "calendar", which is not.
func newFixture(t *testing.T, routers ...http.HandlerFunc) *fixture {
	t.Helper()
	f := &fixture{t: t}
	settings := config.Default()
	settings.Node.ID, settings.Node.Address, settings.Sidecar.Address = "sidecar", "127.0.0.1:0", "127.0.0.1:0"
	settings.Sidecar.MaximumBodyBytes = 1 << 16
	logger, err := logging.New(config.Log{Level: "error", Format: "text"}, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	common, err := node.New(api.RoleSidecar, settings, logger)
	if err != nil {
		t.Fatal(err)
	}
	if f.sidecar, err = New(common); err != nil {
		t.Fatal(err)
	}
	for i, router := range routers {
		f.addRouter(i, router)
	}
	f.sidecar.setHomes(f.nodes)
	f.sidecar.stores.Nodes = func() []api.Node { return f.nodes }
	rows := map[api.RowKey]api.VersionedRow{}
	for _, row := range []api.Row{
		{Service: "model", Place: "here", Weight: 1, Repeatable: true},
		{Service: "calendar", Place: "here", Weight: 1},
	} {
		rows[row.Key()] = api.VersionedRow{Row: row, Revision: 1}
	}
	f.sidecar.table.Store(table.NewSnapshot(1, rows))
	f.url = f.serve(transport.RecoverPanics(f.sidecar.routes(), f.sidecar.reportPanic)).URL
	return f
}

func (f *fixture) serve(handler http.Handler) *httptest.Server {
	server := httptest.NewServer(handler)
	f.t.Cleanup(server.Close)
	return server
}

func (f *fixture) addRouter(number int, handler http.HandlerFunc) {
	server := f.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			f.sent.Add(1)
		}
		handler(w, r)
	}))
	f.nodes = append(f.nodes, api.Node{
		ID: api.NodeID(fmt.Sprintf("router-%d", number)), Role: api.RoleRouter, Address: server.Listener.Addr().String(),
		Summary: api.LoadSummary{Services: []api.ServiceSummary{
			{Service: "model", Place: "here", Workers: 1, Slots: 1}, {Service: "calendar", Place: "here", Workers: 1, Slots: 1},
		}},
	})
}

// addStore adds a store that serves the claims of all groups from one state. It refuses
// commands while fail is true.
func (f *fixture) addStore(fail *atomic.Bool) {
	state, err := jobs.OpenState(jobs.NewMemoryStorage())
	if err != nil {
		f.t.Fatal(err)
	}
	var mutex sync.Mutex
	index := uint64(0)
	server := f.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var command jobs.Command
		if fail.Load() || transport.ReadJSON(w, r, "read", 1<<24, &command) != nil {
			transport.WriteError(w, api.NewError("commit", "", api.CodeNoQuorum, api.OutcomeUnknown, "no quorum"))
			return
		}
		mutex.Lock()
		defer mutex.Unlock()
		index++
		results, err := state.Apply(jobs.Entry{Index: index, Command: command})
		if err != nil {
			f.t.Error(err)
			return
		}
		transport.WriteJSON(w, http.StatusOK, results[0])
	}))
	node := api.Node{ID: "store", Role: api.RoleStore, Address: server.Listener.Addr().String()}
	for group := range f.sidecar.node.Settings.Store.Groups {
		node.Summary.Groups = append(node.Summary.Groups, api.GroupSummary{Group: api.GroupID(group), Term: 1, Leading: true})
	}
	f.nodes = append(f.nodes, node)
}

// reply is a response as seen by the caller.
type reply struct {
	status int
	header http.Header
	body   string
	err    error // of the request or of reading the body
}

func (f *fixture) post(path, body string, header ...string) reply {
	f.t.Helper()
	request, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost, f.url+path, bytes.NewReader([]byte(body)))
	if err != nil {
		f.t.Fatal(err)
	}
	for i := 0; i < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	client := &http.Client{Timeout: testTimeout}
	response, err := client.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(raw), err: err}
}

func (f *fixture) postModel(header ...string) reply {
	f.t.Helper()
	return f.post("/v1/chat/completions", `{"model":"model"}`, header...)
}

func (f *fixture) postCalendar(header ...string) reply {
	f.t.Helper()
	return f.post("/v1/services/calendar/book", `{"slot":1}`, header...)
}

// writeResponse writes a back end's response as a router does.
func writeResponse(w http.ResponseWriter, r *http.Request, contentType, body string) {
	w.Header().Set("Content-Type", contentType)
	w.Header().Set(api.HeaderOutcome, string(api.OutcomeRan))
	w.Header().Set(api.HeaderRequestID, r.Header.Get(api.HeaderRequestID))
	w.Header().Set(api.HeaderWorker, "worker")
	_, _ = io.WriteString(w, body)
}

func respondJSON(w http.ResponseWriter, r *http.Request) {
	writeResponse(w, r, "application/json", `{"whole":true}`)
}

func refuseWith(code api.ErrorCode, outcome api.Outcome) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		failure := api.NewError("admit", "router", code, outcome, "refused")
		failure.RetryAfter = time.Second
		transport.WriteError(w, failure)
	}
}

func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
