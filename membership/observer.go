package membership

import (
	"reflect"
	"slices"
	"time"
)

// loadTicks is how often, in ticks, an observer asks for loads too: they are
// most of the bytes, while a leaving mark must come within one interval.
const loadTicks = 4

// sourceTicks is for how many ticks an observer keeps to a source. Most draw
// theirs soon after a start, when few members are known; a new draw spreads them,
// at the price of one whole answer.
const sourceTicks = 300

// observe asks the source for what has changed. An observer keeps to one source
// while that answers and stays, so that only changes travel.
func (m *Machine) observe() []Action {
	if (m.ticks+m.phase())%sourceTicks == 0 || !m.keepsSource() || m.sourceIsSeed && len(m.candidates()) > 0 {
		m.source, m.cursor = m.chooseSource(), Observe{}
		// A seed is only the way in: observers that all keep to the few seeds
		// of their settings would load these with the whole zone's answers.
		m.sourceIsSeed = m.source.ID == ""
	}
	if m.source.Address == "" || !m.observesNow() {
		return nil
	}
	cursor := m.cursor
	cursor.Brief = cursor.Source != "" && m.ticks%loadTicks != 0
	exchange := Exchange{From: m.self.ID, Location: m.self.Location, Observe: &cursor}
	return []Action{Send{Address: m.source.Address, Peer: m.source.ID, Purpose: PurposeObserve, Exchange: exchange}}
}

// observesNow spares every other tick once the source has answered: loads of
// all the zone's members changed meanwhile, and they travel once.
func (m *Machine) observesNow() bool {
	return m.cursor.Source == "" || m.ticks%m.settings.ObserveTicks == 0
}

// keepsSource is false when the source leaves, or is of another zone although
// the own one has become known.
func (m *Machine) keepsSource() bool {
	if m.source.Address == "" {
		return false
	}
	if e, ok := m.entries[m.source.ID]; ok && e.record.Node.Leaving {
		return len(m.candidates()) == 0
	}
	if m.location != m.self.Location {
		if own, ok := m.zones[m.self.Location]; ok && len(own.contacts()) > 0 {
			return false
		}
	}
	return true
}

// candidates are members that an observer may ask, of the own zone if possible.
func (m *Machine) candidates() []Contact {
	var candidates []Contact
	for _, id := range sortedKeys(m.entries) {
		node := m.entries[id].record.Node
		if m.entries[id].record.Status == StatusAlive && !node.Leaving {
			candidates = append(candidates, Contact{ID: id, Role: node.Role, Address: node.Address})
		}
	}
	if own, ok := m.zones[m.self.Location]; ok && m.location != m.self.Location && len(own.contacts()) > 0 {
		return own.contacts()
	}
	return candidates
}

func (m *Machine) chooseSource() Contact {
	candidates := m.candidates()
	// Seeds stay in the draw, so that an old view never shuts the node in.
	for _, seed := range m.settings.Seeds {
		known := slices.ContainsFunc(candidates, func(c Contact) bool { return c.Address == seed })
		if !known && seed != m.self.Address && (len(candidates) == 0 || m.settings.Random.Float64() < strayShare) {
			candidates = append(candidates, Contact{Address: seed})
		}
	}
	if len(candidates) == 0 {
		candidates = m.foreignContacts()
	}
	if len(candidates) == 0 {
		return Contact{}
	}
	return candidates[m.settings.Random.IntN(len(candidates))]
}

// answerObserve adds what changed after the cursor.
func (m *Machine) answerObserve(reply *Exchange, observe Observe) {
	life := m.settings.Self.Incarnation
	after := observe.After
	known := observe.Source == m.self.ID && observe.Life == life
	if !known {
		after = 0
	}
	if known && observe.Brief {
		reply.Updates = m.urgentRecords(after)
		reply.Cursor = &Cursor{Life: life, Stamp: after}
		return
	}
	reply.Updates = m.records(after)
	reply.Zones = m.zonesWhere(func(zone *zoneEntry) bool { return zone.stamp > after })
	reply.Cursor = &Cursor{Life: life, Stamp: m.stamp, Reset: !known}
}

// urgentRecords gives what changed after the stamp in more than its load.
func (m *Machine) urgentRecords(after uint64) []Record {
	var records []Record
	if m.urgent > after {
		records = append(records, m.selfRecord())
	}
	for _, id := range sortedKeys(m.entries) {
		if e := m.entries[id]; e.urgent > after {
			records = append(records, wireRecord(e.record))
		}
	}
	return records
}

// observed takes the source's answer.
func (m *Machine) observed(now time.Time, message Answered) []Action {
	exchange := message.Exchange
	if message.Sent.Address != m.source.Address {
		return nil
	}
	if exchange.Cursor == nil {
		m.source = Contact{} // another observer, under a seed's address
		return nil
	}
	if exchange.Cursor.Reset {
		clear(m.entries)
		clear(m.zones)
	}
	m.location = exchange.Location
	m.source.ID = exchange.From
	m.cursor = Observe{Source: exchange.From, Life: exchange.Cursor.Life, After: exchange.Cursor.Stamp}
	changed := exchange.Cursor.Reset
	for _, record := range exchange.Updates {
		changed = m.adopt(now, record) || changed
	}
	if len(m.mergeZones(now, exchange.Zones)) > 0 || changed {
		return []Action{ViewChanged{}}
	}
	return nil
}

// adopt takes a record as the source holds it.
func (m *Machine) adopt(now time.Time, record Record) bool {
	record.Node.Location = m.location
	id := record.Node.ID
	known, ok := m.entries[id]
	if record.Status == StatusDead {
		delete(m.entries, id)
		return ok
	}
	if record.Status == "" {
		record.Status = StatusAlive
	}
	if ok && reflect.DeepEqual(known.record, record) {
		return false
	}
	m.entries[id] = &entry{record: record, since: now}
	return true
}
