package frontend

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/reservation"
	"github.com/dykewing/dykewing/worker"
)

// buildReport returns the number of this frontend's requests at the workers of a
// leader, the newest grant included in it, and the pending observations.
func (r *reservations) buildReport(peer api.Node) reservation.Report {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	state := r.leader(peer.ID)
	state.reportPending, state.reportedAt = false, time.Now()
	r.sequence++
	report := reservation.Report{Node: r.self, Sequence: r.sequence, LastGrant: state.lastGrant, InFlight: map[string]int{}}
	for w, n := range r.inFlight {
		if other, ok := r.leaderOf(w.ID); !ok || other.ID != peer.ID {
			continue
		}
		if current, ok := r.pool.CurrentIncarnation(w.ID); ok && current != w {
			continue // the worker has restarted
		}
		report.Add(w, n)
	}
	filter := func(id string) bool {
		other, ok := r.leaderOf(id)
		return ok && other.ID == peer.ID
	}
	report.Observations = r.observations.drain(state.reportedAt, filter)
	return report
}

// requestEnded notes that a request has left a worker and schedules a report to the
// worker's leader: at once if requests are queued there, else after reportDelay.
func (r *reservations) requestEnded(w worker.Incarnation) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.inFlight[w]--; r.inFlight[w] <= 0 {
		delete(r.inFlight, w)
	}
	peer, ok := r.leaderOf(w.ID)
	if !ok {
		return
	}
	state := r.leader(peer.ID)
	if state.reportPending {
		return
	}
	state.reportPending = true
	delay := reportDelay
	if state.queued > 0 {
		delay = 0
	}
	time.AfterFunc(delay, func() { r.sendPendingReport(peer) })
}

// sendPendingReport sends a report to a leader unless another message has carried it.
func (r *reservations) sendPendingReport(peer api.Node) {
	r.mutex.Lock()
	due := r.leader(peer.ID).reportPending
	r.mutex.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), reservationTimeout)
	defer cancel()
	if _, err := r.send(ctx, peer, nil); err != nil {
		r.metrics.reservations.WithLabelValues("unreported").Inc()
		r.log.WithFields(logrus.Fields{"event": "places_not_told", "peer": peer.ID}).WithError(err).Debug("Report to a leader failed; the next message will include its requests.")
	}
}

// run reports in-flight requests every reportInterval until ctx is cancelled.
func (r *reservations) run(ctx context.Context) {
	defer r.client.CloseIdleConnections()
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for _, peer := range r.staleLeaders(time.Now()) {
			go r.sendPendingReport(peer)
		}
	}
}

// staleLeaders returns the leaders of workers with requests in flight that were last
// sent a report at least reportInterval ago, and marks a report as pending for each.
func (r *reservations) staleLeaders(now time.Time) (list []api.Node) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for w := range r.inFlight {
		peer, ok := r.leaderOf(w.ID)
		if !ok {
			continue
		}
		if state := r.leader(peer.ID); now.Sub(state.reportedAt) >= reportInterval && !state.reportPending {
			state.reportPending = true
			list = append(list, peer)
		}
	}
	return list
}
