package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/dykewing/dykewing/api"
)

// Nodes lists the live nodes of the zone, the node itself among them, and of
// each other zone its gateways and stores, sorted by id. A gateway stands for
// its whole zone: its summary holds the zone's sums.
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
		nodes = append(nodes, m.foreignNodes(m.zones[location])...)
	}
	slices.SortFunc(nodes, func(a, b api.Node) int { return cmp.Compare(a.ID, b.ID) })
	return slices.CompactFunc(nodes, func(a, b api.Node) bool { return a.ID == b.ID })
}

// foreignNodes turns a zone's summary into nodes. A stale zone offers no
// services, but its nodes stay known, so that contact can be made again.
func (m *Machine) foreignNodes(zone *zoneEntry) []api.Node {
	var nodes []api.Node
	stale := m.stale(zone)
	for _, contact := range zone.summary.Gateways {
		if !contact.Role.Represents() {
			continue
		}
		node := m.foreignNode(zone, contact)
		if !stale {
			node.Summary = api.Summary{Sequence: uint64(zone.summary.Version), Services: zone.summary.Services}
		}
		nodes = append(nodes, node)
	}
	for _, store := range zone.summary.Stores {
		node := m.foreignNode(zone, store.Contact)
		node.Summary = api.Summary{Sequence: uint64(zone.summary.Version), Groups: store.Groups, Replica: store.Replica, DiskFull: store.DiskFull}
		nodes = append(nodes, node)
	}
	return nodes
}

func (m *Machine) foreignNode(zone *zoneEntry, contact Contact) api.Node {
	return api.Node{
		ID: contact.ID, Role: contact.Role, Address: contact.Address,
		Location: zone.summary.Location, TableRevision: zone.summary.TableRevision,
	}
}

func (m *Machine) stale(zone *zoneEntry) bool {
	limit := time.Duration(staleFactor*m.settings.PublishTicks) * m.settings.Interval
	return m.lastTick.Sub(zone.received) > limit
}

// Zones lists the summaries of all known zones, the own one among them once it
// is published, sorted.
func (m *Machine) Zones() []ZoneSummary {
	return m.zonesWhere(func(*zoneEntry) bool { return true })
}

// Records lists what is known of the zone's other members, the suspect and the
// dead among them, sorted by id.
func (m *Machine) Records() []Record {
	records := make([]Record, 0, len(m.entries))
	for _, id := range sortedKeys(m.entries) {
		records = append(records, m.entries[id].record)
	}
	return records
}

// LeavePending counts the members that have not confirmed yet that they know of
// this node's leaving mark.
func (m *Machine) LeavePending() int { return len(m.leaving) }

// Self is what the node says of itself.
func (m *Machine) Self() api.Node { return m.self }
