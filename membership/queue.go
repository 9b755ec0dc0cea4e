package membership

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/dykewing/dykewing/api"
)

// Factors of log2 of the zone's size that give the transmissions of a change. Load
// summaries need fewer than urgent changes (of status, incarnation, leaving mark, table
// revision or offered rows), since a newer summary soon follows.
const (
	urgentRetransmitFactor  = 3
	summaryRetransmitFactor = 1
)

// updateQueue holds the changed entries that are still to be piggybacked on heartbeats.
type updateQueue struct {
	pending map[api.NodeID]*pendingUpdate
}

type pendingUpdate struct {
	id        api.NodeID
	urgent    bool
	transmits int
}

func newUpdateQueue() *updateQueue {
	return &updateQueue{pending: map[api.NodeID]*pendingUpdate{}}
}

// put queues the entry and resets its transmissions. A pending urgent change is kept
// if the new one is not urgent.
func (q *updateQueue) put(id api.NodeID, urgent bool) {
	known, ok := q.pending[id]
	if ok && known.urgent && !urgent {
		return
	}
	q.pending[id] = &pendingUpdate{id: id, urgent: urgent}
}

func (q *updateQueue) drop(id api.NodeID) { delete(q.pending, id) }

// take returns records that fit into budget bytes: urgent ones first, then those
// transmitted least often. Records of the receiver itself are skipped; see
// Machine.exchange. Records that have reached their transmit limit leave the queue.
func (q *updateQueue) take(to api.NodeID, entries map[api.NodeID]*entry, budget int) []Record {
	var records []Record
	for _, update := range q.ordered() {
		known, ok := entries[update.id]
		if !ok || update.id == to {
			continue
		}
		size := recordBytes(known.record)
		if size > budget {
			continue
		}
		budget -= size
		records = append(records, wireRecord(known.record))
		update.transmits++
		if update.transmits >= transmitLimit(update.urgent, len(entries)) {
			delete(q.pending, update.id)
		}
	}
	return records
}

func (q *updateQueue) ordered() []*pendingUpdate {
	updates := make([]*pendingUpdate, 0, len(q.pending))
	for _, update := range q.pending {
		updates = append(updates, update)
	}
	slices.SortFunc(updates, func(a, b *pendingUpdate) int {
		if a.urgent != b.urgent {
			if a.urgent {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.transmits, b.transmits), cmp.Compare(a.id, b.id))
	})
	return updates
}

func transmitLimit(urgent bool, nodes int) int {
	factor := summaryRetransmitFactor
	if urgent {
		factor = urgentRetransmitFactor
	}
	return factor * max(bits.Len(uint(nodes)), 2)
}

// wireRecord omits what the receiver can fill in.
func wireRecord(record Record) Record {
	record.Node = withoutLocation(record.Node)
	if record.Status == StatusAlive {
		record.Status = ""
	}
	return record
}

// Approximate JSON sizes in bytes of a record's parts, without their names.
const (
	nodeBytes    = 130
	serviceBytes = 85
	groupBytes   = 55
	backlogBytes = 35
)

// recordBytes estimates the JSON size of a record without encoding it.
func recordBytes(record Record) int {
	size := nodeBytes + len(record.Node.ID) + len(record.Node.Address)
	for _, service := range record.Node.Summary.Services {
		size += serviceBytes + len(service.Service) + len(service.Place)
	}
	for _, group := range record.Node.Summary.Groups {
		size += groupBytes
		for _, backlog := range group.Waiting {
			size += backlogBytes + len(backlog.Service)
		}
	}
	return size
}
