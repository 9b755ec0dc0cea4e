package relayed

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/detour"
	"github.com/dykewing/dykewing/internal/transport"
)

const testPath = "/internal/v1/question"

// testTimeout is generous: the tests check which path answers, not how fast.
const testTimeout = 20 * time.Second

// handlerFunc is the behaviour of a process.
type handlerFunc func(w http.ResponseWriter, r *http.Request)

func (h handlerFunc) ServeHTTP(w http.ResponseWriter, r *http.Request) { h(w, r) }

func serve(t *testing.T, h http.Handler) string {
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// closedAddress returns an address on which nothing listens.
func closedAddress(t *testing.T) string {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	return strings.TrimPrefix(server.URL, "http://")
}

// fixture is a set of processes that send requests to a store. Each uses its own address of the
// store, so that one of them can be disconnected.
type fixture struct {
	t        *testing.T
	mutex    sync.Mutex
	peers    []api.Node
	received atomic.Int64 // requests that arrived at the store
	release  chan struct{}
	unblock  func() // releases all hanging handlers
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, release: make(chan struct{})}
	f.unblock = sync.OnceFunc(func() { close(f.release) })
	return f
}

// answeringStore, hangingStore and abortingStore return the address of a store.
func (f *fixture) answeringStore() string {
	return serve(f.t, handlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.received.Add(1)
		transport.WriteJSON(w, http.StatusOK, "yes")
	}))
}

func (f *fixture) hangingStore() string {
	address := serve(f.t, handlerFunc(func(http.ResponseWriter, *http.Request) { <-f.release }))
	f.t.Cleanup(f.unblock) // must run before the server is closed
	return address
}

func (f *fixture) abortingStore() string {
	return serve(f.t, handlerFunc(func(http.ResponseWriter, *http.Request) { f.received.Add(1); panic(http.ErrAbortHandler) }))
}

// newAsker returns a client that reaches the store at an address.
func (f *fixture) newClient(id api.NodeID, store string) *Client {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	a := New(Settings{
		Self: func() api.Node { return api.Node{ID: id, Role: api.RoleFrontend} },
		Nodes: func() []api.Node {
			f.mutex.Lock()
			defer f.mutex.Unlock()
			return append([]api.Node{{ID: "store", Role: api.RoleStore, Address: store}}, f.peers...)
		},
		ForwardedPaths: []string{testPath}, Log: logrus.NewEntry(logger), Registry: prometheus.NewRegistry(),
		DialTimeout: testTimeout, // a busy machine must not look like a partition
	})
	f.t.Cleanup(a.Close)
	return a
}

func (f *fixture) addPeer(id api.NodeID, address string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.peers = append(f.peers, api.Node{ID: id, Role: api.RoleFrontend, Address: address})
}

func (f *fixture) send(a *Client, store string, timeout time.Duration, repeatable bool) (api.NodeID, string, error) {
	var answer string
	via, err := a.Call(f.t.Context(), Request{
		Step: "ask", Target: api.Node{ID: "store", Address: store}, Path: testPath, Body: 1, Timeout: timeout, Repeatable: repeatable,
	}, &answer)
	return via, answer, err
}

func TestRequestIsAnsweredOverWorkingPath(t *testing.T) {
	peer := func(store func(*fixture) string) func(*fixture) string {
		return func(f *fixture) string { return serve(f.t, f.newClient("peer", store(f))) }
	}
	tests := []struct {
		name    string
		store   func(*fixture) string
		peers   []func(*fixture) string
		viaPeer bool
		failed  bool
	}{
		{"direct", (*fixture).answeringStore, nil, false, false},
		{"silent store", (*fixture).hangingStore, []func(*fixture) string{peer((*fixture).answeringStore)}, true, false},
		{"store refuses connections", func(f *fixture) string { return closedAddress(f.t) }, []func(*fixture) string{peer((*fixture).answeringStore)}, true, false},
		{"response lost", (*fixture).abortingStore, []func(*fixture) string{peer((*fixture).answeringStore)}, true, false},
		{
			"first peer disconnected as well", (*fixture).hangingStore,
			[]func(*fixture) string{peer(func(f *fixture) string { return closedAddress(f.t) }), peer((*fixture).answeringStore)}, true, false,
		},
		{"first peer hangs", (*fixture).hangingStore, []func(*fixture) string{(*fixture).hangingStore, peer((*fixture).answeringStore)}, true, false},
		{"first peer restarting", (*fixture).hangingStore, []func(*fixture) string{func(f *fixture) string { return closedAddress(f.t) }, peer((*fixture).answeringStore)}, true, false},
		{"first peer of an older version", (*fixture).hangingStore, []func(*fixture) string{
			func(f *fixture) string { return serve(f.t, http.NotFoundHandler()) }, peer((*fixture).answeringStore),
		}, true, false},
		{"no working path", func(f *fixture) string { return closedAddress(f.t) }, []func(*fixture) string{peer(func(f *fixture) string { return closedAddress(f.t) })}, false, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			for i, each := range test.peers {
				f.addPeer(api.NodeID(fmt.Sprint("peer-", i)), each(f))
			}
			store := test.store(f)
			via, answer, err := f.send(f.newClient("self", store), store, testTimeout, true)
			if (err != nil) != test.failed || (via != "") != test.viaPeer || err == nil && answer != "yes" {
				t.Errorf("got answer %q via %q, error %v", answer, via, err)
			}
		})
	}
}

// A request without an answer ends at its timeout, or when the caller cancels it.
func TestUnansweredRequestTimesOut(t *testing.T) {
	f := newFixture(t)
	f.addPeer("peer", f.hangingStore())
	store := f.hangingStore()
	_, _, err := f.send(f.newClient("self", store), store, 60*time.Millisecond, true)
	var failure *api.Error
	if !errors.As(err, &failure) {
		t.Fatalf("got error %v, want an *api.Error", err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	var answer string
	if _, err := f.newClient("other", store).Call(ctx, Request{Target: api.Node{ID: "store", Address: store}, Path: testPath, Timeout: testTimeout}, &answer); !errors.Is(err, context.Canceled) {
		t.Errorf("cancelled request: got error %v, want context.Canceled", err)
	}
}

// Guards against backing off from a healthy peer that had no time to answer.
func TestNoAttemptStartsWithoutTime(t *testing.T) {
	f := newFixture(t)
	f.addPeer("peer", f.answeringStore())
	store := closedAddress(t)
	a := f.newClient("self", store)
	if _, _, err := f.send(a, store, minAttemptTime/2, true); err == nil || f.received.Load() != 0 {
		t.Errorf("got error %v after %d requests to the peer, want an error and none", err, f.received.Load())
	}
}

// A request that is not repeatable takes another path only if it certainly did not arrive.
func TestNonRepeatableRequestRunsOnce(t *testing.T) {
	tests := []struct {
		name  string
		store func(*fixture) string
		want  string
	}{
		{"request did not arrive", func(f *fixture) string { return closedAddress(f.t) }, "yes"},
		{"request may have run", (*fixture).abortingStore, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			f.addPeer("peer", serve(t, f.newClient("peer", f.answeringStore())))
			store := test.store(f)
			if _, answer, _ := f.send(f.newClient("self", store), store, testTimeout, false); answer != test.want || f.received.Load() != 1 {
				t.Errorf("got answer %q after %d requests, want one request", answer, f.received.Load())
			}
		})
	}
}

// A request that the process itself refuses is not sent over other paths.
func TestRefusalIsAnAnswer(t *testing.T) {
	f := newFixture(t)
	f.addPeer("peer", serve(t, f.newClient("peer", f.answeringStore())))
	store := serve(t, handlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		transport.WriteError(w, api.NewError("ask", "", api.CodeBadRequest, api.OutcomeNotRun, "no"))
	}))
	if _, _, err := f.send(f.newClient("self", store), store, testTimeout, false); err == nil || f.received.Load() != 0 {
		t.Errorf("got error %v and %d requests through the peer, want an error and none", err, f.received.Load())
	}
}

func post(a *Client, message any) *httptest.ResponseRecorder {
	body, _ := json.Marshal(message)
	recorder := httptest.NewRecorder()
	a.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, Path, strings.NewReader(string(body))))
	return recorder
}

func TestOnlyListedPathsAreForwarded(t *testing.T) {
	tests := []struct {
		name    string
		message any
		status  int
	}{
		{"listed path", ForwardRequest{Target: "store", Path: testPath, Body: []byte("1"), Timeout: testTimeout}, http.StatusOK},
		{"unlisted path", ForwardRequest{Target: "store", Path: "/internal/v1/other", Body: []byte("1"), Timeout: testTimeout}, http.StatusBadRequest},
		{"forwarding path", ForwardRequest{Target: "store", Path: Path, Body: []byte("1"), Timeout: testTimeout}, http.StatusBadRequest},
		{"no target", ForwardRequest{Path: testPath, Body: []byte("1"), Timeout: testTimeout}, http.StatusBadRequest},
		{"no timeout", ForwardRequest{Target: "store", Path: testPath, Body: []byte("1")}, http.StatusBadRequest},
		{"unknown fields", map[string]any{"target": "store", "path": testPath, "body": 1, "within": testTimeout, "new": "x"}, http.StatusOK},
		{"not a message", "x", http.StatusBadRequest},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			a := f.newClient("peer", f.answeringStore())
			a.settings.ForwardedPaths = append(a.settings.ForwardedPaths, Path)
			if recorder := post(a, test.message); recorder.Code != test.status {
				t.Errorf("status %d: %s", recorder.Code, recorder.Body)
			}
		})
	}
}

// A forwarding peer that cannot reach the target reports so and does not forward the request
// to a peer of its own.
func TestRequestIsForwardedOnce(t *testing.T) {
	f := newFixture(t)
	f.addPeer("third", serve(t, f.newClient("third", f.answeringStore())))
	a := f.newClient("second", closedAddress(t))
	for i := range 3 {
		recorder := post(a, ForwardRequest{Target: "store", Path: testPath, Body: []byte("1"), Timeout: testTimeout})
		var reply ForwardReply
		if err := json.Unmarshal(recorder.Body.Bytes(), &reply); err != nil || reply.Reached || f.received.Load() != 0 {
			t.Errorf("attempt %d: got %s and %d requests to the target", i, recorder.Body, f.received.Load())
		}
	}
}

// A peer that is known not to reach the target reports so without sending the request.
func TestDisconnectedPeerRepliesImmediately(t *testing.T) {
	f := newFixture(t)
	a := f.newClient("peer", f.answeringStore())
	a.recordForwarded("store", detour.NoAnswer)
	var reply ForwardReply
	if err := json.Unmarshal(post(a, ForwardRequest{Target: "store", Path: testPath, Body: []byte("1"), Timeout: testTimeout}).Body.Bytes(), &reply); err != nil || reply.Reached || reply.Outcome != api.OutcomeNotRun || f.received.Load() != 0 {
		t.Errorf("got reply %+v, error %v and %d requests to the target", reply, err, f.received.Load())
	}
}

func TestForwardedRequestsAreBounded(t *testing.T) {
	f := newFixture(t)
	a := f.newClient("peer", f.answeringStore())
	message := ForwardRequest{Target: "store", Path: testPath, Body: []byte("1"), Timeout: testTimeout}
	for range maxForwarded {
		a.slots <- struct{}{} // a request in progress
	}
	if recorder := post(a, message); recorder.Code != http.StatusServiceUnavailable || recorder.Header().Get(api.HeaderOutcome) != string(api.OutcomeNotRun) || f.received.Load() != 0 {
		t.Errorf("at the limit: status %d, outcome %q and %d requests to the target", recorder.Code, recorder.Header().Get(api.HeaderOutcome), f.received.Load())
	}
	<-a.slots
	for range 3 {
		if recorder := post(a, message); recorder.Code != http.StatusOK {
			t.Errorf("below the limit: status %d", recorder.Code)
		}
	}
}
