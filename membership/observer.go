package membership

import (
	"reflect"
	"slices"
	"time"
)

// fullObserveTicks is the number of ticks between polls that include loads. Loads are
// most of the bytes; the polls between carry only urgent changes, such as a leaving mark.
const fullObserveTicks = 4

// sourceRotationTicks is the number of ticks after which an observer chooses a new
// source. Most choose their first one when few members are known; rotation spreads
// the load, at the cost of one full reply.
const sourceRotationTicks = 300

// observeSource polls the source for changes. An observer keeps its source while it
// is usable, so that only changes are transferred.
func (m *Machine) observeSource() []Action {
	if (m.ticks+m.phase())%sourceRotationTicks == 0 || !m.sourceUsable() || m.sourceIsSeed && len(m.candidates()) > 0 {
		m.source, m.cursor = m.chooseSource(), ObserveRequest{}
		// A seed only bootstraps: observers that all kept to the few configured
		// seeds would overload them.
		m.sourceIsSeed = m.source.ID == ""
	}
	if m.source.Address == "" || !m.observeDue() {
		return nil
	}
	cursor := m.cursor
	cursor.UrgentOnly = cursor.Source != "" && m.ticks%fullObserveTicks != 0
	exchange := Exchange{From: m.self.ID, Location: m.self.Location, Observe: &cursor}
	return []Action{Send{Address: m.source.Address, Peer: m.source.ID, Purpose: PurposeObserve, Exchange: exchange}}
}

// observeDue limits polling to every ObserveTicks-th tick once the source has
// replied, so that several changes of a load are transferred once.
func (m *Machine) observeDue() bool {
	return m.cursor.Source == "" || m.ticks%m.settings.ObserveTicks == 0
}

// sourceUsable is false if there is no source, if it is leaving and another candidate
// exists, or if it is in another zone while the node's own zone has contacts.
func (m *Machine) sourceUsable() bool {
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

// candidates returns the members that an observer may poll, of its own zone if possible.
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
	// Seeds remain candidates, so that a stale view cannot isolate the node.
	for _, seed := range m.settings.Seeds {
		known := slices.ContainsFunc(candidates, func(c Contact) bool { return c.Address == seed })
		if !known && seed != m.self.Address && (len(candidates) == 0 || m.settings.Random.Float64() < rejoinShare) {
			candidates = append(candidates, Contact{Address: seed})
		}
	}
	if len(candidates) == 0 {
		candidates = m.remoteContacts()
	}
	if len(candidates) == 0 {
		return Contact{}
	}
	return candidates[m.settings.Random.IntN(len(candidates))]
}

// answerObserve adds the changes after the observer's cursor to the reply.
func (m *Machine) answerObserve(reply *Exchange, observe ObserveRequest) {
	incarnation := m.settings.Self.Incarnation
	after := observe.After
	known := observe.Source == m.self.ID && observe.Incarnation == incarnation
	if !known {
		after = 0
	}
	if known && observe.UrgentOnly {
		reply.Updates = m.urgentRecords(after)
		reply.Cursor = &Cursor{Incarnation: incarnation, ChangeIndex: after}
		return
	}
	reply.Updates = m.records(after)
	reply.Zones = m.zonesWhere(func(zone *zoneEntry) bool { return zone.changeIndex > after })
	reply.Cursor = &Cursor{Incarnation: incarnation, ChangeIndex: m.changeIndex, Reset: !known}
}

// urgentRecords returns the records with a change after the index in more than their
// load.
func (m *Machine) urgentRecords(after uint64) []Record {
	var records []Record
	if m.urgentIndex > after {
		records = append(records, m.selfRecord())
	}
	for _, id := range sortedKeys(m.entries) {
		if e := m.entries[id]; e.urgentIndex > after {
			records = append(records, wireRecord(e.record))
		}
	}
	return records
}

func (m *Machine) handleObserveReply(now time.Time, message ReplyReceived) []Action {
	exchange := message.Exchange
	if message.Sent.Address != m.source.Address {
		return nil
	}
	if exchange.Cursor == nil {
		m.source = Contact{} // the seed is an observer itself
		return nil
	}
	if exchange.Cursor.Reset {
		clear(m.entries)
		clear(m.zones)
	}
	m.location = exchange.Location
	m.source.ID = exchange.From
	m.cursor = ObserveRequest{Source: exchange.From, Incarnation: exchange.Cursor.Incarnation, After: exchange.Cursor.ChangeIndex}
	changed := exchange.Cursor.Reset
	for _, record := range exchange.Updates {
		changed = m.applyObserved(now, record) || changed
	}
	if len(m.mergeZones(now, exchange.Zones)) > 0 || changed {
		return []Action{ViewChanged{}}
	}
	return nil
}

// applyObserved stores a record as received from the source. It reports whether the
// view changed.
func (m *Machine) applyObserved(now time.Time, record Record) bool {
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
	m.entries[id] = &entry{record: record, statusSince: now}
	return true
}
