package membership

import (
	"math"
	"time"

	"github.com/dykewing/dykewing/api"
)

// pauseTicks without a tick say that this node stood still: what it heard
// nothing of in that time is no evidence against others.
const pauseTicks = 3

// indirectTicks is how long the peers that were asked have to reach the target.
const indirectTicks = 2

// refusedTicks is how long a node whose connections are refused is suspected: a
// restart within that time is not a death.
const refusedTicks = 3

// indirectCheck is a probe that failed and that others repeat.
type indirectCheck struct {
	deadline    time.Time
	incarnation uint64
}

// forgivePause starts running suspicions anew after the node stood still.
func (m *Machine) forgivePause(now time.Time) {
	gap := now.Sub(m.lastTick)
	if !m.lastTick.IsZero() && gap > pauseTicks*m.settings.Interval {
		clear(m.indirect)
		for _, e := range m.entries {
			if e.record.Status == StatusSuspect {
				e.since = now
			}
		}
	}
	m.lastTick = now
}

// suspicionTimeout grows modestly with the zone, as a refutation takes longer.
func (m *Machine) suspicionTimeout() time.Duration {
	factor := max(1, math.Log10(float64(len(m.entries)+1)))
	return time.Duration(factor * float64(m.settings.SuspectTimeout))
}

// expire ends indirect checks, suspicions and the retention of the dead.
func (m *Machine) expire(now time.Time) []Action {
	var actions []Action
	for _, id := range sortedKeys(m.indirect) {
		if check := m.indirect[id]; now.After(check.deadline) {
			delete(m.indirect, id)
			actions = append(actions, m.suspect(now, id, check.incarnation)...)
		}
	}
	for _, id := range sortedKeys(m.entries) {
		actions = append(actions, m.expireEntry(now, id)...)
	}
	return actions
}

func (m *Machine) expireEntry(now time.Time, id api.NodeID) []Action {
	e := m.entries[id]
	held := now.Sub(e.since)
	switch e.record.Status {
	case StatusSuspect:
		timeout := m.suspicionTimeout()
		if e.refused {
			// Its machine says that the process is gone: no probe was lost.
			timeout = min(timeout, refusedTicks*m.settings.Interval)
		}
		if held <= timeout {
			return nil
		}
		record := e.record
		record.Status = StatusDead
		m.set(now, record, true)
		actions := []Action{Died{Node: id, Observed: held, Leaving: record.Node.Leaving}, ViewChanged{}}
		return append(actions, m.push(m.settings.IndirectProbes)...)
	case StatusDead:
		if held > retentionFactor*m.settings.SuspectTimeout {
			delete(m.entries, id)
			m.queue.drop(id)
		}
	}
	return nil
}

// probeNext sends the interval's heartbeat to the next member of the ring, so
// that each is probed once a round.
func (m *Machine) probeNext() []Action {
	for {
		if len(m.ring) == 0 {
			m.ring = m.randomMembers(math.MaxInt, "")
		}
		if len(m.ring) == 0 {
			return nil
		}
		id := m.ring[0]
		m.ring = m.ring[1:]
		if e, ok := m.entries[id]; ok && e.record.Status != StatusDead {
			exchange := m.exchange(id)
			exchange.Versions = m.versions()
			return []Action{m.send(id, PurposeProbe, exchange)}
		}
	}
}

// unreachable takes the failure of a Send.
func (m *Machine) unreachable(now time.Time, message Unreachable) []Action {
	sent := message.Sent
	if m.observer {
		m.source = Contact{}
		return nil
	}
	delete(m.leaving, sent.Peer)
	e, ok := m.entries[sent.Peer]
	if ok && message.Refused && e.record.Status == StatusSuspect {
		e.refused = true
	}
	if !ok || e.record.Status != StatusAlive {
		return nil
	}
	if sent.Purpose != PurposeProbe && sent.Purpose != PurposePush {
		return nil
	}
	if message.Refused {
		actions := m.suspect(now, sent.Peer, e.record.Node.Incarnation)
		e.refused = true
		return actions
	}
	helpers := m.randomMembers(m.settings.IndirectProbes, sent.Peer)
	if len(helpers) == 0 || m.settings.Fault == FaultSkipIndirect {
		return m.suspect(now, sent.Peer, e.record.Node.Incarnation)
	}
	if _, running := m.indirect[sent.Peer]; running {
		return nil
	}
	m.indirect[sent.Peer] = &indirectCheck{
		deadline: now.Add(indirectTicks * m.settings.Interval), incarnation: e.record.Node.Incarnation,
	}
	target := Contact{ID: sent.Peer, Role: e.record.Node.Role, Address: e.record.Node.Address}
	var actions []Action
	for _, id := range helpers {
		exchange := Exchange{From: m.self.ID, Location: m.self.Location, Probe: &target}
		actions = append(actions, m.send(id, PurposeIndirect, exchange))
	}
	return actions
}

// probeFor probes a target for a peer.
func (m *Machine) probeFor(exchange Exchange) []Action {
	asker, ok := m.entries[exchange.From]
	if !ok {
		return nil
	}
	origin := Contact{ID: exchange.From, Role: asker.record.Node.Role, Address: asker.record.Node.Address}
	return []Action{Send{
		Address: exchange.Probe.Address, Peer: exchange.Probe.ID, Purpose: PurposeProbeForOther,
		Origin: origin, Exchange: m.exchange(exchange.Probe.ID),
	}}
}

// suspect marks a member and tells it at once, so that it can refute.
func (m *Machine) suspect(now time.Time, id api.NodeID, incarnation uint64) []Action {
	e, ok := m.entries[id]
	if !ok || e.record.Status != StatusAlive || e.record.Node.Incarnation != incarnation {
		return nil
	}
	record := e.record
	record.Status = StatusSuspect
	m.set(now, record, true)
	exchange := Exchange{From: m.self.ID, Location: m.self.Location, Updates: []Record{m.selfRecord(), wireRecord(record)}}
	return []Action{m.send(id, PurposePush, exchange), ViewChanged{}}
}
