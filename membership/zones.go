package membership

import (
	"cmp"
	"reflect"
	"slices"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/placement"
)

const (
	representativesPerZone = 2 // the first gateways of a zone
	gatewayKey             = "zone-gateway"
	// staleFactor times PublishTicks without a new version make a zone stale: it is
	// offered no new traffic until a new version arrives.
	staleFactor = 6
	// maxHeartbeatZones bounds the zone summaries in the reply to a heartbeat.
	maxHeartbeatZones = 3
	// publishAfterTicks is the number of ticks from a node's start until it publishes its
	// zone's summary. The view that it joined with may be that of a member that had just
	// started itself, and is completed by heartbeats.
	publishAfterTicks = 4
	// minPushTicks is the minimum time between pushes to all zones, in intervals.
	minPushTicks = 2
)

type zoneEntry struct {
	summary     ZoneSummary
	received    time.Time // when this version arrived
	changeIndex uint64
}

func (z *zoneEntry) contacts() []Contact {
	contacts := slices.Clone(z.summary.Gateways)
	for _, store := range z.summary.Stores {
		contacts = append(contacts, store.Contact)
	}
	return contacts
}

// representZone publishes the zone's summary and exchanges it with other zones, if
// this node is among the representatives that rendezvous hashing selects. A node that
// has just started publishes nothing: it knows few members, and other zones would take
// the rest for gone.
func (m *Machine) representZone(now time.Time) []Action {
	if (m.ticks+m.phase())%m.settings.ZoneTicks != 0 {
		return nil
	}
	gateways := m.gateways()
	rank := m.rank(gateways)
	if rank >= representativesPerZone {
		return nil
	}
	var actions []Action
	if m.knowsZone() {
		actions = m.updateSummary(now, gateways, rank)
	}
	return append(actions, m.exchangeZoneSummaries()...)
}

// knowsZone reports whether this node's view of its zone may be taken for complete.
func (m *Machine) knowsZone() bool { return m.Settled() && m.ticks >= publishAfterTicks }

// updateSummary publishes the zone's summary if it is due, and pushes it if it has changed.
func (m *Machine) updateSummary(now time.Time, gateways []Contact, rank int) []Action {
	summary := m.buildSummary(gateways)
	own, published := m.zones[m.self.Location]
	period := time.Duration(m.settings.PublishTicks*(1+rank)) * m.settings.Interval
	switch {
	case published && (m.pushPending || differsUrgently(own.summary, summary)):
		m.publish(now, summary)
		return m.pushZoneSummary(now)
	case !published || now.Sub(own.received) >= period:
		m.publish(now, summary)
	}
	return nil
}

// publishUrgent publishes and pushes the zone's summary at once, if this node is a
// representative that knows its zone.
func (m *Machine) publishUrgent(now time.Time) []Action {
	gateways := m.gateways()
	if !m.knowsZone() || m.rank(gateways) >= representativesPerZone {
		return nil
	}
	m.publish(now, m.buildSummary(gateways))
	return m.pushZoneSummary(now)
}

// gateways returns the routers and frontends advertised to other zones, in rendezvous
// order, so that the representatives come first. A zone without any advertises other
// members.
func (m *Machine) gateways() []Contact {
	var routers, others []scoredContact
	add := func(node api.Node) {
		contact := scoredContact{Contact{ID: node.ID, Role: node.Role, Address: node.Address}, placement.Score(gatewayKey, node.ID)}
		switch {
		case node.Leaving:
		case node.Role.RepresentsZone():
			routers = append(routers, contact)
		default:
			others = append(others, contact)
		}
	}
	add(m.self)
	for _, id := range m.liveMembers() {
		add(m.entries[id].record.Node)
	}
	if len(routers) == 0 {
		routers = others
	}
	slices.SortFunc(routers, func(a, b scoredContact) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.ID, b.ID))
	})
	var gateways []Contact
	for _, scored := range routers[:min(len(routers), m.settings.MaxGateways)] {
		gateways = append(gateways, scored.Contact)
	}
	return gateways
}

// scoredContact is a contact with its rendezvous score; the highest comes first.
type scoredContact struct {
	Contact
	score uint64
}

// rank returns this node's index among the gateways, or representativesPerZone if it is
// not one of them.
func (m *Machine) rank(gateways []Contact) int {
	rank := slices.IndexFunc(gateways, func(c Contact) bool { return c.ID == m.self.ID })
	if rank < 0 {
		return representativesPerZone
	}
	return rank
}

// buildSummary aggregates this node's view of the zone.
func (m *Machine) buildSummary(gateways []Contact) ZoneSummary {
	summary := ZoneSummary{Location: m.self.Location, Gateways: gateways}
	services := map[api.RowKey]*api.ServiceSummary{}
	m.addNode(&summary, services, m.self)
	for _, id := range m.liveMembers() {
		m.addNode(&summary, services, m.entries[id].record.Node)
	}
	for _, service := range services {
		summary.Services = append(summary.Services, *service)
	}
	slices.SortFunc(summary.Services, func(a, b api.ServiceSummary) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Place, b.Place))
	})
	slices.SortFunc(summary.Stores, func(a, b StoreContact) int { return cmp.Compare(a.ID, b.ID) })
	return summary
}

func (m *Machine) addNode(summary *ZoneSummary, services map[api.RowKey]*api.ServiceSummary, node api.Node) {
	summary.Nodes++
	summary.TableRevision = max(summary.TableRevision, node.TableRevision)
	for _, service := range node.Summary.Services {
		total, ok := services[service.Key()]
		if !ok {
			total = &api.ServiceSummary{Service: service.Service, Place: service.Place}
			services[service.Key()] = total
		}
		total.Online += service.Online
		total.Batch += service.Batch
		if !node.Leaving {
			total.Workers += service.Workers
			total.Slots += service.Slots
		}
	}
	if node.Role == api.RoleStore {
		store := StoreContact{
			Contact: Contact{ID: node.ID, Role: node.Role, Address: node.Address}, Incarnation: node.Incarnation,
			Replica: node.Summary.Replica, DiskFull: node.Summary.DiskFull,
		}
		for _, group := range node.Summary.Groups {
			if group.Leading {
				store.Groups = append(store.Groups, group)
			}
		}
		summary.Stores = append(summary.Stores, store)
	}
}

func (m *Machine) publish(now time.Time, summary ZoneSummary) {
	summary.Version = now.UnixMilli()
	if own, ok := m.zones[m.self.Location]; ok {
		summary.Version = max(summary.Version, own.summary.Version+1)
	}
	m.setZone(now, summary)
}

func (m *Machine) setZone(now time.Time, summary ZoneSummary) {
	m.changeIndex++
	m.zones[summary.Location] = &zoneEntry{summary: summary, received: now, changeIndex: m.changeIndex}
}

// differsUrgently reports whether gateways, stores, group leaders or offered rows
// changed, so that other zones would act on wrong data until the next publication.
func differsUrgently(old, next ZoneSummary) bool {
	if !reflect.DeepEqual(old.Gateways, next.Gateways) || len(old.Stores) != len(next.Stores) {
		return true
	}
	for i := range old.Stores {
		if old.Stores[i].Replica != next.Stores[i].Replica || old.Stores[i].DiskFull != next.Stores[i].DiskFull {
			return true
		}
		if !reflect.DeepEqual(leaderTerms(old.Stores[i]), leaderTerms(next.Stores[i])) {
			return true
		}
	}
	return !reflect.DeepEqual(offeredRows(old), offeredRows(next))
}

func leaderTerms(store StoreContact) map[api.GroupID]uint64 {
	leads := map[api.GroupID]uint64{}
	for _, group := range store.Groups {
		leads[group.Group] = group.Term
	}
	return leads
}

// offeredRows returns the rows for which the zone has a worker.
func offeredRows(summary ZoneSummary) map[api.RowKey]bool {
	rows := map[api.RowKey]bool{}
	for _, service := range summary.Services {
		if service.Workers > 0 {
			rows[service.Key()] = true
		}
	}
	return rows
}

// exchangeZoneSummaries compares versions with a contact of a random other zone.
func (m *Machine) exchangeZoneSummaries() []Action {
	others := m.otherZones()
	if len(others) == 0 {
		return m.contactSeeds()
	}
	zone := m.zones[others[m.settings.Random.IntN(len(others))]]
	return m.sendZoneSummary(zone.contacts(), true)
}

// contactSeeds sends this zone's summary to a seed while no other zone is known.
func (m *Machine) contactSeeds() []Action {
	var seeds []Contact
	for _, seed := range m.settings.Seeds {
		if seed != m.self.Address {
			seeds = append(seeds, Contact{Address: seed})
		}
	}
	return m.sendZoneSummary(seeds, true)
}

// pushZoneSummary sends the zone's own summary to one contact of every other zone, at
// most once per minPushTicks; otherwise it sets pushPending for a later tick.
func (m *Machine) pushZoneSummary(now time.Time) []Action {
	m.pushPending = now.Sub(m.lastPush) < minPushTicks*m.settings.Interval
	if m.pushPending {
		return nil
	}
	m.lastPush = now
	var actions []Action
	for _, location := range m.otherZones() {
		actions = append(actions, m.sendZoneSummary(m.zones[location].contacts(), false)...)
	}
	return actions
}

// sendZoneSummary sends the zone's own summary to a random contact. With compare it
// also requests summaries that are newer there.
func (m *Machine) sendZoneSummary(contacts []Contact, compare bool) []Action {
	if len(contacts) == 0 {
		return nil
	}
	chosen := contacts[m.settings.Random.IntN(len(contacts))]
	exchange := Exchange{From: m.self.ID, Location: m.self.Location}
	if own, ok := m.zones[m.self.Location]; ok {
		exchange.Zones = []ZoneSummary{own.summary}
	}
	if compare {
		exchange.Versions = m.versions()
	}
	return []Action{Send{Address: chosen.Address, Peer: chosen.ID, Purpose: PurposeZone, Exchange: exchange}}
}

// otherZones returns the known zones except that of the entries, sorted.
func (m *Machine) otherZones() []api.Location {
	var locations []api.Location
	for location := range m.zones {
		if location != m.location {
			locations = append(locations, location)
		}
	}
	slices.SortFunc(locations, compareLocations)
	return locations
}

func compareLocations(a, b api.Location) int {
	return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Zone, b.Zone))
}

func (m *Machine) remoteContacts() []Contact {
	var contacts []Contact
	for _, location := range m.otherZones() {
		contacts = append(contacts, m.zones[location].contacts()...)
	}
	return contacts
}

func (m *Machine) versions() []ZoneVersion {
	versions := make([]ZoneVersion, 0, len(m.zones))
	for _, zone := range m.zones {
		versions = append(versions, ZoneVersion{Location: zone.summary.Location, Version: zone.summary.Version})
	}
	if _, ok := m.zones[m.self.Location]; !ok {
		versions = append(versions, ZoneVersion{Location: m.self.Location})
	}
	slices.SortFunc(versions, func(a, b ZoneVersion) int { return compareLocations(a.Location, b.Location) })
	return versions
}

// newerZones returns the summaries that are newer here than at the sender. A heartbeat
// gets at most maxHeartbeatZones of them, least recently changed first.
func (m *Machine) newerZones(exchange Exchange) []ZoneSummary {
	known := map[api.Location]int64{}
	for _, version := range exchange.Versions {
		known[version.Location] = version.Version
	}
	if len(known) == 0 {
		return nil
	}
	newer := m.zonesWhere(func(zone *zoneEntry) bool {
		return zone.summary.Version > known[zone.summary.Location]
	})
	heartbeat := exchange.Location == m.self.Location && exchange.Digest == 0
	if !heartbeat || len(newer) <= maxHeartbeatZones {
		return newer
	}
	slices.SortStableFunc(newer, func(a, b ZoneSummary) int {
		return cmp.Compare(m.zones[a.Location].changeIndex, m.zones[b.Location].changeIndex)
	})
	return newer[:maxHeartbeatZones]
}

func (m *Machine) zonesWhere(keep func(*zoneEntry) bool) []ZoneSummary {
	var summaries []ZoneSummary
	for _, zone := range m.zones {
		if keep(zone) {
			summaries = append(summaries, zone.summary)
		}
	}
	slices.SortFunc(summaries, func(a, b ZoneSummary) int { return compareLocations(a.Location, b.Location) })
	return summaries
}

// mergeZones stores the summaries that are newer than the known ones.
func (m *Machine) mergeZones(now time.Time, summaries []ZoneSummary) []Action {
	changed := false
	for _, summary := range summaries {
		known, ok := m.zones[summary.Location]
		if !ok || summary.Version > known.summary.Version {
			m.setZone(now, summary)
			changed = true
		}
	}
	if changed {
		return []Action{ViewChanged{}}
	}
	return nil
}
