package jobs

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/dykewing/dykewing/api"
)

// waitingItem is an item that may be handed out.
type waitingItem struct {
	item    int
	line    Line
	service api.ServiceName
}

// waitingItems reads the items without result and start among up to count
// lines from the given one on, and the line to go on from, -1 at the end.
func (s *State) waitingItems(job Job, from, count int) (items []waitingItem, next int, err error) {
	end := min(from+count, job.Total)
	next = end
	if end >= job.Total {
		next = -1
	}
	err = s.storage.View(func(r Reader) error {
		taken := takenItems(r, job, from, end)
		var failed error
		eachNumbered(r, keyLine, string(job.File), from, func(number int, value []byte) bool {
			if number >= end {
				return false
			}
			if taken[number] {
				return true
			}
			var item waitingItem
			item, failed = parseWaiting(number, value)
			items = append(items, item)
			return failed == nil
		})
		return failed
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

// startedItem is a non-repeatable item that is sent and not settled.
type startedItem struct {
	item  ItemRef
	start storedStart
	line  Line
}

// startedItems lists a job's items that are sent and not settled.
func (s *State) startedItems(job Job) (items []startedItem, err error) {
	if job.Started == 0 {
		return nil, nil
	}
	err = s.storage.View(func(r Reader) error {
		var failed error
		eachNumbered(r, keyStart, string(job.ID()), 0, func(number int, value []byte) bool {
			item := startedItem{item: ItemRef{Job: job.ID(), Item: number}}
			if failed = json.Unmarshal(value, &item.start); failed != nil {
				return false
			}
			if item.start.Released || r.Get(resultKey(item.item)) != nil {
				return true
			}
			item.line, failed = ParseLine(r.Get(numberedKey(keyLine, string(job.File), number)))
			items = append(items, item)
			return failed == nil
		})
		return failed
	})
	return items, err
}

// takenItems are the items that have a result or a standing start.
func takenItems(r Reader, job Job, from, end int) map[int]bool {
	taken := map[int]bool{}
	eachNumbered(r, keyResult, string(job.ID()), from, func(number int, _ []byte) bool {
		if number < end {
			taken[number] = true
		}
		return number < end
	})
	if job.Repeatable {
		return taken
	}
	eachNumbered(r, keyStart, string(job.ID()), from, func(number int, value []byte) bool {
		var start storedStart
		if number < end && json.Unmarshal(value, &start) == nil && !start.Released {
			taken[number] = true
		}
		return number < end
	})
	return taken
}

// untaken tells whether an item has neither result nor standing start, and
// reads its line when the candidate comes without it.
func (s *State) untaken(job Job, candidate waitingItem) (waiting waitingItem, found bool, err error) {
	ref := ItemRef{Job: job.ID(), Item: candidate.item}
	err = s.storage.View(func(r Reader) error {
		if !job.holds(ref) || isTaken(r, job, ref) {
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

func isTaken(r Reader, job Job, ref ItemRef) bool {
	if r.Get(resultKey(ref)) != nil {
		return true
	}
	return !job.Repeatable && takenItems(r, job, ref.Item, ref.Item+1)[ref.Item]
}
