package frontend

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/pressure"
)

const (
	// defaultMemoryBytes may be held for request and response bodies in a process without a memory limit.
	defaultMemoryBytes = 256 << 20
	// memoryFraction of the heap may hold request and response bodies. The rest is for
	// connections, the state of the cluster and garbage collection.
	memoryFraction = 0.5
	// readChunkBytes is the unit in which memory is reserved while a body is read. Most
	// responses fit into one chunk.
	readChunkBytes = 64 << 10
	// streamBufferBytes is reserved for each stream: read and write buffers and a
	// typical event.
	streamBufferBytes = 16 << 10
	// slowReaderInterval is how often a response that waits for memory checks for slow
	// readers.
	slowReaderInterval = 250 * time.Millisecond
	// memoryRetryAfter is sent with refusals for lack of memory. Responses are read
	// within round trips and slow readers are cut within seconds.
	memoryRetryAfter = time.Second
)

// errMemoryBudget is returned when the memory budget is exhausted.
var errMemoryBudget = errors.New("memory budget exhausted")

// memoryBudget bounds the bytes that this process holds for requests and responses. It
// is safe for concurrent use. A nil memoryBudget is unbounded.
type memoryBudget struct {
	log     *logrus.Entry
	metrics *memoryMetrics

	mutex   sync.Mutex // guards the fields below
	budget  *pressure.Budget
	cancels map[*pressure.Allocation]func() // abort the write of a response
	freed   chan struct{}                   // closed when memory is released
}

// newMemoryBudget returns a budget of memoryFraction of heapBytes, or of defaultMemoryBytes if heapBytes
// is 0.
func newMemoryBudget(heapBytes int64, log *logrus.Entry, registry prometheus.Registerer) *memoryBudget {
	m := &memoryBudget{log: log, metrics: newMemoryMetrics(registry), cancels: map[*pressure.Allocation]func(){}, freed: make(chan struct{})}
	m.budget = pressure.New(defaultMemoryBytes)
	if heapBytes > 0 {
		m.budget = pressure.New(int64(memoryFraction * float64(heapBytes)))
	}
	return m
}

// allocation is the memory reserved for one body. The zero value is unbounded and
// reserves nothing.
type allocation struct {
	memory *memoryBudget
	hold   *pressure.Allocation
}

// allocate reserves memory for a new body. It returns false if the budget is exhausted.
func (m *memoryBudget) allocate(use pressure.Kind, bytes int64) (allocation, bool) {
	if m == nil {
		return allocation{}, true
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	hold, ok := m.budget.Allocate(use, bytes)
	if !ok {
		m.metrics.refused.WithLabelValues(use.String()).Inc()
		return allocation{}, false
	}
	m.updateGauges()
	return allocation{memory: m, hold: hold}, true
}

// updateGauges updates the gauges of held bytes. The caller holds the mutex.
func (m *memoryBudget) updateGauges() {
	for _, use := range []pressure.Kind{pressure.Body, pressure.Job, pressure.Response} {
		m.metrics.heldBytes.WithLabelValues(use.String()).Set(float64(m.budget.Allocated(use)))
	}
}

// free releases the allocation. Further calls have no effect.
func (a allocation) free() {
	if a.hold == nil {
		return
	}
	a.memory.mutex.Lock()
	defer a.memory.mutex.Unlock()
	a.memory.budget.Release(a.hold)
	a.memory.notifyFreed(a.hold)
}

// notifyFreed wakes the goroutines that wait for memory. The caller holds the mutex.
func (m *memoryBudget) notifyFreed(hold *pressure.Allocation) {
	if hold != nil {
		delete(m.cancels, hold)
	}
	m.updateGauges()
	close(m.freed)
	m.freed = make(chan struct{})
}

// grow reserves more bytes. It blocks until they are available or ctx is cancelled, and
// cuts the slowest reader if necessary. It returns errMemoryBudget if the bytes can
// never become available, or to resolve a deadlock in which all responses wait.
func (a allocation) grow(ctx context.Context, bytes int64) error {
	if a.hold == nil {
		return nil
	}
	for {
		freed, err := a.tryGrow(bytes)
		if freed == nil {
			return err
		}
		timer := time.NewTimer(slowReaderInterval)
		select {
		case <-freed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
		timer.Stop()
	}
}

// tryGrow reserves bytes, or returns a channel that is closed when memory is released.
// If both results are nil, the bytes are reserved.
func (a allocation) tryGrow(bytes int64) (<-chan struct{}, error) {
	m := a.memory
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.budget.SetWaiting(a.hold, false)
	if m.budget.Grow(a.hold, bytes) {
		m.updateGauges()
		return nil, nil
	}
	if m.budget.NeverFits(a.hold, bytes) {
		return nil, errMemoryBudget
	}
	m.budget.SetWaiting(a.hold, true)
	m.metrics.waits.Inc()
	if slowest := m.budget.Slowest(time.Now()); slowest != nil {
		m.cancelSlow(slowest)
	} else if m.budget.Deadlocked() == a.hold {
		return nil, errMemoryBudget
	}
	return m.freed, nil
}

// cancelSlow aborts the write of a response that its caller does not read. The caller
// holds the mutex.
func (m *memoryBudget) cancelSlow(slowest *pressure.Allocation) {
	m.metrics.slowReadersCut.Inc()
	m.log.WithFields(logrus.Fields{"event": "slow_reader_cut", "bytes": slowest.Bytes(), "free": m.budget.Free(), "limit": m.budget.Limit()}).
		Warn("Response to a slow reader aborted; other responses wait for its memory.")
	if cancel := m.cancels[slowest]; cancel != nil {
		cancel()
	}
	m.budget.Release(slowest)
	m.notifyFreed(slowest)
}

// beginWrite notes that a write to the caller has begun. cancel aborts the write; it
// may be called from another goroutine.
func (a allocation) beginWrite(cancel func()) {
	if a.hold == nil {
		return
	}
	a.memory.mutex.Lock()
	defer a.memory.mutex.Unlock()
	a.memory.cancels[a.hold] = cancel
	a.memory.budget.RecordProgress(time.Now(), a.hold)
}

// beginEvent notes that the write of a stream event has begun and reserves memory if
// the event is larger than the allocation. cancel aborts the write; it may be called
// from another goroutine. Call endEvent after the write.
func (a allocation) beginEvent(ctx context.Context, bytes int, cancel func()) error {
	if more := int64(bytes) - a.bytes(); more > 0 {
		if err := a.grow(ctx, more); err != nil {
			return err
		}
	}
	a.beginWrite(cancel)
	return nil
}

func (a allocation) bytes() int64 {
	if a.hold == nil {
		return 0
	}
	a.memory.mutex.Lock()
	defer a.memory.mutex.Unlock()
	return a.hold.Bytes()
}

// endEvent notes that no write is in progress.
func (a allocation) endEvent() {
	if a.hold == nil {
		return
	}
	a.memory.mutex.Lock()
	defer a.memory.mutex.Unlock()
	a.memory.budget.RecordProgress(time.Time{}, a.hold)
}

// growNow reserves more bytes without waiting. It returns false if none are available.
func (a allocation) growNow(bytes int64) bool {
	if a.hold == nil {
		return true
	}
	a.memory.mutex.Lock()
	defer a.memory.mutex.Unlock()
	return a.memory.budget.Grow(a.hold, bytes)
}

// recordWritten releases bytes that were written to the caller.
func (a allocation) recordWritten(bytes int) {
	if a.hold == nil {
		return
	}
	a.memory.mutex.Lock()
	defer a.memory.mutex.Unlock()
	a.memory.budget.RecordProgress(time.Now(), a.hold)
	a.memory.budget.Shrink(a.hold, int64(bytes))
	a.memory.notifyFreed(nil)
}

// errResponseTooLong is returned for a response that may have no end.
var errResponseTooLong = errors.New("response is longer than the limit")

// readResponse reads a whole response of at most limit bytes, in chunks for which it reserves memory
// first. A longer one is errResponseTooLong.
func (a allocation) readResponse(ctx context.Context, r io.Reader, limit int64) (chunks net.Buffers, err error) {
	for total := int64(0); total <= limit; {
		if err := a.grow(ctx, readChunkBytes); err != nil {
			return nil, err
		}
		chunk, err := readChunk(r, min(readChunkBytes, limit+1-total))
		total += int64(len(chunk))
		if len(chunk) > 0 {
			chunks = append(chunks, chunk)
		}
		if err == io.EOF && total <= limit {
			return chunks, nil
		}
		if err != nil && err != io.EOF {
			return nil, err
		}
	}
	return nil, fmt.Errorf("%w of %d bytes", errResponseTooLong, limit)
}

// readChunk reads until the chunk is full or the reader returns an error, and returns
// both the bytes and the error.
func readChunk(r io.Reader, size int64) ([]byte, error) {
	chunk := make([]byte, size)
	filled := 0
	for filled < len(chunk) {
		n, err := r.Read(chunk[filled:])
		filled += n
		if err != nil {
			return chunk[:filled], err
		}
	}
	return chunk, nil
}

// memoryError returns the error for a request whose body exceeds the available memory.
func memoryError(bytes int64) *api.Error {
	failure := api.NewError("take memory for the body", "", api.CodeNoCapacity, api.OutcomeNotRun, "%d bytes: %w", bytes, errMemoryBudget)
	failure.RetryAfter = memoryRetryAfter
	return failure
}

type memoryMetrics struct {
	heldBytes      *prometheus.GaugeVec   // by use
	refused        *prometheus.CounterVec // by use
	waits          prometheus.Counter
	slowReadersCut prometheus.Counter
}

func newMemoryMetrics(registry prometheus.Registerer) *memoryMetrics {
	m := &memoryMetrics{
		heldBytes: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "dykewing_frontend_held_bytes", Help: "Bytes held for callers and workers, by use.",
		}, []string{"use"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dykewing_frontend_memory_refused_total", Help: "Bodies that were refused for lack of memory, by use.",
		}, []string{"use"}),
		waits: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dykewing_frontend_memory_waits_total", Help: "Looks at which an answer had to wait for memory.",
		}),
		slowReadersCut: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dykewing_frontend_slow_readers_cut_total", Help: "Answers broken off since their callers left them unread while others waited for memory.",
		}),
	}
	registry.MustRegister(m.heldBytes, m.refused, m.waits, m.slowReadersCut)
	return m
}
