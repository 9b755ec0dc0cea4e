package quota

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/dykewing/dykewing/api"
)

// HolderMessage is what a Holder is stepped with.
type HolderMessage interface{ holderMessage() }

// Tick lets a holder report when an interval has passed; send it several times
// an interval.
type Tick struct{}

// Ceilings replaces the bounds of the table in force.
type Ceilings struct{ Rows map[api.RowKey]Ceiling }

// Granted carries the answer of the group's owner.
type Granted struct {
	Group api.GroupID
	Grant Grant
}

func (Tick) holderMessage()     {}
func (Ceilings) holderMessage() {}
func (Granted) holderMessage()  {}

// HolderAction is what a Holder asks for.
type HolderAction interface{ holderAction() }

// SendReport sends the report to the owner that leads the group; loss is
// allowed.
type SendReport struct {
	Group  api.GroupID
	Report Report
}

func (SendReport) holderAction() {}

// HolderSettings of a Holder.
type HolderSettings struct {
	Settings
	Router   api.NodeID
	Instance uint64
	GroupOf  func(api.RowKey) api.GroupID
}

// Holder admits requests at one router within the shares that it holds.
type Holder struct {
	settings HolderSettings
	rows     map[api.RowKey]*holding
	groups   map[api.GroupID]*reporting
	sequence uint64
	sent     []sentReport // of the last Lifetime, oldest first
}

type reporting struct {
	next     time.Time
	epoch    uint64 // newest seen
	reported bool   // something was reported, so that an empty report is due
}

type sentReport struct {
	sequence uint64
	at       time.Time
}

// holding is what the holder knows of one row.
type holding struct {
	ceiling Ceiling
	inUse   int
	peak    int       // highest need since the last report
	denied  int       // refusals since the last report
	arrived int       // admissions asked for since the last report
	demand  time.Time // last admission asked for
	asked   uint64    // sequence of the last report with the row
	epoch   uint64
	applied uint64 // sequence of the grant that is applied
	share   int
	expires time.Time // of share
	tokens  []tokens  // oldest first
}

type tokens struct {
	count   int
	expires time.Time
}

// NewHolder holds nothing.
func NewHolder(settings HolderSettings) *Holder {
	return &Holder{settings: settings, rows: map[api.RowKey]*holding{}, groups: map[api.GroupID]*reporting{}}
}

// Acquire admits one request of the row, or says when to come back. An admitted
// request is ended by Release. It answers at once; a row without a ceiling is
// always admitted.
func (h *Holder) Acquire(now time.Time, key api.RowKey) (bool, time.Duration) {
	row := h.row(key)
	row.arrived++
	row.demand = now
	if row.ceiling.Bounded() && !row.admits(now) {
		row.denied++
		row.peak = max(row.peak, row.inUse+row.denied)
		h.askSoon(key, row, now)
		return false, h.retryAfter(row)
	}
	if row.ceiling.Rate > 0 {
		row.take()
	}
	row.inUse++
	row.peak = max(row.peak, row.inUse)
	return true, 0
}

// Release ends an admitted request.
func (h *Holder) Release(key api.RowKey) {
	row := h.row(key)
	row.inUse--
}

// InUse counts the row's requests that run.
func (h *Holder) InUse(key api.RowKey) int { return h.row(key).inUse }

// Room is how many more requests of the row would be admitted now.
func (h *Holder) Room(now time.Time, key api.RowKey) int {
	row := h.row(key)
	room := math.MaxInt
	if row.ceiling.Concurrency > 0 {
		room = max(row.shareAt(now)-row.inUse, 0)
	}
	if row.ceiling.Rate > 0 {
		row.expire(now)
		room = min(room, row.left())
	}
	return room
}

func (h *Holder) row(key api.RowKey) *holding {
	row, ok := h.rows[key]
	if !ok {
		row = &holding{}
		h.rows[key] = row
	}
	return row
}

// askSoon brings the next report forward when nothing is held.
func (h *Holder) askSoon(key api.RowKey, row *holding, now time.Time) {
	if row.shareAt(now) == 0 && row.denied == 1 {
		h.group(h.settings.GroupOf(key)).next = time.Time{}
	}
}

// retryAfter is one interval, by when the share may have grown; with a rate it
// is at least the time until the ceiling lets one more through.
func (h *Holder) retryAfter(row *holding) time.Duration {
	wait := h.settings.Interval
	if row.ceiling.Rate > 0 {
		wait = max(wait, time.Duration(float64(time.Second)/row.ceiling.Rate))
	}
	return wait
}

func (r *holding) admits(now time.Time) bool {
	if r.ceiling.Concurrency > 0 && r.inUse >= r.shareAt(now) {
		return false
	}
	if r.ceiling.Rate <= 0 {
		return true
	}
	r.expire(now)
	return r.left() > 0
}

func (r *holding) shareAt(now time.Time) int {
	if !now.Before(r.expires) {
		return 0
	}
	return r.share
}

func (r *holding) expire(now time.Time) {
	r.tokens = slices.DeleteFunc(r.tokens, func(t tokens) bool { return t.count == 0 || !now.Before(t.expires) })
}

func (r *holding) left() int {
	total := 0
	for _, t := range r.tokens {
		total += t.count
	}
	return total
}

func (r *holding) take() {
	for i := range r.tokens {
		if r.tokens[i].count > 0 {
			r.tokens[i].count--
			return
		}
	}
}

// Step takes one message.
func (h *Holder) Step(now time.Time, message HolderMessage) []HolderAction {
	switch message := message.(type) {
	case Tick:
		return h.report(now)
	case Ceilings:
		h.setCeilings(now, message.Rows)
	case Granted:
		h.apply(now, message.Group, message.Grant)
	}
	return nil
}

func (h *Holder) setCeilings(now time.Time, rows map[api.RowKey]Ceiling) {
	h.forgetSent(now)
	for key, ceiling := range rows {
		h.row(key).ceiling = ceiling
	}
	for key, row := range h.rows {
		if _, ok := rows[key]; ok {
			continue
		}
		row.ceiling = Ceiling{}
		// What was applied is remembered for as long as an older grant can come.
		if row.inUse == 0 && row.applied < h.oldestOpen() {
			delete(h.rows, key)
		}
	}
}

func (h *Holder) group(id api.GroupID) *reporting {
	group, ok := h.groups[id]
	if !ok {
		group = &reporting{}
		h.groups[id] = group
	}
	return group
}

// report makes the reports that are due, by group.
func (h *Holder) report(now time.Time) []HolderAction {
	h.forgetSent(now)
	due := map[api.GroupID][]api.RowKey{}
	for key, row := range h.rows {
		id := h.settings.GroupOf(key)
		if row.ceiling.Bounded() && !h.group(id).next.After(now) {
			due[id] = append(due[id], key)
		}
	}
	var actions []HolderAction
	for _, id := range slices.Sorted(maps.Keys(due)) {
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
	for _, key := range keys {
		row := h.rows[key]
		entry := h.rowReport(now, key, row)
		if entry.empty() && row.asked <= report.Ended {
			continue
		}
		row.asked = h.sequence + 1
		report.Rows = append(report.Rows, entry)
	}
	if len(report.Rows) == 0 && !group.reported {
		return nil
	}
	group.next, group.reported = now.Add(h.settings.Interval), len(report.Rows) > 0
	h.sequence++
	report.Sequence = h.sequence
	h.sent = append(h.sent, sentReport{sequence: h.sequence, at: now})
	return []HolderAction{SendReport{Group: id, Report: report}}
}

func (h *Holder) forgetSent(now time.Time) {
	if h.settings.Fault == FaultExpireFromReceipt {
		return
	}
	h.sent = slices.DeleteFunc(h.sent, func(s sentReport) bool { return now.Sub(s.at) >= h.settings.Lifetime })
}

// empty rows need no report: nothing runs, none is wanted, nothing is held.
func (r RowReport) empty() bool { return r.Want == 0 && r.InUse == 0 && r.Tokens == 0 && r.Epoch == 0 }

func (h *Holder) rowReport(now time.Time, key api.RowKey, row *holding) RowReport {
	row.expire(now)
	report := RowReport{Key: key, InUse: row.inUse, Ended: h.ended(now, row)}
	if row.shareAt(now) > 0 {
		report.Epoch = row.epoch
	}
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
	group.epoch = grant.Epoch
	sentAt, ok := h.sentAt(grant.Sequence)
	if !ok || grant.Instance != h.settings.Instance {
		return
	}
	if h.settings.Fault == FaultExpireFromReceipt {
		sentAt = now
	}
	expires := sentAt.Add(h.settings.Lifetime)
	if !now.Before(expires) {
		return
	}
	for _, share := range grant.Shares {
		row, ok := h.rows[share.Key]
		if !ok || grant.Sequence <= row.applied {
			continue
		}
		if share.Concurrency < row.shareAt(now) {
			// What this router gives up is waited for elsewhere.
			group.next = time.Time{}
		}
		row.applied, row.epoch = grant.Sequence, grant.Epoch
		row.share, row.expires = share.Concurrency, expires
		if share.Tokens > 0 {
			row.tokens = append(row.tokens, tokens{count: share.Tokens, expires: expires})
		}
	}
}

func (h *Holder) sentAt(sequence uint64) (time.Time, bool) {
	for _, sent := range h.sent {
		if sent.sequence == sequence {
			return sent.at, true
		}
	}
	return time.Time{}, false
}
