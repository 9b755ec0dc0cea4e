package membership

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/dykewing/dykewing/api"
)

// rejoinShare is the fraction of anti-entropy exchanges that go to a seed or a dead
// member, so that the halves of a partitioned zone merge again.
const rejoinShare = 0.25

// initialSyncTicks is the number of first ticks with an anti-entropy exchange on each.
const initialSyncTicks = 5

// runAntiEntropy compares digests with a random member every SyncTicks, and on every
// tick while the node knows no member or has just started.
func (m *Machine) runAntiEntropy() []Action {
	alone := len(m.liveMembers()) == 0
	starting := m.ticks <= initialSyncTicks
	if !alone && !starting && (m.ticks+m.phase())%m.settings.SyncTicks != 0 {
		return nil
	}
	address, peer, ok := m.syncTarget(alone)
	if !ok {
		return nil
	}
	exchange := m.exchange(peer)
	exchange.Digest, exchange.Versions = m.digest(), m.versions()
	return []Action{Send{Address: address, Peer: peer, Purpose: PurposeSync, Exchange: exchange}}
}

// phase offsets the node's periodic exchanges, so that nodes do not send them in step.
func (m *Machine) phase() int { return int(xxhash.Sum64String(string(m.self.ID)) % 1024) }

func (m *Machine) syncTarget(alone bool) (string, api.NodeID, bool) {
	if alone || m.settings.Random.Float64() < rejoinShare {
		if contacts := m.rejoinContacts(); len(contacts) > 0 {
			chosen := contacts[m.settings.Random.IntN(len(contacts))]
			return chosen.Address, chosen.ID, true
		}
	}
	for _, id := range m.randomMembers(1, "") {
		return m.entries[id].record.Node.Address, id, true
	}
	return "", "", false
}

// rejoinContacts returns addresses of possible members that are not in the view:
// seeds, dead members, and the own zone's contacts in its published summary.
func (m *Machine) rejoinContacts() []Contact {
	live := map[string]bool{m.self.Address: true}
	var contacts []Contact
	for _, id := range sortedKeys(m.entries) {
		node := m.entries[id].record.Node
		if m.entries[id].record.Status == StatusDead {
			contacts = append(contacts, Contact{ID: id, Address: node.Address})
		} else {
			live[node.Address] = true
		}
	}
	// All nodes share a few seeds: only representatives keep contacting them.
	if len(live) == 1 || m.rank(m.gateways()) < representativesPerZone {
		for _, seed := range m.settings.Seeds {
			contacts = append(contacts, Contact{Address: seed})
		}
	}
	if own, ok := m.zones[m.self.Location]; ok {
		contacts = append(contacts, own.contacts()...)
	}
	if len(contacts) == 0 {
		contacts = m.remoteContacts()
	}
	return slices.DeleteFunc(contacts, func(c Contact) bool { return live[c.Address] })
}

// answerDigest adds all records to the reply if the sender is of the same zone and its
// digest differs.
func (m *Machine) answerDigest(reply *Exchange, exchange Exchange) {
	if exchange.Digest == 0 || exchange.Location != m.self.Location || exchange.Digest == m.digest() {
		return
	}
	reply.Updates, reply.Full = m.records(0), true
}

// records returns the node's own record and those that changed after the index.
func (m *Machine) records(after uint64) []Record {
	records := []Record{m.selfRecord()}
	for _, id := range sortedKeys(m.entries) {
		if e := m.entries[id]; e.changeIndex > after {
			records = append(records, wireRecord(e.record))
		}
	}
	return records
}

// digest hashes the live members without their load summaries, which change too often.
func (m *Machine) digest() uint64 {
	hash := xxhash.New()
	var line []byte
	add := func(node api.Node, status Status) {
		line = append(append(line[:0], node.ID...), ' ')
		line = append(strconv.AppendUint(line, node.Incarnation, 10), ' ')
		line = append(append(line, status...), ' ')
		line = append(strconv.AppendBool(line, node.Leaving), ' ')
		line = append(strconv.AppendInt(line, node.TableRevision, 10), '\n')
		_, _ = hash.Write(line)
	}
	ids := append(m.liveMembers(), m.self.ID)
	slices.Sort(ids)
	for _, id := range ids {
		if id == m.self.ID {
			add(m.self, StatusAlive)
			continue
		}
		add(m.entries[id].record.Node, m.entries[id].record.Status)
	}
	return hash.Sum64()
}

func sortedKeys[K cmp.Ordered, V any](values map[K]V) []K {
	keys := make([]K, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
