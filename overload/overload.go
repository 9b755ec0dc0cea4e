// Package overload decides whether a request that finds no free slot waits or is rejected at
// once with a time to retry. Without admission control, under overload all requests queue
// until nearly all miss their objective.
//
// The state covers one service as seen by one process: slot holding times, number of slots,
// arrivals, and promised retries. The package does no I/O and reads no clock: callers pass
// the current time.
package overload

import (
	"math"
	"slices"
	"time"

	"github.com/dykewing/dykewing/waitorder"
)

const (
	// slotsDecay is the time constant that smooths the slot count, since a worker that
	// rejected a request is excluded for a moment but keeps its slots.
	slotsDecay = 200 * time.Millisecond
	// holdTimeDecay is the time constant of the average slot holding time. It spans a few
	// holding times, to follow workers that slow down.
	holdTimeDecay = 2 * time.Second
	// minWaited is the decayed waiting time from which the observed placements bound the
	// rate.
	minWaited = 200 * time.Millisecond
	// minEnded is the decayed number of finished requests from which the holding time is
	// known.
	minEnded = 4
	// shortDecay is the time constant of the current arrival rate.
	shortDecay = time.Second
	// longDecay is the time constant of the rate of on-time placements, which limits the
	// slots left to late requests. It exceeds the time that a caller waits, so that late
	// requests are kept through a short peak.
	longDecay = 10 * time.Second
	// maxWaitShare is the fraction of the remaining time that the expected wait may take
	// when a request is queued. It leaves room for variance: a request that is queued and
	// then late is worse off than one rejected, and a far shorter queue keeps the slots
	// busy.
	maxWaitShare = 0.4
	// minSpareShare is the fraction of the rate always left to retries and less urgent
	// requests, so that their expected wait is bounded.
	minSpareShare = 0.1
)

// Controller is the load state of one service as seen by one process. The zero value is ready to
// use. It is not safe for concurrent use.
type Controller struct {
	at          time.Time
	slots       float64
	held        int
	slotSeconds float64     // slot-seconds held, decayed by holdTimeDecay
	ended       float64     // finished requests, decayed by holdTimeDecay
	ranks       []rankState // in ascending order of rank

	waiting       bool // requests are queued, as of waitingAt
	waitingAt     time.Time
	waited        float64 // seconds with queued requests, decayed by shortDecay
	placedWaiting float64 // placements during that time
}

// rankState is the state of one rank: its first attempts and its promised retries.
type rankState struct {
	rank             waitorder.Rank
	arrivals, onTime rate
	retries          retrySchedule
}

// Observe records the number of slots, how many are held, and how many requests have ended
// since the last call.
func (l *Controller) Observe(now time.Time, slots, held, ended int) {
	elapsed := now.Sub(l.at)
	if l.at.IsZero() {
		elapsed = 0
	}
	if l.slots == 0 {
		l.slots = float64(slots)
	}
	elapsed = max(elapsed, 0)
	factor := decay(elapsed, holdTimeDecay)
	l.slotSeconds = l.slotSeconds*factor + float64(l.held)*elapsed.Seconds()
	l.ended = l.ended*factor + float64(ended)
	l.slots += (float64(slots) - l.slots) * (1 - decay(elapsed, slotsDecay))
	l.at, l.held = now, held
}

// SetWaiting sets whether requests are queued from now on.
func (l *Controller) SetWaiting(now time.Time, waits bool) {
	elapsed := max(now.Sub(l.waitingAt), 0)
	if l.waitingAt.IsZero() {
		elapsed = 0
	}
	factor := decay(elapsed, shortDecay)
	l.waited, l.placedWaiting = l.waited*factor, l.placedWaiting*factor
	if l.waiting {
		l.waited += elapsed.Seconds()
	}
	l.waiting, l.waitingAt = waits, now
}

// Rate returns how many slots become free per second when all are held (Little's law: the
// slots divided by the mean holding time), limited to the placements made while requests
// were queued, since some free slots cannot be used. It returns false if there are too few
// observations; the rate is then unknown, not low.
func (l *Controller) Rate() (float64, bool) {
	if l.ended < minEnded || l.slotSeconds <= 0 {
		return 0, false
	}
	rate := l.slots * l.ended / l.slotSeconds
	if l.waited >= minWaited.Seconds() {
		rate = min(rate, max(l.placedWaiting, 1)/l.waited)
	}
	return rate, true
}

// RecordArrival records the first attempt of a request.
func (l *Controller) RecordArrival(now time.Time, rank waitorder.Rank) {
	l.state(now, rank).arrivals.add(now, shortDecay)
}

// RecordPlacement records that a request got a slot, and whether it did in time.
func (l *Controller) RecordPlacement(now time.Time, rank waitorder.Rank, inTime bool) {
	if inTime {
		l.state(now, rank).onTime.add(now, longDecay)
	}
	if l.waiting {
		l.placedWaiting++
	}
}

// Claim redeems the oldest promise of a rank for a retry and returns the time of its slot.
// It returns false if the slot is due less than claimMargin before last, the time left to
// start.
func (l *Controller) Claim(now time.Time, rank waitorder.Rank, last time.Duration) (time.Time, bool) {
	return l.state(now, rank).retries.claim(now, now.Add(last-claimMargin))
}

// Promises returns the number of open promises.
func (l *Controller) Promises() (n int) {
	for i := range l.ranks {
		n += len(l.ranks[i].retries.promises)
	}
	return n
}

// state returns the state of a rank and creates it if needed, evicting inactive ranks.
func (l *Controller) state(now time.Time, rank waitorder.Rank) *rankState {
	compare := func(r rankState, rank waitorder.Rank) int { return r.rank.Compare(rank) }
	i, found := slices.BinarySearchFunc(l.ranks, rank, compare)
	if !found {
		l.ranks = slices.DeleteFunc(l.ranks, func(r rankState) bool {
			return r.arrivals.value(now, shortDecay) < minRate && len(r.retries.promises) == 0
		})
		i, _ = slices.BinarySearchFunc(l.ranks, rank, compare)
		l.ranks = slices.Insert(l.ranks, i, rankState{rank: rank})
	}
	return &l.ranks[i]
}

// promisedBy counts the promises of a rank and of more urgent ones that are due before a
// time.
func (l *Controller) promisedBy(rank waitorder.Rank, by time.Time) (n int) {
	for i := range l.ranks {
		if l.ranks[i].rank.Compare(rank) > 0 {
			break
		}
		n += l.ranks[i].retries.countBefore(by)
	}
	return n
}

// minRate is the arrival rate per second below which a rank is evicted.
const minRate = 0.001

// rates returns the rate of first attempts per second of the ranks before this one, the same
// including this one, and the rate of on-time placements of the latter.
func (l *Controller) rates(now time.Time, rank waitorder.Rank) (before, with, onTime float64) {
	for i := range l.ranks {
		r := &l.ranks[i]
		order := r.rank.Compare(rank)
		if order > 0 {
			break
		}
		arrivals := r.arrivals.value(now, shortDecay)
		with += arrivals
		onTime += r.onTime.value(now, longDecay)
		if order < 0 {
			before += arrivals
		}
	}
	return before, with, onTime
}

// Request describes the request to decide for.
type Request struct {
	Rank waitorder.Rank
	// Time left to start on time, and to start at all.
	TimeToTarget, TimeToDeadline time.Duration
	// Promised is set for a retry that has claimed a slot, which is due after Due.
	Promised bool
	Due      time.Duration
	// Queued is set if the request is already queued. It is then rejected only if no slot is
	// expected in the time left.
	Queued bool
}

// Decision is a decision with the estimates behind it.
type Decision struct {
	Reject bool
	// Maximum wait, after which to decide again, and delay until the retry of a rejected
	// request.
	MaxWait, RetryAfter time.Duration

	ExpectedWait  time.Duration // expected wait for a slot
	Ahead         int           // queued requests that go first
	PromisedAhead int           // promised retries due by then
	Rate          float64       // free slots per second for its rank; 0 if unknown
	RateKnown     bool          // whether the rate is known
}

// Decide decides for a request that finds no slot, with ahead queued requests that go first.
// A rejected request is promised a slot for its retry if the rate is known.
func (l *Controller) Decide(now time.Time, use Request, ahead int) Decision {
	v := l.Evaluate(now, use, ahead)
	if !v.Reject {
		return v
	}
	v.RetryAfter = defaultRetryAfter
	if total, known := l.Rate(); known {
		_, with, _ := l.rates(now, use.Rank)
		v.RetryAfter = l.state(now, use.Rank).retries.schedule(now, max(total-with, minSpareShare*total), waitFor(ahead+1, total))
	}
	return v
}

// Evaluate returns the same decision as Decide without promising a slot.
func (l *Controller) Evaluate(now time.Time, use Request, ahead int) Decision {
	v := Decision{Ahead: ahead, MaxWait: use.TimeToDeadline, Reject: use.TimeToDeadline <= 0}
	total, known := l.Rate()
	if !known {
		return v
	}
	v.RateKnown = true
	use.TimeToTarget = min(use.TimeToTarget, use.TimeToDeadline)
	before, with, onTime := l.rates(now, use.Rank)
	own := max(total-before, minSpareShare*total)
	spare := max(total-with, total-onTime)
	share := maxWaitShare
	if use.Queued {
		share = 1
	}
	v.Rate = own
	switch {
	case use.Promised:
		v.ExpectedWait = max(use.Due, waitFor(ahead+1, own))
		v.Reject = v.Reject || v.ExpectedWait > use.TimeToDeadline
	case use.TimeToTarget > 0:
		v.PromisedAhead = l.promisedBy(use.Rank, now.Add(use.TimeToTarget))
		v.ExpectedWait = waitFor(ahead+v.PromisedAhead+1, own)
		if !v.Reject && v.ExpectedWait <= scale(use.TimeToTarget, share) {
			v.MaxWait = use.TimeToTarget
			return v
		}
		fallthrough
	default: // late now or later: gets only slots that on-time requests leave free
		v.PromisedAhead = l.promisedBy(use.Rank, now.Add(use.TimeToDeadline))
		v.ExpectedWait = use.TimeToDeadline + 1
		if spare > 0 {
			v.Rate, v.ExpectedWait = spare, waitFor(ahead+v.PromisedAhead+1, spare)
		}
		v.Reject = v.Reject || v.ExpectedWait > scale(use.TimeToDeadline, share)
	}
	return v
}

func waitFor(n int, perSecond float64) time.Duration {
	return min(time.Duration(float64(n)/max(perSecond, 1e-6)*float64(time.Second)), time.Hour)
}

func scale(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }

func decay(elapsed, timeConstant time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / timeConstant.Seconds())
}

// rate is an exponentially decayed rate of events per second, corrected for the time since
// its first event being shorter than the time constant.
type rate struct {
	sum       float64
	at, since time.Time
}

func (r *rate) add(now time.Time, timeConstant time.Duration) {
	if r.since.IsZero() {
		r.since, r.at = now, now
	}
	r.sum = r.sum*decay(max(now.Sub(r.at), 0), timeConstant) + 1
	r.at = now
}

func (r *rate) value(now time.Time, timeConstant time.Duration) float64 {
	if r.since.IsZero() {
		return 0
	}
	seen := max(now.Sub(r.since), timeConstant/10)
	return r.sum * decay(max(now.Sub(r.at), 0), timeConstant) / (timeConstant.Seconds() * (1 - decay(seen, timeConstant)))
}
