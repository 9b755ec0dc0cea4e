package membership

import (
	"math"
	"time"

	"github.com/dykewing/dykewing/api"
)

// pauseTicks is the gap between ticks, in intervals, beyond which this node itself is
// assumed to have been paused, so that missing replies are no evidence against peers.
const pauseTicks = 3

// indirectTimeoutTicks is the timeout of indirect probes, in intervals.
const indirectTimeoutTicks = 2

// refusedSuspicionTicks bounds, in intervals, the suspicion of a node that refuses
// connections. It leaves time for a restart.
const refusedSuspicionTicks = 3

// indirectProbe is a failed probe that other members are repeating.
type indirectProbe struct {
	deadline    time.Time
	incarnation uint64
}

// restartSuspicionsAfterPause cancels indirect probes and restarts the timeouts of
// suspicions if this node was paused.
func (m *Machine) restartSuspicionsAfterPause(now time.Time) {
	gap := now.Sub(m.lastTick)
	if !m.lastTick.IsZero() && gap > pauseTicks*m.settings.Interval {
		clear(m.indirectProbes)
		for _, e := range m.entries {
			if e.record.Status == StatusSuspect {
				e.statusSince = now
			}
		}
	}
	m.lastTick = now
}

// suspicionTimeout grows with the logarithm of the zone's size, as does the time that a
// refutation takes to spread.
func (m *Machine) suspicionTimeout() time.Duration {
	factor := max(1, math.Log10(float64(len(m.entries)+1)))
	return time.Duration(factor * float64(m.settings.SuspectTimeout))
}

// expire handles the timeouts of indirect probes, suspicions and dead records.
func (m *Machine) expire(now time.Time) []Action {
	var actions []Action
	for _, id := range sortedKeys(m.indirectProbes) {
		if check := m.indirectProbes[id]; now.After(check.deadline) {
			delete(m.indirectProbes, id)
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
	age := now.Sub(e.statusSince)
	switch e.record.Status {
	case StatusSuspect:
		timeout := m.suspicionTimeout()
		if e.refused {
			// The refused connection proves that the process is gone.
			timeout = min(timeout, refusedSuspicionTicks*m.settings.Interval)
		}
		if age <= timeout {
			return nil
		}
		record := e.record
		record.Status = StatusDead
		m.storeRecord(now, record, true)
		actions := []Action{MemberDied{Node: id, Observed: age, Leaving: record.Node.Leaving}, ViewChanged{}}
		return append(actions, m.push(m.settings.IndirectProbes)...)
	case StatusDead:
		if age > deadRetentionFactor*m.settings.SuspectTimeout {
			delete(m.entries, id)
			m.queue.drop(id)
		}
	}
	return nil
}

// probeNext probes the next member of the ring; each member is probed once per round.
func (m *Machine) probeNext() []Action {
	for {
		if len(m.probeRing) == 0 {
			m.probeRing = m.randomMembers(math.MaxInt, "")
		}
		if len(m.probeRing) == 0 {
			return nil
		}
		id := m.probeRing[0]
		m.probeRing = m.probeRing[1:]
		if e, ok := m.entries[id]; ok && e.record.Status != StatusDead {
			exchange := m.exchange(id)
			exchange.Versions = m.versions()
			return []Action{m.send(id, PurposeProbe, exchange)}
		}
	}
}

// handleUnreachable starts indirect probes of the peer, or suspects it at once if it
// refused the connection or no other member can probe it.
func (m *Machine) handleUnreachable(now time.Time, message Unreachable) []Action {
	sent := message.Sent
	if m.observer {
		m.source = Contact{}
		return nil
	}
	delete(m.unackedLeaves, sent.Peer)
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
	if _, running := m.indirectProbes[sent.Peer]; running {
		return nil
	}
	m.indirectProbes[sent.Peer] = &indirectProbe{
		deadline: now.Add(indirectTimeoutTicks * m.settings.Interval), incarnation: e.record.Node.Incarnation,
	}
	target := Contact{ID: sent.Peer, Role: e.record.Node.Role, Address: e.record.Node.Address}
	var actions []Action
	for _, id := range helpers {
		exchange := Exchange{From: m.self.ID, Location: m.self.Location, Probe: &target}
		actions = append(actions, m.send(id, PurposeIndirect, exchange))
	}
	return actions
}

// probeOnBehalf probes the node that the sender of the exchange asked for.
func (m *Machine) probeOnBehalf(exchange Exchange) []Action {
	asker, ok := m.entries[exchange.From]
	if !ok {
		return nil
	}
	origin := Contact{ID: exchange.From, Role: asker.record.Node.Role, Address: asker.record.Node.Address}
	return []Action{Send{
		Address: exchange.Probe.Address, Peer: exchange.Probe.ID, Purpose: PurposeProbeOnBehalf,
		Origin: origin, Exchange: m.exchange(exchange.Probe.ID),
	}}
}

// suspect marks a member as suspect, if its incarnation is still the same, and notifies
// it so that it can refute.
func (m *Machine) suspect(now time.Time, id api.NodeID, incarnation uint64) []Action {
	e, ok := m.entries[id]
	if !ok || e.record.Status != StatusAlive || e.record.Node.Incarnation != incarnation {
		return nil
	}
	record := e.record
	record.Status = StatusSuspect
	m.storeRecord(now, record, true)
	exchange := Exchange{From: m.self.ID, Location: m.self.Location, Updates: []Record{m.selfRecord(), wireRecord(record)}}
	return []Action{m.send(id, PurposePush, exchange), ViewChanged{}}
}
