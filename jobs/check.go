package jobs

import (
	"errors"
	"fmt"
)

// Limits of an inline job.
const (
	// MaxInlineItems is the maximum number of items of one job. It is documented
	// for users.
	MaxInlineItems = 200
	// maxItemTokens keeps the token sums of jobs and queues from overflowing. It is
	// far above what any engine can hold.
	maxItemTokens = 1 << 31
)

// ValidateInline validates an inline job: its ID, the number of items, and each item's ID,
// which must be unique, and token count. An item may have 0 tokens; it then does not
// count in its queue.
func ValidateInline(job JobID, items []InlineItem) error {
	switch {
	case job == "":
		return errors.New("job has no id")
	case len(items) == 0:
		return errors.New("job has no items")
	case len(items) > MaxInlineItems:
		return fmt.Errorf("job has %d items, maximum is %d", len(items), MaxInlineItems)
	}
	known := make(map[string]bool, len(items))
	for i, item := range items {
		switch {
		case item.ID == "":
			return fmt.Errorf("item %d has no id", i)
		case known[item.ID]:
			return fmt.Errorf("item %d: duplicate id %q", i, item.ID)
		case item.Tokens < 0 || item.Tokens > maxItemTokens:
			return fmt.Errorf("item %d: %d tokens, must be between 0 and %d", i, item.Tokens, maxItemTokens)
		}
		known[item.ID] = true
	}
	return nil
}
