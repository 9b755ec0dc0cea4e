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
	// maxPaceAge is the age of the oldest pace that is used. Frontends do not keep one that long.
	maxPaceAge = 5 * time.Second
	// pacesPerAnswer limits the paces in one answer, to about 250 bytes; successive answers rotate
	// through the workers.
	pacesPerAnswer = 8
	// paceLogRatio is the factor by which a worker's pace must differ from the last logged one to be
	// logged.
	paceLogRatio = 1.3
	// paceLogInterval is the shortest time between two such log lines of one worker.
	paceLogInterval = 5 * time.Second
)

// observationLog is the state of logging and sharing what frontends observe of this process's
// workers. The observations themselves are in the pool. The mutex of slotBroker guards it; the
// zero value is empty.
type observationLog struct {
	logged   map[string]loggedPace // by worker
	slow     map[string]bool       // workers last logged as slow
	nextPace int                   // position in the rotation of answers
}

type loggedPace struct {
	at   time.Time
	slow float64
}

// applyObservations processes a frontend's observations of this process's workers. Observations of
// another incarnation than the listed one are ignored. The caller holds the mutex.
func (b *slotBroker) applyObservations(now time.Time, leaders []*Leader, report reservation.Report) {
	for _, observation := range report.Observations[:min(len(report.Observations), reservation.MaxObservations)] {
		current, listed := b.service.pool.CurrentIncarnation(observation.Worker)
		if !listed || !ownedByAny(leaders, observation.Worker) || !observation.StartedAt.IsZero() && !current.StartedAt.IsZero() && !observation.StartedAt.Equal(current.StartedAt) {
			continue
		}
		b.service.metrics.workers.observations.Inc()
		if observation.PaceAge >= 0 && observation.PaceAge <= maxPaceAge {
			b.service.pool.RecordPace(now.Add(-observation.PaceAge), observation.Worker, observation.Pace)
		}
		if observation.Streams > 0 {
			b.observeStreams(observation, report.Node)
		}
		b.service.recordOutcomes(observation.Worker, report.Node, observation.Outcomes)
	}
}

// maxStreams limits how many streams of one observation count. It exceeds what a frontend sees end
// at one worker between two messages.
const maxStreams = 16

// observeStreams records the step time of streams and logs when a worker becomes slow or recovers.
func (b *slotBroker) observeStreams(observation reservation.Observation, by api.NodeID) {
	for range min(observation.Streams, maxStreams) {
		b.service.pool.RecordEventInterval(observation.Worker, observation.EventInterval)
	}
	slowness := b.service.pool.Slowness(observation.Worker)
	if slowness > 1 == b.observationLog.slow[observation.Worker] {
		return
	}
	if b.observationLog.slow == nil {
		b.observationLog.slow = map[string]bool{}
	}
	maps.DeleteFunc(b.observationLog.slow, func(id string, _ bool) bool { return b.service.pool.Slowness(id) == 1 })
	if slowness > 1 {
		b.observationLog.slow[observation.Worker] = true
	}
	b.service.log.WithFields(logrus.Fields{
		"event": "worker_slow", "worker": observation.Worker, "peer": by, "slowness": slowness, "step_ms": observation.EventInterval.Milliseconds(),
	}).Info("Worker's streams became much slower than its reported pace and its peers suggest, or recovered (slowness 1).")
}

// recordOutcomes records outcomes of requests at a worker and logs when it is ejected as an
// outlier or readmitted.
func (s *Service) recordOutcomes(id string, by api.NodeID, outcomes worker.Outcomes) {
	judgement, changed := s.pool.RecordOutcomes(id, outcomes)
	if !changed {
		return
	}
	event, text := "worker_back", "Worker answered its probe and was readmitted."
	if judgement.Ejected {
		event, text = "worker_left_out", "Worker fails more often than its peers; ejected until a probe."
		s.metrics.workers.ejections.Inc()
	}
	s.log.WithFields(logrus.Fields{
		"event": event, "worker": id, "peer": by, "pause_ms": judgement.Duration.Milliseconds(),
		"whole": judgement.Succeeded, "broken": judgement.Failed, "peers_broken_share": judgement.PeerFailureRate,
	}).Info(text)
}

// pacesForAnswer is nextPaces for callers that do not hold the mutex.
func (b *slotBroker) pacesForAnswer(leaders []*Leader, service string) map[string]float64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.nextPaces(time.Now(), leaders, service)
}

// nextPaces returns the paces of the next workers of a service, in rotation, for a frontend to
// choose by. The caller holds the mutex.
func (b *slotBroker) nextPaces(now time.Time, leaders []*Leader, service string) map[string]float64 {
	if !b.service.pool.PaceKnown(service) {
		return nil
	}
	paces := map[string]float64{}
	workers := b.service.pool.Workers(service, groupsOf(leaders)...)
	for range workers {
		b.observationLog.nextPace++
		id := workers[b.observationLog.nextPace%len(workers)].ID
		if pace, known := b.service.pool.PaceOf(id); known {
			paces[id] = pace.Stable
			b.logPace(now, service, id, pace)
		}
		if len(paces) == pacesPerAnswer {
			break
		}
	}
	return paces
}

// logPace logs a worker's pace when it has changed.
func (b *slotBroker) logPace(now time.Time, service, id string, pace worker.Pace) {
	last, known := b.observationLog.logged[id]
	if known && (now.Sub(last.at) < paceLogInterval || pace.Stable < last.slow*paceLogRatio && last.slow < pace.Stable*paceLogRatio) {
		return
	}
	if b.observationLog.logged == nil {
		b.observationLog.logged = map[string]loggedPace{}
	}
	if !known {
		maps.DeleteFunc(b.observationLog.logged, func(id string, _ loggedPace) bool {
			_, known := b.service.pool.PaceOf(id)
			return !known
		})
	}
	b.observationLog.logged[id] = loggedPace{at: now, slow: pace.Stable}
	b.service.log.WithFields(logrus.Fields{
		"event": "worker_pace", "worker": id, "service": service, "pace": pace.Stable, "before": last.slow,
		"pace_age_ms": pace.Age.Milliseconds(), "pace_source": pace.Source,
	}).Info("Worker pace changed.")
}

// workerMetrics are metrics of observations of workers and of choices by them.
type workerMetrics struct {
	ejections    prometheus.Counter   // outlier ejections
	observations prometheus.Counter   // observations received from frontends
	placePace    prometheus.Histogram // pace expected of the chosen workers
}

func newWorkerMetrics(registry prometheus.Registerer) *workerMetrics {
	m := &workerMetrics{
		ejections: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dykewing_batch_workers_left_out_total", Help: "Times that a worker was left out since it failed more than its peers.",
		}),
		observations: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dykewing_batch_worker_words_total", Help: "Words of frontends on what they heard of a worker: its pace, its streams' time, how requests ended.",
		}),
		placePace: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "dykewing_batch_place_pace", Help: "Pace expected of the workers where places were given, a multiple of the usual time.",
			Buckets: []float64{0.5, 0.75, 1, 1.25, 1.5, 2, 3, 4, 6},
		}),
	}
	registry.MustRegister(m.ejections, m.observations, m.placePace)
	return m
}
