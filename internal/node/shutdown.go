package node

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/membership"
)

// Durations of the phases of a graceful shutdown, in heartbeat intervals.
const (
	maxAnnounceIntervals = 3  // for all live members to acknowledge
	minObserveIntervals  = 3  // for observers, which poll every other interval, to notice
	quietIntervals       = 1  // without new requests before connections close
	maxDrainIntervals    = 15 // for the two phases above
	drainPollInterval    = 10 * time.Millisecond
)

// ErrKilled reports that a second signal stopped the process while requests were still
// in flight.
var ErrKilled = errors.New("stopped by a second signal before all requests had finished")

// dataPaths are the path prefixes of data path requests to this node.
var dataPaths = []string{api.PathRequests, api.PathResumes, api.PathGroups}

// BeginLeaving starts draining: readiness fails, peers are notified at once, and the
// OnLeave callbacks are called. Further calls do nothing.
func (n *Node) BeginLeaving() {
	if n.leaving.Swap(true) {
		return
	}
	n.Logger("node").Info("Leaving: notifying peers.")
	n.ReportNow()
	n.mutex.Lock()
	callbacks := n.onLeave
	n.mutex.Unlock()
	for _, callback := range callbacks {
		callback()
	}
}

// OnLeave adds a callback that is called once when a graceful shutdown begins; it must
// not block.
func (n *Node) OnLeave(callback func()) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.onLeave = append(n.onLeave, callback)
}

// trackRequests records the arrival of data path requests. Once the node leaves, it closes
// each connection with the response: closing an idle connection could lose a request that
// is being written to it.
func (n *Node) trackRequests(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if isDataPath(r.URL.Path) {
			n.lastRequest.Store(time.Now().UnixNano())
			n.connections.recordRequest(r)
		}
		if n.Leaving() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

// isDataPath excludes messages between replicas, which continue for as long as a replica is a
// member.
func isDataPath(path string) bool {
	if path == api.PathGroups+"messages" {
		return false
	}
	for _, prefix := range dataPaths {
		if strings.HasPrefix(path, prefix) {
			return true
		}
	}
	return false
}

// stop shuts down gracefully: it announces that the node leaves, waits until no new
// requests arrive, finishes those in flight, and reports that the node has stopped.
func (n *Node) stop(kill context.Context, stopBackground func()) error {
	began := time.Now()
	n.BeginLeaving()
	deadline, cancel := context.WithTimeout(kill, n.Settings.Node.ShutdownTimeout())
	defer cancel()
	if n.Role != api.RoleSidecar && n.Role != api.RoleFrontend && kill.Err() == nil {
		n.awaitAcknowledged(deadline)
		n.awaitDrained(deadline)
	}
	n.logDrain(began)
	err := n.server.Shutdown(deadline)
	if err != nil {
		n.server.Close()
	}
	n.shutdown(stopBackground)
	n.Logger("node").Infof("Stopped after %v.", time.Since(began).Round(time.Millisecond))
	switch {
	case err == nil:
		return nil
	case kill.Err() != nil:
		return ErrKilled
	}
	return fmt.Errorf("graceful shutdown: requests still in flight after %v: %w", n.Settings.Node.StopTimeout, err)
}

// shutdown stops the background goroutines and reports to peers that the node has stopped.
func (n *Node) shutdown(stopBackground func()) {
	n.shutdownOnce.Do(func() {
		stopBackground()
		n.background.Wait()
		n.membership.Tell(membership.Stopped{})
		n.membership.Stop()
		n.replica.Stop()
		n.sends.Wait()
		n.gossip.CloseIdleConnections()
		n.Control.CloseIdleConnections()
	})
}

// awaitAcknowledged waits until every live member has acknowledged that the node leaves.
func (n *Node) awaitAcknowledged(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxAnnounceIntervals*n.Settings.Membership.Interval)
	defer cancel()
	n.reportSelf()
	n.poll(ctx, func() bool {
		pending := 0
		err := n.membership.Inspect(func() { pending = n.machine.PendingLeaveAcks() })
		return err != nil || pending == 0
	})
}

// awaitDrained gives observers time to notice that the node leaves and then waits until no
// request has arrived for an interval. A router also waits until its callers have closed
// their connections, which they do once they notice: a caller that is short of CPU time may
// notice later than any fixed delay.
func (n *Node) awaitDrained(ctx context.Context) {
	interval := n.Settings.Membership.Interval
	ctx, cancel := context.WithTimeout(ctx, maxDrainIntervals*interval)
	defer cancel()
	earliest := time.Now().Add(minObserveIntervals * interval)
	n.poll(ctx, func() bool {
		now := time.Now()
		quiet := now.Sub(time.Unix(0, n.lastRequest.Load())) >= quietIntervals*interval
		closed := n.Role != api.RoleRouter || n.connections.count() == 0
		return quiet && closed && now.After(earliest)
	})
}

func (n *Node) poll(ctx context.Context, done func() bool) {
	for !done() {
		select {
		case <-time.After(drainPollInterval):
		case <-ctx.Done():
			return
		}
	}
}

func (n *Node) logDrain(began time.Time) {
	if open := n.connections.count(); n.Role == api.RoleRouter && open > 0 {
		n.Logger("node").Warnf("Leaving: %d client connections are still open.", open)
	}
	last := n.LastRequest()
	if last.Before(began) {
		n.Logger("node").Info("Leaving: no requests arrived after the announcement.")
		return
	}
	n.Logger("node").Infof("Leaving: the last request arrived %v after the announcement.", last.Sub(began).Round(time.Millisecond))
}

// LastRequest returns the arrival time of the latest data path request.
func (n *Node) LastRequest() time.Time { return time.Unix(0, n.lastRequest.Load()) }
