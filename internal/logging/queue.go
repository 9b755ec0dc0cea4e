package logging

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// maxQueuedLines is the capacity of each of the two queues.
	maxQueuedLines = 2048
	// closeTimeout bounds how long Close waits for the output.
	closeTimeout = time.Second
)

// fieldEvent is the field with the type of event that a line reports.
const fieldEvent = "event"

// Queue writes log lines in the background, so that a slow or blocked output never blocks
// logging. Lines that do not fit are dropped, and a later line reports their number by
// event. Warnings and errors have a queue of their own and are written first. It is safe
// for concurrent use.
type Queue struct {
	inner  logrus.Formatter
	output io.Writer
	wake   chan struct{}
	done   chan struct{}

	mutex   sync.Mutex // guards all below
	urgent  [][]byte   // warnings and errors
	normal  [][]byte
	dropped map[string]int // by event, not yet reported
	closed  bool
}

// newQueue returns a Queue and starts its goroutine.
func newQueue(inner logrus.Formatter, output io.Writer) *Queue {
	q := &Queue{inner: inner, output: output, wake: make(chan struct{}, 1), done: make(chan struct{}), dropped: map[string]int{}}
	go q.run()
	return q
}

// Format implements logrus.Formatter. It queues the entry's line and returns nothing for
// logrus to write.
func (q *Queue) Format(entry *logrus.Entry) ([]byte, error) {
	line, err := q.inner.Format(entry)
	if err != nil {
		return nil, fmt.Errorf("format log line: %w", err)
	}
	q.add(entry.Level <= logrus.WarnLevel, eventOf(entry), bytes.Clone(line)) // logrus reuses the buffer
	return nil, nil
}

func eventOf(entry *logrus.Entry) string {
	if event, ok := entry.Data[fieldEvent].(string); ok {
		return event
	}
	return "other"
}

// add queues a line, or counts it as dropped if the queue is full or closed.
func (q *Queue) add(urgent bool, event string, line []byte) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	queue := &q.normal
	if urgent {
		queue = &q.urgent
	}
	if len(*queue) >= maxQueuedLines || q.closed {
		q.dropped[event]++
		return
	}
	*queue = append(*queue, line)
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *Queue) run() {
	defer close(q.done)
	for {
		lines, dropped, closed := q.drain()
		if len(lines) == 0 && len(dropped) == 0 {
			if closed {
				return
			}
			<-q.wake
			continue
		}
		if len(dropped) > 0 {
			lines = append(lines, q.formatDropped(dropped))
		}
		q.write(lines)
	}
}

// drain removes and returns all queued lines, warnings and errors first, and the counts of
// dropped ones.
func (q *Queue) drain() (lines [][]byte, dropped map[string]int, closed bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	lines = append(q.urgent, q.normal...)
	q.urgent, q.normal = nil, nil
	if len(q.dropped) > 0 {
		dropped, q.dropped = q.dropped, map[string]int{}
	}
	return lines, dropped, q.closed
}

// write writes all lines with one call. Lines are lost if it fails.
func (q *Queue) write(lines [][]byte) {
	joined := make([]byte, 0, len(lines)*len(lines[0]))
	for _, line := range lines {
		joined = append(joined, line...)
	}
	_, _ = q.output.Write(joined)
}

func (q *Queue) formatDropped(dropped map[string]int) []byte {
	entry := logrus.NewEntry(logrus.StandardLogger()).WithFields(logrus.Fields{"part": "log", fieldEvent: "lines_dropped", "dropped": dropped})
	entry.Time, entry.Level, entry.Message = time.Now(), logrus.WarnLevel, "Log lines were dropped because the output is too slow."
	line, err := q.inner.Format(entry)
	if err != nil {
		return nil
	}
	return line
}

// Close writes the queued lines and stops the queue. It gives up after closeTimeout.
func (q *Queue) Close() {
	q.mutex.Lock()
	q.closed = true
	q.mutex.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
	select {
	case <-q.done:
	case <-time.After(closeTimeout):
	}
}
