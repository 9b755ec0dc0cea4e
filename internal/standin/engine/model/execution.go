package model

import "time"

// execution is the record of a request ID.
type execution struct {
	started  int // executions that started to compute
	produced int
	complete bool
	live     int // running and waiting executions
	ended    time.Time
}

// executions records request IDs while they run and for the retention time afterwards, so that
// duplicate runs are detected.
type executions struct {
	retention time.Duration
	byID      map[string]*execution
	ended     []endedID // oldest first
}

type endedID struct {
	id string
	at time.Time
}

func newExecutions(retention time.Duration) *executions {
	return &executions{retention: retention, byID: map[string]*execution{}}
}

func (x *executions) submitted(now time.Time, id string) {
	x.prune(now)
	record, ok := x.byID[id]
	if !ok {
		record = &execution{}
		x.byID[id] = record
	}
	record.live++
}

func (x *executions) started(sequence *sequence) {
	if record, ok := x.byID[sequence.request.ID]; ok && !sequence.counted {
		sequence.counted = true
		record.started++
	}
}

func (x *executions) finished(now time.Time, id string, produced int, complete bool) {
	record, ok := x.byID[id]
	if !ok {
		return
	}
	record.live--
	record.produced = max(record.produced, produced)
	record.complete = record.complete || complete
	record.ended = now
	x.ended = append(x.ended, endedID{id: id, at: now})
}

// resume returns the number of tokens generated for the ID, and whether an execution of it was counted
// as started.
func (x *executions) resume(id string) (int, bool) {
	record, ok := x.byID[id]
	if !ok {
		return 0, false
	}
	return record.produced, record.started > 0
}

func (x *executions) prune(now time.Time) {
	for len(x.ended) > 0 && now.Sub(x.ended[0].at) > x.retention {
		id := x.ended[0].id
		x.ended = x.ended[1:]
		if record, ok := x.byID[id]; ok && record.live == 0 && now.Sub(record.ended) > x.retention {
			delete(x.byID, id)
		}
	}
}

func (x *executions) counts() map[string]int {
	counts := make(map[string]int, len(x.byID))
	for id, record := range x.byID {
		counts[id] = record.started
	}
	return counts
}
