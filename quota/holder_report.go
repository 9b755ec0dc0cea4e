package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/dykewing/dykewing/api"
)

// report returns the reports that are due, in order of their groups.
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
		urgent[id] = urgent[id] || !group.nextReport.After(now) || row.urgent(now)
	}
	var actions []HolderAction
	for _, id := range slices.Sorted(maps.Keys(due)) {
		if !urgent[id] || h.group(id).earliestReport.After(now) {
			continue
		}
		slices.SortFunc(due[id], func(a, b api.RowKey) int { return cmp.Compare(a.String(), b.String()) })
		actions = append(actions, h.reportGroup(now, id, due[id])...)
	}
	return actions
}

// reportGroup reports the rows in use. Once there are none, one empty report is sent.
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
		if entry.empty() && row.lastReported <= report.Ended {
			continue
		}
		row.lastReported = h.sequence + 1
		report.Rows = append(report.Rows, entry)
		reported = append(reported, key)
	}
	if len(report.Rows) == 0 && !group.reported {
		return nil
	}
	group.nextReport, group.earliestReport = now.Add(h.settings.ReportInterval), now.Add(h.settings.MinReportInterval)
	group.reported = len(report.Rows) > 0
	h.sequence++
	report.Sequence = h.sequence
	h.sentReports = append(h.sentReports, sentReport{sequence: h.sequence, at: now, keys: reported})
	return []HolderAction{SendReport{Group: id, Report: report}}
}

func (h *Holder) forgetSent(now time.Time) {
	if h.settings.Fault == FaultExpireFromReceipt {
		return
	}
	h.sentReports = slices.DeleteFunc(h.sentReports, func(s sentReport) bool { return now.Sub(s.at) >= h.settings.ShareTTL })
}

// urgent reports whether a row should be reported early: requests were rejected or soon
// will be, or demand has halved and the unused share should be released.
func (r *rowHolding) urgent(now time.Time) bool {
	const minRelease = 4
	if r.rejected > 0 {
		return true
	}
	if r.ceiling.Rate > 0 {
		r.expireTokens(now)
		if r.arrivals > r.tokensLeft() {
			return true
		}
	}
	if r.ceiling.Concurrency == 0 {
		return false
	}
	released := r.wanted - r.inFlight
	return r.peakDemand > r.shareAt(now) || (released >= minRelease && 2*released >= r.wanted)
}

// empty reports whether a row need not be reported: nothing is in flight, wanted or
// held.
func (r RowReport) empty() bool {
	return r.Want == 0 && r.InFlight == 0 && r.Tokens == 0 && r.Share == 0
}

func (h *Holder) rowReport(now time.Time, key api.RowKey, row *rowHolding) RowReport {
	row.expireTokens(now)
	report := RowReport{Key: Key(key), InFlight: row.inFlight, Ended: h.ended(now, row)}
	report.Share = row.shareAt(now)
	if row.ceiling.Concurrency > 0 {
		report.Want = row.peakDemand
		if !row.lastArrival.IsZero() && now.Sub(row.lastArrival) < h.settings.IdleTimeout {
			report.Want = max(row.peakDemand, 1)
		}
	}
	if row.ceiling.Rate > 0 {
		const intervalsAhead = 2
		report.Tokens = max(intervalsAhead*row.arrivals-row.tokensLeft(), 0)
	}
	row.peakDemand, row.rejected, row.arrivals = row.inFlight, 0, 0
	row.wanted = report.Want
	return report
}

// ended returns the newest sequence whose grant admits nothing any more: it was replaced,
// has expired, or would arrive expired.
func (h *Holder) ended(now time.Time, row *rowHolding) uint64 {
	ended := row.applied
	if row.applied > 0 && now.Before(row.expires) {
		return ended - 1
	}
	return max(ended, h.oldestOpen()-1)
}

// oldestOpen returns the oldest sequence whose grant would still be applied.
func (h *Holder) oldestOpen() uint64 {
	if len(h.sentReports) > 0 {
		return h.sentReports[0].sequence
	}
	return h.sequence + 1
}

// apply applies the shares of a grant that are newer than those in force. The TTL of a
// share starts when its report was sent, however late the grant arrives.
func (h *Holder) apply(now time.Time, id api.GroupID, grant Grant) {
	group := h.group(id)
	if grant.Epoch < group.epoch {
		return
	}
	if grant.Epoch > group.epoch {
		// A new owner grants shares only to holders that have seen its epoch.
		group.epoch, group.nextReport, group.earliestReport = grant.Epoch, time.Time{}, time.Time{}
	}
	sent, ok := h.sentReport(grant.Sequence)
	if !ok || grant.Instance != h.settings.Instance || len(grant.Shares) != len(sent.keys) {
		return
	}
	sentAt := sent.at
	if h.settings.Fault == FaultExpireFromReceipt {
		sentAt = now
	}
	expires := sentAt.Add(h.settings.ShareTTL)
	if !now.Before(expires) {
		return
	}
	for i, share := range grant.Shares {
		row, ok := h.rows[sent.keys[i]]
		if !ok || share.Unknown || grant.Sequence <= row.applied {
			continue
		}
		if share.Concurrency < row.shareAt(now) {
			// Other routers wait for what this one gives up.
			group.nextReport = time.Time{}
		}
		row.applied = grant.Sequence
		row.share, row.expires = share.Concurrency, expires
		if share.Tokens > 0 {
			row.tokens = append(row.tokens, tokenBatch{count: share.Tokens, expires: expires})
		}
	}
}

func (h *Holder) sentReport(sequence uint64) (sentReport, bool) {
	for _, sent := range h.sentReports {
		if sent.sequence == sequence {
			return sent, true
		}
	}
	return sentReport{}, false
}
