package membership

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/dykewing/dykewing/api"
)

// strayShare of the anti-entropy exchanges goes to a seed or a dead member, so
// that two halves of a zone that gave each other up find together again.
const strayShare = 0.25

// joinTicks is how many of its first ticks a node compares on each.
const joinTicks = 5

// synchronise compares with a random member every SyncTicks, and on every tick
// while the node knows no member.
func (m *Machine) synchronise() []Action {
	alone := len(m.liveMembers()) == 0
	young := m.ticks <= joinTicks
	if !alone && !young && (m.ticks+m.phase())%m.settings.SyncTicks != 0 {
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

// phase spreads the nodes' rarer exchanges over the ticks.
func (m *Machine) phase() int { return int(xxhash.Sum64String(string(m.self.ID)) % 1024) }

func (m *Machine) syncTarget(alone bool) (string, api.NodeID, bool) {
	if alone || m.settings.Random.Float64() < strayShare {
		if strays := m.strays(); len(strays) > 0 {
			chosen := strays[m.settings.Random.IntN(len(strays))]
			return chosen.Address, chosen.ID, true
		}
	}
	for _, id := range m.randomMembers(1, "") {
		return m.entries[id].record.Node.Address, id, true
	}
	return "", "", false
}

// strays are addresses at which members may live that are not in the view:
// seeds, the dead, and the gateways that others name for the own zone.
func (m *Machine) strays() []Contact {
	live := map[string]bool{m.self.Address: true}
	var strays []Contact
	for _, id := range sortedKeys(m.entries) {
		node := m.entries[id].record.Node
		if m.entries[id].record.Status == StatusDead {
			strays = append(strays, Contact{ID: id, Address: node.Address})
		} else {
			live[node.Address] = true
		}
	}
	// All nodes have the same few seeds: only a representative asks them again.
	if len(live) == 1 || m.rank(m.gateways()) < representatives {
		for _, seed := range m.settings.Seeds {
			strays = append(strays, Contact{Address: seed})
		}
	}
	if own, ok := m.zones[m.self.Location]; ok {
		strays = append(strays, own.contacts()...)
	}
	if len(strays) == 0 {
		strays = m.foreignContacts()
	}
	return slices.DeleteFunc(strays, func(c Contact) bool { return live[c.Address] })
}

// answerDigest adds all records when the sender, of the same zone, holds others.
func (m *Machine) answerDigest(reply *Exchange, exchange Exchange) {
	if exchange.Digest == 0 || exchange.Location != m.self.Location || exchange.Digest == m.digest() {
		return
	}
	reply.Updates, reply.Whole = m.records(0), true
}

// records gives the node's own record and all that changed after the stamp.
func (m *Machine) records(after uint64) []Record {
	records := []Record{m.selfRecord()}
	for _, id := range sortedKeys(m.entries) {
		if e := m.entries[id]; e.stamp > after {
			records = append(records, wireRecord(e.record))
		}
	}
	return records
}

// digest sums up the live members without their summaries, which change too
// often to be compared.
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
