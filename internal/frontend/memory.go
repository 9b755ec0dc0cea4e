package frontend

import (
	"context"
	"errors"
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
	// heldShare of the heap may hold bodies and answers; the rest is for connections,
	// what is known of the fleet, and the collector's slack.
	heldShare = 0.5
	// heldStep is how many bytes are taken at a time: an answer of the usual size in one.
	heldStep = 64 << 10
	// streamBytes are held for a stream: its reader's and its writer's buffers, and an event
	// of the usual size.
	streamBytes = 16 << 10
	// heldLook is between two looks for readers to cut while an answer waits for bytes.
	heldLook = 250 * time.Millisecond
	// memoryRetryAfter is the advice to a caller whose body has no room: answers are read
	// in round trips, and slow readers are cut within seconds.
	memoryRetryAfter = time.Second
)

// errMemory is of bytes for which there is no room.
var errMemory = errors.New("no memory is left for it")

// memory bounds what this process holds for callers and workers. It may be used from
// anywhere. Without a budget all is held.
type memory struct {
	log     *logrus.Entry
	metrics *memoryMetrics

	mutex  sync.Mutex // guards all below
	budget *pressure.Budget
	cuts   map[*pressure.Hold]func() // end an answer's delivery
	freed  chan struct{}             // closed when bytes come free
}

// newMemory gives a bound of a share of heapBytes; none for 0.
func newMemory(heapBytes int64, log *logrus.Entry, registry prometheus.Registerer) *memory {
	m := &memory{log: log, metrics: newMemoryMetrics(registry), cuts: map[*pressure.Hold]func(){}, freed: make(chan struct{})}
	if heapBytes > 0 {
		m.budget = pressure.New(int64(heldShare * float64(heapBytes)))
	}
	return m
}

// held is what one exchange holds for one use; the zero value holds nothing, unbounded.
type held struct {
	memory *memory
	hold   *pressure.Hold
}

// begin takes the bytes of something new; false when there is no room.
func (m *memory) begin(use pressure.Use, bytes int64) (held, bool) {
	if m == nil || m.budget == nil {
		return held{}, true
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	hold, ok := m.budget.Begin(use, bytes)
	if !ok {
		m.metrics.refused.WithLabelValues(use.String()).Inc()
		return held{}, false
	}
	m.observe()
	return held{memory: m, hold: hold}, true
}

// observe brings the gauges up to date; the mutex is held.
func (m *memory) observe() {
	for _, use := range []pressure.Use{pressure.Body, pressure.Job, pressure.Answer} {
		m.metrics.held.WithLabelValues(use.String()).Set(float64(m.budget.Held(use)))
	}
}

// end gives all back; more than once changes nothing.
func (h held) end() {
	if h.hold == nil {
		return
	}
	h.memory.mutex.Lock()
	defer h.memory.mutex.Unlock()
	h.memory.budget.End(h.hold)
	h.memory.release(h.hold)
}

// release wakes those that wait for bytes; the mutex is held.
func (m *memory) release(ended *pressure.Hold) {
	if ended != nil {
		delete(m.cuts, ended)
	}
	m.observe()
	close(m.freed)
	m.freed = make(chan struct{})
}

// grow takes more bytes; it waits for them until ctx ends, and has the slowest readers cut.
func (h held) grow(ctx context.Context, bytes int64) error {
	if h.hold == nil {
		return nil
	}
	for {
		freed, err := h.tryGrow(bytes)
		if freed == nil {
			return err
		}
		timer := time.NewTimer(heldLook)
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

// tryGrow takes bytes, or gives a channel to wait on. Both nil: taken.
func (h held) tryGrow(bytes int64) (<-chan struct{}, error) {
	m := h.memory
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.budget.Wait(h.hold, false)
	if m.budget.Grow(h.hold, bytes) {
		m.observe()
		return nil, nil
	}
	if m.budget.Never(h.hold, bytes) {
		return nil, errMemory
	}
	m.budget.Wait(h.hold, true)
	m.metrics.waits.Inc()
	if slowest := m.budget.Slowest(time.Now()); slowest != nil {
		m.cut(slowest)
	} else if m.budget.Stuck() == h.hold {
		return nil, errMemory
	}
	return m.freed, nil
}

// cut ends the delivery of an answer that its caller does not read; the mutex is held.
func (m *memory) cut(slowest *pressure.Hold) {
	m.metrics.cut.Inc()
	m.log.WithFields(logrus.Fields{"event": "slow_reader_cut", "bytes": slowest.Bytes(), "free": m.budget.Free(), "limit": m.budget.Limit()}).
		Warn("An answer that its caller leaves unread is broken off; others wait for its memory.")
	if end := m.cuts[slowest]; end != nil {
		end()
	}
	m.budget.End(slowest)
	m.release(slowest)
}

// writing notes that the bytes go to a caller from now on; cut ends that from anywhere.
func (h held) writing(cut func()) {
	if h.hold == nil {
		return
	}
	h.memory.mutex.Lock()
	defer h.memory.mutex.Unlock()
	h.memory.cuts[h.hold] = cut
	h.memory.budget.Writing(time.Now(), h.hold)
}

// event notes an event of a stream on its way to the caller, for which bytes were taken
// before; cut ends the delivery from anywhere. Call eventRead once it has gone.
func (h held) event(ctx context.Context, bytes int, cut func()) error {
	if more := int64(bytes) - h.bytes(); more > 0 {
		if err := h.grow(ctx, more); err != nil {
			return err
		}
	}
	h.writing(cut)
	return nil
}

func (h held) bytes() int64 {
	if h.hold == nil {
		return 0
	}
	h.memory.mutex.Lock()
	defer h.memory.mutex.Unlock()
	return h.hold.Bytes()
}

// eventRead notes that nothing is on its way to the caller.
func (h held) eventRead() {
	if h.hold == nil {
		return
	}
	h.memory.mutex.Lock()
	defer h.memory.mutex.Unlock()
	h.memory.budget.Writing(time.Time{}, h.hold)
}

// growNow takes more bytes for a body that is being read; false when there are none.
func (h held) growNow(bytes int64) bool {
	if h.hold == nil {
		return true
	}
	h.memory.mutex.Lock()
	defer h.memory.mutex.Unlock()
	return h.memory.budget.Grow(h.hold, bytes)
}

// written gives back what a caller has taken.
func (h held) written(bytes int) {
	if h.hold == nil {
		return
	}
	h.memory.mutex.Lock()
	defer h.memory.mutex.Unlock()
	h.memory.budget.Writing(time.Now(), h.hold)
	h.memory.budget.Shrink(h.hold, int64(bytes))
	h.memory.release(nil)
}

// readAnswer reads an answer whole, piece by piece, each within the budget. More than most
// bytes are not read.
func (h held) readAnswer(ctx context.Context, from io.Reader, most int64) (pieces net.Buffers, err error) {
	for total := int64(0); total < most; {
		if err := h.grow(ctx, heldStep); err != nil {
			return nil, err
		}
		piece, err := readPiece(from, min(heldStep, most-total))
		total += int64(len(piece))
		if len(piece) > 0 {
			pieces = append(pieces, piece)
		}
		if err == io.EOF {
			return pieces, nil
		}
		if err != nil {
			return nil, err
		}
	}
	return pieces, nil
}

// readPiece fills a piece; the error is the reader's, with what came before it.
func readPiece(from io.Reader, size int64) ([]byte, error) {
	piece := make([]byte, size)
	filled := 0
	for filled < len(piece) {
		n, err := from.Read(piece[filled:])
		filled += n
		if err != nil {
			return piece[:filled], err
		}
	}
	return piece, nil
}

// memoryShort is the refusal of a request whose body has no room.
func memoryShort(bytes int64) *api.Error {
	failure := api.NewError("take memory for the body", "", api.CodeNoCapacity, api.OutcomeNotRun, "%d bytes: %w", bytes, errMemory)
	failure.RetryAfter = memoryRetryAfter
	return failure
}

type memoryMetrics struct {
	held    *prometheus.GaugeVec   // by use
	refused *prometheus.CounterVec // by use
	waits   prometheus.Counter
	cut     prometheus.Counter
}

func newMemoryMetrics(registry prometheus.Registerer) *memoryMetrics {
	m := &memoryMetrics{
		held: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "dykewing_frontend_held_bytes", Help: "Bytes held for callers and workers, by use.",
		}, []string{"use"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dykewing_frontend_memory_refused_total", Help: "Bodies that were refused for lack of memory, by use.",
		}, []string{"use"}),
		waits: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dykewing_frontend_memory_waits_total", Help: "Looks at which an answer had to wait for memory.",
		}),
		cut: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dykewing_frontend_slow_readers_cut_total", Help: "Answers broken off since their callers left them unread while others waited for memory.",
		}),
	}
	registry.MustRegister(m.held, m.refused, m.waits, m.cut)
	return m
}
