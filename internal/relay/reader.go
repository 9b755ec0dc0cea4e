package relay

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/dykewing/dykewing/clock"
	"github.com/dykewing/dykewing/internal/kv"
)

const (
	// catchUpInterval is the age of a partial state at which its changes are read before the
	// next page. It is far below the time for which a service keeps its history.
	catchUpInterval = 2 * time.Second
	// catchUpWait is the wait of the poll for these changes, the shortest one.
	catchUpWait = time.Millisecond
	// maxCatchUpDoublings bounds the growth of the interval with the restarts of a read, so
	// that a read ends also if each poll finds that changes were missed.
	maxCatchUpDoublings = 3
)

// stateReader reads the full state of the service page by page. It keeps the pages that it has
// when one fails, since a read that starts over adds to the load under which it failed. Create it
// with newStateReader. It is not safe for concurrent use.
type stateReader struct {
	service  Service
	pairs    map[string]kv.Pair
	after    string    // last key read
	revision int64     // pairs contain all changes of keys up to after that were made up to it
	caughtUp time.Time // when revision was the newest
	restarts int
}

func newStateReader(service Service) *stateReader {
	return &stateReader{service: service, pairs: map[string]kv.Pair{}}
}

// next reads the next page and reports whether it was the last one. After an error the next call
// continues at the same page.
func (s *stateReader) next(ctx context.Context) (complete bool, err error) {
	if err := s.catchUp(ctx); err != nil {
		return false, err
	}
	asked := clock.Now()
	page, err := s.service.RangePage(ctx, "", s.after)
	if err != nil {
		return false, err
	}
	if s.after == "" {
		s.revision, s.caughtUp = page.Revision, asked
	}
	for _, pair := range page.Pairs {
		s.pairs[pair.Key] = pair
		s.after = pair.Key
	}
	return !page.More, nil
}

// catchUp applies the changes since the pages were read, if these are old. If the service no
// longer has the changes, it starts the read over.
func (s *stateReader) catchUp(ctx context.Context) error {
	if s.after == "" || clock.Since(s.caughtUp) < catchUpInterval<<min(s.restarts, maxCatchUpDoublings) {
		return nil
	}
	asked := clock.Now()
	batch, err := s.service.Poll(ctx, "", s.revision, catchUpWait)
	if errors.Is(err, kv.ErrCompacted) {
		s.pairs, s.after = map[string]kv.Pair{}, ""
		s.restarts++
		return nil
	}
	if err != nil {
		return err
	}
	for _, event := range batch.Events {
		s.apply(event)
	}
	s.revision, s.caughtUp = max(s.revision, batch.Revision), asked
	return nil
}

// apply applies a change of a key that has been read. Later pages contain those of other keys.
func (s *stateReader) apply(event kv.Event) {
	switch key := event.Pair.Key; {
	case key > s.after || event.Pair.Revision < s.pairs[key].Revision:
	case event.Deleted:
		delete(s.pairs, key)
	default:
		s.pairs[key] = event.Pair
	}
}

// result returns the state after the last page. A watch from its revision also delivers changes
// made between pages.
func (s *stateReader) result() kv.RangeResult {
	result := kv.RangeResult{Revision: s.revision, Pairs: make([]kv.Pair, 0, len(s.pairs))}
	for _, key := range slices.Sorted(maps.Keys(s.pairs)) {
		result.Pairs = append(result.Pairs, s.pairs[key])
	}
	return result
}
