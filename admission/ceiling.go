package admission

import (
	"cmp"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/quota"
	"github.com/dykewing/dykewing/routing"
)

// QuotaMessage forwards a message to the quota.Holder: a tick or an owner's answer.
type QuotaMessage struct{ Message quota.HolderMessage }

func (QuotaMessage) admissionMessage() {}

// ReportShares sends a report of the quota.Holder to the owner of its group.
type ReportShares struct{ quota.SendReport }

func (ReportShares) admissionAction() {}

func (m *Machine) setCeilings(now time.Time, rows map[api.RowKey]api.Row) {
	if m.settings.Ceilings == nil {
		return
	}
	ceilings := map[api.RowKey]quota.Ceiling{}
	for key, row := range rows {
		if ceiling := quota.CeilingOf(row); ceiling.Bounded() {
			ceilings[key] = ceiling
		}
	}
	m.settings.Ceilings.Step(now, quota.HolderCeilings{Rows: ceilings})
}

func (m *Machine) stepCeilings(now time.Time, message QuotaMessage) []Action {
	if m.settings.Ceilings == nil {
		return nil
	}
	var actions []Action
	for _, action := range m.settings.Ceilings.Step(now, message.Message) {
		if report, ok := action.(quota.SendReport); ok {
			actions = append(actions, ReportShares{SendReport: report})
		}
	}
	return actions
}

// checkCeiling refuses a request that exceeds the row's ceiling. An online
// request may take over the permit of a preempted batch request of the row.
func (m *Machine) checkCeiling(now time.Time, request routing.Request, row *rowState) (preempted, refusal []Action) {
	if m.settings.Ceilings == nil {
		return nil, m.checkLocalCeiling(request, row)
	}
	ok, retryAfter := m.settings.Ceilings.Check(now, row.key, request.Class)
	if !ok && request.Class == api.ClassOnline && m.settings.Ceilings.ShareExhausted(now, row.key) {
		preempted = m.preemptRow(row)
		if len(preempted) > 0 {
			ok, retryAfter = m.settings.Ceilings.Check(now, row.key, request.Class)
		}
	}
	if ok {
		return preempted, nil
	}
	refusal = m.refuse(request, api.CodeCeiling, retryAfter, "the share of the ceiling of row %s is in use", row.key)
	return nil, append(preempted, refusal...)
}

// checkLocalCeiling enforces the row's concurrency ceiling at this router alone.
func (m *Machine) checkLocalCeiling(request routing.Request, row *rowState) []Action {
	if ceiling := row.row.CeilingConcurrency; ceiling > 0 && row.inUse >= ceiling {
		return m.refuse(request, api.CodeCeiling, m.settings.RetryAfter, "row %s has %d requests in flight", row.key, row.inUse)
	}
	return nil
}

// preemptRow cancels the youngest repeatable batch request of the row. Others
// are not cancelled, since their outcome would be unknown.
func (m *Machine) preemptRow(row *rowState) []Action {
	if row.batchUse == 0 {
		return nil
	}
	var youngest *flight
	for _, flight := range m.flights {
		if flight.row != row || flight.class != api.ClassBatch || !flight.repeatable {
			continue
		}
		if youngest == nil || cmp.Or(flight.dispatched.Compare(youngest.dispatched), cmp.Compare(flight.request, youngest.request)) > 0 {
			youngest = flight
		}
	}
	if youngest == nil {
		return nil
	}
	m.finish(youngest)
	return []Action{Preempt{Request: youngest.request, Worker: youngest.worker.worker.ID}}
}

func (m *Machine) takeCeiling(now time.Time, row *rowState) {
	if m.settings.Ceilings != nil {
		m.settings.Ceilings.Take(now, row.key)
	}
}

func (m *Machine) releaseCeiling(row *rowState) {
	if m.settings.Ceilings != nil {
		m.settings.Ceilings.Release(row.key)
	}
}

// ceilingRoom returns how many of room batch requests the row's ceiling admits.
func (m *Machine) ceilingRoom(now time.Time, row *rowState, room int) int {
	if m.settings.Ceilings == nil {
		return room
	}
	return min(room, m.settings.Ceilings.AvailableBatch(now, row.key))
}
