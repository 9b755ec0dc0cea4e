package node

import (
	"context"
	"net/http"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/membership"
)

const maximumExchangeBytes = 4 << 20

// heartbeat reports the node's own state and ticks membership.
func (n *Node) heartbeat(ctx context.Context) {
	ticker := time.NewTicker(n.Settings.Membership.Interval)
	defer ticker.Stop()
	for {
		n.reportSelf()
		n.membership.Tell(membership.Tick{})
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (n *Node) reportSelf() {
	summary := n.summary()
	n.sequence++
	summary.Sequence = n.sequence
	changed := membership.SelfChanged{Leaving: n.Leaving(), Summary: summary}
	if snapshot := n.Table(); snapshot != nil {
		changed.TableRevision = snapshot.Revision()
	}
	n.membership.Tell(changed)
}

func (n *Node) executeMembership(action membership.Action) {
	switch action := action.(type) {
	case membership.Send:
		go n.sendExchange(action)
	case membership.ViewChanged:
		n.publishView()
	}
}

func (n *Node) publishView() {
	nodes := n.machine.Nodes()
	n.view.Store(&nodes)
	n.mutex.Lock()
	callbacks := n.onView
	n.mutex.Unlock()
	for _, callback := range callbacks {
		callback(nodes)
	}
}

func (n *Node) sendExchange(send membership.Send) {
	ctx, cancel := context.WithTimeout(context.Background(), n.Settings.Membership.Interval)
	defer cancel()
	var answer membership.Exchange
	err := transport.Call(ctx, n.Control, "send heartbeat", send.Address, api.PathGossip, send.Exchange, &answer)
	if err != nil {
		n.membership.Tell(membership.Unreachable{Address: send.Address})
		return
	}
	n.membership.Tell(membership.Answered{Address: send.Address, Exchange: answer})
}

func (n *Node) serveGossip(w http.ResponseWriter, r *http.Request) {
	var exchange membership.Exchange
	if failure := transport.ReadJSON(w, r, "receive heartbeat", maximumExchangeBytes, &exchange); failure != nil {
		transport.WriteError(w, failure)
		return
	}
	actions, err := n.membership.Ask(membership.Incoming{Exchange: exchange})
	if err != nil {
		transport.WriteError(w, api.AsError("receive heartbeat", err))
		return
	}
	for _, action := range actions {
		if reply, ok := action.(membership.Reply); ok {
			transport.WriteJSON(w, http.StatusOK, reply.Exchange)
			return
		}
	}
}
