package quota

import (
	"slices"
	"time"

	"github.com/dykewing/dykewing/api"
)

// rowState is the state of one row at an owner.
type rowState struct {
	// accounted is the use of all holders at the time of their first report in this epoch.
	// It limits grants until all holders have reported.
	accounted  int
	shares     map[api.NodeID]*holderShare
	total      usage // of all shares, as last counted
	countedAt  time.Time
	tokens     float64 // level of the token bucket of the rate ceiling
	refilledAt time.Time
}

// holderShare is the state of one row at one holder.
type holderShare struct {
	inFlight   int
	want       int
	grants     []grantRecord // oldest first; removed once the holder reports that they have ended
	lastReport time.Time
	usage      usage // as included in the total of the row
}

// usage is what shares hold and want. An outdated total is too high, never too low, since
// what is held only decreases with time.
type usage struct {
	held      int
	wanted    int
	claimants int // number of shares that want anything
}

func (n usage) plus(other usage) usage {
	return usage{held: n.held + other.held, wanted: n.wanted + other.wanted, claimants: n.claimants + other.claimants}
}

func (n usage) minus(other usage) usage {
	return usage{held: n.held - other.held, wanted: n.wanted - other.wanted, claimants: n.claimants - other.claimants}
}

type grantRecord struct {
	sequence    uint64
	concurrency int
	expires     time.Time
}

// capacity returns how much of a row may be granted. While a registered holder has not
// reported, its use is unknown, but together with the accounted use it is within the
// ceiling.
func (o *Owner) capacity(now time.Time, row *rowState, ceiling int) int {
	if o.settings.Fault == FaultForgetHolders || !now.Before(o.unheardUntil) {
		return ceiling
	}
	if o.unheard > 0 {
		return min(row.accounted, ceiling)
	}
	return ceiling
}

func (o *Owner) row(now time.Time, key api.RowKey) *rowState {
	row, ok := o.rows[key]
	if !ok {
		row = &rowState{shares: map[api.NodeID]*holderShare{}, refilledAt: now}
		o.rows[key] = row
	}
	return row
}

func (r *rowState) share(router api.NodeID) *holderShare {
	share, ok := r.shares[router]
	if !ok {
		share = &holderShare{}
		r.shares[router] = share
	}
	return share
}

// applyReport records the report of a row; the zero report means that nothing is in use.
func (s *holderShare) applyReport(now time.Time, report RowReport) {
	s.inFlight, s.want, s.lastReport = report.InFlight, report.Want, now
	s.grants = slices.DeleteFunc(s.grants, func(g grantRecord) bool { return g.sequence <= report.Ended })
}

// held returns the most that the holder can have in use now: its reported use, or any
// grant that it has not reported as ended. A share that expired without a report counts for
// the maximum run time of its requests.
func (s *holderShare) held(now time.Time, settings Settings) int {
	held := 0
	if s.inFlight > 0 && now.Sub(s.lastReport) < settings.ShareTTL+settings.MaxRunTime {
		held = s.inFlight
	}
	for _, grant := range s.grants {
		if now.Before(grant.expires.Add(settings.MaxRunTime)) {
			held = max(held, grant.concurrency)
		}
	}
	return held
}

// updateTotal updates the part of a share in the total of the row.
func (r *rowState) updateTotal(now time.Time, share *holderShare, settings Settings) {
	next := usage{held: share.held(now, settings)}
	if share.want > 0 && now.Sub(share.lastReport) < settings.ShareTTL {
		next.wanted, next.claimants = share.want, 1
	}
	r.total = r.total.minus(share.usage).plus(next)
	share.usage = next
}

func (r *rowState) remove(router api.NodeID) {
	if share, ok := r.shares[router]; ok {
		r.total = r.total.minus(share.usage)
		delete(r.shares, router)
	}
}

// recount updates the total once per share TTL, for holders that stopped reporting.
func (r *rowState) recount(now time.Time, settings Settings) {
	if now.Sub(r.countedAt) < settings.ShareTTL {
		return
	}
	r.countedAt = now
	for _, share := range r.shares {
		r.updateTotal(now, share, settings)
	}
}

// concurrency grants the holder its part of the ceiling by demand, up to what is free.
func (o *Owner) concurrency(now time.Time, report Report, row RowReport, ceiling int) int {
	state := o.row(now, api.RowKey(row.Key))
	state.recount(now, o.settings)
	own := state.share(report.Router)
	free := max(o.capacity(now, state, ceiling)-(state.total.held-own.usage.held), 0)
	granted := min(part(ceiling, row.Want, state.total.wanted, state.total.claimants), free)
	own.grants = append(own.grants, grantRecord{
		sequence: report.Sequence, concurrency: granted, expires: now.Add(o.settings.ShareTTL + o.settings.DriftMargin),
	})
	state.updateTotal(now, own, o.settings)
	return granted
}

// part divides the ceiling by demand: in proportion if demand exceeds it, else all that is
// wanted and an equal part of the rest.
func part(ceiling, want, wanted, wanting int) int {
	if want == 0 {
		return 0
	}
	if wanted > ceiling {
		// Rounded up so that nothing is left over; the caller limits it to what is free.
		return (ceiling*want + wanted - 1) / wanted
	}
	return want + (ceiling-wanted)/max(wanting, 1)
}

// tokens grants admissions from the token bucket of the row, which holds one second's worth
// and starts empty.
func (o *Owner) tokens(now time.Time, report RowReport, rate float64) int {
	row := o.row(now, api.RowKey(report.Key))
	row.tokens = min(row.tokens+rate*now.Sub(row.refilledAt).Seconds(), max(rate, 1))
	row.refilledAt = now
	granted := min(report.Tokens, int(row.tokens))
	row.tokens -= float64(granted)
	return granted
}
