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

// The phases of a planned stop, in heartbeat intervals.
const (
	announceIntervals = 3  // at most, until every live member has confirmed
	observeIntervals  = 3  // until observers, who ask every other interval, have seen it
	quietIntervals    = 1  // without new work before connections close
	drainIntervals    = 15 // at most, for the two phases above
	drainPoll         = 10 * time.Millisecond
)

// ErrKilled says that a second signal ended the process before its requests.
var ErrKilled = errors.New("ended by a second signal before all requests had finished")

// workPaths are of requests that others place on this node.
var workPaths = []string{api.PathRequests, api.PathResumes, api.PathGroups}

// BeginLeaving announces that the node takes nothing new: readiness fails,
// peers are told at once, and OnLeave is called. Further calls do nothing.
func (n *Node) BeginLeaving() {
	if n.leaving.Swap(true) {
		return
	}
	n.Logger("node").Info("Leaving: telling peers.")
	n.ReportNow()
	n.mutex.Lock()
	callbacks := n.onLeave
	n.mutex.Unlock()
	for _, callback := range callbacks {
		callback()
	}
}

// OnLeave is called once when a planned stop begins; it must not block.
func (n *Node) OnLeave(callback func()) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.onLeave = append(n.onLeave, callback)
}

// drainable notes when work comes, and ends connections with their answers once
// the node leaves: a connection that is closed while idle could lose a request
// that is just being written to it.
func (n *Node) drainable(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if isWork(r.URL.Path) {
			n.lastWork.Store(time.Now().UnixNano())
			n.callers.worked(r)
		}
		if n.Leaving() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

// isWork leaves out the messages of replicas to each other: they go on for as
// long as a replica is a member.
func isWork(path string) bool {
	if path == api.PathGroups+"messages" {
		return false
	}
	for _, prefix := range workPaths {
		if strings.HasPrefix(path, prefix) {
			return true
		}
	}
	return false
}

// stop is the planned stop: tell, wait until nobody sends any more, finish what
// runs, tell that the node is gone.
func (n *Node) stop(kill context.Context, stopBackground func()) error {
	began := time.Now()
	n.BeginLeaving()
	deadline, cancel := context.WithTimeout(kill, n.Settings.Node.StopWithin())
	defer cancel()
	if n.Role != api.RoleSidecar && n.Role != api.RoleFrontend && kill.Err() == nil {
		n.awaitAnnounced(deadline)
		n.awaitQuiet(deadline)
	}
	n.logQuiet(began)
	err := n.server.Shutdown(deadline)
	if err != nil {
		n.server.Close()
	}
	n.end(stopBackground)
	n.Logger("node").Infof("Stopped after %v.", time.Since(began).Round(time.Millisecond))
	switch {
	case err == nil:
		return nil
	case kill.Err() != nil:
		return ErrKilled
	}
	return fmt.Errorf("planned stop: requests still ran after %v: %w", n.Settings.Node.StopTimeout, err)
}

// end stops all that runs in the background and says good-bye.
func (n *Node) end(stopBackground func()) {
	n.finished.Do(func() {
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

// awaitAnnounced waits until every live member has confirmed the leaving mark.
func (n *Node) awaitAnnounced(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, announceIntervals*n.Settings.Membership.Interval)
	defer cancel()
	n.reportSelf()
	n.poll(ctx, func() bool {
		pending := 0
		err := n.membership.Inspect(func() { pending = n.machine.LeavePending() })
		return err != nil || pending == 0
	})
}

// awaitQuiet gives observers the time to see the mark and then waits until no
// work has come for an interval. A router waits besides until its callers, who close what
// they keep to it once they know the mark, have done so: observers confirm nothing else, and
// one that is short of processor time learns the mark later than any fixed time.
func (n *Node) awaitQuiet(ctx context.Context) {
	interval := n.Settings.Membership.Interval
	ctx, cancel := context.WithTimeout(ctx, drainIntervals*interval)
	defer cancel()
	earliest := time.Now().Add(observeIntervals * interval)
	n.poll(ctx, func() bool {
		now := time.Now()
		quiet := now.Sub(time.Unix(0, n.lastWork.Load())) >= quietIntervals*interval
		left := n.Role != api.RoleRouter || n.callers.count() == 0
		return quiet && left && now.After(earliest)
	})
}

func (n *Node) poll(ctx context.Context, done func() bool) {
	for !done() {
		select {
		case <-time.After(drainPoll):
		case <-ctx.Done():
			return
		}
	}
}

func (n *Node) logQuiet(began time.Time) {
	if open := n.callers.count(); n.Role == api.RoleRouter && open > 0 {
		n.Logger("node").Warnf("Leaving: %d connections of callers are still open.", open)
	}
	last := n.LastWork()
	if last.Before(began) {
		n.Logger("node").Info("Leaving: no request came after the announcement.")
		return
	}
	n.Logger("node").Infof("Leaving: the last new request came %v after the announcement.", last.Sub(began).Round(time.Millisecond))
}

// LastWork is when a request of the data path last came.
func (n *Node) LastWork() time.Time { return time.Unix(0, n.lastWork.Load()) }
