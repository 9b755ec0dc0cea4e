package node

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/clock"
	"github.com/dykewing/dykewing/membership"
)

// heartbeat periodically reports the node's state to membership and ticks it.
func (n *Node) heartbeat(ctx context.Context) {
	ticker := time.NewTicker(n.Settings.Membership.Interval)
	defer ticker.Stop()
	gap := clock.NewSuspendDetector()
	n.reportSelf()
	n.membership.Tell(membership.Tick{})
	for {
		select {
		case <-ticker.C:
			n.handleSuspension(gap.TakeSuspended())
			n.reportSelf()
			n.membership.Tell(membership.Tick{})
		case <-n.reportNow:
			n.reportSelf()
		case <-ctx.Done():
			return
		}
	}
}

// minSuspension is the shortest suspension of the machine that is reported.
const minSuspension = 300 * time.Millisecond

// handleSuspension logs a suspension of the machine and calls the OnResume callbacks.
// Timers do not advance while suspended, so that pending calls may still wait for peers
// that have long timed out.
func (n *Node) handleSuspension(missed time.Duration) {
	if missed < minSuspension {
		return
	}
	n.Logger("node").WithFields(logrus.Fields{"event": "resumed", "missed_ms": missed.Milliseconds()}).Warn("The machine was suspended; refreshing cached state.")
	n.mutex.Lock()
	callbacks := n.onResume
	n.mutex.Unlock()
	for _, callback := range callbacks {
		callback()
	}
}

// OnResume adds a callback that is called after each suspension of the machine; it must
// not block.
func (n *Node) OnResume(callback func()) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.onResume = append(n.onResume, callback)
}

// ReportNow makes the node report its state without waiting for the next heartbeat. It
// never blocks.
func (n *Node) ReportNow() {
	select {
	case n.reportNow <- struct{}{}:
	default:
	}
}

// reportSelf passes the node's current state to membership.
func (n *Node) reportSelf() {
	changed := membership.SelfChanged{Leaving: n.Leaving(), Summary: n.summary()}
	if snapshot := n.Table(); snapshot != nil {
		changed.TableRevision = snapshot.Revision()
	}
	n.membership.Tell(changed)
}

func (n *Node) executeMembership(action membership.Action) {
	switch action := action.(type) {
	case membership.Send:
		n.membershipMetrics.sent.WithLabelValues(string(action.Purpose)).Inc()
		n.sends.Go(func() { n.sendExchange(action) })
	case membership.ViewChanged:
		n.schedulePublish()
	case membership.MemberDied:
		n.logDeath(action)
	case membership.DuplicateID:
		n.Logger("membership").WithField("peer", action.Address).
			Errorf("Another process uses the node id %s; node ids must be unique.", n.ID())
	}
}

func (n *Node) logDeath(died membership.MemberDied) {
	entry := n.Logger("membership").WithField("peer", died.Node)
	if died.Leaving {
		entry.Info("A leaving peer has left.")
		return
	}
	entry.Warn("A peer was declared dead.")
}

// minViewInterval is the minimum time between two views. Each view lists the whole zone,
// so that publishing one at every change is costly in large zones.
const minViewInterval = 100 * time.Millisecond

// schedulePublish publishes the view, at the earliest minViewInterval after the previous
// one. It must be called within the membership actor.
func (n *Node) schedulePublish() {
	if n.Role == api.RoleRouter || n.Role == api.RoleSidecar {
		n.publishView() // callers must notice a leaving router in time
		return
	}
	settles := n.machine.Settled() && !n.settled.Load() // startup waits for it
	if n.viewScheduled && !settles {
		return
	}
	wait := minViewInterval - time.Since(n.lastViewAt)
	if wait <= 0 || settles {
		n.publishView()
		return
	}
	n.viewScheduled = true
	time.AfterFunc(wait, func() {
		_ = n.membership.Inspect(func() { // fails only after the actor has stopped
			n.viewScheduled = false
			n.publishView()
		})
	})
}

func (n *Node) publishView() {
	n.lastViewAt = time.Now()
	nodes := n.machine.Nodes()
	n.membershipMetrics.views.Inc()
	n.membershipMetrics.members.Set(float64(len(nodes)))
	zones := n.machine.Zones()
	n.view.Store(&nodes)
	n.zones.Store(&zones)
	n.settled.Store(n.machine.Settled())
	n.mutex.Lock()
	callbacks := n.onView
	n.mutex.Unlock()
	for _, callback := range callbacks {
		callback(nodes)
	}
}

// sendExchange sends an exchange to a peer and passes the result to membership. A peer
// that does not respond within a heartbeat interval is unreachable.
func (n *Node) sendExchange(send membership.Send) {
	ctx, cancel := context.WithTimeout(context.Background(), n.Settings.Membership.Interval)
	defer cancel()
	answer, err := postExchange(ctx, n.gossip, send)
	if err != nil {
		n.logUnreachable(send, err)
		n.membership.Tell(membership.Unreachable{Sent: send, Refused: errors.Is(err, syscall.ECONNREFUSED)})
		return
	}
	n.peerAnswered.Store(true)
	n.membershipMetrics.records.Add(float64(len(answer.Updates)))
	n.membership.Tell(membership.ReplyReceived{Sent: send, Exchange: answer})
}

// logUnreachable logs the first failure to reach a peer, unless a peer has responded before.
func (n *Node) logUnreachable(send membership.Send, err error) {
	if n.peerAnswered.Load() || !n.unreachableLogged.CompareAndSwap(false, true) {
		return
	}
	n.Logger("membership").WithError(err).
		Warnf("Peer %s is unreachable; retrying the configured peers every %v.", send.Address, n.Settings.Membership.Interval)
}
