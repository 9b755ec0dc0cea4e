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
	// queuedLines wait at the most, of each of the two queues.
	queuedLines = 2048
	// closeTimeout bounds how long Close waits for a slow reader.
	closeTimeout = time.Second
)

// fieldEvent is the field that names what a line is about.
const fieldEvent = "event"

// Queue writes log lines in the background. A full or slow output costs lines,
// never time: what does not fit is dropped and counted, and a later line says how
// many, of which event. Warnings and errors go first.
type Queue struct {
	inner  logrus.Formatter
	output io.Writer
	wake   chan struct{}
	done   chan struct{}

	mutex   sync.Mutex // guards all below
	urgent  [][]byte   // warnings and errors
	usual   [][]byte
	dropped map[string]int // by event, since it was last told
	closed  bool
}

// newQueue starts writing to output.
func newQueue(inner logrus.Formatter, output io.Writer) *Queue {
	q := &Queue{inner: inner, output: output, wake: make(chan struct{}, 1), done: make(chan struct{}), dropped: map[string]int{}}
	go q.run()
	return q
}

// Format queues the entry's line; it is a logrus.Formatter that gives logrus
// nothing to write.
func (q *Queue) Format(entry *logrus.Entry) ([]byte, error) {
	line, err := q.inner.Format(entry)
	if err != nil {
		return nil, fmt.Errorf("format log line: %w", err)
	}
	q.add(entry.Level <= logrus.WarnLevel, eventOf(entry), bytes.Clone(line)) // logrus uses the line's memory again
	return nil, nil
}

func eventOf(entry *logrus.Entry) string {
	if event, ok := entry.Data[fieldEvent].(string); ok {
		return event
	}
	return "other"
}

// add never blocks on the output.
func (q *Queue) add(urgent bool, event string, line []byte) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	queue := &q.usual
	if urgent {
		queue = &q.urgent
	}
	if len(*queue) >= queuedLines || q.closed {
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
		lines, dropped, closed := q.take()
		if len(lines) == 0 && len(dropped) == 0 {
			if closed {
				return
			}
			<-q.wake
			continue
		}
		if len(dropped) > 0 {
			lines = append(lines, q.dropLine(dropped))
		}
		q.write(lines)
	}
}

// take gives all that waits, warnings and errors first.
func (q *Queue) take() (lines [][]byte, dropped map[string]int, closed bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	lines = append(q.urgent, q.usual...)
	q.urgent, q.usual = nil, nil
	if len(q.dropped) > 0 {
		dropped, q.dropped = q.dropped, map[string]int{}
	}
	return lines, dropped, q.closed
}

// write joins lines, so that many cost one call. What the output refuses is lost.
func (q *Queue) write(lines [][]byte) {
	joined := make([]byte, 0, len(lines)*len(lines[0]))
	for _, line := range lines {
		joined = append(joined, line...)
	}
	_, _ = q.output.Write(joined)
}

func (q *Queue) dropLine(dropped map[string]int) []byte {
	entry := logrus.NewEntry(logrus.StandardLogger()).WithFields(logrus.Fields{"part": "log", fieldEvent: "lines_dropped", "dropped": dropped})
	entry.Time, entry.Level, entry.Message = time.Now(), logrus.WarnLevel, "Log lines were dropped, since their reader was slow."
	line, err := q.inner.Format(entry)
	if err != nil {
		return nil
	}
	return line
}

// Close writes what waits, unless the reader is too slow.
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
