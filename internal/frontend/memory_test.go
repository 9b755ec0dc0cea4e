package frontend

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/backend"
	"github.com/dykewing/dykewing/internal/catalog"
	"github.com/dykewing/dykewing/pressure"
)

const mebibyte = 1 << 20

// newTestMemoryBudget returns a budget of limit bytes.
func newTestMemoryBudget(limit int64, registries ...prometheus.Registerer) *memoryBudget {
	registries = append(registries, prometheus.NewRegistry())
	log := logrus.New()
	log.SetOutput(io.Discard)
	return newMemoryBudget(int64(float64(limit)/memoryFraction), logrus.NewEntry(log), registries[0])
}

// responseBytes returns the bytes held for responses.
func (m *memoryBudget) responseBytes() int64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.budget.Allocated(pressure.Response)
}

// hasPendingWrite tells whether a response is being written.
func (m *memoryBudget) hasPendingWrite() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return len(m.cancels) > 0
}

// newResponseServer returns a server that answers with as many bytes as the path says,
// within the memory budget.
func newResponseServer(tb testing.TB, m *memoryBudget) *httptest.Server {
	f := &Frontend{memory: m, metrics: newMetrics(prometheus.NewRegistry()), protocol: noopProtocol{}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	f.log = logrus.NewEntry(log)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var length int64
		_, _ = fmt.Sscanf(r.URL.Path, "/%d", &length)
		x := &exchange{frontend: f, w: w, r: r, arrived: time.Now(), deadline: time.Now().Add(time.Minute)}
		defer x.freeMemory()
		chunks, err := x.allocateResponse().readResponse(r.Context(), io.LimitReader(endlessReader{}, length), maxResponseBytes)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		x.writeResponse(&backend.WorkerResponse{Response: &http.Response{StatusCode: http.StatusOK, Header: http.Header{}}}, chunks)
	}))
	server.Config.ErrorLog = discardLog()
	tb.Cleanup(server.Close)
	return server
}

type noopProtocol struct{ backend.Protocol }

func (noopProtocol) StripResponse(http.Header) {}

func (noopProtocol) WriteRetryAfter(http.Header, time.Duration) {}

type endlessReader struct{}

func (endlessReader) Read(into []byte) (int, error) {
	for i := range into {
		into[i] = 'x'
	}
	return len(into), nil
}

// startSlowReader sends a request and reads nothing of the response.
func startSlowReader(tb testing.TB, server *httptest.Server, length int) net.Conn {
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		tb.Fatal(err)
	}
	if _, err := fmt.Fprintf(conn, "GET /%d HTTP/1.1\r\nHost: h\r\n\r\n", length); err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { conn.Close() })
	return conn
}

// Guards against running out of memory when callers leave responses unread: the next
// response waits, the slowest reader is cut, and callers that read get whole responses.
func TestUnreadResponseIsCutWhenMemoryIsShort(t *testing.T) {
	registry := prometheus.NewRegistry()
	m := newTestMemoryBudget(26*mebibyte, registry)
	server := newResponseServer(t, m)
	startSlowReader(t, server, 22*mebibyte)
	eventually(t, "a response that is left unread", func() bool { return m.responseBytes() > 14*mebibyte && m.hasPendingWrite() })
	for range 3 {
		response, err := http.Get(server.URL + "/" + fmt.Sprint(16*mebibyte))
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		if err != nil || len(body) != 16*mebibyte {
			t.Fatalf("%d bytes, %v", len(body), err)
		}
	}
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range families {
		if family.GetName() == "dykewing_frontend_slow_readers_cut_total" && family.Metric[0].Counter.GetValue() != 1 {
			t.Errorf("%v responses were cut, want 1", family.Metric[0])
		}
	}
}

func TestSlowReaderIsNotCutWhileMemoryIsFree(t *testing.T) {
	m := newTestMemoryBudget(64 * mebibyte)
	server := newResponseServer(t, m)
	conn := startSlowReader(t, server, 24*mebibyte)
	eventually(t, "a response that is left unread", func() bool { return m.responseBytes() > mebibyte && m.hasPendingWrite() })
	m.mutex.Lock()
	for hold := range m.cancels {
		m.budget.RecordProgress(time.Now().Add(-time.Hour), hold)
	}
	m.mutex.Unlock()
	response, err := http.Get(server.URL + "/" + fmt.Sprint(mebibyte))
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	response.Body.Close()
	_ = conn.SetReadDeadline(time.Now().Add(time.Minute))
	if n, err := io.CopyN(io.Discard, conn, 24*mebibyte); err != nil {
		t.Errorf("%d bytes, %v", n, err)
	}
}

func TestMemoryDeadlockFailsOneResponse(t *testing.T) {
	m := newTestMemoryBudget(mebibyte)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	results := make(chan error, 2)
	var holding sync.WaitGroup
	holding.Add(2)
	for range 2 {
		go func() {
			a, _ := m.allocate(pressure.Response, 0)
			err := a.grow(ctx, mebibyte/2)
			holding.Done()
			holding.Wait()
			if err == nil {
				err = a.grow(ctx, mebibyte/4)
			}
			a.free()
			results <- err
		}()
	}
	first, second := <-results, <-results
	if errors.Is(first, errMemoryBudget) == errors.Is(second, errMemoryBudget) {
		t.Errorf("%v, %v: exactly one must fail", first, second)
	}
	if free := m.budget.Free(); free != m.budget.Limit() {
		t.Errorf("%d of %d bytes are free at the end", free, m.budget.Limit())
	}
}

// Guards against blaming the worker and the request for a lack of memory in this
// process.
func TestMemoryShortageIsNotAnUpstreamError(t *testing.T) {
	tests := []struct {
		err  error
		want api.ErrorCode
	}{
		{errMemoryBudget, api.CodeInternal}, {fmt.Errorf("relay: %w", errMemoryBudget), api.CodeInternal},
		{io.ErrUnexpectedEOF, api.CodeUpstream}, {context.DeadlineExceeded, api.CodeUpstream},
	}
	for _, test := range tests {
		if got := readErrorCode(test.err); got != test.want {
			t.Errorf("%v: %s", test.err, got)
		}
	}
}

func TestRequestBodiesAreBoundedByMemoryBudget(t *testing.T) {
	tests := []struct {
		name   string
		length int64 // Content-Length; negative: not sent
		bytes  int
		want   int
	}{
		{"small body", 10, 10, http.StatusOK},
		{"unknown length", -1, 3 * readChunkBytes, http.StatusOK},
		{"too large for the free memory", 700 << 10, 700 << 10, http.StatusServiceUnavailable},
		{"unknown length, too large for the free memory", -1, 900 << 10, http.StatusServiceUnavailable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := &Frontend{memory: newTestMemoryBudget(mebibyte), metrics: newMetrics(prometheus.NewRegistry()), protocol: noopProtocol{}}
			log := logrus.New()
			log.SetOutput(io.Discard)
			f.log = logrus.NewEntry(log)
			f.catalog = catalog.New(catalog.Source{}, nil, f.log, nil)
			recorder := httptest.NewRecorder()
			request := httptest.NewRequest(http.MethodPost, "/x", bytes.NewReader(make([]byte, test.bytes)))
			request.ContentLength = test.length
			x := &exchange{frontend: f, w: recorder, r: request, arrived: time.Now()}
			if x.readBody(4*mebibyte) && len(x.body) != test.bytes {
				t.Errorf("%d bytes", len(x.body))
			}
			x.freeMemory()
			if recorder.Code != test.want || test.want != http.StatusOK && !strings.Contains(recorder.Body.String(), "memory") {
				t.Errorf("status %d, body %q", recorder.Code, recorder.Body.String())
			}
			if free := f.memory.budget.Free(); free != f.memory.budget.Limit() {
				t.Errorf("%d bytes are free at the end", free)
			}
		})
	}
}

// BenchmarkSlowReaders reports the peak heap size while callers leave responses of 4
// MiB unread: go test ./internal/frontend -run xxx -bench SlowReaders -benchtime 1x.
func BenchmarkSlowReaders(b *testing.B) {
	for _, bound := range []int64{0, 40 * mebibyte} {
		for _, readers := range []int{1, 100, 1000} {
			b.Run(fmt.Sprintf("bound=%dMB/readers=%d", bound/mebibyte, readers), func(b *testing.B) {
				m := newTestMemoryBudget(bound)
				server := newResponseServer(b, m)
				for range b.N {
					for range readers {
						startSlowReader(b, server, 4*mebibyte)
					}
					peak := uint64(0)
					for range 30 {
						time.Sleep(50 * time.Millisecond)
						var stats runtime.MemStats
						runtime.ReadMemStats(&stats)
						peak = max(peak, stats.HeapInuse)
					}
					b.ReportMetric(float64(peak)/mebibyte, "peak-MiB")
				}
			})
		}
	}
}

func eventually(t *testing.T, what string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("timed out waiting for " + what)
		}
	}
}

// Guards against the first part of a response that is passed on as the whole.
func TestResponseOverLimitIsNotWhole(t *testing.T) {
	const limit = 3 * readChunkBytes
	for _, test := range []struct {
		bytes int
		whole bool
	}{
		{0, true}, {limit - 1, true}, {limit, true}, {limit + 1, false}, {limit + readChunkBytes, false}, {5 * limit, false},
	} {
		chunks, err := allocation{}.readResponse(t.Context(), bytes.NewReader(make([]byte, test.bytes)), limit)
		length := 0
		for _, chunk := range chunks {
			length += len(chunk)
		}
		if test.whole && (err != nil || length != test.bytes) || !test.whole && !errors.Is(err, errResponseTooLong) {
			t.Errorf("%d of %d bytes, %v", length, test.bytes, err)
		}
	}
}
