package jobs

import (
	"bytes"
	"encoding/json"

	"github.com/dykewing/dykewing/api"
)

// Reads answer from one version of the state and may run beside Apply.

// Job finds a job.
func (s *State) Job(id JobID) (job Job, found bool, err error) {
	err = s.storage.View(func(r Reader) error {
		found, err = get(r, jobKey(id), &job)
		return err
	})
	return job, found, err
}

// File finds a file that is not deleted.
func (s *State) File(id FileID) (file File, found bool, err error) {
	err = s.storage.View(func(r Reader) error {
		found, err = get(r, fileKey(id), &file)
		return err
	})
	return file, found && !file.Deleted, err
}

// Jobs lists up to count of a tenant's jobs, the newest first, beginning after
// the job named by after when it is not empty. An unknown one gives none.
func (s *State) Jobs(tenant api.TenantID, after JobID, count int) (list []Job, more bool, err error) {
	prefix := append(nameKey(keyTenant, string(tenant)), separator)
	err = s.storage.View(func(r Reader) error {
		from := prefix
		if after != "" {
			var last Job
			if found, err := get(r, jobKey(after), &last); err != nil || !found || last.Tenant != tenant {
				return err
			}
			from = append(tenantJobKey(tenant, last.Created, after), separator)
		}
		var failed error
		r.Scan(from, func(key, _ []byte) bool {
			if !bytes.HasPrefix(key, prefix) {
				return false
			}
			if more = len(list) == count; more {
				return false
			}
			var job Job
			_, failed = get(r, jobKey(JobID(key[len(prefix)+timeBytes:])), &job)
			list = append(list, job)
			return failed == nil
		})
		return failed
	})
	return list, more, err
}

// ActiveJobs lists the jobs that have not ended.
func (s *State) ActiveJobs() (list []Job, err error) {
	err = s.storage.View(func(r Reader) error {
		var failed error
		r.Scan([]byte{keyActive}, func(key, _ []byte) bool {
			if key[0] != keyActive {
				return false
			}
			var job Job
			_, failed = get(r, jobKey(JobID(key[1:])), &job)
			list = append(list, job)
			return failed == nil
		})
		return failed
	})
	return list, err
}

// Lines reads up to count lines of a file from the given one on, and the line
// to go on from; next is -1 at the end.
func (s *State) Lines(id FileID, from, count int) (lines []json.RawMessage, next int, err error) {
	next = -1
	err = s.storage.View(func(r Reader) error {
		eachNumbered(r, keyLine, string(id), from, func(number int, value []byte) bool {
			if len(lines) == count {
				next = number
				return false
			}
			lines = append(lines, bytes.Clone(value))
			return true
		})
		return nil
	})
	return lines, next, err
}

// eachNumbered visits a file's lines or a job's items from a number on.
func eachNumbered(r Reader, kind byte, name string, from int, visit func(number int, value []byte) bool) {
	prefix := numberedPrefix(kind, name)
	r.Scan(numberedKey(kind, name, from), func(key, value []byte) bool {
		return bytes.HasPrefix(key, prefix) && visit(numberOf(key), value)
	})
}

// Results reads up to count results of a job from the given item on, and the
// item to go on from; next is -1 at the end. The items that a cancelled or
// expired job left without a result are told so in a record each.
func (s *State) Results(id JobID, from, count int) (results []ItemResult, next int, err error) {
	err = s.storage.View(func(r Reader) error {
		var job Job
		next = -1
		if found, err := get(r, jobKey(id), &job); err != nil || !found {
			return err
		}
		if job.Status.Ended() && job.Unfinished > 0 {
			results, next, err = everyResult(r, job, from, count)
			return err
		}
		results, next, err = storedResults(r, id, from, count)
		return err
	})
	return results, next, err
}

func storedResults(r Reader, id JobID, from, count int) (results []ItemResult, next int, err error) {
	next = -1
	eachNumbered(r, keyResult, string(id), from, func(number int, value []byte) bool {
		if len(results) == count {
			next = number
			return false
		}
		var stored storedResult
		if err = json.Unmarshal(value, &stored); err != nil {
			return false
		}
		results = append(results, stored.result(ItemRef{Job: id, Item: number}))
		return true
	})
	return results, next, err
}

func everyResult(r Reader, job Job, from, count int) (results []ItemResult, next int, err error) {
	end := min(from+count, job.Total)
	for item := from; item < end; item++ {
		ref := ItemRef{Job: job.ID(), Item: item}
		var stored storedResult
		found, err := get(r, resultKey(ref), &stored)
		if err != nil {
			return nil, -1, err
		}
		if found {
			results = append(results, stored.result(ref))
			continue
		}
		results = append(results, unfinishedResult(r, job, ref))
	}
	if end >= job.Total {
		return results, -1, nil
	}
	return results, end, nil
}

// unfinishedResult describes an item that its job left without a result. Only
// a non-repeatable one is known not to have run, since its start would be
// committed.
func unfinishedResult(r Reader, job Job, ref ItemRef) ItemResult {
	result := ItemResult{Item: ref, Outcome: api.OutcomeUnknown, Error: "the job was cancelled before the item had a result"}
	if job.Status == JobExpired {
		result.Error = "the job's completion window ended before the item had a result"
	}
	if !job.Repeatable {
		result.Outcome = api.OutcomeNotRun
	}
	if line, err := ParseLine(r.Get(numberedKey(keyLine, string(job.File), ref.Item))); err == nil {
		result.CustomID = line.CustomID
	}
	return result
}
