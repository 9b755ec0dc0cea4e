package ratelimit

import (
	"slices"
	"time"
)

const (
	// absentStoreTimeout is how long a registered store must have been missing from the
	// membership view without an answer until leases start without it. It is well above the
	// time of a restart; a store that is gone for good may stay registered.
	absentStoreTimeout = 10 * time.Second
	// recheckInterval is the time between probes of a store whose restarts the membership view
	// does not show.
	recheckInterval = 5 * time.Second
)

// Store is a store that may grant tokens.
type Store struct {
	ID          string
	Incarnation uint64 // of its process; 0: not known
	Member      bool   // in the membership view, else only registered
}

// Support is what a leader knows of how other stores grant tokens: those of builds without leases
// grant by order to whoever asks, all others only under a lease or with a permit. A store that
// does not answer proves nothing; others may reach it.
type Support struct {
	stores  map[string]*storeSupport
	byOrder int // stores that are known to grant by order
}

type storeSupport struct {
	incarnation uint64
	member      bool
	memberAt    time.Time // when it was last a member, or first known
	mode        grantMode
	answeredAt  time.Time
}

// grantMode is how a store grants tokens.
type grantMode int

const (
	modeUnknown grantMode = iota
	modeLeases            // only under a lease or with a permit
	modeOrder             // by order, without a permit
)

// NewSupport returns a Support that knows no stores.
func NewSupport() *Support { return &Support{stores: map[string]*storeSupport{}} }

// Update records which stores there are, without the leader itself.
func (s *Support) Update(now time.Time, stores []Store) {
	seen := make(map[string]bool, len(stores))
	for _, store := range stores {
		seen[store.ID] = true
		known := s.stores[store.ID]
		if known == nil {
			known = &storeSupport{incarnation: store.Incarnation, memberAt: now, member: store.Member}
			s.stores[store.ID] = known
		}
		replaced := store.Incarnation != 0 && known.incarnation != 0 && store.Incarnation != known.incarnation
		if replaced || store.Member && !known.member {
			known.mode = modeUnknown
		}
		if store.Incarnation != 0 {
			known.incarnation = store.Incarnation
		}
		if known.member = store.Member; known.member {
			known.memberAt = now
		}
	}
	for id := range s.stores {
		if !seen[id] {
			delete(s.stores, id)
		}
	}
	s.countByOrder()
}

func (s *Support) countByOrder() {
	s.byOrder = 0
	for _, known := range s.stores {
		if known.mode == modeOrder {
			s.byOrder++
		}
	}
}

// Due returns the stores to be probed now, sorted.
func (s *Support) Due(now time.Time, stores []Store) []string {
	var due []string
	for _, store := range stores {
		known := s.stores[store.ID]
		if known == nil {
			continue
		}
		unseen := store.Incarnation == 0 && now.Sub(known.answeredAt) >= recheckInterval
		if known.mode == modeUnknown || unseen {
			due = append(due, store.ID)
		}
	}
	slices.Sort(due)
	return due
}

// Record records that the process of a store that was probed answered. leases reports whether it
// grants only under a lease or with a permit. It returns false if that was known.
func (s *Support) Record(now time.Time, store Store, leases bool) (changed bool) {
	known := s.stores[store.ID]
	if known == nil || store.Incarnation != 0 && store.Incarnation != known.incarnation {
		return false
	}
	mode := modeOrder
	if leases {
		mode = modeLeases
	}
	changed = known.mode != mode
	known.mode, known.answeredAt = mode, now
	s.countByOrder()
	return changed
}

// AllKnowLeases reports whether every store is known to grant only under a lease or with a permit.
// A store that is not a member, and has neither been one nor answered for absentStoreTimeout,
// does not count.
func (s *Support) AllKnowLeases(now time.Time) bool {
	for _, known := range s.stores {
		absent := !known.member && now.Sub(known.memberAt) >= absentStoreTimeout && now.Sub(known.answeredAt) >= absentStoreTimeout
		if known.mode != modeLeases && !absent {
			return false
		}
	}
	return true
}

// GrantsByOrder reports whether a store is known to be of a build without leases.
func (s *Support) GrantsByOrder(id string) bool {
	known := s.stores[id]
	return known != nil && known.mode == modeOrder
}

// AnyByOrder reports whether a store is known to be of a build without leases.
func (s *Support) AnyByOrder() bool { return s.byOrder > 0 }
