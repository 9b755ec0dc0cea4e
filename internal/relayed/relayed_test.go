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

const path = "/internal/v1/question"

// ample time for an answer; the tests judge by whom it comes, not when.
const ample = 20 * time.Second

// handler is how a process behaves.
type handler func(w http.ResponseWriter, r *http.Request)

func (h handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h(w, r) }

func serve(t *testing.T, h http.Handler) string {
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// gone is an address where nobody listens any more.
func gone(t *testing.T) string {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	return strings.TrimPrefix(server.URL, "http://")
}

// fixture is processes that ask a store; each has its own address of it, so that one can
// be cut off.
type fixture struct {
	t       *testing.T
	mutex   sync.Mutex
	peers   []api.Node
	asked   atomic.Int64 // the store, by any way
	release chan struct{}
	free    func() // lets all that hangs go on
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, release: make(chan struct{})}
	f.free = sync.OnceFunc(func() { close(f.release) })
	return f
}

// The addresses of a store.
func (f *fixture) answers() string {
	return serve(f.t, handler(func(w http.ResponseWriter, r *http.Request) {
		f.asked.Add(1)
		transport.WriteJSON(w, http.StatusOK, "yes")
	}))
}

func (f *fixture) hangs() string {
	address := serve(f.t, handler(func(http.ResponseWriter, *http.Request) { <-f.release }))
	f.t.Cleanup(f.free) // before the server is closed
	return address
}

func (f *fixture) breaks() string {
	return serve(f.t, handler(func(http.ResponseWriter, *http.Request) { f.asked.Add(1); panic(http.ErrAbortHandler) }))
}

// asker is a process that has the store at an address.
func (f *fixture) asker(id api.NodeID, store string) *Asker {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	a := New(Settings{
		Self: func() api.Node { return api.Node{ID: id, Role: api.RoleFrontend} },
		Nodes: func() []api.Node {
			f.mutex.Lock()
			defer f.mutex.Unlock()
			return append([]api.Node{{ID: "store", Role: api.RoleStore, Address: store}}, f.peers...)
		},
		Paths: []string{path}, Log: logrus.NewEntry(logger), Registry: prometheus.NewRegistry(),
		DialTimeout: ample, // a busy machine is no cut
	})
	f.t.Cleanup(a.Close)
	return a
}

func (f *fixture) addPeer(id api.NodeID, address string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.peers = append(f.peers, api.Node{ID: id, Role: api.RoleFrontend, Address: address})
}

func (f *fixture) ask(a *Asker, store string, within time.Duration, repeatable bool) (api.NodeID, string, error) {
	var answer string
	via, err := a.Ask(f.t.Context(), Question{
		Step: "ask", Target: api.Node{ID: "store", Address: store}, Path: path, Body: 1, Within: within, Repeatable: repeatable,
	}, &answer)
	return via, answer, err
}

func TestAQuestionIsAnsweredByTheWayThatWorks(t *testing.T) {
	peer := func(store func(*fixture) string) func(*fixture) string {
		return func(f *fixture) string { return serve(f.t, f.asker("peer", store(f))) }
	}
	tests := []struct {
		name   string
		store  func(*fixture) string
		peers  []func(*fixture) string
		peered bool // it comes through a peer
		failed bool
	}{
		{"straight", (*fixture).answers, nil, false, false},
		{"silent store", (*fixture).hangs, []func(*fixture) string{peer((*fixture).answers)}, true, false},
		{"store that refuses", func(f *fixture) string { return gone(f.t) }, []func(*fixture) string{peer((*fixture).answers)}, true, false},
		{"the answer is lost", (*fixture).breaks, []func(*fixture) string{peer((*fixture).answers)}, true, false},
		{
			"a peer that is cut off as well", (*fixture).hangs,
			[]func(*fixture) string{peer(func(f *fixture) string { return gone(f.t) }), peer((*fixture).answers)}, true, false,
		},
		{"a peer that is slow", (*fixture).hangs, []func(*fixture) string{(*fixture).hangs, peer((*fixture).answers)}, true, false},
		{"a peer that restarts", (*fixture).hangs, []func(*fixture) string{func(f *fixture) string { return gone(f.t) }, peer((*fixture).answers)}, true, false},
		{"a peer of an older version", (*fixture).hangs, []func(*fixture) string{
			func(f *fixture) string { return serve(f.t, http.NotFoundHandler()) }, peer((*fixture).answers),
		}, true, false},
		{"nobody", func(f *fixture) string { return gone(f.t) }, []func(*fixture) string{peer(func(f *fixture) string { return gone(f.t) })}, false, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			for i, each := range test.peers {
				f.addPeer(api.NodeID(fmt.Sprint("peer-", i)), each(f))
			}
			store := test.store(f)
			via, answer, err := f.ask(f.asker("self", store), store, ample, true)
			if (err != nil) != test.failed || (via != "") != test.peered || err == nil && answer != "yes" {
				t.Errorf("%q through %q, %v", answer, via, err)
			}
		})
	}
}

// Nobody waits longer than the question is of use.
func TestAQuestionThatNobodyAnswersEnds(t *testing.T) {
	f := newFixture(t)
	f.addPeer("peer", f.hangs())
	store := f.hangs()
	_, _, err := f.ask(f.asker("self", store), store, 60*time.Millisecond, true)
	var failure *api.Error
	if !errors.As(err, &failure) {
		t.Fatalf("%v", err)
	}
	ctx, leave := context.WithCancel(t.Context())
	leave()
	var answer string
	if _, err := f.asker("other", store).Ask(ctx, Question{Target: api.Node{ID: "store", Address: store}, Path: path, Within: ample}, &answer); !errors.Is(err, context.Canceled) {
		t.Errorf("a caller that left: %v", err)
	}
}

// A peer that could not answer in what is left is not asked: it would be left alone for
// it.
func TestNoWayBeginsWithoutTime(t *testing.T) {
	f := newFixture(t)
	f.addPeer("peer", f.answers())
	store := gone(t)
	a := f.asker("self", store)
	if _, _, err := f.ask(a, store, leastTime/2, true); err == nil || f.asked.Load() != 0 {
		t.Errorf("%v, the peer was asked %d times", err, f.asked.Load())
	}
}

// A question that may not be repeated goes by another way only when it did not arrive.
func TestAQuestionThatMayNotBeRepeatedIsAskedOnce(t *testing.T) {
	tests := []struct {
		name  string
		store func(*fixture) string
		want  string
	}{
		{"it did not arrive", func(f *fixture) string { return gone(f.t) }, "yes"},
		{"it may have run", (*fixture).breaks, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			f.addPeer("peer", serve(t, f.asker("peer", f.answers())))
			store := test.store(f)
			if _, answer, _ := f.ask(f.asker("self", store), store, ample, false); answer != test.want || f.asked.Load() != 1 {
				t.Errorf("%q, asked %d times", answer, f.asked.Load())
			}
		})
	}
}

// What a process itself refuses is not asked for by other ways.
func TestARefusalIsAnAnswer(t *testing.T) {
	f := newFixture(t)
	f.addPeer("peer", serve(t, f.asker("peer", f.answers())))
	store := serve(t, handler(func(w http.ResponseWriter, _ *http.Request) {
		transport.WriteError(w, api.NewError("ask", "", api.CodeBadRequest, api.OutcomeNotRun, "no"))
	}))
	if _, _, err := f.ask(f.asker("self", store), store, ample, false); err == nil || f.asked.Load() != 0 {
		t.Errorf("%v, asked %d times through the peer", err, f.asked.Load())
	}
}

func post(a *Asker, message any) *httptest.ResponseRecorder {
	body, _ := json.Marshal(message)
	recorder := httptest.NewRecorder()
	a.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, Path, strings.NewReader(string(body))))
	return recorder
}

func TestOnlyListedQuestionsArePassedOn(t *testing.T) {
	tests := []struct {
		name    string
		message any
		status  int
	}{
		{"a listed path", Message{Target: "store", Path: path, Body: []byte("1"), Within: ample}, http.StatusOK},
		{"another path", Message{Target: "store", Path: "/internal/v1/other", Body: []byte("1"), Within: ample}, http.StatusBadRequest},
		{"the path that passes on", Message{Target: "store", Path: Path, Body: []byte("1"), Within: ample}, http.StatusBadRequest},
		{"nobody", Message{Path: path, Body: []byte("1"), Within: ample}, http.StatusBadRequest},
		{"no time", Message{Target: "store", Path: path, Body: []byte("1")}, http.StatusBadRequest},
		{"fields of a later version", map[string]any{"target": "store", "path": path, "body": 1, "within": ample, "new": "x"}, http.StatusOK},
		{"no message", "x", http.StatusBadRequest},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			a := f.asker("peer", f.answers())
			a.settings.Paths = append(a.settings.Paths, Path)
			if recorder := post(a, test.message); recorder.Code != test.status {
				t.Errorf("status %d: %s", recorder.Code, recorder.Body)
			}
		})
	}
}

// A question goes one hop: who does not reach the process says so, and asks no peer of
// its own, also when it knows one that would.
func TestAQuestionGoesOneHop(t *testing.T) {
	f := newFixture(t)
	f.addPeer("third", serve(t, f.asker("third", f.answers())))
	a := f.asker("second", gone(t))
	for i := range 3 {
		recorder := post(a, Message{Target: "store", Path: path, Body: []byte("1"), Within: ample})
		var reply Reply
		if err := json.Unmarshal(recorder.Body.Bytes(), &reply); err != nil || reply.Reached || f.asked.Load() != 0 {
			t.Errorf("%d: %s, asked %d times", i, recorder.Body, f.asked.Load())
		}
	}
}

// One that found out that it does not reach a process says so at once.
func TestAPeerThatIsCutOffSaysSoAtOnce(t *testing.T) {
	f := newFixture(t)
	a := f.asker("peer", f.answers())
	a.passed("store", detour.Silent)
	var reply Reply
	if err := json.Unmarshal(post(a, Message{Target: "store", Path: path, Body: []byte("1"), Within: ample}).Body.Bytes(), &reply); err != nil || reply.Reached || reply.Outcome != api.OutcomeNotRun || f.asked.Load() != 0 {
		t.Errorf("%+v, %v, asked %d times", reply, err, f.asked.Load())
	}
}

func TestQuestionsThatArePassedOnAreBounded(t *testing.T) {
	f := newFixture(t)
	a := f.asker("peer", f.answers())
	message := Message{Target: "store", Path: path, Body: []byte("1"), Within: ample}
	for range mostPassedOn {
		a.room <- struct{}{} // one that is under way
	}
	if recorder := post(a, message); recorder.Code != http.StatusServiceUnavailable || recorder.Header().Get(api.HeaderOutcome) != string(api.OutcomeNotRun) || f.asked.Load() != 0 {
		t.Errorf("status %d, outcome %q, asked %d times", recorder.Code, recorder.Header().Get(api.HeaderOutcome), f.asked.Load())
	}
	<-a.room
	for range 3 {
		if recorder := post(a, message); recorder.Code != http.StatusOK {
			t.Errorf("with room: status %d", recorder.Code)
		}
	}
}
