package sidecar

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/retry"
)

func outcomeOf(t *testing.T, reply reply) api.Outcome {
	t.Helper()
	var body api.ErrorBody
	if err := json.Unmarshal([]byte(reply.body), &body); err != nil {
		t.Fatalf("status %d, body %q: %v", reply.status, reply.body, err)
	}
	return body.Outcome
}

// firstThen returns a handler that serves the first request with one and the rest with later.
func firstThen(one, later http.HandlerFunc) http.HandlerFunc {
	var count atomic.Int64
	return func(w http.ResponseWriter, r *http.Request) {
		if count.Add(1) == 1 {
			one(w, r)
			return
		}
		later(w, r)
	}
}

func TestRetries(t *testing.T) {
	crossed := func(w http.ResponseWriter, r *http.Request) {
		r.Header.Set(api.HeaderRequestID, "another")
		respondJSON(w, r)
	}
	short := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "100")
		respondJSON(w, r)
	}
	truncated := func(w http.ResponseWriter, r *http.Request) { writeResponse(w, r, "application/json", `{"cut":`) }
	for _, c := range []struct {
		name       string
		first      http.HandlerFunc
		sent       int64 // of a repeatable request
		sentOnce   int64 // of one that may not be repeated
		onceAnswer api.Outcome
	}{
		{"refused", refuseWith(api.CodeNoCapacity, api.OutcomeNotRun), 2, 2, api.OutcomeRan},
		{"refused by a ceiling", refuseWith(api.CodeCeiling, api.OutcomeNotRun), 1, 1, api.OutcomeNotRun},
		{"upstream unknown", refuseWith(api.CodeUpstream, api.OutcomeUnknown), 2, 1, api.OutcomeUnknown},
		{"no outcome header", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }, 2, 1, api.OutcomeUnknown},
		{"connection aborted", abortConnection, 2, 1, api.OutcomeUnknown},
		{"another request's id", crossed, 2, 1, api.OutcomeUnknown},
		{"shorter than its length", short, 2, 1, api.OutcomeUnknown},
		{"truncated JSON of right length", truncated, 2, 1, api.OutcomeUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			handler := firstThen(c.first, respondJSON)
			f := newFixture(t, handler, handler)
			f.postModel()
			if got := f.sent.Load(); got != c.sent {
				t.Errorf("a repeatable request was sent %d times, want %d", got, c.sent)
			}
			handler = firstThen(c.first, respondJSON)
			f = newFixture(t, handler, handler)
			reply := f.postCalendar()
			if got := f.sent.Load(); got != c.sentOnce {
				t.Errorf("a request that may not be repeated was sent %d times, want %d", got, c.sentOnce)
			}
			if c.onceAnswer == api.OutcomeRan {
				if reply.status != http.StatusOK || reply.body != `{"whole":true}` {
					t.Errorf("answer %+v", reply)
				}
			} else if got := outcomeOf(t, reply); got != c.onceAnswer {
				t.Errorf("outcome %s, want %s", got, c.onceAnswer)
			}
		})
	}
}

// After an attempt with an unknown outcome, a refusal must not be reported as not run.
func TestRefusalAfterUnknownAttemptIsUnknown(t *testing.T) {
	handler := firstThen(abortConnection, refuseWith(api.CodeNoCapacity, api.OutcomeNotRun))
	f := newFixture(t, handler, handler)
	if got := outcomeOf(t, f.postModel()); got != api.OutcomeUnknown {
		t.Fatalf("outcome %s after an attempt that may have run", got)
	}
}

// Disabling each check lets a bad response through, so the tests above can fail.
func TestInjectedFaultsAreDetected(t *testing.T) {
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		r.Header.Set(api.HeaderRequestID, "another")
		respondJSON(w, r)
	})
	f.sidecar.faultAcceptMismatched = true
	if f.postCalendar().status != http.StatusOK {
		t.Error("the injected fault did not pass on another request's response")
	}
	f = newFixture(t, func(w http.ResponseWriter, r *http.Request) { writeResponse(w, r, "application/json", `{"cut":`) })
	f.sidecar.faultAcceptTruncated = true
	if f.postCalendar().status != http.StatusOK {
		t.Error("the injected fault did not pass on a truncated response")
	}
}

const (
	eventOne = "data: {\"n\":1}\n\n"
	eventTwo = "data: {\"n\":2}\n\n"
	done     = "data: [DONE]\n\n"
	stream   = "text/event-stream"
)

// streamRouter ends each stream after its first event, by aborting the connection if cut
// is true, and serves resumptions with resumed.
func streamRouter(cut bool, resumed http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			resumed(w, r)
			return
		}
		writeResponse(w, r, stream, ": keep-alive\n\n"+eventOne)
		if cut {
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
}

func TestStreamsResume(t *testing.T) {
	resumed := func(w http.ResponseWriter, r *http.Request) {
		r.Header.Set(api.HeaderRequestID, strings.TrimPrefix(r.URL.Path, api.PathResumes))
		rest := map[string]string{"0": eventOne + eventTwo + done, "1": eventTwo + done, "2": done}
		writeResponse(w, r, stream, rest[r.URL.Query().Get("from")])
	}
	for _, cut := range []bool{true, false} {
		f := newFixture(t, streamRouter(cut, resumed))
		reply := f.postModel()
		if want := ": keep-alive\n\n" + eventOne + eventTwo + done; reply.err != nil || reply.body != want {
			t.Errorf("cut %v: answer %q, %v", cut, reply.body, reply.err)
		}
		if f.sent.Load() != 1 {
			t.Errorf("cut %v: the request was sent %d times", cut, f.sent.Load())
		}
	}
}

// A stream must be resumed beside a router that has ended and still counts as alive.
func TestStreamsResumeBesideDeadRouter(t *testing.T) {
	f := newFixture(t, streamRouter(true, func(w http.ResponseWriter, r *http.Request) {
		r.Header.Set(api.HeaderRequestID, strings.TrimPrefix(r.URL.Path, api.PathResumes))
		writeResponse(w, r, stream, eventTwo+done)
	}))
	dead := httptest.NewServer(http.NotFoundHandler())
	dead.Close()
	f.sidecar.setHomes(append(f.nodes, api.Node{ID: "router-dead", Role: api.RoleRouter, Address: dead.Listener.Addr().String()}))
	for i := range 100 {
		if reply := f.postModel(); reply.err != nil || !strings.HasSuffix(reply.body, done) || strings.Contains(reply.body, "dykewing_outcome") {
			t.Fatalf("stream %d: %q, %v", i, reply.body, reply.err)
		}
	}
}

func TestUnresumableStreamIsAborted(t *testing.T) {
	f := newFixture(t, streamRouter(true, refuseWith(api.CodeNotFound, api.OutcomeUnknown)))
	reply := f.postModel()
	if reply.err == nil {
		t.Fatalf("an interrupted stream ended without an error: %q", reply.body)
	}
	if !strings.Contains(reply.body, `"dykewing_outcome":"unknown"`) || strings.Contains(reply.body, done) {
		t.Fatalf("the stream %q does not end with an error event", reply.body)
	}
}

// A caller's disconnect cancels the request at the router.
func TestClientDisconnectCancelsRequest(t *testing.T) {
	ended := make(chan struct{})
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		writeResponse(w, r, stream, eventOne)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		close(ended)
	})
	response, err := http.Post(f.url+"/v1/chat/completions", "application/json", strings.NewReader(`{"model":"model"}`))
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Fatal("the request at the router was not cancelled")
	}
}

func TestBadRequestsAreNotRun(t *testing.T) {
	f := newFixture(t, respondJSON)
	for name, reply := range map[string]reply{
		"malformed JSON": f.post("/v1/chat/completions", `{"model":`),
		"no model":       f.post("/v1/chat/completions", `{}`),
		"unknown model":  f.post("/v1/chat/completions", `{"model":"x"}`),
		"unknown path":   f.post("/v1/embeddings", `{}`),
		"too large":      f.post("/v1/chat/completions", `{"model":"`+strings.Repeat("m", 1<<16)+`"}`),
		"bad repeatable": f.postModel(api.HeaderRepeatable, "perhaps"),
		"bad deadline":   f.postModel(api.HeaderDeadline, "-1"),
		"long key":       f.postModel(api.HeaderIdempotencyKey, strings.Repeat("k", maxKeyBytes+1)),
		"long id":        f.postModel(api.HeaderRequestID, strings.Repeat("i", maxRequestIDBytes+1)),
	} {
		if reply.status < 400 || reply.status >= 500 || outcomeOf(t, reply) != api.OutcomeNotRun {
			t.Errorf("%s: status %d, %s", name, reply.status, reply.body)
		}
	}
	if reply := f.postModel("X-Flood", strings.Repeat("f", 2<<20)); reply.err == nil && reply.status < 400 {
		t.Errorf("a header flood was answered %d", reply.status)
	}
	if f.sent.Load() != 0 {
		t.Errorf("%d refused requests were sent", f.sent.Load())
	}
	if f.sidecar.bodies.InUse() != 0 || f.sidecar.bufferedBytes.Load() != 0 {
		t.Error("buffers are still reserved after all requests ended")
	}
	if reply := f.postModel(); reply.status != http.StatusOK {
		t.Errorf("a good request after the bad ones: %d", reply.status)
	}
}

func TestInternalHeadersFromCallerAreDropped(t *testing.T) {
	var seen http.Header
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		seen = r.Header.Clone()
		respondJSON(w, r)
	})
	reply := f.postModel(api.HeaderPlace, "elsewhere", api.HeaderAttempt, "9", api.HeaderBackendIdempotencyKey, "k", api.HeaderRequestID, "mine", api.HeaderDeadline, "60000")
	if seen.Get(api.HeaderPlace) != "here" || seen.Get(api.HeaderAttempt) != "" || seen.Get(api.HeaderBackendIdempotencyKey) != "" {
		t.Errorf("router got %v", seen)
	}
	if id := seen.Get(api.HeaderRequestID); !strings.HasPrefix(id, "mine.") || reply.header.Get(api.HeaderRequestID) != "mine" || reply.header.Get(api.HeaderAssignedRequestID) != id {
		t.Errorf("ids %q, %v", id, reply.header)
	}
}

func TestRetryBudgetLimitsRetries(t *testing.T) {
	f := newFixture(t, refuseWith(api.CodeNoCapacity, api.OutcomeNotRun), refuseWith(api.CodeNoCapacity, api.OutcomeNotRun))
	const requests = 200
	for range requests {
		if f.postModel().header.Get("Retry-After") == "" {
			t.Fatal("no Retry-After")
		}
	}
	settings := retry.DefaultSettings()
	if bound := int64(requests + settings.BudgetBurst + settings.BudgetRatio*requests); f.sent.Load() > bound {
		t.Fatalf("%d requests were sent for %d, bound %d", f.sent.Load(), requests, bound)
	}
}

func FuzzReadHeaders(f *testing.F) {
	f.Add("id", "key", "1000", "true")
	f.Add("", strings.Repeat("k", 300), "99999999999999999999", "x")
	f.Fuzz(func(t *testing.T, id, key, deadline, repeatable string) {
		request := httptest.NewRequest(http.MethodPost, "/v1/completions", nil)
		for name, value := range map[string]string{
			api.HeaderRequestID: id, api.HeaderIdempotencyKey: key, api.HeaderDeadline: deadline, api.HeaderRepeatable: repeatable,
		} {
			request.Header.Set(name, value)
		}
		now := time.Unix(0, 0)
		read, failure := readHeaders(request, now, time.Minute)
		if failure != nil {
			if failure.Outcome != api.OutcomeNotRun {
				t.Fatal(failure)
			}
			return
		}
		if remaining := read.deadline.Sub(now); remaining <= 0 || remaining > maxDeadline {
			t.Fatalf("deadline in %v", remaining)
		}
		if other := uniqueID(id); read.routed.ID == other {
			t.Fatalf("two requests have the id %q", other)
		}
	})
}
