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

// boundedMemory gives a bound of limit bytes.
func boundedMemory(limit int64, registries ...prometheus.Registerer) *memory {
	registries = append(registries, prometheus.NewRegistry())
	log := logrus.New()
	log.SetOutput(io.Discard)
	return newMemory(int64(float64(limit)/heldShare), logrus.NewEntry(log), registries[0])
}

// holds is how many bytes are held of answers.
func (m *memory) holds() int64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.budget.Held(pressure.Answer)
}

// writes tells whether an answer is on its way to its caller.
func (m *memory) writes() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return len(m.cuts) > 0
}

// relaying serves whole answers of a worker, of the length that the path tells, through the
// bound.
func relaying(tb testing.TB, m *memory) *httptest.Server {
	f := &Frontend{memory: m, metrics: newMetrics(prometheus.NewRegistry()), protocol: quietProtocol{}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	f.log = logrus.NewEntry(log)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var length int64
		_, _ = fmt.Sscanf(r.URL.Path, "/%d", &length)
		x := &exchange{frontend: f, w: w, r: r, arrived: time.Now(), deadline: time.Now().Add(time.Minute)}
		defer x.giveBack()
		pieces, err := x.hold().readAnswer(r.Context(), io.LimitReader(endless{}, length), maximumAnswerBytes)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		x.answer(&backend.Incoming{Response: &http.Response{StatusCode: http.StatusOK, Header: http.Header{}}}, pieces)
	}))
	server.Config.ErrorLog = discardLog()
	tb.Cleanup(server.Close)
	return server
}

type quietProtocol struct{ backend.Protocol }

func (quietProtocol) StripAnswer(http.Header) {}

func (quietProtocol) WriteRetryAfter(http.Header, time.Duration) {}

type endless struct{}

func (endless) Read(into []byte) (int, error) {
	for i := range into {
		into[i] = 'x'
	}
	return len(into), nil
}

// slowReader asks for an answer and reads nothing of it.
func slowReader(tb testing.TB, server *httptest.Server, length int) net.Conn {
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

// Callers that left their answers unread held the whole memory of a process, and the next
// answer ended it. Now the next answer waits, the one that was left unread longest is cut
// after a while, and whoever reads gets its whole answer.
func TestAnAnswerLeftUnreadGivesWay(t *testing.T) {
	registry := prometheus.NewRegistry()
	m := boundedMemory(26*mebibyte, registry)
	server := relaying(t, m)
	slowReader(t, server, 22*mebibyte)
	awaitTrue(t, "an answer that is left unread", func() bool { return m.holds() > 14*mebibyte && m.writes() })
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
			t.Errorf("%v answers were cut", family.Metric[0])
		}
	}
}

// While there is room nobody is cut, however slowly it reads.
func TestASlowReaderIsLeftAloneWhileThereIsRoom(t *testing.T) {
	m := boundedMemory(64 * mebibyte)
	server := relaying(t, m)
	conn := slowReader(t, server, 24*mebibyte)
	awaitTrue(t, "an answer that is left unread", func() bool { return m.holds() > mebibyte && m.writes() })
	m.mutex.Lock()
	for hold := range m.cuts {
		m.budget.Writing(time.Now().Add(-time.Hour), hold)
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

func TestAnswersThatHoldEachOtherUpAreGivenUp(t *testing.T) {
	m := boundedMemory(mebibyte)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	results := make(chan error, 2)
	var holding sync.WaitGroup
	holding.Add(2)
	for range 2 {
		go func() {
			h, _ := m.begin(pressure.Answer, 0)
			err := h.grow(ctx, mebibyte/2)
			holding.Done()
			holding.Wait()
			if err == nil {
				err = h.grow(ctx, mebibyte/4)
			}
			h.end()
			results <- err
		}()
	}
	first, second := <-results, <-results
	if errors.Is(first, errMemory) == errors.Is(second, errMemory) {
		t.Errorf("%v, %v: one of the two has to be given up", first, second)
	}
	if free := m.budget.Free(); free != m.budget.Limit() {
		t.Errorf("%d of %d bytes are free at the end", free, m.budget.Limit())
	}
}

// A lack of this process's own memory was told as a broken worker, and counted against the
// worker and the request that it ran.
func TestALackOfMemoryIsNoFaultOfTheWorker(t *testing.T) {
	tests := []struct {
		err  error
		want api.ErrorCode
	}{
		{errMemory, api.CodeInternal}, {fmt.Errorf("relay: %w", errMemory), api.CodeInternal},
		{io.ErrUnexpectedEOF, api.CodeUpstream}, {context.DeadlineExceeded, api.CodeUpstream},
	}
	for _, test := range tests {
		if got := readCode(test.err); got != test.want {
			t.Errorf("%v: %s", test.err, got)
		}
	}
}

func TestWhatIsHeldOfBodies(t *testing.T) {
	tests := []struct {
		name   string
		length int64 // told; negative: not told
		bytes  int
		want   int
	}{
		{"a small body", 10, 10, http.StatusOK},
		{"one that does not tell its length", -1, 3 * heldStep, http.StatusOK},
		{"one over what new ones may have", 700 << 10, 700 << 10, http.StatusServiceUnavailable},
		{"one that turns out to be", -1, 900 << 10, http.StatusServiceUnavailable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := &Frontend{memory: boundedMemory(mebibyte), metrics: newMetrics(prometheus.NewRegistry()), protocol: quietProtocol{}}
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
			x.giveBack()
			if recorder.Code != test.want || test.want != http.StatusOK && !strings.Contains(recorder.Body.String(), "memory") {
				t.Errorf("status %d, %q", recorder.Code, recorder.Body.String())
			}
			if free := f.memory.budget.Free(); free != f.memory.budget.Limit() {
				t.Errorf("%d bytes are free", free)
			}
		})
	}
}

// BenchmarkSlowReaders tells the peak of the heap while callers leave answers of 4 MiB
// unread: go test ./internal/frontend -run xxx -bench SlowReaders -benchtime 1x.
func BenchmarkSlowReaders(b *testing.B) {
	for _, bound := range []int64{0, 40 * mebibyte} {
		for _, readers := range []int{1, 100, 1000} {
			b.Run(fmt.Sprintf("bound=%dMB/readers=%d", bound/mebibyte, readers), func(b *testing.B) {
				m := boundedMemory(bound)
				server := relaying(b, m)
				for range b.N {
					for range readers {
						slowReader(b, server, 4*mebibyte)
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

func awaitTrue(t *testing.T, what string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("waited in vain: " + what)
		}
	}
}
