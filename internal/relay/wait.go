package relay

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/clock"
)

// waitTarget is what a read of the full state waits for.
type waitTarget string

const (
	waitZone    waitTarget = "zone"    // members of the zone
	waitPeer    waitTarget = "peer"    // answer of a peer
	waitService waitTarget = "service" // answer of the key-value service
	waitBackoff waitTarget = "backoff" // until a source may be queried again
)

// waitLogInterval is the interval at which a pending read of the full state is logged.
const waitLogInterval = 2 * time.Second

// stateWait records and logs what one read of the full state waits for.
type stateWait struct {
	log     *logrus.Entry
	started time.Time
	ended   chan struct{}

	mutex  sync.Mutex // guards all below
	target waitTarget
	source string // peer, if target is waitPeer
	since  time.Time
	spent  map[waitTarget]time.Duration
}

// newStateWait starts to log at intervals until end is called.
func newStateWait(log *logrus.Entry) *stateWait {
	now := clock.Now()
	w := &stateWait{log: log, started: now, since: now, target: waitZone, ended: make(chan struct{}), spent: map[waitTarget]time.Duration{}}
	go w.run()
	return w
}

func (w *stateWait) run() {
	ticker := time.NewTicker(waitLogInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			w.mutex.Lock()
			target, source := w.target, w.source
			w.mutex.Unlock()
			w.log.WithFields(w.fields("state_wait")).WithFields(logrus.Fields{"for": target, "source": source}).Info("Still reading the state of the key-value service.")
		case <-w.ended:
			return
		}
	}
}

// enter records that the read waits for target from now on.
func (w *stateWait) enter(target waitTarget, source string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := clock.Now()
	w.spent[w.target] += now.Sub(w.since)
	w.target, w.source, w.since = target, source, now
}

// end stops the log.
func (w *stateWait) end() {
	close(w.ended)
	w.enter("", "")
}

// logRead logs how long a successful read waited for each target.
func (w *stateWait) logRead(pairs int) {
	w.log.WithFields(w.fields("state_read")).WithField("pairs", pairs).Info("Read the state of the key-value service.")
}

// logFailure is logRead for a failed read, the last of some in a row.
func (w *stateWait) logFailure(failures int, err error) {
	w.log.WithFields(w.fields("state_read_failed")).WithField("failures", failures).WithError(err).Warn("Reading the state of the key-value service failed; pages that were read are kept.")
}

func (w *stateWait) fields(event string) logrus.Fields {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := clock.Now()
	fields := logrus.Fields{"event": event, "took_ms": now.Sub(w.started).Milliseconds()}
	for _, target := range []waitTarget{waitZone, waitPeer, waitService, waitBackoff} {
		spent := w.spent[target]
		if target == w.target {
			spent += now.Sub(w.since)
		}
		fields[string(target)+"_ms"] = spent.Milliseconds()
	}
	return fields
}
