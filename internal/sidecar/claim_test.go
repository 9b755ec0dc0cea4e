package sidecar

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/jobs"
)

func TestIdempotencyKeyRunsOnce(t *testing.T) {
	for name, handler := range map[string]http.HandlerFunc{
		"whole": respondJSON,
		"stream": func(w http.ResponseWriter, r *http.Request) {
			writeResponse(w, r, stream, eventOne+eventTwo+done)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, handler)
			f.addStore(&atomic.Bool{})
			once := f.postModel(api.HeaderIdempotencyKey, "key")
			again := f.postModel(api.HeaderIdempotencyKey, "key")
			if f.sent.Load() != 1 {
				t.Fatalf("the request was sent %d times", f.sent.Load())
			}
			if once.status != 200 || once.body != again.body || again.header.Get(api.HeaderReplayed) != "true" {
				t.Fatalf("first %+v, again %+v", once, again)
			}
			if other := f.post("/v1/chat/completions", `{"model":"model","n":2}`, api.HeaderIdempotencyKey, "key"); other.status != http.StatusConflict {
				t.Fatalf("another body under the key: %+v", other)
			}
			if tenant := f.postModel(api.HeaderIdempotencyKey, "key", api.HeaderTenant, "another"); tenant.header.Get(api.HeaderReplayed) != "" || f.sent.Load() != 2 {
				t.Fatalf("a key is shared between tenants: %+v", tenant)
			}
		})
	}
}

// A resend while the first request runs is refused; a later one gets its response.
func TestConcurrentResendsRunOnce(t *testing.T) {
	begun, release := make(chan struct{}), make(chan struct{})
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		close(begun)
		<-release
		respondJSON(w, r)
	})
	f.addStore(&atomic.Bool{})
	// Serves the holder's internal address, as the node does.
	f.sidecar.holder = f.serve(f.sidecar.node.Mux).Listener.Addr().String()
	var running sync.WaitGroup
	running.Go(func() {
		if reply := f.postCalendar(api.HeaderIdempotencyKey, "key"); reply.status != http.StatusOK {
			t.Errorf("the first request: %+v", reply)
		}
	})
	<-begun
	resend := f.postCalendar(api.HeaderIdempotencyKey, "key")
	if resend.status != http.StatusConflict || resend.header.Get("Retry-After") == "" || !strings.Contains(resend.body, string(api.CodeInProgress)) {
		t.Errorf("a resend while the request runs: %+v", resend)
	}
	close(release)
	running.Wait()
	if later := f.postCalendar(api.HeaderIdempotencyKey, "key"); later.header.Get(api.HeaderReplayed) != "true" {
		t.Errorf("a resend after the request ended: %+v", later)
	}
	if f.sent.Load() != 1 {
		t.Errorf("the request was sent %d times", f.sent.Load())
	}
}

// The sidecar that claimed the key is gone, so the outcome of its request is unknown.
func TestKeyOfDeadHolderIsUnknown(t *testing.T) {
	f := newFixture(t, respondJSON)
	f.addStore(&atomic.Bool{})
	dead := onlineRequest{key: "key", uri: "/v1/services/calendar/book", body: []byte(`{"slot":1}`)}
	dead.routed.Tenant, dead.routed.ID = "default", "of the dead"
	if _, failure := f.sidecar.commitClaim(t.Context(), &dead); failure != nil {
		t.Fatal(failure)
	}
	reply := f.postCalendar(api.HeaderIdempotencyKey, "key")
	if outcomeOf(t, reply) != api.OutcomeUnknown || f.sent.Load() != 0 {
		t.Fatalf("sent %d times, %+v", f.sent.Load(), reply)
	}
}

func TestKeyIsReleasedAfterNotRun(t *testing.T) {
	f := newFixture(t, firstThen(refuseWith(api.CodeCeiling, api.OutcomeNotRun), respondJSON))
	f.addStore(&atomic.Bool{})
	if got := outcomeOf(t, f.postCalendar(api.HeaderIdempotencyKey, "key")); got != api.OutcomeNotRun {
		t.Fatalf("outcome %s", got)
	}
	if reply := f.postCalendar(api.HeaderIdempotencyKey, "key"); reply.status != http.StatusOK {
		t.Fatalf("the resend: %+v", reply)
	}
}

func TestUnknownOutcomeIsRecorded(t *testing.T) {
	f := newFixture(t, firstThen(abortConnection, respondJSON))
	f.addStore(&atomic.Bool{})
	for range 3 {
		reply := f.postCalendar(api.HeaderIdempotencyKey, "key")
		if outcomeOf(t, reply) != api.OutcomeUnknown {
			t.Fatalf("answer %+v", reply)
		}
	}
	if f.sent.Load() != 1 {
		t.Fatalf("the request was sent %d times", f.sent.Load())
	}
}

func TestIdempotencyKeyRequiresStore(t *testing.T) {
	var down atomic.Bool
	down.Store(true)
	f := newFixture(t, respondJSON)
	f.addStore(&down)
	reply := f.postCalendar(api.HeaderIdempotencyKey, "key")
	if outcomeOf(t, reply) != api.OutcomeNotRun || reply.header.Get("Retry-After") == "" || f.sent.Load() != 0 {
		t.Fatalf("sent %d times, %+v", f.sent.Load(), reply)
	}
	if reply := f.postCalendar(); reply.status != http.StatusOK {
		t.Fatalf("a request without a key failed without a store: %+v", reply)
	}
}

// A response recorded under another key must not be replayed.
func TestRecordOfAnotherKeyIsRejected(t *testing.T) {
	f := newFixture(t)
	recorder := &strings.Builder{}
	writer := &stringWriter{Builder: recorder, header: http.Header{}}
	request := &onlineRequest{key: "key"}
	request.routed.Tenant = "tenant"
	f.sidecar.replay(writer, request, &jobs.RecordAnswer{Tenant: "tenant", Key: "another", Status: 200, Body: []byte("theirs")})
	if strings.Contains(recorder.String(), "theirs") {
		t.Fatal("the response of another key was replayed")
	}
}

type stringWriter struct {
	*strings.Builder
	header http.Header
}

func (w *stringWriter) Header() http.Header { return w.header }
func (w *stringWriter) WriteHeader(int)     {}
