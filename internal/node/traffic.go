package node

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/internal/transport"
)

// trafficLogInterval is the time between two log lines about cross-zone traffic.
const trafficLogInterval = 30 * time.Second

// zoneOf returns the zone of the node with the address, if the current view has it.
func (n *Node) zoneOf(address string) (zone string, known bool) {
	for _, node := range n.Nodes() {
		if node.Address == address {
			return string(node.Location.Zone), true
		}
	}
	return "", false
}

// reportTraffic logs cross-zone traffic periodically and once more when ctx ends.
func (n *Node) reportTraffic(ctx context.Context) {
	ticker := time.NewTicker(trafficLogInterval)
	defer ticker.Stop()
	logged := map[transport.Kind]int64{}
	for {
		select {
		case <-ticker.C:
			logged = n.logTraffic(logged)
		case <-ctx.Done():
			n.logTraffic(logged)
			return
		}
	}
}

// logTraffic logs the cross-zone traffic since the totals in logged, if any, and returns
// the new totals.
func (n *Node) logTraffic(logged map[transport.Kind]int64) map[transport.Kind]int64 {
	crossed := n.Traffic.CrossZoneBytes()
	fields := logrus.Fields{"event": "traffic"}
	total := int64(0)
	for kind, bytes := range crossed {
		fields["crossed_"+string(kind)] = bytes - logged[kind]
		total += bytes - logged[kind]
	}
	if total > 0 {
		fields["crossed"] = total
		n.Logger("traffic").WithFields(fields).Info("Bytes that crossed zones on connections opened here.")
	}
	return crossed
}
