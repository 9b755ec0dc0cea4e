package jobs

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/dykewing/dykewing/api"
)

// sendDue returns the messages that are due, group by group.
func (r *Runner) sendDue(now time.Time) []RunnerAction {
	var actions []RunnerAction
	for _, id := range slices.Sorted(maps.Keys(r.groups)) {
		group := r.groups[id]
		if group.leader == "" {
			continue
		}
		actions = append(actions, r.sendClaim(now, group)...)
		actions = append(actions, r.sendSettle(now, group)...)
		actions = append(actions, r.sendRenew(now, group)...)
	}
	return actions
}

// sendClaim claims items for the available room, unless a claim is pending. While this
// router has items of the group, an empty claim stays pending, so that cancellations
// arrive at once. A pending claim is replaced when another row has room.
func (r *Runner) sendClaim(now time.Time, group *runnerGroup) []RunnerAction {
	if r.stopping || now.Before(group.claimNotBefore) || r.unsettledBytes > r.settings.MaxUnsettledBytes {
		return nil
	}
	wants := r.wants()
	fresh := slices.ContainsFunc(wants, func(want RowCapacity) bool {
		return !group.claimedRows[api.RowKey{Service: want.Service, Place: want.Place}]
	})
	if len(wants) == 0 && !r.hasRuns(group) || group.claimSerial != 0 && !fresh {
		return nil
	}
	group.serial++
	group.claimSerial = group.serial
	group.claimedRows = map[api.RowKey]bool{}
	for _, want := range wants {
		group.claimedRows[api.RowKey{Service: want.Service, Place: want.Place}] = true
	}
	return []RunnerAction{SendClaim{Group: group.id, Leader: group.leader, Serial: group.serial, Claim: ClaimItems{
		Router: r.settings.Router, Rows: wants, WaitMs: int(r.settings.ClaimWait.Milliseconds()),
	}}}
}

func (r *Runner) hasRuns(group *runnerGroup) bool {
	for _, held := range r.runs {
		if held.group == group.id {
			return true
		}
	}
	return false
}

// wants returns what to claim: for each row, its free room and the runs expected to end
// within the lookahead, less the held items. Rows that hold at least half of that
// already are left out.
func (r *Runner) wants() []RowCapacity {
	var wants []RowCapacity
	for key := range r.rooms {
		r.row(key)
	}
	for _, key := range r.sortedRows() {
		row := r.rows[key]
		target := max(r.freeRoom(key), 0) + row.endingWithin(r.settings.Lookahead)
		if target > 0 && 2*len(row.held) < target && r.hasRow(key) {
			wants = append(wants, RowCapacity{Service: key.Service, Place: key.Place, Slots: target - len(row.held)})
		}
	}
	return wants
}

func (r *Runner) hasRow(key api.RowKey) bool {
	_, ok := r.rooms[key]
	return ok
}

// endingWithin estimates from the mean duration how many runs end within the lookahead,
// up to maxEndsPerRun times the current ones.
func (row *runnerRow) endingWithin(lookahead time.Duration) int {
	const maxEndsPerRun = 4
	if row.duration <= 0 {
		return 0
	}
	return min(int(int64(row.running)*int64(lookahead)/int64(row.duration)), maxEndsPerRun*row.running)
}

// sendSettle reports entries of the outbox, unless a report is pending.
func (r *Runner) sendSettle(now time.Time, group *runnerGroup) []RunnerAction {
	if len(group.outbox) == 0 || group.settleSerial != 0 {
		return nil
	}
	if group.settleAt.IsZero() {
		group.settleAt = now.Add(r.settings.SettleInterval)
	}
	if now.Before(group.settleAt) && len(group.outbox) < maxSettleItems {
		return nil
	}
	group.serial++
	group.settleSerial, group.settleCount = group.serial, 0
	settle := Settle{Router: r.settings.Router}
	limit := min(len(group.outbox), maxSettleItems)
	if group.oneByOne {
		limit = 1
	}
	for size := 0; group.settleCount < limit && size < maxSettleBytes; group.settleCount++ {
		entry := group.outbox[group.settleCount]
		size += entry.size
		if entry.result != nil {
			settle.Results = append(settle.Results, *entry.result)
		} else {
			settle.Returned = append(settle.Returned, entry.returned)
		}
	}
	slices.SortStableFunc(settle.Results, func(a, b ItemResult) int { return cmp.Compare(a.Item.Job, b.Item.Job) })
	return []RunnerAction{SendSettle{Group: group.id, Leader: group.leader, Serial: group.settleSerial, Settle: settle}}
}

// handleSettleAnswer removes entries that a leader has accepted; the others are sent
// again.
func (r *Runner) handleSettleAnswer(now time.Time, answered SettleAnswered) []RunnerAction {
	group := r.group(answered.Group)
	if group.settleSerial != answered.Serial {
		return nil
	}
	group.settleSerial = 0
	group.settleAt = time.Time{}
	if answered.Refused {
		r.handleRefusal(group)
		return nil
	}
	if answered.Failed {
		group.settleAt = now.Add(r.settings.RetryInterval)
		return nil
	}
	for _, entry := range group.outbox[:group.settleCount] {
		r.unsettledBytes -= entry.size
	}
	group.outbox = slices.Clone(group.outbox[group.settleCount:])
	return r.applyNotice(now, group, answered.Notice)
}

// handleRefusal isolates the entry that a leader rejects by sending entries one by one.
// That entry is then reported without its answer, so that it does not block the others.
func (r *Runner) handleRefusal(group *runnerGroup) {
	if group.settleCount > 1 {
		group.oneByOne = true
		return
	}
	group.oneByOne = false
	first := &group.outbox[0]
	if first.result == nil || first.result.Code == api.CodeTooLarge {
		r.unsettledBytes -= first.size
		group.outbox = slices.Clone(group.outbox[1:]) // its grant expires
		return
	}
	stripped := *first.result
	stripped.Body, stripped.Status = nil, 0
	stripped.Code, stripped.Error = api.CodeTooLarge, "the answer was not kept"
	r.unsettledBytes -= first.size - len(stripped.Error)
	first.result, first.size = &stripped, len(stripped.Error)
}

// sendRenew renews all grants of the group.
func (r *Runner) sendRenew(now time.Time, group *runnerGroup) []RunnerAction {
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

func (r *Runner) handleRenewAnswer(now time.Time, answered RenewAnswered) []RunnerAction {
	group := r.group(answered.Group)
	group.renewing = false
	if answered.Failed {
		group.renewAt = now.Add(r.settings.RetryInterval)
		return nil
	}
	return r.applyNotice(now, group, answered.Notice)
}
