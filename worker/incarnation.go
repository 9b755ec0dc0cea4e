package worker

import (
	"strconv"
	"time"
)

// Incarnation identifies one run of a worker. A restarted worker keeps its ID but neither
// its requests nor its cache, so state recorded for one incarnation does not apply to the
// next.
type Incarnation struct {
	ID        string
	StartedAt time.Time // start time by the worker's own clock; zero if unknown
}

// Incarnation returns the incarnation of the worker.
func (w Worker) Incarnation() Incarnation { return Incarnation{ID: w.ID, StartedAt: w.StartedAt} }

// Before reports whether i is an earlier incarnation of the same worker than other. It is
// false if either start time is unknown.
func (i Incarnation) Before(other Incarnation) bool {
	return i.ID == other.ID && !i.StartedAt.IsZero() && !other.StartedAt.IsZero() && i.StartedAt.Before(other.StartedAt)
}

// Supersedes reports whether i replaces other, so that state kept for other is obsolete: i
// started later, or is the first incarnation with a known start time.
func (i Incarnation) Supersedes(other Incarnation) bool {
	return i.ID == other.ID && i.StartedAt.After(other.StartedAt)
}

// String returns the ID, followed by "@" and the start time in Unix milliseconds if known.
func (i Incarnation) String() string {
	if i.StartedAt.IsZero() {
		return i.ID
	}
	return i.ID + "@" + strconv.FormatInt(i.StartedAt.UnixMilli(), 10)
}
