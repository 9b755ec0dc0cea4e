package batchrun

import "time"

// suspectTTL is how long a worker stays suspected after an interrupted response. Each interrupted
// probe restarts it. A worker that has recovered sends an event well within it.
const suspectTTL = 10 * time.Second

// suspects tracks workers whose last response to an item was interrupted.
// Invariant: while items wait, one of them probes each suspected worker, even if items are held
// back before an expected rise. An item can resume elsewhere, whereas an online request that found
// the worker broken would fail: where items avoided such workers, 612 of 18,000 requests ended in
// 502 instead of 100. The zero value is empty; the leader's mutex guards it.
type suspects struct {
	workers map[string]*suspect
}

type suspect struct {
	interruptedAt time.Time // last interrupted response
	probe         *item
}

// started records that an item starts at a worker.
func (s *suspects) started(worker string, i *item) {
	if w := s.workers[worker]; w != nil && w.probe == nil {
		w.probe = i
	}
}

// interrupted records that an item's response was interrupted, not by this process.
func (s *suspects) interrupted(now time.Time, worker string, i *item) {
	for id, w := range s.workers {
		if now.Sub(w.interruptedAt) > suspectTTL {
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
	w.interruptedAt = now
}

// ended records the end of a run and whether it received events. A run that started before the
// interruption does not clear the suspicion.
func (s *suspects) ended(worker string, i *item, events bool) {
	w := s.workers[worker]
	switch {
	case w == nil:
	case events && i.startedAt.After(w.interruptedAt):
		delete(s.workers, worker)
	case w.probe == i:
		w.probe = nil
	}
}

// needsProbe reports whether an item should probe a worker.
func (s *suspects) needsProbe(now time.Time, worker string) bool {
	w := s.workers[worker]
	return w != nil && w.probe == nil && now.Sub(w.interruptedAt) <= suspectTTL
}

// lastInterrupted returns the time of the last interrupted response of a worker, zero if it is not
// suspected.
func (s *suspects) lastInterrupted(worker string) (at time.Time) {
	if w := s.workers[worker]; w != nil {
		at = w.interruptedAt
	}
	return at
}
