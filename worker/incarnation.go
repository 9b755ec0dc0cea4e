package worker

import (
	"strconv"
	"time"
)

// Incarnation is one start of a worker. A worker that starts again under its id holds and
// knows nothing of before; what is believed of one incarnation says nothing of the next.
type Incarnation struct {
	ID   string
	Born time.Time // when it started, by its own clock; zero where it does not tell
}

// Incarnation tells which start of the worker this is.
func (w Worker) Incarnation() Incarnation { return Incarnation{ID: w.ID, Born: w.Born} }

// Before tells whether this is an earlier start of the same worker than other. Of two of
// which one does not tell its start nothing is known.
func (i Incarnation) Before(other Incarnation) bool {
	return i.ID == other.ID && !i.Born.IsZero() && !other.Born.IsZero() && i.Born.Before(other.Born)
}

// Succeeds tells whether what is believed of other is over once this one is known: it is a
// later start, or the first that tells its start at all.
func (i Incarnation) Succeeds(other Incarnation) bool {
	return i.ID == other.ID && i.Born.After(other.Born)
}

// String is the id alone where the start is not told, so that it reads as before.
func (i Incarnation) String() string {
	if i.Born.IsZero() {
		return i.ID
	}
	return i.ID + "@" + strconv.FormatInt(i.Born.UnixMilli(), 10)
}
