package frontend

import (
	"errors"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/backend"
	"github.com/dykewing/dykewing/reservation"
	"github.com/dykewing/dykewing/worker"
)

const (
	// wordLife is how long what was heard of a worker waits for a message to the leader
	// that gives places there. A pace is of one moment, and a few tenths of a second later
	// the leader has heard newer ones from others; the rest is judged by how a worker is
	// now.
	wordLife = time.Second
	// mostWords wait at once: of more workers than a frontend hears of in wordLife.
	mostWords = 1024
	// leastEvents of a stream are needed to tell the time between two.
	leastEvents = 5
)

// heard keeps what this frontend has heard of workers and their leaders have not been
// told. The zero value is empty.
type heard struct {
	mutex sync.Mutex // guards all below
	words map[worker.Incarnation]*waitingWord
}

// waitingWord is one start of a worker.
type waitingWord struct {
	since  time.Time // of the first news in it
	paceAt time.Time
	took   time.Duration // of steps, in all
	steps  int
	reservation.Word
}

// note changes what waits of a worker.
func (h *heard) note(now time.Time, of worker.Incarnation, change func(w *waitingWord)) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.words == nil {
		h.words = map[worker.Incarnation]*waitingWord{}
	}
	w := h.words[of]
	if w == nil || now.Sub(w.since) > wordLife {
		h.forget(now)
		if len(h.words) >= mostWords {
			return
		}
		w = &waitingWord{since: now, Word: reservation.Word{Worker: of.ID, Born: of.Born}}
		h.words[of] = w
	}
	change(w)
}

// forget drops what has waited too long; the mutex is held.
func (h *heard) forget(now time.Time) {
	for of, w := range h.words {
		if now.Sub(w.since) > wordLife {
			delete(h.words, of)
		}
	}
}

// load notes a load that a worker told with an answer.
func (h *heard) load(now time.Time, of worker.Incarnation, load worker.Load) {
	if load.Pace > 0 {
		h.note(now, of, func(w *waitingWord) { w.Pace, w.paceAt = load.Pace, now })
	}
}

// ended notes how a request ended at a worker.
func (h *heard) ended(now time.Time, of worker.Incarnation, broken bool) {
	h.note(now, of, func(w *waitingWord) {
		if broken {
			w.Broken++
		} else {
			w.Whole++
		}
	})
}

// stream notes how fast the events of a whole stream came.
func (h *heard) stream(now time.Time, of worker.Incarnation, pace streamPace) {
	if pace.events >= leastEvents && pace.took > 0 {
		h.note(now, of, func(w *waitingWord) {
			w.Streams++
			w.took += pace.took
			w.steps += pace.events - 1
		})
	}
}

// take gives what was heard of workers for which mine is true, and forgets it; what has
// waited too long is forgotten, too.
func (h *heard) take(now time.Time, mine func(id string) bool) (list []reservation.Word) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.forget(now)
	for of, w := range h.words {
		if len(list) == reservation.MaximumWords {
			break
		}
		if !mine(of.ID) {
			continue
		}
		word := w.Word
		if word.Pace > 0 {
			word.PaceAge = now.Sub(w.paceAt)
		}
		if w.steps > 0 {
			word.Step = w.took / time.Duration(w.steps)
		}
		list = append(list, word)
		delete(h.words, of)
	}
	slices.SortFunc(list, func(a, b reservation.Word) int { return strings.Compare(a.Worker, b.Worker) })
	return list
}

// streamPace is how fast a worker gives the events of one stream. The time in which an
// event was passed on is not the worker's: a caller may read slowly.
type streamPace struct {
	events       int
	took         time.Duration // by the worker, since the first event
	lastPassedOn time.Time
}

func (p *streamPace) came(now time.Time) {
	if p.events > 0 {
		p.took += now.Sub(p.lastPassedOn)
	}
	p.events++
}

func (p *streamPace) passedOn(now time.Time) { p.lastPassedOn = now }

// tells is what an attempt's end tells of its worker: that it broke, or did not, or
// nothing. A worker that is full tells nothing, nor does this process's lack of memory; a
// failure that it calls the request's own is an answer.
func (r attemptResult) tells() (broken, ok bool) {
	switch r.verdict {
	case done:
		return false, true
	case refused:
		status := r.failed.Response.StatusCode
		return status >= http.StatusInternalServerError || status < http.StatusBadRequest, true
	}
	if errors.Is(r.failure.Err, errMemory) {
		return false, false
	}
	return true, r.failure.Code == api.CodeUpstream || r.failure.Code == api.CodeDeadline
}

// noteOutcome keeps how an attempt ended for the leader that gives places at its worker:
// each frontend alone would have to fail there before it believed it. That the caller
// left tells nothing of the worker.
func (x *exchange) noteOutcome(ticket *backend.Ticket, last attemptResult) {
	if !x.frontend.givesPlaces(x.service) || x.callerLeft() {
		return
	}
	if broken, ok := last.tells(); ok {
		x.frontend.places.heard.ended(time.Now(), ticket.Worker.Incarnation(), broken)
	}
}

// noteStream keeps how fast a whole stream came.
func (x *exchange) noteStream(ticket *backend.Ticket, pace streamPace) {
	if x.frontend.givesPlaces(x.service) {
		x.frontend.places.heard.stream(time.Now(), ticket.Worker.Incarnation(), pace)
	}
}

// paceFields tell the pace that was expected of a worker, and whose word that was; none
// where no worker of its service tells one.
func paceFields(ticket *backend.Ticket) logrus.Fields {
	if ticket.Pace.Source == worker.PaceUnknown {
		return nil
	}
	return logrus.Fields{
		"pace": ticket.Pace.Value, "pace_source": ticket.Pace.Source, "pace_age_ms": ticket.Pace.Age.Milliseconds(),
	}
}
