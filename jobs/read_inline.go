package jobs

import (
	"bytes"
	"slices"
	"time"

	"github.com/dykewing/dykewing/api"
)

const codeNoInlineJob = api.CodeNotFound

// InlineJob returns an inline job by ID.
func (s *State) InlineJob(id JobID) (job InlineJob, found bool, err error) {
	err = s.storage.View(func(r Reader) error {
		found, err = get(r, inlineJobKey(id), &job)
		return err
	})
	return job, found, err
}

// InlineItem returns an item of a job by index.
func (s *State) InlineItem(id JobID, index int) (item InlineItem, found bool, err error) {
	err = s.storage.View(func(r Reader) error {
		found, err = get(r, inlineKey(keyInlineItem, id, index), &item)
		return err
	})
	return item, found, err
}

// InlineTokens returns the tokens of each of a job's items, by index, or nil if the job
// is unknown.
func (s *State) InlineTokens(id JobID) (tokens []int, err error) {
	err = s.storage.View(func(r Reader) error {
		_, err := get(r, nameKey(keyInlineTokens, string(id)), &tokens)
		return err
	})
	return tokens, err
}

// InlinePartial returns the stored partial output of an item that is not listed.
func (s *State) InlinePartial(id JobID, index int) (partial InlinePartial, err error) {
	err = s.storage.View(func(r Reader) error {
		_, err := get(r, inlineKey(keyInlinePartial, id, index), &partial)
		return err
	})
	return partial, err
}

// InlineItemByID returns an item of a tenant's job by its ID.
func (s *State) InlineItemByID(id JobID, tenant api.TenantID, itemID string) (item InlineItem, found bool, err error) {
	err = s.storage.View(func(r Reader) error {
		var job InlineJob
		if known, err := get(r, inlineJobKey(id), &job); err != nil || !known || !job.VisibleTo(tenant) {
			return err
		}
		for index := range job.Total {
			var stored InlineItem // a new one: fields that are left out keep their value when decoded
			if _, err := get(r, inlineKey(keyInlineItem, id, index), &stored); err != nil {
				return err
			}
			if stored.ID == itemID {
				item, found = stored, true
				return nil
			}
		}
		return nil
	})
	return item, found, err
}

// InlineResults returns the results of a tenant's job from the given position on: at
// least one, if there is any, and as many more as fit into maximumBytes of text.
func (s *State) InlineResults(id JobID, tenant api.TenantID, from, maximumBytes int) (page InlinePage, found bool, err error) {
	err = s.storage.View(func(r Reader) error {
		var job InlineJob
		known, err := get(r, inlineJobKey(id), &job)
		if err != nil || !known || !job.VisibleTo(tenant) {
			return err
		}
		found = true
		page = InlinePage{Total: job.Total, Next: from}
		size := 0
		for position := from; position < job.Listed; position++ {
			var result InlineResult
			if _, err := get(r, inlineKey(keyInlineResult, id, position), &result); err != nil {
				return err
			}
			size += len(result.Text)
			if len(page.Results) > 0 && size > maximumBytes {
				break
			}
			page.Results = append(page.Results, result)
			page.Next = position + 1
		}
		return nil
	})
	return page, found, err
}

// OpenInlineJobs returns the open jobs, sorted by ID.
func (s *State) OpenInlineJobs() (open []InlineJob, err error) {
	err = s.eachInline(func(job InlineJob) {
		if job.Open() {
			open = append(open, job)
		}
	})
	return open, err
}

// InlineQueues returns the queues of all stored jobs, open or not, sorted by name.
func (s *State) InlineQueues() (queues []QueueName, err error) {
	err = s.eachInline(func(job InlineJob) {
		if job.Queue != "" {
			queues = append(queues, job.Queue)
		}
	})
	slices.Sort(queues)
	return slices.Compact(queues), err
}

// eachInline visits all stored inline jobs in order of ID.
func (s *State) eachInline(visit func(job InlineJob)) error {
	return s.storage.View(func(r Reader) error {
		var scanErr error
		r.Scan([]byte{keyInlineJob}, func(key, _ []byte) bool {
			if key[0] != keyInlineJob {
				return false
			}
			var job InlineJob
			if _, scanErr = get(r, key, &job); scanErr != nil {
				return false
			}
			visit(job)
			return true
		})
		return scanErr
	})
}

// UnlistedInlineItems returns the indexes of a job's items that are not listed.
func (s *State) UnlistedInlineItems(job InlineJob) (indexes []int, err error) {
	err = s.storage.View(func(r Reader) error {
		listed := make([]bool, job.Total)
		prefix := numberedPrefix(keyInlineListed, string(job.ID))
		r.Scan(prefix, func(key, _ []byte) bool {
			if !bytes.HasPrefix(key, prefix) {
				return false
			}
			if number := numberOf(key); number < len(listed) {
				listed[number] = true
			}
			return true
		})
		for index, done := range listed {
			if !done {
				indexes = append(indexes, index)
			}
		}
		return nil
	})
	return indexes, err
}

// NextInlineExpiry returns when the retention of the next job ends, and false if there
// are no jobs.
func (s *State) NextInlineExpiry() (next time.Time, found bool, err error) {
	err = s.storage.View(func(r Reader) error {
		r.Scan([]byte{keyInlineRetention}, func(key, _ []byte) bool {
			if key[0] == keyInlineRetention {
				next, found = timeOf(key), true
			}
			return false
		})
		return nil
	})
	return next, found, err
}
