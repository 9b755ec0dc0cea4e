package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/dykewing/dykewing/api"
)

// Nodes returns the live nodes of the zone, including the node itself, and the
// gateways and stores of every other zone, sorted by id. A gateway represents its
// zone: its Summary holds the sums over the zone. Suspects are included and marked.
func (m *Machine) Nodes() []api.Node {
	nodes := []api.Node{m.self}
	for _, e := range m.entries {
		if e.record.Status != StatusDead {
			node := e.record.Node
			node.Suspected = e.record.Status == StatusSuspect
			nodes = append(nodes, node)
		}
	}
	for _, location := range m.otherZones() {
		nodes = append(nodes, m.remoteNodes(m.zones[location])...)
	}
	slices.SortFunc(nodes, func(a, b api.Node) int { return cmp.Compare(a.ID, b.ID) })
	return slices.CompactFunc(nodes, func(a, b api.Node) bool { return a.ID == b.ID })
}

// remoteNodes returns the nodes of another zone's summary. A stale zone offers no
// services, but its nodes are kept so that it can be contacted again.
func (m *Machine) remoteNodes(zone *zoneEntry) []api.Node {
	var nodes []api.Node
	stale := m.stale(zone)
	for _, contact := range zone.summary.Gateways {
		if !contact.Role.RepresentsZone() {
			continue
		}
		node := m.remoteNode(zone, contact)
		if !stale {
			node.Summary = api.LoadSummary{Sequence: uint64(zone.summary.Version), Services: zone.summary.Services}
		}
		nodes = append(nodes, node)
	}
	for _, store := range zone.summary.Stores {
		node := m.remoteNode(zone, store.Contact)
		node.Incarnation = store.Incarnation
		node.Summary = api.LoadSummary{Sequence: uint64(zone.summary.Version), Groups: store.Groups, Replica: store.Replica, DiskFull: store.DiskFull}
		nodes = append(nodes, node)
	}
	return nodes
}

func (m *Machine) remoteNode(zone *zoneEntry, contact Contact) api.Node {
	return api.Node{
		ID: contact.ID, Role: contact.Role, Address: contact.Address,
		Location: zone.summary.Location, TableRevision: zone.summary.TableRevision,
	}
}

func (m *Machine) stale(zone *zoneEntry) bool {
	limit := time.Duration(staleFactor*m.settings.PublishTicks) * m.settings.Interval
	return m.lastTick.Sub(zone.received) > limit
}

// Zones returns the summaries of all known zones, including the node's own once it is
// published, sorted by location.
func (m *Machine) Zones() []ZoneSummary {
	return m.zonesWhere(func(*zoneEntry) bool { return true })
}

// Records returns the records of the zone's other members, including suspect and dead
// ones, sorted by id.
func (m *Machine) Records() []Record {
	records := make([]Record, 0, len(m.entries))
	for _, id := range sortedKeys(m.entries) {
		records = append(records, m.entries[id].record)
	}
	return records
}

// PendingLeaveAcks returns the number of members that have not acknowledged this node's
// leaving mark.
func (m *Machine) PendingLeaveAcks() int { return len(m.unackedLeaves) }

// Self returns the node's own record.
func (m *Machine) Self() api.Node { return m.self }
