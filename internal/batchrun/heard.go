package batchrun

import (
	"maps"
	"time"

	"github.com/prometheus/client_golang/prometheus"
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

// heard is what was told, and to whom, of what this process believes of the workers that
// it fills by the words of all frontends: each of them hears a worker rarely. What is
// believed itself is in the pool. The mutex of places guards it; the zero value is empty.
type heard struct {
	logged map[string]paceLogged // by worker
	slow   map[string]bool       // workers logged as far slower than expected
	turn   int                   // of the worker that the next answer tells first
}

type paceLogged struct {
	at   time.Time
	slow float64
}

// hear takes what a frontend heard of the workers that this process fills. A word of
// another start than the listed one says nothing of it. The mutex is held.
func (p *places) hear(now time.Time, leaders []*Leader, report reservation.Report) {
	for _, word := range report.Heard[:min(len(report.Heard), reservation.MaximumWords)] {
		current, listed := p.service.pool.Current(word.Worker)
		if !listed || !filled(leaders, word.Worker) || !word.Born.IsZero() && !current.Born.IsZero() && !word.Born.Equal(current.Born) {
			continue
		}
		p.service.metrics.heard.words.Inc()
		if word.PaceAge >= 0 && word.PaceAge <= oldestPaceWord {
			p.service.pool.TellPace(now.Add(-word.PaceAge), word.Worker, word.Pace)
		}
		if word.Streams > 0 {
			p.observe(word, report.Node)
		}
		p.service.judge(word.Worker, report.Node, word.Outcomes)
	}
}

// mostStreams of one word are counted: more than a frontend sees end at one worker
// between two of its messages.
const mostStreams = 16

// observe takes the observed time of streams, and logs where it changes what is believed
// of a worker.
func (p *places) observe(word reservation.Word, by api.NodeID) {
	for range min(word.Streams, mostStreams) {
		p.service.pool.ObserveStep(word.Worker, word.Step)
	}
	slowness := p.service.pool.Slowness(word.Worker)
	if slowness > 1 == p.heard.slow[word.Worker] {
		return
	}
	if p.heard.slow == nil {
		p.heard.slow = map[string]bool{}
	}
	maps.DeleteFunc(p.heard.slow, func(id string, _ bool) bool { return p.service.pool.Slowness(id) == 1 })
	if slowness > 1 {
		p.heard.slow[word.Worker] = true
	}
	p.service.log.WithFields(logrus.Fields{
		"event": "worker_slow", "worker": word.Worker, "peer": by, "slowness": slowness, "step_ms": word.Step.Milliseconds(),
	}).Info("Streams from a worker take far longer than its word and its peers let expect, or (1) no longer do.")
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
		s.metrics.heard.leftOut.Inc()
	}
	s.log.WithFields(logrus.Fields{
		"event": event, "worker": id, "peer": by, "pause_ms": judgement.Pause.Milliseconds(),
		"whole": judgement.Whole, "broken": judgement.Broken, "peers_broken_share": judgement.Peers,
	}).Info(text)
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
	workers := p.service.pool.Workers(service, groupsOf(leaders)...)
	for range workers {
		p.heard.turn++
		id := workers[p.heard.turn%len(workers)].ID
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
	last, known := p.heard.logged[id]
	if known && (now.Sub(last.at) < paceLineInterval || pace.Slow < last.slow*paceChange && last.slow < pace.Slow*paceChange) {
		return
	}
	if p.heard.logged == nil {
		p.heard.logged = map[string]paceLogged{}
	}
	if !known {
		maps.DeleteFunc(p.heard.logged, func(id string, _ paceLogged) bool {
			_, known := p.service.pool.PaceOf(id)
			return !known
		})
	}
	p.heard.logged[id] = paceLogged{at: now, slow: pace.Slow}
	p.service.log.WithFields(logrus.Fields{
		"event": "worker_pace", "worker": id, "service": service, "pace": pace.Slow, "before": last.slow,
		"pace_age_ms": pace.Age.Milliseconds(), "pace_source": pace.Source,
	}).Info("A worker's machine has another pace than was believed.")
}

// heardMetrics are of what is heard of workers, and what is chosen by it.
type heardMetrics struct {
	leftOut   prometheus.Counter   // times that a worker was left out by its outcomes
	words     prometheus.Counter   // of workers, by frontends
	placePace prometheus.Histogram // expected at the places that were given
}

func newHeardMetrics(registry prometheus.Registerer) *heardMetrics {
	m := &heardMetrics{
		leftOut: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dykewing_batch_workers_left_out_total", Help: "Times that a worker was left out since it failed more than its peers.",
		}),
		words: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dykewing_batch_worker_words_total", Help: "Words of frontends on what they heard of a worker: its pace, its streams' time, how requests ended.",
		}),
		placePace: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "dykewing_batch_place_pace", Help: "Pace expected of the workers where places were given, a multiple of the usual time.",
			Buckets: []float64{0.5, 0.75, 1, 1.25, 1.5, 2, 3, 4, 6},
		}),
	}
	registry.MustRegister(m.leftOut, m.words, m.placePace)
	return m
}
