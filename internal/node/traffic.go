package node

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/internal/transport"
)

// trafficInterval is the time between two lines on what crossed zones: often enough for
// the first minutes after a change, two lines a minute at most.
const trafficInterval = 30 * time.Second

// zoneOf tells where an own process is, by the view of nodes.
func (n *Node) zoneOf(address string) (zone string, known bool) {
	for _, node := range n.Nodes() {
		if node.Address == address {
			return string(node.Location.Zone), true
		}
	}
	return "", false
}

// tellTraffic logs what has crossed zones, now and then and at the end.
func (n *Node) tellTraffic(ctx context.Context) {
	ticker := time.NewTicker(trafficInterval)
	defer ticker.Stop()
	told := map[transport.Kind]int64{}
	for {
		select {
		case <-ticker.C:
			told = n.logTraffic(told)
		case <-ctx.Done():
			n.logTraffic(told)
			return
		}
	}
}

// logTraffic logs what crossed zones since the last time, if anything did.
func (n *Node) logTraffic(told map[transport.Kind]int64) map[transport.Kind]int64 {
	crossed := n.Traffic.Crossed()
	fields := logrus.Fields{"event": "traffic"}
	total := int64(0)
	for kind, bytes := range crossed {
		fields["crossed_"+string(kind)] = bytes - told[kind]
		total += bytes - told[kind]
	}
	if total > 0 {
		fields["crossed"] = total
		n.Logger("traffic").WithFields(fields).Info("Bytes that crossed zones on connections opened here.")
	}
	return crossed
}
