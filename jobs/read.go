package jobs

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/dykewing/dykewing/api"
)

// Each read sees one version of the state and may run concurrently with Apply.

// Job returns a job by ID.
func (s *State) Job(id JobID) (job Job, found bool, err error) {
	err = s.storage.View(func(r Reader) error {
		found, err = get(r, jobKey(id), &job)
		return err
	})
	return job, found, err
}

// File returns a file by ID, unless it is deleted.
func (s *State) File(id FileID) (file File, found bool, err error) {
	err = s.storage.View(func(r Reader) error {
		found, err = get(r, fileKey(id), &file)
		return err
	})
	return file, found && !file.Deleted, err
}

// Jobs returns up to count of a tenant's jobs, newest first, and whether there are
// more. It starts after the job with the ID after, if one is given; the list is empty
// if that job is unknown or of another tenant.
func (s *State) Jobs(tenant api.TenantID, after JobID, count int) (list []Job, more bool, err error) {
	err = s.storage.View(func(r Reader) error {
		var last Job
		if after != "" {
			if found, err := get(r, jobKey(after), &last); err != nil || !found || last.Tenant != tenant {
				return err
			}
		}
		ids, rest := newestIDs(r, keyTenantJob, tenant, last.Created, string(after), count)
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

// Files returns a tenant's files, with the pagination of Jobs.
func (s *State) Files(tenant api.TenantID, after FileID, count int) (list []File, more bool, err error) {
	err = s.storage.View(func(r Reader) error {
		var last File
		if after != "" {
			if found, err := get(r, fileKey(after), &last); err != nil || !found || last.Tenant != tenant {
				return err
			}
		}
		ids, rest := newestIDs(r, keyTenantFile, tenant, last.Created, string(after), count)
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

// newestIDs returns a page of a tenant's IDs, newest first, and whether there are more.
// It starts after the given ID and creation time, if the ID is not empty.
func newestIDs(r Reader, kind byte, tenant api.TenantID, created time.Time, after string, count int) (ids []string, more bool) {
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

// ActiveJobs returns the jobs that have not ended.
func (s *State) ActiveJobs() (list []Job, err error) {
	err = s.storage.View(func(r Reader) error {
		var scanErr error
		r.Scan([]byte{keyActive}, func(key, _ []byte) bool {
			if key[0] != keyActive {
				return false
			}
			var job Job
			_, scanErr = get(r, jobKey(JobID(key[1:])), &job)
			list = append(list, job)
			return scanErr == nil
		})
		return scanErr
	})
	return list, err
}

// maxPageBytes limits the size of a page of lines or results. The last entry may exceed
// it.
const maxPageBytes = 4 << 20

// Lines returns up to count lines of a file, starting at the given one, and the line to
// continue from, or -1 at the end. The size of a page is limited in bytes too.
func (s *State) Lines(id FileID, from, count int) (lines []json.RawMessage, next int, err error) {
	next = -1
	size := 0
	err = s.storage.View(func(r Reader) error {
		eachNumbered(r, keyLine, string(id), from, func(number int, value []byte) bool {
			if len(lines) == count || size >= maxPageBytes {
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

// eachNumbered visits a file's lines or a job's items in order, starting at the given
// number.
func eachNumbered(r Reader, kind byte, name string, from int, visit func(number int, value []byte) bool) {
	prefix := numberedPrefix(kind, name)
	r.Scan(numberedKey(kind, name, from), func(key, value []byte) bool {
		return bytes.HasPrefix(key, prefix) && visit(numberOf(key), value)
	})
}

// Results returns up to count results of a job, starting at the given item, and the
// item to continue from, or -1 at the end. The size of a page is limited in bytes too.
// Once a cancelled or expired job has ended, items without a result are included, with
// the reason.
func (s *State) Results(id JobID, from, count int) (results []ItemResult, next int, err error) {
	err = s.storage.View(func(r Reader) error {
		var job Job
		next = -1
		if found, err := get(r, jobKey(id), &job); err != nil || !found {
			return err
		}
		if job.Status.Ended() && job.Unfinished > 0 {
			results, next, err = resultsWithUnfinished(r, job, from, count)
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
		if len(results) == count || size >= maxPageBytes {
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

// resultsWithUnfinished reads the results of an ended job, including those of its
// unfinished items.
func resultsWithUnfinished(r Reader, job Job, from, count int) (results []ItemResult, next int, err error) {
	end := min(from+count, job.Total)
	size := 0
	for item := from; item < end; item++ {
		if size >= maxPageBytes {
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

// unfinishedResult describes an item without a result of an ended job. Only a
// non-repeatable item is known not to have run, since its start would be committed.
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
