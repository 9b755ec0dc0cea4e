package ratelimit

import (
	"slices"
	"time"
)

// registry knows which holders may have leases of earlier epochs. Leases are granted only to
// registered holders, and the caller of Owner makes registrations last beyond the owner.
type registry struct {
	holders map[string]*holderState // registered
	unheard int                     // registered in an earlier epoch and not heard in this one
	// Leases of earlier epochs don't accumulate after sharesUntil, and what they accumulated is
	// not spent after depthsUntil: both are lowered once all holders have been heard.
	sharesUntil, depthsUntil time.Time
}

type holderState struct {
	heard    bool // has reported all leases of earlier epochs
	instance uint64
	seenAt   time.Time
}

func newRegistry(start time.Time, holders []string) *registry {
	r := &registry{holders: map[string]*holderState{}, unheard: len(holders), sharesUntil: start.Add(leaseTTL + leaseMargin), depthsUntil: start.Add(accumulatedTTL + leaseMargin)}
	for _, holder := range holders {
		r.holders[holder] = &holderState{seenAt: start}
	}
	r.expireIfHeard(start)
	return r
}

// expireIfHeard ends the leases of earlier epochs if all holders have reported theirs.
func (r *registry) expireIfHeard(now time.Time) {
	if r.unheard > 0 {
		return
	}
	if now.Before(r.sharesUntil) {
		r.sharesUntil = now
	}
	if now.Before(r.depthsUntil) {
		r.depthsUntil = now
	}
}

// hear records that a holder has reported all its leases.
func (r *registry) hear(now time.Time, holder string) {
	if state := r.holders[holder]; state != nil && !state.heard {
		state.heard = true
		r.unheard--
		r.expireIfHeard(now)
	}
}

// register adds a holder that has no lease of an earlier epoch.
func (r *registry) register(now time.Time, holder string) {
	if r.holders[holder] == nil {
		r.holders[holder] = &holderState{heard: true, seenAt: now}
	}
}

// expired returns the holders whose leases have all expired, sorted.
func (r *registry) expired(now time.Time) []string {
	var list []string
	for holder, state := range r.holders {
		if now.Sub(state.seenAt) > accumulatedTTL+leaseMargin {
			list = append(list, holder)
		}
	}
	slices.Sort(list)
	return list
}

// unregister removes an expired holder.
func (r *registry) unregister(now time.Time, holder string) {
	r.hear(now, holder)
	delete(r.holders, holder)
}
