package frontend

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/internal/backend"
	"github.com/dykewing/dykewing/reservation"
	"github.com/dykewing/dykewing/worker"
)

// paceWordLife is how long a worker's word of its pace waits for a message to the
// leader that gives places there. It is of one moment; a few tenths of a second later
// the leader has heard newer ones from others.
const paceWordLife = time.Second

// mostPaceWords wait at once: more workers than a frontend hears in paceWordLife.
const mostPaceWords = 1024

// paces keeps the newest word of its pace that each worker has told and its leader has
// not been sent. The zero value is empty.
type paces struct {
	mutex sync.Mutex // guards all below
	words map[string]paceWord
}

type paceWord struct {
	at   time.Time
	pace float64
}

// note takes a load that a worker told with an answer.
func (p *paces) note(now time.Time, id string, load worker.Load) {
	if load.Pace <= 0 {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.words == nil {
		p.words = map[string]paceWord{}
	}
	if len(p.words) >= mostPaceWords {
		maps.DeleteFunc(p.words, func(_ string, word paceWord) bool { return now.Sub(word.at) > paceWordLife })
	}
	if len(p.words) >= mostPaceWords {
		return
	}
	p.words[id] = paceWord{at: now, pace: load.Pace}
}

// take gives the words of workers for which mine is true, and forgets them; what has
// waited too long is forgotten, too.
func (p *paces) take(now time.Time, mine func(id string) bool) (list []reservation.PaceWord) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, id := range slices.Sorted(maps.Keys(p.words)) {
		word := p.words[id]
		age := now.Sub(word.at)
		switch {
		case age > paceWordLife:
			delete(p.words, id)
		case mine(id) && len(list) < reservation.MaximumPaceWords:
			list = append(list, reservation.PaceWord{Worker: id, Pace: word.pace, Age: age})
			delete(p.words, id)
		}
	}
	return list
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
