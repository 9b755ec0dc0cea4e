package quota

import (
	"slices"
	"time"

	"github.com/dykewing/dykewing/api"
)

// rowState is what is known of one row.
type rowState struct {
	// accounted is what the holders that were heard had in use when first
	// heard: while others are silent it bounds what may be granted.
	accounted int
	shares    map[api.NodeID]*holderShare
	sum       need // of the shares, as last counted
	counted   time.Time
	tokens    float64 // of the rate, up to one burst
	filled    time.Time
}

// holderShare is the part of a row at one holder.
type holderShare struct {
	inUse  int
	want   int
	grants []grantRecord // oldest first, until the holder says that they ended
	last   time.Time
	need   need // as counted in the row's sum
}

// need is what shares hold and want. A sum that is old is too high, never too
// low: what is held only falls with time.
type need struct {
	held    int
	wanted  int
	wanting int // shares that want anything
}

func (n need) plus(other need) need {
	return need{held: n.held + other.held, wanted: n.wanted + other.wanted, wanting: n.wanting + other.wanting}
}

func (n need) minus(other need) need {
	return need{held: n.held - other.held, wanted: n.wanted - other.wanted, wanting: n.wanting - other.wanting}
}

type grantRecord struct {
	sequence    uint64
	concurrency int
	expires     time.Time
}

// capacity is what may be granted of a row. While a registered holder is
// silent, what is in use there is not known; but it and what was accounted for
// are together within the ceiling.
func (o *Owner) capacity(now time.Time, row *rowState, ceiling int) int {
	if o.settings.Fault == FaultForgetHolders || !now.Before(o.until) {
		return ceiling
	}
	if o.silent > 0 {
		return min(row.accounted, ceiling)
	}
	return ceiling
}

func (o *Owner) row(now time.Time, key api.RowKey) *rowState {
	row, ok := o.rows[key]
	if !ok {
		row = &rowState{shares: map[api.NodeID]*holderShare{}, filled: now}
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

// take notes a row's report; the zero report says that nothing is in use.
func (s *holderShare) take(now time.Time, report RowReport) {
	s.inUse, s.want, s.last = report.InUse, report.Want, now
	s.grants = slices.DeleteFunc(s.grants, func(g grantRecord) bool { return g.sequence <= report.Ended })
}

// held is the most that the holder can have in use now: what it reported, or
// any grant since that it has not said to be over. A share that ended unheard
// counts for MaximumRun, since its requests may go on that long.
func (s *holderShare) held(now time.Time, settings Settings) int {
	held := 0
	if s.inUse > 0 && now.Sub(s.last) < settings.Lifetime+settings.MaximumRun {
		held = s.inUse
	}
	for _, grant := range s.grants {
		if now.Before(grant.expires.Add(settings.MaximumRun)) {
			held = max(held, grant.concurrency)
		}
	}
	return held
}

// account counts the share anew in the row's sum.
func (r *rowState) account(now time.Time, share *holderShare, settings Settings) {
	next := need{held: share.held(now, settings)}
	if share.want > 0 && now.Sub(share.last) < settings.Lifetime {
		next.wanted, next.wanting = share.want, 1
	}
	r.sum = r.sum.minus(share.need).plus(next)
	share.need = next
}

func (r *rowState) remove(router api.NodeID) {
	if share, ok := r.shares[router]; ok {
		r.sum = r.sum.minus(share.need)
		delete(r.shares, router)
	}
}

// recount counts all shares anew once a Lifetime, for those that fell silent.
func (r *rowState) recount(now time.Time, settings Settings) {
	if now.Sub(r.counted) < settings.Lifetime {
		return
	}
	r.counted = now
	for _, share := range r.shares {
		r.account(now, share, settings)
	}
}

// concurrency gives the holder's share: its part of the ceiling by demand, as
// far as it is free.
func (o *Owner) concurrency(now time.Time, report Report, row RowReport, ceiling int) int {
	state := o.row(now, api.RowKey(row.Key))
	state.recount(now, o.settings)
	own := state.share(report.Router)
	free := max(o.capacity(now, state, ceiling)-(state.sum.held-own.need.held), 0)
	granted := min(part(ceiling, row.Want, state.sum.wanted, state.sum.wanting), free)
	own.grants = append(own.grants, grantRecord{
		sequence: report.Sequence, concurrency: granted, expires: now.Add(o.settings.Lifetime + o.settings.Margin),
	})
	state.account(now, own, o.settings)
	return granted
}

// part divides the ceiling by demand: in proportion when there is too little,
// otherwise all that is wanted and an equal part of the rest.
func part(ceiling, want, wanted, wanting int) int {
	if want == 0 {
		return 0
	}
	if wanted > ceiling {
		// Rounded up, so that nothing is left over; what is free bounds it.
		return (ceiling*want + wanted - 1) / wanted
	}
	return want + (ceiling-wanted)/max(wanting, 1)
}

// tokens takes admissions from the row's bucket, which holds one second's worth
// and starts empty.
func (o *Owner) tokens(now time.Time, report RowReport, rate float64) int {
	row := o.row(now, api.RowKey(report.Key))
	row.tokens = min(row.tokens+rate*now.Sub(row.filled).Seconds(), max(rate, 1))
	row.filled = now
	granted := min(report.Tokens, int(row.tokens))
	row.tokens -= float64(granted)
	return granted
}
