package quota

import (
	"math"
	"slices"
	"time"

	"github.com/dykewing/dykewing/api"
)

// batchReserve: batch leaves one part in so many of a share free.
const batchReserve = 8

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
	started  bool         // ceilings were set before
}

type reporting struct {
	next     time.Time // of a report in steady use
	early    time.Time // no report before
	epoch    uint64    // newest seen
	reported bool      // something was reported, so that an empty report is due
}

type sentReport struct {
	sequence uint64
	at       time.Time
	keys     []api.RowKey // the report's rows
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
	wanted  int       // of the last report
	applied uint64    // sequence of the grant that is applied
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

// Acquire admits one request of the row, or says when to come back: Check and
// Take in one.
func (h *Holder) Acquire(now time.Time, key api.RowKey) (bool, time.Duration) {
	ok, retryAfter := h.Check(now, key, api.ClassOnline)
	if ok {
		h.Take(now, key)
	}
	return ok, retryAfter
}

// Check tells at once whether a request of the row may be admitted now, or when
// to come back; the need is reported to the owner either way. Batch leaves a
// part of the share free, so that online requests find it. A row without a
// ceiling always may.
func (h *Holder) Check(now time.Time, key api.RowKey, class api.Class) (bool, time.Duration) {
	row := h.row(key)
	row.arrived++
	row.demand = now
	if !row.ceiling.Bounded() || row.admits(now, class) {
		return true, 0
	}
	row.denied++
	row.peak = max(row.peak, row.inUse+row.denied)
	h.askSoon(key, row, now)
	return false, h.retryAfter(row)
}

// Take admits a request that was checked in the same step. It is ended by
// Release.
func (h *Holder) Take(now time.Time, key api.RowKey) {
	row := h.row(key)
	if row.ceiling.Rate > 0 {
		row.expire(now)
		row.take()
	}
	row.inUse++
	row.peak = max(row.peak, row.inUse)
}

// Release ends an admitted request.
func (h *Holder) Release(key api.RowKey) {
	row := h.row(key)
	row.inUse--
}

// InUse counts the row's requests that run.
func (h *Holder) InUse(key api.RowKey) int { return h.row(key).inUse }

// Room is how many more batch requests of the row would be admitted now. To
// ask is to need one: batch work is only looked for where there is room.
func (h *Holder) Room(now time.Time, key api.RowKey) int {
	row, ok := h.rows[key]
	if !ok || !row.ceiling.Bounded() {
		return math.MaxInt
	}
	room := max(row.room(now, api.ClassBatch), 0)
	if room == 0 {
		row.demand = now
		row.peak = max(row.peak, row.inUse+1)
		row.arrived = max(row.arrived, 1)
	}
	return room
}

// ShareInUse tells whether the row's share of the concurrency is what keeps the
// next online request out.
func (h *Holder) ShareInUse(now time.Time, key api.RowKey) bool {
	row := h.row(key)
	return row.ceiling.Concurrency > 0 && row.inUse > 0 && row.inUse >= row.shareAt(now)
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

func (r *holding) admits(now time.Time, class api.Class) bool { return r.room(now, class) > 0 }

// room is how many more requests the share and the tokens allow.
func (r *holding) room(now time.Time, class api.Class) int {
	room := math.MaxInt
	if r.ceiling.Concurrency > 0 {
		share := r.shareAt(now)
		room = share - reserve(share, class) - r.inUse
	}
	if r.ceiling.Rate > 0 {
		r.expire(now)
		left := r.left()
		room = min(room, left-reserve(left, class))
	}
	return room
}

// reserve is the part that batch leaves free.
func reserve(share int, class api.Class) int {
	if class != api.ClassBatch || share <= 1 {
		return 0
	}
	return max(share/batchReserve, 1)
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
		row := h.row(key)
		if h.started && !row.ceiling.Bounded() {
			// It is in force at once, so a share is asked for at once.
			row.demand = now
			group := h.group(h.settings.GroupOf(key))
			group.next, group.early = time.Time{}, time.Time{}
		}
		row.ceiling = ceiling
	}
	h.started = true
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
