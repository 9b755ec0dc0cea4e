package batchrun

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/reservation"
	"github.com/dykewing/dykewing/worker"
)

const (
	// oldestPaceWord is the age from which a word of a worker's pace is not taken: the
	// moment of which it tells is long over, and a frontend keeps none as long.
	oldestPaceWord = 5 * time.Second
	// pacesPerAnswer are told with an answer for a place, in turn: about 250 bytes. A
	// frontend asks each leader a few times a second.
	pacesPerAnswer = 8
	// paceChange is by what factor the believed pace of a worker's machine has to differ
	// from the one that was logged last to be worth a line.
	paceChange = 1.3
	// paceLineInterval is the shortest time between two such lines of one worker.
	paceLineInterval = 5 * time.Second
)

// pacesGathered are the paces of the workers that this process fills, from the words
// that all frontends heard there: each of them hears a worker rarely. What is believed
// itself is in the pool; here is what was told of it, and to whom. The mutex of places
// guards it; the zero value is empty.
type pacesGathered struct {
	logged map[string]paceLogged // by worker
	turn   int                   // of the worker that the next answer tells first
	slow   map[string]bool       // workers logged as far slower than expected
}

type paceLogged struct {
	at   time.Time
	slow float64
}

// takePaces takes the words of a frontend's report. The mutex is held.
func (p *places) takePaces(now time.Time, leaders []*Leader, report reservation.Report) {
	heard := false
	for _, word := range report.Paces[:min(len(report.Paces), reservation.MaximumPaceWords)] {
		if word.Age < 0 || word.Age > oldestPaceWord || !filled(leaders, word.Worker) {
			continue
		}
		p.service.pool.TellPace(now.Add(-word.Age), word.Worker, word.Pace)
		heard = true
	}
	if heard {
		p.service.metrics.paceWords.Add(float64(len(report.Paces)))
	}
}

// takeOutcomes takes how requests ended at workers, by a frontend's report.
func (p *places) takeOutcomes(leaders []*Leader, report reservation.Report) {
	ids := slices.Sorted(maps.Keys(report.Outcomes))
	for _, id := range ids[:min(len(ids), reservation.MaximumPaceWords)] {
		if filled(leaders, id) {
			p.service.judge(id, report.Node, report.Outcomes[id])
		}
	}
}

// judge takes outcomes at a worker, and logs when it is left out or back by them.
func (s *Service) judge(id string, by api.NodeID, outcomes worker.Outcomes) {
	judgement, changed := s.pool.TakeOutcomes(id, outcomes)
	if !changed {
		return
	}
	event, text := "worker_back", "A worker has answered its trial; it gets requests again."
	if judgement.Out {
		event, text = "worker_left_out", "A worker fails more than its peers; it gets nothing for a while, then a trial."
		s.metrics.leftOut.Inc()
	}
	s.log.WithFields(logrus.Fields{
		"event": event, "worker": id, "peer": by, "pause_ms": judgement.Pause.Milliseconds(),
		"whole": judgement.Whole, "broken": judgement.Broken, "peers_broken_share": judgement.Peers,
	}).Info(text)
}

// takeSteps takes the observed times of streams, by a frontend's report, and logs where
// they change what is believed of a worker.
func (p *places) takeSteps(leaders []*Leader, report reservation.Report) {
	for _, word := range report.Steps[:min(len(report.Steps), reservation.MaximumPaceWords)] {
		if !filled(leaders, word.Worker) {
			continue
		}
		p.service.pool.ObserveStep(word.Worker, word.Step)
		slowness := p.service.pool.Slowness(word.Worker)
		if slowness > 1 == p.paces.slow[word.Worker] {
			continue
		}
		if p.paces.slow == nil {
			p.paces.slow = map[string]bool{}
		}
		maps.DeleteFunc(p.paces.slow, func(id string, _ bool) bool { return p.service.pool.Slowness(id) == 1 })
		if slowness > 1 {
			p.paces.slow[word.Worker] = true
		}
		p.service.log.WithFields(logrus.Fields{
			"event": "worker_slow", "worker": word.Worker, "peer": report.Node, "slowness": slowness, "step_ms": word.Step.Milliseconds(),
		}).Info("Streams from a worker take far longer than its word and its peers let expect, or (1) no longer do.")
	}
}

// answerPaces are told with an answer for a place.
func (p *places) answerPaces(leaders []*Leader, service string) map[string]float64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.tellPaces(time.Now(), leaders, service)
}

// tellPaces gives the paces of some workers of a service that this process fills, in
// turn, for a frontend to choose by. The mutex is held.
func (p *places) tellPaces(now time.Time, leaders []*Leader, service string) map[string]float64 {
	if !p.service.pool.Paced(service) {
		return nil
	}
	told := map[string]float64{}
	workers := p.service.pool.Workers(service)
	for range workers {
		p.paces.turn++
		id := workers[p.paces.turn%len(workers)].ID
		if !filled(leaders, id) {
			continue
		}
		if pace, known := p.service.pool.PaceOf(id); known {
			told[id] = pace.Slow
			p.notePace(now, service, id, pace)
		}
		if len(told) == pacesPerAnswer {
			break
		}
	}
	return told
}

// notePace logs what is believed of a worker's machine when it has changed.
func (p *places) notePace(now time.Time, service, id string, pace worker.Pace) {
	last, known := p.paces.logged[id]
	if known && (now.Sub(last.at) < paceLineInterval || pace.Slow < last.slow*paceChange && last.slow < pace.Slow*paceChange) {
		return
	}
	if p.paces.logged == nil {
		p.paces.logged = map[string]paceLogged{}
	}
	if !known {
		maps.DeleteFunc(p.paces.logged, func(id string, _ paceLogged) bool {
			_, known := p.service.pool.PaceOf(id)
			return !known
		})
	}
	p.paces.logged[id] = paceLogged{at: now, slow: pace.Slow}
	p.service.log.WithFields(logrus.Fields{
		"event": "worker_pace", "worker": id, "service": service, "pace": pace.Slow, "before": last.slow,
		"pace_age_ms": pace.Age.Milliseconds(), "pace_source": pace.Source,
	}).Info("A worker's machine has another pace than was believed.")
}
