package jobs

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/dykewing/dykewing/api"
)

// sends gives the messages that are due, group by group.
func (r *Runner) sends(now time.Time) []RunnerAction {
	var actions []RunnerAction
	for _, id := range slices.Sorted(maps.Keys(r.groups)) {
		group := r.groups[id]
		if group.leader == "" {
			continue
		}
		actions = append(actions, r.claims(now, group)...)
		actions = append(actions, r.settles(now, group)...)
		actions = append(actions, r.renews(now, group)...)
	}
	return actions
}

// claims asks for as many items as there is room, when no claim is out. One that
// asks for nothing is out while items of the group are here, so that a cancel
// is heard of at once. A claim that waits at the leader is replaced once
// another row has room.
func (r *Runner) claims(now time.Time, group *runnerGroup) []RunnerAction {
	if r.stopping || now.Before(group.claimFrom) || r.kept > r.settings.MaximumUnsettledBytes {
		return nil
	}
	wants := r.wants()
	fresh := slices.ContainsFunc(wants, func(want ClaimWant) bool {
		return !group.claimed[api.RowKey{Service: want.Service, Place: want.Place}]
	})
	if len(wants) == 0 && !r.holds(group) || group.claim != 0 && !fresh {
		return nil
	}
	group.serial++
	group.claim = group.serial
	group.claimed = map[api.RowKey]bool{}
	for _, want := range wants {
		group.claimed[api.RowKey{Service: want.Service, Place: want.Place}] = true
	}
	return []RunnerAction{SendClaim{Group: group.id, Leader: group.leader, Serial: group.serial, Claim: ClaimItems{
		Router: r.settings.Router, Wants: wants, WaitMs: int(r.settings.ClaimWait.Milliseconds()),
	}}}
}

func (r *Runner) holds(group *runnerGroup) bool {
	for _, held := range r.runs {
		if held.group == group.id {
			return true
		}
	}
	return false
}

// wants is, for each row that holds less than half of it, the room and what will
// end within the lookahead, less what is held.
func (r *Runner) wants() []ClaimWant {
	var wants []ClaimWant
	for key := range r.rooms {
		r.row(key)
	}
	for _, key := range r.sortedRows() {
		row := r.rows[key]
		target := max(r.free(key), 0) + row.endingWithin(r.settings.Lookahead)
		if target > 0 && 2*len(row.held) < target && r.inTable(key) {
			wants = append(wants, ClaimWant{Service: key.Service, Place: key.Place, Room: target - len(row.held)})
		}
	}
	return wants
}

func (r *Runner) inTable(key api.RowKey) bool {
	_, ok := r.rooms[key]
	return ok
}

// endingWithin is how many runs will end within the time, at the mean duration.
func (row *runnerRow) endingWithin(lookahead time.Duration) int {
	const most = 4 // times those that run now
	if row.duration <= 0 {
		return 0
	}
	return min(int(int64(row.running)*int64(lookahead)/int64(row.duration)), most*row.running)
}

// settles reports what is in the outbox, when no report is out.
func (r *Runner) settles(now time.Time, group *runnerGroup) []RunnerAction {
	if len(group.outbox) == 0 || group.settle != 0 {
		return nil
	}
	if group.settleAt.IsZero() {
		group.settleAt = now.Add(r.settings.SettleInterval)
	}
	if now.Before(group.settleAt) && len(group.outbox) < maximumSettleItems {
		return nil
	}
	group.serial++
	group.settle, group.sent = group.serial, 0
	settle := Settle{Router: r.settings.Router}
	most := min(len(group.outbox), maximumSettleItems)
	if group.single {
		most = 1
	}
	for size := 0; group.sent < most && size < maximumSettleBytes; group.sent++ {
		entry := group.outbox[group.sent]
		size += entry.size
		if entry.result != nil {
			settle.Results = append(settle.Results, *entry.result)
		} else {
			settle.Returned = append(settle.Returned, entry.returned)
		}
	}
	slices.SortStableFunc(settle.Results, func(a, b ItemResult) int { return cmp.Compare(a.Item.Job, b.Item.Job) })
	return []RunnerAction{SendSettle{Group: group.id, Leader: group.leader, Serial: group.settle, Settle: settle}}
}

// settled forgets what a leader has taken and sends the rest again.
func (r *Runner) settled(now time.Time, answered SettleAnswered) []RunnerAction {
	group := r.group(answered.Group)
	if group.settle != answered.Serial {
		return nil
	}
	group.settle = 0
	group.settleAt = time.Time{}
	if answered.Refused {
		r.refused(group)
		return nil
	}
	if answered.Failed {
		group.settleAt = now.Add(r.settings.RetryInterval)
		return nil
	}
	for _, entry := range group.outbox[:group.sent] {
		r.kept -= entry.size
	}
	group.outbox = slices.Clone(group.outbox[group.sent:])
	return r.obey(now, group, answered.Notice)
}

// refused finds the report that a leader does not take, by sending them one by
// one, and sends it without the answer, so that it does not hold up others.
func (r *Runner) refused(group *runnerGroup) {
	if group.sent > 1 {
		group.single = true
		return
	}
	group.single = false
	first := &group.outbox[0]
	if first.result == nil || first.result.Code == api.CodeTooLarge {
		r.kept -= first.size
		group.outbox = slices.Clone(group.outbox[1:]) // its grant ends by itself
		return
	}
	stripped := *first.result
	stripped.Body, stripped.Status = nil, 0
	stripped.Code, stripped.Error = api.CodeTooLarge, "the answer was not kept"
	r.kept -= first.size - len(stripped.Error)
	first.result, first.size = &stripped, len(stripped.Error)
}

// renews lengthens all grants that are held of the group.
func (r *Runner) renews(now time.Time, group *runnerGroup) []RunnerAction {
	if group.renewing || now.Before(group.renewAt) {
		return nil
	}
	group.renewAt = now.Add(r.settings.RenewInterval)
	renew := Renew{Router: r.settings.Router}
	for _, request := range r.sortedRuns() {
		if held := r.runs[request]; held.group == group.id {
			renew.Items = append(renew.Items, RenewedGrant{Item: held.item.Item, Epoch: held.item.Epoch})
		}
	}
	if len(renew.Items) == 0 {
		return nil
	}
	group.renewing = true
	return []RunnerAction{SendRenew{Group: group.id, Leader: group.leader, Renew: renew}}
}

func (r *Runner) renewed(now time.Time, answered RenewAnswered) []RunnerAction {
	group := r.group(answered.Group)
	group.renewing = false
	if answered.Failed {
		group.renewAt = now.Add(r.settings.RetryInterval)
		return nil
	}
	return r.obey(now, group, answered.Notice)
}
