package jobs

import (
	"bytes"
	"encoding/json"
	"time"

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
	err = s.storage.View(func(r Reader) error {
		var last Job
		if after != "" {
			if found, err := get(r, jobKey(after), &last); err != nil || !found || last.Tenant != tenant {
				return err
			}
		}
		ids, rest := newestOf(r, keyTenant, tenant, last.Created, string(after), count)
		more = rest
		for _, id := range ids {
			var job Job
			if _, err := get(r, jobKey(JobID(id)), &job); err != nil {
				return err
			}
			list = append(list, job)
		}
		return nil
	})
	return list, more, err
}

// Files lists a tenant's files as Jobs does its jobs.
func (s *State) Files(tenant api.TenantID, after FileID, count int) (list []File, more bool, err error) {
	err = s.storage.View(func(r Reader) error {
		var last File
		if after != "" {
			if found, err := get(r, fileKey(after), &last); err != nil || !found || last.Tenant != tenant {
				return err
			}
		}
		ids, rest := newestOf(r, keyFiles, tenant, last.Created, string(after), count)
		more = rest
		for _, id := range ids {
			var file File
			if _, err := get(r, fileKey(FileID(id)), &file); err != nil {
				return err
			}
			list = append(list, file)
		}
		return nil
	})
	return list, more, err
}

// newestOf reads a page of a tenant's ids, after the given one when it is not
// empty, and whether there are more.
func newestOf(r Reader, kind byte, tenant api.TenantID, created time.Time, after string, count int) (ids []string, more bool) {
	prefix := tenantPrefix(kind, tenant)
	from := prefix
	if after != "" {
		from = append(tenantKey(kind, tenant, created, after), separator)
	}
	r.Scan(from, func(key, _ []byte) bool {
		if !bytes.HasPrefix(key, prefix) {
			return false
		}
		if more = len(ids) == count; more {
			return false
		}
		ids = append(ids, string(key[len(prefix)+timeBytes:]))
		return true
	})
	return ids, more
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

// maximumPageBytes bounds a page of lines or results, but for its last one.
const maximumPageBytes = 4 << 20

// Lines reads up to count lines of a file from the given one on, and the line
// to go on from; next is -1 at the end. A page is bounded in bytes too.
func (s *State) Lines(id FileID, from, count int) (lines []json.RawMessage, next int, err error) {
	next = -1
	size := 0
	err = s.storage.View(func(r Reader) error {
		eachNumbered(r, keyLine, string(id), from, func(number int, value []byte) bool {
			if len(lines) == count || size >= maximumPageBytes {
				next = number
				return false
			}
			size += len(value)
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
// item to go on from; next is -1 at the end. A page is bounded in bytes too. The items that a cancelled or
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
	size := 0
	eachNumbered(r, keyResult, string(id), from, func(number int, value []byte) bool {
		if len(results) == count || size >= maximumPageBytes {
			next = number
			return false
		}
		size += len(value)
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
	size := 0
	for item := from; item < end; item++ {
		if size >= maximumPageBytes {
			return results, item, nil
		}
		ref := ItemRef{Job: job.ID(), Item: item}
		var stored storedResult
		found, err := get(r, resultKey(ref), &stored)
		if err != nil {
			return nil, -1, err
		}
		if found {
			results = append(results, stored.result(ref))
			size += len(stored.Body)
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
	result := ItemResult{
		Item: ref, Outcome: api.OutcomeUnknown,
		Code: CodeCancelled, Error: "the job was cancelled before the item had a result",
	}
	if job.Status == JobExpired {
		result.Code = CodeExpired
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
