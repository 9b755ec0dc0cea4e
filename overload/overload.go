// Package overload decides, for one request that finds no free slot, whether it waits or
// is refused at once with when to return. It answers the load in which more callers
// come than slots: without it everybody waits until nearly everybody is late.
//
// A Line is what one process observes of one service: how long a slot is held, how many
// there are, who comes, and who was told to return. It has no clock, input or output.
package overload

import (
	"math"
	"slices"
	"time"

	"github.com/dykewing/dykewing/hold"
)

const (
	// slotsMemory smooths the number of slots: a worker that turned a request away is
	// left out for a moment and has its slots all the same.
	slotsMemory = 200 * time.Millisecond
	// holdingMemory is over how long the time that a slot is held is averaged: some
	// holdings, so that it follows workers that turn slow.
	holdingMemory = 2 * time.Second
	// leastWaited is how long requests have waited, within momentMemory, from when on the
	// slots that they were given tell the rate.
	leastWaited = 200 * time.Millisecond
	// leastEnds is from how many ends on, within holdingMemory, that time is known.
	leastEnds = 4
	// momentMemory of who comes says what requests that come later will take now.
	momentMemory = time.Second
	// seasonMemory of who comes says what they leave to late ones: longer than a caller
	// waits, so that a late one is kept through a rise that a fall follows.
	seasonMemory = 10 * time.Second
	// sure is the share of the time left that the expected wait may take when a request
	// begins to wait: holdings and first events differ, and one that is let in and then
	// late is worse off than one refused. Slots stay busy by a far shorter queue. Of 0.2,
	// 0.4, 0.6 and 0.8 the best in time on each load of reservation's replay but one.
	sure = 0.4
	// leastLeft of the slots is counted on for those told to return and for less urgent
	// ones, however many come; without it their time would have no bound.
	leastLeft = 0.1
)

// Line is one service's, as one process sees it. The zero value is ready.
type Line struct {
	at    time.Time
	slots float64
	held  int
	area  float64  // slot-seconds held, within holdingMemory
	ends  float64  // within holdingMemory
	ranks []ranked // ascending

	waits    bool // since waitedAt
	waitedAt time.Time
	waited   float64 // seconds in which requests waited, within momentMemory
	given    float64 // slots given then
}

// ranked is what is known of one rank: its first tries, and those told to return.
type ranked struct {
	rank           hold.Rank
	moment, season rate
	returns        returns
}

// Observe takes how many slots there are, how many of them requests hold, and how
// many requests have ended since the last time.
func (l *Line) Observe(now time.Time, slots, held, ended int) {
	passed := now.Sub(l.at)
	if l.at.IsZero() {
		passed = 0
	}
	if l.slots == 0 {
		l.slots = float64(slots)
	}
	passed = max(passed, 0)
	fade := fading(passed, holdingMemory)
	l.area = l.area*fade + float64(l.held)*passed.Seconds()
	l.ends = l.ends*fade + float64(ended)
	l.slots += (float64(slots) - l.slots) * (1 - fading(passed, slotsMemory))
	l.at, l.held = now, held
}

// Waits notes whether requests wait from now on.
func (l *Line) Waits(now time.Time, waits bool) {
	passed := max(now.Sub(l.waitedAt), 0)
	if l.waitedAt.IsZero() {
		passed = 0
	}
	fade := fading(passed, momentMemory)
	l.waited, l.given = l.waited*fade, l.given*fade
	if l.waits {
		l.waited += passed.Seconds()
	}
	l.waits, l.waitedAt = waits, now
}

// Rate is how many slots come free a second when all are held (Little's law: slots over
// the time that one is held), and no more than were given while requests waited: some
// slots come free that can't be given. False while too little has been seen: unknown, not
// small.
func (l *Line) Rate() (float64, bool) {
	if l.ends < leastEnds || l.area <= 0 {
		return 0, false
	}
	rate := l.slots * l.ends / l.area
	if l.waited >= leastWaited.Seconds() {
		rate = min(rate, max(l.given, 1)/l.waited)
	}
	return rate, true
}

// Arrived notes a first try.
func (l *Line) Arrived(now time.Time, rank hold.Rank) {
	l.of(now, rank).moment.add(now, momentMemory)
}

// Placed notes that a request got a slot, in time or not.
func (l *Line) Placed(now time.Time, rank hold.Rank, inTime bool) {
	if inTime {
		l.of(now, rank).season.add(now, seasonMemory)
	}
	if l.waits {
		l.given++
	}
}

// Claim gives the slot that one who returns was told of, if that is well before its
// last moment; the promise is taken.
func (l *Line) Claim(now time.Time, rank hold.Rank, last time.Duration) (time.Time, bool) {
	return l.of(now, rank).returns.claim(now, now.Add(last-claimMargin))
}

// Told is how many promises are kept.
func (l *Line) Told() (n int) {
	for i := range l.ranks {
		n += len(l.ranks[i].returns.promises)
	}
	return n
}

// of gives a rank's entry; ranks of which nobody comes any more are forgotten.
func (l *Line) of(now time.Time, rank hold.Rank) *ranked {
	compare := func(r ranked, rank hold.Rank) int { return r.rank.Compare(rank) }
	i, found := slices.BinarySearchFunc(l.ranks, rank, compare)
	if !found {
		l.ranks = slices.DeleteFunc(l.ranks, func(r ranked) bool {
			return r.moment.value(now, momentMemory) < forgotten && len(r.returns.promises) == 0
		})
		i, _ = slices.BinarySearchFunc(l.ranks, rank, compare)
		l.ranks = slices.Insert(l.ranks, i, ranked{rank: rank})
	}
	return &l.ranks[i]
}

// told is how many promises of a rank and those before it fall before a moment.
func (l *Line) told(rank hold.Rank, by time.Time) (n int) {
	for i := range l.ranks {
		if l.ranks[i].rank.Compare(rank) > 0 {
			break
		}
		n += l.ranks[i].returns.due(by)
	}
	return n
}

// forgotten is the rate, a second, below which a rank is no longer kept.
const forgotten = 0.001

// comes is how many first tries a second come now of ranks before this one, and with this
// one; and how many of these had slots in time over the season.
func (l *Line) comes(now time.Time, rank hold.Rank) (before, with, season float64) {
	for i := range l.ranks {
		a := &l.ranks[i]
		order := a.rank.Compare(rank)
		if order > 0 {
			break
		}
		moment := a.moment.value(now, momentMemory)
		with += moment
		season += a.season.value(now, seasonMemory)
		if order < 0 {
			before += moment
		}
	}
	return before, with, season
}

// Use is what a wait is worth to the caller of one request.
type Use struct {
	Rank hold.Rank
	// Begin and Last are the time left to begin in time, and to begin at all.
	Begin, Last time.Duration
	// Promised: it was told to return, and its slot is due after so long.
	Promised bool
	Due      time.Duration
	// Waits already: it is let go only when there is no hope.
	Waits bool
}

// Verdict is what is decided, with what it rests on.
type Verdict struct {
	Refuse bool
	// Bound of the wait, after which it is decided anew; Return is when to come back.
	Bound, Return time.Duration

	Until     time.Duration // when it would be placed
	Ahead     int           // that wait and go before it
	Told      int           // told to return by then
	PerSecond float64       // slots that come free for its rank; 0: unknown
	Known     bool
}

// Decide decides for a request that finds no slot. ahead wait and go before it. What is
// refused is promised a slot.
func (l *Line) Decide(now time.Time, use Use, ahead int) Verdict {
	v := l.Look(now, use, ahead)
	if !v.Refuse {
		return v
	}
	v.Return = unknownReturn
	if all, known := l.Rate(); known {
		_, with, _ := l.comes(now, use.Rank)
		v.Return = l.of(now, use.Rank).returns.tell(now, max(all-with, leastLeft*all), after(ahead+1, all))
	}
	return v
}

// Look is Decide without a promise.
func (l *Line) Look(now time.Time, use Use, ahead int) Verdict {
	v := Verdict{Ahead: ahead, Bound: use.Last, Refuse: use.Last <= 0}
	all, known := l.Rate()
	if !known {
		return v
	}
	v.Known = true
	use.Begin = min(use.Begin, use.Last)
	before, with, season := l.comes(now, use.Rank)
	own := max(all-before, leastLeft*all)
	spare := max(all-with, all-season)
	part := sure
	if use.Waits {
		part = 1
	}
	v.PerSecond = own
	switch {
	case use.Promised:
		v.Until = max(use.Due, after(ahead+1, own))
		v.Refuse = v.Refuse || v.Until > use.Last
	case use.Begin > 0:
		v.Told = l.told(use.Rank, now.Add(use.Begin))
		v.Until = after(ahead+v.Told+1, own)
		if !v.Refuse && v.Until <= scaled(use.Begin, part) {
			v.Bound = use.Begin
			return v
		}
		fallthrough
	default: // late, or it will be: only by slots that nobody needs who can be in time
		v.Told = l.told(use.Rank, now.Add(use.Last))
		v.Until = use.Last + 1
		if spare > 0 {
			v.PerSecond, v.Until = spare, after(ahead+v.Told+1, spare)
		}
		v.Refuse = v.Refuse || v.Until > scaled(use.Last, part)
	}
	return v
}

func after(n int, perSecond float64) time.Duration {
	return min(time.Duration(float64(n)/max(perSecond, 1e-6)*float64(time.Second)), time.Hour)
}

func scaled(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }

func fading(passed, memory time.Duration) float64 {
	return math.Exp(-passed.Seconds() / memory.Seconds())
}

// rate is events a second with a fading memory. Since its first event it has seen less
// than its memory, which counts.
type rate struct {
	sum       float64
	at, since time.Time
}

func (r *rate) add(now time.Time, memory time.Duration) {
	if r.since.IsZero() {
		r.since, r.at = now, now
	}
	r.sum = r.sum*fading(max(now.Sub(r.at), 0), memory) + 1
	r.at = now
}

func (r *rate) value(now time.Time, memory time.Duration) float64 {
	if r.since.IsZero() {
		return 0
	}
	seen := max(now.Sub(r.since), memory/10)
	return r.sum * fading(max(now.Sub(r.at), 0), memory) / (memory.Seconds() * (1 - fading(seen, memory)))
}
