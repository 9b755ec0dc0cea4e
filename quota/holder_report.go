package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/dykewing/dykewing/api"
)

// report makes the reports that are due, by group.
func (h *Holder) report(now time.Time) []HolderAction {
	h.forgetSent(now)
	due, urgent := map[api.GroupID][]api.RowKey{}, map[api.GroupID]bool{}
	for key, row := range h.rows {
		if !row.ceiling.Bounded() {
			continue
		}
		id := h.settings.GroupOf(key)
		group := h.group(id)
		due[id] = append(due[id], key)
		urgent[id] = urgent[id] || !group.next.After(now) || row.urgent(now)
	}
	var actions []HolderAction
	for _, id := range slices.Sorted(maps.Keys(due)) {
		if !urgent[id] || h.group(id).early.After(now) {
			continue
		}
		slices.SortFunc(due[id], func(a, b api.RowKey) int { return cmp.Compare(a.String(), b.String()) })
		actions = append(actions, h.reportGroup(now, id, due[id])...)
	}
	return actions
}

// reportGroup reports the rows in use; the last report of a group is empty.
func (h *Holder) reportGroup(now time.Time, id api.GroupID, keys []api.RowKey) []HolderAction {
	group := h.group(id)
	report := Report{
		Router: h.settings.Router, Instance: h.settings.Instance,
		Ended: h.oldestOpen() - 1, Epoch: group.epoch,
	}
	var reported []api.RowKey
	for _, key := range keys {
		row := h.rows[key]
		entry := h.rowReport(now, key, row)
		if entry.empty() && row.asked <= report.Ended {
			continue
		}
		row.asked = h.sequence + 1
		report.Rows = append(report.Rows, entry)
		reported = append(reported, key)
	}
	if len(report.Rows) == 0 && !group.reported {
		return nil
	}
	group.next, group.early = now.Add(h.settings.Interval), now.Add(h.settings.ShortInterval)
	group.reported = len(report.Rows) > 0
	h.sequence++
	report.Sequence = h.sequence
	h.sent = append(h.sent, sentReport{sequence: h.sequence, at: now, keys: reported})
	return []HolderAction{SendReport{Group: id, Report: report}}
}

func (h *Holder) forgetSent(now time.Time) {
	if h.settings.Fault == FaultExpireFromReceipt {
		return
	}
	h.sent = slices.DeleteFunc(h.sent, func(s sentReport) bool { return now.Sub(s.at) >= h.settings.Lifetime })
}

// urgent rows are reported early: something was refused or soon will be, or the
// need has fallen by half, so that others can have what is not used.
func (r *holding) urgent(now time.Time) bool {
	const worthReleasing = 4
	if r.denied > 0 {
		return true
	}
	if r.ceiling.Rate > 0 {
		r.expire(now)
		if r.arrived > r.left() {
			return true
		}
	}
	if r.ceiling.Concurrency == 0 {
		return false
	}
	released := r.wanted - r.inUse
	return r.peak > r.shareAt(now) || (released >= worthReleasing && 2*released >= r.wanted)
}

// empty rows need no report: nothing runs, none is wanted, nothing is held.
func (r RowReport) empty() bool { return r.Want == 0 && r.InUse == 0 && r.Tokens == 0 && r.Share == 0 }

func (h *Holder) rowReport(now time.Time, key api.RowKey, row *holding) RowReport {
	row.expire(now)
	report := RowReport{Key: Key(key), InUse: row.inUse, Ended: h.ended(now, row)}
	report.Share = row.shareAt(now)
	if row.ceiling.Concurrency > 0 {
		report.Want = row.peak
		if !row.demand.IsZero() && now.Sub(row.demand) < h.settings.IdleAfter {
			report.Want = max(row.peak, 1)
		}
	}
	if row.ceiling.Rate > 0 {
		const intervalsAhead = 2
		report.Tokens = max(intervalsAhead*row.arrived-row.left(), 0)
	}
	row.peak, row.denied, row.arrived = row.inUse, 0, 0
	row.wanted = report.Want
	return report
}

// ended is the newest sequence whose grant can allow nothing more: replaced,
// expired, or sent so long ago that its answer would come expired.
func (h *Holder) ended(now time.Time, row *holding) uint64 {
	ended := row.applied
	if row.applied > 0 && now.Before(row.expires) {
		return ended - 1
	}
	return max(ended, h.oldestOpen()-1)
}

// oldestOpen is the oldest sequence whose answer would still be applied.
func (h *Holder) oldestOpen() uint64 {
	if len(h.sent) > 0 {
		return h.sent[0].sequence
	}
	return h.sequence + 1
}

// apply takes shares that are newer than those applied. A share ends one
// Lifetime after its report was sent, however late the answer comes.
func (h *Holder) apply(now time.Time, id api.GroupID, grant Grant) {
	group := h.group(id)
	if grant.Epoch < group.epoch {
		return
	}
	if grant.Epoch > group.epoch {
		// A new owner gives shares only to holders that have seen its epoch.
		group.epoch, group.next, group.early = grant.Epoch, time.Time{}, time.Time{}
	}
	sent, ok := h.sentReport(grant.Sequence)
	if !ok || grant.Instance != h.settings.Instance || len(grant.Shares) != len(sent.keys) {
		return
	}
	sentAt := sent.at
	if h.settings.Fault == FaultExpireFromReceipt {
		sentAt = now
	}
	expires := sentAt.Add(h.settings.Lifetime)
	if !now.Before(expires) {
		return
	}
	for i, share := range grant.Shares {
		row, ok := h.rows[sent.keys[i]]
		if !ok || share.Unknown || grant.Sequence <= row.applied {
			continue
		}
		if share.Concurrency < row.shareAt(now) {
			// What this router gives up is waited for elsewhere.
			group.next = time.Time{}
		}
		row.applied = grant.Sequence
		row.share, row.expires = share.Concurrency, expires
		if share.Tokens > 0 {
			row.tokens = append(row.tokens, tokens{count: share.Tokens, expires: expires})
		}
	}
}

func (h *Holder) sentReport(sequence uint64) (sentReport, bool) {
	for _, sent := range h.sent {
		if sent.sequence == sequence {
			return sent, true
		}
	}
	return sentReport{}, false
}
