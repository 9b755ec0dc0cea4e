package frontend

import (
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/backend"
	"github.com/dykewing/dykewing/reservation"
	"github.com/dykewing/dykewing/worker"
)

// wordLife is how long what was heard of a worker waits for a message to the leader that
// gives places there. A pace is of one moment, and a few tenths of a second later the
// leader has heard newer ones from others; outcomes are judged by how a worker is now.
const wordLife = time.Second

// mostWords of workers wait at once: more than a frontend hears in wordLife.
const mostWords = 1024

// heard keeps what this frontend has heard of workers and their leaders have not been
// told: the newest word of each one's pace, and how requests ended there. The zero value
// is empty.
type heard struct {
	mutex    sync.Mutex // guards all below
	words    map[string]paceWord
	outcomes map[string]outcomesSince
	steps    []stepSince
}

type stepSince struct {
	since time.Time
	reservation.StepWord
}

type outcomesSince struct {
	since time.Time // of the first
	worker.Outcomes
}

type paceWord struct {
	at   time.Time
	pace float64
}

// pace takes a load that a worker told with an answer.
func (h *heard) pace(now time.Time, id string, load worker.Load) {
	if load.Pace <= 0 {
		return
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.words == nil {
		h.words = map[string]paceWord{}
	}
	if len(h.words) >= mostWords {
		maps.DeleteFunc(h.words, func(_ string, word paceWord) bool { return now.Sub(word.at) > wordLife })
	}
	if len(h.words) >= mostWords {
		return
	}
	h.words[id] = paceWord{at: now, pace: load.Pace}
}

// takePaces gives the words of workers for which mine is true, and forgets them; what has
// waited too long is forgotten, too.
func (h *heard) takePaces(now time.Time, mine func(id string) bool) (list []reservation.PaceWord) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, id := range slices.Sorted(maps.Keys(h.words)) {
		word := h.words[id]
		age := now.Sub(word.at)
		switch {
		case age > wordLife:
			delete(h.words, id)
		case mine(id) && len(list) < reservation.MaximumPaceWords:
			list = append(list, reservation.PaceWord{Worker: id, Pace: word.pace, Age: age})
			delete(h.words, id)
		}
	}
	return list
}

// ended notes how a request ended at a worker.
func (h *heard) ended(now time.Time, id string, broken bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.outcomes == nil {
		h.outcomes = map[string]outcomesSince{}
	}
	outcomes, known := h.outcomes[id]
	if !known && len(h.outcomes) >= mostWords {
		return
	}
	if !known || now.Sub(outcomes.since) > wordLife {
		outcomes = outcomesSince{since: now}
	}
	if broken {
		outcomes.Broken++
	} else {
		outcomes.Whole++
	}
	h.outcomes[id] = outcomes
}

// takeOutcomes gives the outcomes at workers for which mine is true, and forgets them;
// what has waited too long is forgotten, too.
func (h *heard) takeOutcomes(now time.Time, mine func(id string) bool) map[string]worker.Outcomes {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	taken := map[string]worker.Outcomes{}
	for _, id := range slices.Sorted(maps.Keys(h.outcomes)) {
		outcomes := h.outcomes[id]
		switch {
		case now.Sub(outcomes.since) > wordLife:
			delete(h.outcomes, id)
		case mine(id) && len(taken) < reservation.MaximumPaceWords:
			taken[id] = outcomes.Outcomes
			delete(h.outcomes, id)
		}
	}
	return taken
}

// leastEvents of a stream are needed to tell the time between two.
const leastEvents = 5

// step notes the mean time between two events of a stream that has ended.
func (h *heard) step(now time.Time, id string, events int, took time.Duration) {
	if events < leastEvents || took <= 0 {
		return
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.steps = slices.DeleteFunc(h.steps, func(s stepSince) bool { return now.Sub(s.since) > wordLife })
	if len(h.steps) < mostWords {
		h.steps = append(h.steps, stepSince{now, reservation.StepWord{Worker: id, Step: took / time.Duration(events-1)}})
	}
}

// takeSteps gives the steps of workers for which mine is true, and forgets them.
func (h *heard) takeSteps(now time.Time, mine func(id string) bool) (list []reservation.StepWord) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.steps = slices.DeleteFunc(h.steps, func(s stepSince) bool {
		old := now.Sub(s.since) > wordLife
		if old || !mine(s.Worker) || len(list) == reservation.MaximumPaceWords {
			return old
		}
		list = append(list, s.StepWord)
		return true
	})
	return list
}

// tells is what an attempt's end tells of its worker: that it broke, or did not, or
// nothing. A worker that is full tells nothing; a failure that it calls the request's
// own is an answer.
func (r attemptResult) tells() (broken, ok bool) {
	switch r.verdict {
	case done:
		return false, true
	case refused:
		status := r.failed.Response.StatusCode
		return status >= http.StatusInternalServerError || status < http.StatusBadRequest, true
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
		x.frontend.places.heard.ended(time.Now(), ticket.Worker.ID, broken)
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
