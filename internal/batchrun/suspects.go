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
	workers map[string]*suspect
}

type suspect struct {
	since  time.Time // when an answer broke off last
	trying *item
}

// began takes that an item begins at a worker.
func (s *suspects) began(worker string, i *item) {
	if w := s.workers[worker]; w != nil && w.trying == nil {
		w.trying = i
	}
}

// broke takes that an item's answer broke off at a worker, not by this process.
func (s *suspects) broke(now time.Time, worker string, i *item) {
	for id, w := range s.workers {
		if now.Sub(w.since) > suspectFor {
			delete(s.workers, id)
		}
	}
	if s.workers == nil {
		s.workers = map[string]*suspect{}
	}
	s.ended(worker, i, false)
	w := s.workers[worker]
	if w == nil {
		w = &suspect{}
		s.workers[worker] = w
	}
	w.since = now
}

// ended takes that an item's run at a worker ended, and whether it got events. Those of
// a run that began before the break say nothing of what begins now.
func (s *suspects) ended(worker string, i *item, events bool) {
	w := s.workers[worker]
	switch {
	case w == nil:
	case events && i.since.After(w.since):
		delete(s.workers, worker)
	case w.trying == i:
		w.trying = nil
	}
}

// wants tells whether an item is to try a worker.
func (s *suspects) wants(now time.Time, worker string) bool {
	w := s.workers[worker]
	return w != nil && w.trying == nil && now.Sub(w.since) <= suspectFor
}

// since is when an answer broke off at a worker last.
func (s *suspects) since(worker string) (at time.Time) {
	if w := s.workers[worker]; w != nil {
		at = w.since
	}
	return at
}
