package quota

import (
	"math"
	"slices"
	"time"

	"github.com/dykewing/dykewing/api"
)

// batchReserveDivisor is the divisor of the part of a share that batch requests leave free.
const batchReserveDivisor = 8

// HolderMessage is an input of a Holder's Step.
type HolderMessage interface{ holderMessage() }

// Tick lets a holder send the reports that are due. Send it several times per report
// interval.
type Tick struct{}

// HolderCeilings replaces the ceilings of all rows.
type HolderCeilings struct{ Rows map[api.RowKey]Ceiling }

// GrantReceived delivers a grant of the group's owner.
type GrantReceived struct {
	Group api.GroupID
	Grant Grant
}

func (Tick) holderMessage()           {}
func (HolderCeilings) holderMessage() {}
func (GrantReceived) holderMessage()  {}

// HolderAction is an output of a Holder's Step.
type HolderAction interface{ holderAction() }

// SendReport asks the caller to send the report to the leader of the group; it may be
// lost.
type SendReport struct {
	Group  api.GroupID
	Report Report
}

func (SendReport) holderAction() {}

// HolderSettings configure a Holder.
type HolderSettings struct {
	Settings
	Router   api.NodeID
	Instance uint64
	GroupOf  func(api.RowKey) api.GroupID
}

// Holder admits requests at one router within the shares that it holds. It is a state
// machine without I/O or a clock, and is not safe for concurrent use.
type Holder struct {
	settings    HolderSettings
	rows        map[api.RowKey]*rowHolding
	groups      map[api.GroupID]*groupState
	sequence    uint64
	sentReports []sentReport // within the share TTL, oldest first
	started     bool         // ceilings have been set
}

// groupState is the state of the reports to one group.
type groupState struct {
	nextReport     time.Time // next regular report
	earliestReport time.Time // earliest time of the next report
	epoch          uint64    // newest epoch seen
	reported       bool      // the last report had rows, so an empty one must follow
}

type sentReport struct {
	sequence uint64
	at       time.Time
	keys     []api.RowKey // rows of the report
}

// rowHolding is the state of one row at a holder.
type rowHolding struct {
	ceiling      Ceiling
	inFlight     int
	peakDemand   int // highest demand since the last report
	rejected     int // rejections since the last report
	arrivals     int // since the last report
	lastArrival  time.Time
	lastReported uint64 // sequence of the last report with the row
	wanted       int    // concurrency wanted in the last report
	applied      uint64 // sequence of the grant in force
	share        int
	expires      time.Time    // of share
	tokens       []tokenBatch // oldest first
}

type tokenBatch struct {
	count   int
	expires time.Time
}

// NewHolder returns a Holder without ceilings or shares.
func NewHolder(settings HolderSettings) *Holder {
	return &Holder{settings: settings, rows: map[api.RowKey]*rowHolding{}, groups: map[api.GroupID]*groupState{}}
}

// Acquire combines Check for an online request and Take. It reports whether the request
// is admitted, and if not, the delay after which to retry.
func (h *Holder) Acquire(now time.Time, key api.RowKey) (bool, time.Duration) {
	ok, retryAfter := h.Check(now, key, api.ClassOnline)
	if ok {
		h.Take(now, key)
	}
	return ok, retryAfter
}

// Check reports whether a request of the row may be admitted now, and if not, the delay
// after which to retry. Either way the demand is reported to the owner. Batch requests
// leave a part of the share free for online requests. A row without a ceiling always
// admits.
func (h *Holder) Check(now time.Time, key api.RowKey, class api.Class) (bool, time.Duration) {
	row := h.row(key)
	row.arrivals++
	row.lastArrival = now
	if !row.ceiling.Bounded() || row.admits(now, class) {
		return true, 0
	}
	row.rejected++
	row.peakDemand = max(row.peakDemand, row.inFlight+row.rejected)
	h.reportSoon(key, row, now)
	return false, h.retryAfter(row)
}

// Take admits a request right after a successful Check. Each Take needs a Release.
func (h *Holder) Take(now time.Time, key api.RowKey) {
	row := h.row(key)
	if row.ceiling.Rate > 0 {
		row.expireTokens(now)
		row.takeToken()
	}
	row.inFlight++
	row.peakDemand = max(row.peakDemand, row.inFlight)
}

// Release records the end of an admitted request.
func (h *Holder) Release(key api.RowKey) {
	row := h.row(key)
	row.inFlight--
}

// InFlight returns the number of requests of the row in flight.
func (h *Holder) InFlight(key api.RowKey) int { return h.row(key).inFlight }

// AvailableBatch returns how many more batch requests of the row would be admitted now. If there
// are none, the call counts as demand for one, since batch work is only scheduled where
// there is capacity.
func (h *Holder) AvailableBatch(now time.Time, key api.RowKey) int {
	row, ok := h.rows[key]
	if !ok || !row.ceiling.Bounded() {
		return math.MaxInt
	}
	room := max(row.available(now, api.ClassBatch), 0)
	if room == 0 {
		row.lastArrival = now
		row.peakDemand = max(row.peakDemand, row.inFlight+1)
		row.arrivals = max(row.arrivals, 1)
	}
	return room
}

// ShareExhausted reports whether the row's share of the concurrency ceiling is used up.
func (h *Holder) ShareExhausted(now time.Time, key api.RowKey) bool {
	row := h.row(key)
	return row.ceiling.Concurrency > 0 && row.inFlight > 0 && row.inFlight >= row.shareAt(now)
}

func (h *Holder) row(key api.RowKey) *rowHolding {
	row, ok := h.rows[key]
	if !ok {
		row = &rowHolding{}
		h.rows[key] = row
	}
	return row
}

// reportSoon makes the next report due at once if the holder has no share.
func (h *Holder) reportSoon(key api.RowKey, row *rowHolding, now time.Time) {
	if row.shareAt(now) == 0 && row.rejected == 1 {
		h.group(h.settings.GroupOf(key)).nextReport = time.Time{}
	}
}

// retryAfter returns one report interval, after which the share may have grown. With a
// rate ceiling it is at least the time between two admissions.
func (h *Holder) retryAfter(row *rowHolding) time.Duration {
	wait := h.settings.ReportInterval
	if row.ceiling.Rate > 0 {
		wait = max(wait, time.Duration(float64(time.Second)/row.ceiling.Rate))
	}
	return wait
}

func (r *rowHolding) admits(now time.Time, class api.Class) bool { return r.available(now, class) > 0 }

// available returns how many more requests the share and the tokens allow.
func (r *rowHolding) available(now time.Time, class api.Class) int {
	room := math.MaxInt
	if r.ceiling.Concurrency > 0 {
		share := r.shareAt(now)
		room = share - reserve(share, class) - r.inFlight
	}
	if r.ceiling.Rate > 0 {
		r.expireTokens(now)
		left := r.tokensLeft()
		room = min(room, left-reserve(left, class))
	}
	return room
}

// reserve returns the part of a share that batch requests leave free.
func reserve(share int, class api.Class) int {
	if class != api.ClassBatch || share <= 1 {
		return 0
	}
	return max(share/batchReserveDivisor, 1)
}

func (r *rowHolding) shareAt(now time.Time) int {
	if !now.Before(r.expires) {
		return 0
	}
	return r.share
}

func (r *rowHolding) expireTokens(now time.Time) {
	r.tokens = slices.DeleteFunc(r.tokens, func(t tokenBatch) bool { return t.count == 0 || !now.Before(t.expires) })
}

func (r *rowHolding) tokensLeft() int {
	total := 0
	for _, t := range r.tokens {
		total += t.count
	}
	return total
}

func (r *rowHolding) takeToken() {
	for i := range r.tokens {
		if r.tokens[i].count > 0 {
			r.tokens[i].count--
			return
		}
	}
}

// Step handles one message and returns the actions that the caller has to carry out.
func (h *Holder) Step(now time.Time, message HolderMessage) []HolderAction {
	switch message := message.(type) {
	case Tick:
		return h.report(now)
	case HolderCeilings:
		h.setCeilings(now, message.Rows)
	case GrantReceived:
		h.apply(now, message.Group, message.Grant)
	}
	return nil
}

func (h *Holder) setCeilings(now time.Time, rows map[api.RowKey]Ceiling) {
	h.forgetSent(now)
	for key, ceiling := range rows {
		row := h.row(key)
		if h.started && !row.ceiling.Bounded() {
			// The ceiling applies at once, so a share is requested at once.
			row.lastArrival = now
			group := h.group(h.settings.GroupOf(key))
			group.nextReport, group.earliestReport = time.Time{}, time.Time{}
		}
		row.ceiling = ceiling
	}
	h.started = true
	for key, row := range h.rows {
		if _, ok := rows[key]; ok {
			continue
		}
		row.ceiling = Ceiling{}
		// The sequence in force is kept as long as an older grant may still arrive.
		if row.inFlight == 0 && row.applied < h.oldestOpen() {
			delete(h.rows, key)
		}
	}
}

func (h *Holder) group(id api.GroupID) *groupState {
	group, ok := h.groups[id]
	if !ok {
		group = &groupState{}
		h.groups[id] = group
	}
	return group
}
