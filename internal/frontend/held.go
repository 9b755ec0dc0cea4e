package frontend

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/reservation"
	"github.com/dykewing/dykewing/worker"
)

// report is what is held at a leader's workers, with the newest place that it counts.
func (p *places) report(peer api.Node) reservation.Report {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known := p.state(peer.ID)
	known.dirty, known.toldAt = false, time.Now()
	p.sequence++
	report := reservation.Report{Node: p.self, Sequence: p.sequence, Seen: known.seen, Held: map[string]int{}}
	for w, n := range p.held {
		if other, ok := p.leaderOf(w.ID); !ok || other.ID != peer.ID {
			continue
		}
		if current, ok := p.pool.Current(w.ID); ok && current != w {
			continue // it has started again since
		}
		report.Add(w, n)
	}
	mine := func(id string) bool {
		other, ok := p.leaderOf(id)
		return ok && other.ID == peer.ID
	}
	report.Heard = p.heard.take(known.toldAt, mine)
	return report
}

// ended lets a worker's leader know soon that a request has left it: at once while
// others wait there.
func (p *places) ended(w worker.Incarnation) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.held[w]--; p.held[w] <= 0 {
		delete(p.held, w)
	}
	peer, ok := p.leaderOf(w.ID)
	if !ok {
		return
	}
	known := p.state(peer.ID)
	if known.dirty {
		return
	}
	known.dirty = true
	delay := releaseDelay
	if known.waiting > 0 {
		delay = 0
	}
	time.AfterFunc(delay, func() { p.release(peer) })
}

// release tells a leader what is held unless a question has done so.
func (p *places) release(peer api.Node) {
	p.mutex.Lock()
	due := p.state(peer.ID).dirty
	p.mutex.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), placeTimeout)
	defer cancel()
	if _, err := p.send(ctx, peer, nil); err != nil {
		p.metrics.places.WithLabelValues("unreported").Inc()
		p.log.WithFields(logrus.Fields{"event": "places_not_told", "peer": peer.ID}).WithError(err).Debug("A leader was not told of requests that ended; the next message tells.")
	}
}

// run reports what is held while nothing changes, until ctx ends.
func (p *places) run(ctx context.Context) {
	defer p.client.CloseIdleConnections()
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for _, peer := range p.stale(time.Now()) {
			go p.release(peer)
		}
	}
}

// stale lists the leaders of workers where something is held that have not been told
// for a while, and lets a report be due.
func (p *places) stale(now time.Time) (list []api.Node) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for w := range p.held {
		peer, ok := p.leaderOf(w.ID)
		if !ok {
			continue
		}
		if known := p.state(peer.ID); now.Sub(known.toldAt) >= refreshInterval && !known.dirty {
			known.dirty = true
			list = append(list, peer)
		}
	}
	return list
}
