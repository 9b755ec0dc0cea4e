package jobs

import (
	"errors"
	"fmt"
)

// Bounds of an inline job.
const (
	// MostInlineItems of one job; the users' pages name it.
	MostInlineItems = 200
	// mostItemTokens keeps sums over a job's items, and over all that wait, within
	// their numbers; it is over the memory of any engine by far.
	mostItemTokens = 1 << 31
)

// CheckInline tells why a job can't be taken; nil when it can. An item without tokens
// counts for nothing in its queue.
func CheckInline(job JobID, items []InlineItem) error {
	switch {
	case job == "":
		return errors.New("the job has no id")
	case len(items) == 0:
		return errors.New("the job has no items")
	case len(items) > MostInlineItems:
		return fmt.Errorf("the job has %d items, over %d", len(items), MostInlineItems)
	}
	known := make(map[string]bool, len(items))
	for i, item := range items {
		switch {
		case item.ID == "":
			return fmt.Errorf("item %d has no id", i)
		case known[item.ID]:
			return fmt.Errorf("item %d: id %q stands twice", i, item.ID)
		case item.Tokens < 0 || item.Tokens > mostItemTokens:
			return fmt.Errorf("item %d: %d tokens, not within 0 to %d", i, item.Tokens, mostItemTokens)
		}
		known[item.ID] = true
	}
	return nil
}
