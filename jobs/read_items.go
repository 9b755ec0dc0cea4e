package jobs

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/dykewing/dykewing/api"
)

// waitingItem is an item that may be granted.
type waitingItem struct {
	item    int
	line    Line
	service api.ServiceName
}

// waitingItems returns the items with neither a result nor an outstanding start among
// up to count lines, starting at the given one, and the line to continue from, or -1 at
// the end.
func (s *State) waitingItems(job Job, from, count int) (items []waitingItem, next int, err error) {
	end := min(from+count, job.Total)
	next = end
	if end >= job.Total {
		next = -1
	}
	err = s.storage.View(func(r Reader) error {
		unavailable := unavailableItems(r, job, from, end)
		var scanErr error
		eachNumbered(r, keyLine, string(job.File), from, func(number int, value []byte) bool {
			if number >= end {
				return false
			}
			if unavailable[number] {
				return true
			}
			var item waitingItem
			item, scanErr = parseWaiting(number, value)
			items = append(items, item)
			return scanErr == nil
		})
		return scanErr
	})
	return items, next, err
}

func parseWaiting(number int, raw []byte) (waitingItem, error) {
	line, err := ParseLine(bytes.Clone(raw))
	if err != nil {
		return waitingItem{}, err
	}
	service, err := ServiceOf(line.URL, line.Body)
	return waitingItem{item: number, line: line, service: service}, err
}

// startedItem is a non-repeatable item that was started and has no result.
type startedItem struct {
	item  ItemRef
	start storedStart
	line  Line
}

// startedItems returns a job's started items without a result.
func (s *State) startedItems(job Job) (items []startedItem, err error) {
	if job.Started == 0 {
		return nil, nil
	}
	err = s.storage.View(func(r Reader) error {
		var scanErr error
		eachNumbered(r, keyStart, string(job.ID()), 0, func(number int, value []byte) bool {
			item := startedItem{item: ItemRef{Job: job.ID(), Item: number}}
			if scanErr = json.Unmarshal(value, &item.start); scanErr != nil {
				return false
			}
			if item.start.Released || r.Get(resultKey(item.item)) != nil {
				return true
			}
			item.line, scanErr = ParseLine(r.Get(numberedKey(keyLine, string(job.File), number)))
			items = append(items, item)
			return scanErr == nil
		})
		return scanErr
	})
	return items, err
}

// unavailableItems returns the items in [from, end) that have a result or an
// outstanding start.
func unavailableItems(r Reader, job Job, from, end int) map[int]bool {
	unavailable := map[int]bool{}
	eachNumbered(r, keyResult, string(job.ID()), from, func(number int, _ []byte) bool {
		if number < end {
			unavailable[number] = true
		}
		return number < end
	})
	if job.Repeatable {
		return unavailable
	}
	eachNumbered(r, keyStart, string(job.ID()), from, func(number int, value []byte) bool {
		var start storedStart
		if number < end && json.Unmarshal(value, &start) == nil && !start.Released {
			unavailable[number] = true
		}
		return number < end
	})
	return unavailable
}

// findWaiting reports whether an item has neither a result nor an outstanding start,
// and returns it with its line, which it reads if the candidate has none.
func (s *State) findWaiting(job Job, candidate waitingItem) (waiting waitingItem, found bool, err error) {
	ref := ItemRef{Job: job.ID(), Item: candidate.item}
	err = s.storage.View(func(r Reader) error {
		if !job.hasItem(ref) || isUnavailable(r, job, ref) {
			return nil
		}
		found, waiting = true, candidate
		if candidate.service != "" {
			return nil
		}
		raw := r.Get(numberedKey(keyLine, string(job.File), ref.Item))
		if raw == nil {
			return fmt.Errorf("job %s: line %d of file %s is missing", job.ID(), ref.Item, job.File)
		}
		waiting, err = parseWaiting(ref.Item, raw)
		return err
	})
	return waiting, found && err == nil, err
}

func isUnavailable(r Reader, job Job, ref ItemRef) bool {
	if r.Get(resultKey(ref)) != nil {
		return true
	}
	return !job.Repeatable && unavailableItems(r, job, ref.Item, ref.Item+1)[ref.Item]
}
