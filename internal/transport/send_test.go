package transport

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dykewing/dykewing/api"
)

// closingServer responds to the first request of each connection and closes the connection
// without a response to the second, like a server whose idle timeout coincides with a new
// request.
type closingServer struct {
	listener net.Listener
	requests atomic.Int64
}

func newClosingServer(t *testing.T) *closingServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &closingServer{listener: listener}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go server.serve(conn)
		}
	}()
	return server
}

func (s *closingServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for served := 0; ; served++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		s.requests.Add(1)
		if served == 1 {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n")
		if request.Method != http.MethodHead {
			_, _ = io.WriteString(conn, "ok")
		}
	}
}

func (s *closingServer) request(t *testing.T, body string) *http.Request {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.listener.Addr().String(), bytes.NewReader([]byte(body)))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(api.HeaderIdempotencyKey, "key")
	return request
}

func discard(body io.ReadCloser) {
	_, _ = io.Copy(io.Discard, body)
	body.Close()
}

func TestSendNeverSendsTwice(t *testing.T) {
	for name, body := range map[string]string{"body": "a body", "no body": ""} {
		t.Run(name, func(t *testing.T) {
			server := newClosingServer(t)
			client := NewClient(2)
			response, failure := Send(client, server.request(t, body), "", "send", "peer")
			if failure != nil {
				t.Fatal(failure)
			}
			discard(response.Body)
			_, failure = Send(client, server.request(t, body), "", "send", "peer")
			if failure == nil || failure.Outcome != api.OutcomeUnknown {
				t.Fatalf("got %v for a request that was interrupted after it was sent, want outcome unknown", failure)
			}
			if got := server.requests.Load(); got != 2 {
				t.Fatalf("%d requests arrived of 2 sent", got)
			}
		})
	}
}

// TestSendNeverSendsMethodTwice guards against net/http, which retries requests without a body whose
// method is idempotent by definition, although their route may not be.
func TestSendNeverSendsMethodTwice(t *testing.T) {
	methods := []string{"", http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodDelete, http.MethodPut, http.MethodPost, "PROPFIND"}
	bodies := []struct {
		name string
		new  func() io.Reader
	}{
		{"no body", func() io.Reader { return nil }},
		{"empty body", func() io.Reader { return bytes.NewReader(nil) }},
		{"a body", func() io.Reader { return bytes.NewReader([]byte("b")) }},
	}
	for _, method := range methods {
		for _, body := range bodies {
			t.Run(method+" "+body.name, func(t *testing.T) {
				server := newClosingServer(t)
				client := NewClient(2)
				for n, wantFailure := range []bool{false, true} {
					request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+server.listener.Addr().String(), body.new())
					if err != nil {
						t.Fatal(err)
					}
					request.Method = method
					response, failure := Send(client, request, "", "send", "peer")
					if (failure != nil) != wantFailure || failure != nil && failure.Outcome != api.OutcomeUnknown {
						t.Fatalf("request %d: %v", n, failure)
					}
					if failure == nil {
						discard(response.Body)
					}
				}
				if got := server.requests.Load(); got != 2 {
					t.Errorf("%d requests arrived of 2 sent", got)
				}
			})
		}
	}
}

// TestSendChangesNoRequest guards against a request without a body that arrives with one.
func TestSendChangesNoRequest(t *testing.T) {
	arrived := make(chan *http.Request, 1)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(bytes.NewReader(body))
		arrived <- r
	}))
	defer server.Close()
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodDelete, http.MethodPost} {
		request, _ := http.NewRequestWithContext(t.Context(), method, server.URL+"/a?b=c", nil)
		response, failure := Send(NewClient(1), request, "", "send", "peer")
		if failure != nil {
			t.Fatal(failure)
		}
		discard(response.Body)
		got := <-arrived
		if body, _ := io.ReadAll(got.Body); got.Method != method || got.RequestURI != "/a?b=c" || len(body) > 0 || len(got.TransferEncoding) > 0 || got.ContentLength != 0 {
			t.Errorf("%s: arrived as %s %s, %d bytes, length %d, encoding %v", method, got.Method, got.RequestURI, len(body), got.ContentLength, got.TransferEncoding)
		}
	}
}

// TestPlainClientSendsTwice checks the premise of TestSendNeverSendsTwice: without Send,
// net/http retries a request with an idempotency key.
func TestPlainClientSendsTwice(t *testing.T) {
	server := newClosingServer(t)
	client := NewClient(2)
	for range 2 {
		response, err := client.Do(server.request(t, "a body"))
		if err != nil {
			t.Fatal(err)
		}
		discard(response.Body)
	}
	if got := server.requests.Load(); got != 3 {
		t.Fatalf("%d requests arrived, want 3: net/http no longer retries, so that Send is not needed", got)
	}
}

func TestSendToClosedPortIsNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	listener.Close()
	request, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address, bytes.NewReader([]byte("x")))
	_, failure := Send(NewClient(1), request, "", "send", address)
	if failure == nil || failure.Outcome != api.OutcomeNotRun {
		t.Fatalf("got %v for a refused connection, want outcome not_run", failure)
	}
}

// TestSendIsNotRunOnlyIfNothingArrived checks that whatever net/http does about a
// connection that the server closes, the outcome is not run only if no request arrived.
func TestSendIsNotRunOnlyIfNothingArrived(t *testing.T) {
	server := newClosingServer(t)
	client := NewClient(1)
	for range 50 {
		before := server.requests.Load()
		response, failure := Send(client, server.request(t, "x"), "", "send", "peer")
		if failure == nil {
			discard(response.Body)
			continue
		}
		if failure.Outcome == api.OutcomeNotRun && server.requests.Load() != before {
			t.Fatal("outcome not_run for a request that arrived")
		}
	}
}

func TestBlockedConnectionWritesNothing(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	conn := &countingConn{Conn: near}
	var watch connTrace
	watch.conns, watch.baseline = []*countingConn{conn}, []int64{0}
	if evidence := watch.abandon(); evidence.BytesWritten != 0 || !evidence.Connected {
		t.Fatalf("got %+v for a connection without a write", evidence)
	}
	if _, err := conn.Write([]byte("late")); err == nil {
		t.Fatal("a write succeeded after blockWrites")
	}
}

func TestCanceledSendIsUnknown(t *testing.T) {
	arrived := make(chan struct{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-r.Context().Done()
	}), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-arrived
		cancel()
	}()
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+listener.Addr().String(), http.NoBody)
	_, failure := Send(NewClient(1), request, "", "send", "peer")
	if failure == nil || failure.Outcome != api.OutcomeUnknown || failure.Code != api.CodeClientCancelled {
		t.Fatalf("got %v for a canceled request", failure)
	}
}

// connRecorder counts connections, and lists the IDs of the requests on each.
type connRecorder struct {
	mutex sync.Mutex
	ids   map[string][]string // by the address of the client
}

func newConnRecorder(t *testing.T) (*connRecorder, string) {
	recorder := &connRecorder{ids: map[string][]string{}}
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		recorder.mutex.Lock()
		defer recorder.mutex.Unlock()
		recorder.ids[r.RemoteAddr] = append(recorder.ids[r.RemoteAddr], r.Header.Get(api.HeaderRequestID))
	}))
	t.Cleanup(server.Close)
	return recorder, server.URL
}

// conns returns the number of connections, and whether one has carried an ID twice.
func (r *connRecorder) conns() (conns int, repeated bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, ids := range r.ids {
		slices.Sort(ids)
		repeated = repeated || len(slices.Compact(slices.Clone(ids))) != len(ids)
	}
	return len(r.ids), repeated
}

// Guards against an answer to an earlier send of a request that is taken for the answer to a later one.
func TestConnectionCarriesNoIDTwice(t *testing.T) {
	many := make([]string, maxCarriedIDs+2)
	for i := range many {
		many[i] = strconv.Itoa(i)
	}
	for _, test := range []struct {
		name, method, body string
		ids                []string
		wantConns          int
	}{
		{"same id", http.MethodPost, "b", []string{"1", "1"}, 2},
		{"same id, no body", http.MethodPost, "", []string{"1", "1"}, 2},
		{"same id, GET", http.MethodGet, "", []string{"1", "1"}, 2},
		{"other ids", http.MethodPost, "b", []string{"1", "2", "3"}, 1},
		{"same id later", http.MethodPost, "b", []string{"1", "2", "1", "2", "3"}, 2},
		{"more ids than a connection remembers", http.MethodPost, "b", many, 2},
		{"no ids", http.MethodPost, "b", []string{"", ""}, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			recorder, url := newConnRecorder(t)
			client := NewClient(4)
			for _, id := range test.ids {
				request, _ := http.NewRequestWithContext(t.Context(), test.method, url, strings.NewReader(test.body))
				request.Header.Set(api.HeaderRequestID, id)
				response, failure := Send(client, request, id, "send", "peer")
				if failure != nil {
					t.Fatal(failure)
				}
				discard(response.Body)
			}
			conns, repeated := recorder.conns()
			if conns != test.wantConns || repeated && test.ids[0] != "" {
				t.Errorf("%d connections, want %d; an id twice on one: %t", conns, test.wantConns, repeated)
			}
		})
	}
}
