package membership

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/dykewing/dykewing/api"
)

// Retransmissions of a change, times log2 of the zone's size. An urgent change
// is one of status, of the leaving mark or of the table revision; a new summary
// is not, since the next one follows.
const (
	urgentFactor  = 3
	summaryFactor = 1
)

// updateQueue holds which entries have changed and still ride on heartbeats.
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

// put queues the entry anew. An urgent change stays urgent when a summary
// follows it.
func (q *updateQueue) put(id api.NodeID, urgent bool) {
	known, ok := q.pending[id]
	if ok && known.urgent && !urgent {
		return
	}
	q.pending[id] = &pendingUpdate{id: id, urgent: urgent}
}

func (q *updateQueue) drop(id api.NodeID) { delete(q.pending, id) }

// take gives the records that fit into budget bytes: urgent ones first, then
// those that were sent least. A record about the receiver itself goes only when
// there is something to refute.
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
	factor := summaryFactor
	if urgent {
		factor = urgentFactor
	}
	return factor * max(bits.Len(uint(nodes)), 2)
}

// wireRecord leaves out what the receiver can fill in.
func wireRecord(record Record) Record {
	record.Node = withoutLocation(record.Node)
	if record.Status == StatusAlive {
		record.Status = ""
	}
	return record
}

// Sizes of the JSON of a record's parts without its names, rounded up.
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
