package logging

import (
	"log"
	"strings"
	"sync"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

const (
	// standardLinesPerSecond and standardBurst bound the lines of libraries, which peers can cause.
	standardLinesPerSecond = 1
	standardBurst          = 10
	// maxStandardBytes is how much of a library's line is logged.
	maxStandardBytes = 256
	// unsolicitedPrefix begins the line of net/http about bytes on an idle connection, which goes on with
	// these bytes.
	unsolicitedPrefix = "Unsolicited response received on idle HTTP channel"
)

// RedirectStandard sends the lines of the standard logger, which libraries use, to entry. Lines
// beyond ten, and one more each second, are only counted, in the field "suppressed" of the next line.
func RedirectStandard(entry *logrus.Entry) {
	log.SetFlags(0)
	log.SetOutput(&standardWriter{entry: entry, limiter: rate.NewLimiter(standardLinesPerSecond, standardBurst)})
}

// standardWriter logs each line that is written to it.
type standardWriter struct {
	entry   *logrus.Entry
	limiter *rate.Limiter

	mutex      sync.Mutex // guards suppressed
	suppressed int
}

// Write implements io.Writer. It never fails.
func (w *standardWriter) Write(line []byte) (int, error) {
	if !w.limiter.Allow() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		w.suppressed++
		return len(line), nil
	}
	w.mutex.Lock()
	suppressed := w.suppressed
	w.suppressed = 0
	w.mutex.Unlock()
	entry := w.entry.WithField("suppressed", suppressed)
	text := strings.TrimSpace(string(line))
	if strings.HasPrefix(text, unsolicitedPrefix) {
		entry.WithField(fieldEvent, "unsolicited_response").Warn("A server sent a response that no request waits for; its connection is closed.")
		return len(line), nil
	}
	entry.WithField(fieldEvent, "library_message").WithField("text", text[:min(len(text), maxStandardBytes)]).Warn("A library reports a problem.")
	return len(line), nil
}
