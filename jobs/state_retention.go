package jobs

import (
	"bytes"
	"time"
)

// Limits of one ExpireRetention command, so that it does not delay others for long.
const (
	maxExpired = 64   // jobs, files and claims
	maxDeleted = 2000 // keys of lines, results and starts
)

func (c *change) expireRetention(command ExpireRetention) Result {
	expired := c.expiredKeys(keyRetention, command.Before)
	expired = append(expired, c.expiredKeys(keyUpload, command.UploadsBefore)...)
	for _, key := range expired {
		c.Delete(key)
		c.deleteTarget(targetOf(key))
	}
	deleted := c.collectGarbage()
	return Result{More: len(expired) >= maxExpired || deleted == maxDeleted}
}

// expiredKeys returns the first keys of the kind with a time before the given one.
func (c *change) expiredKeys(kind byte, before time.Time) [][]byte {
	var due [][]byte
	c.Scan([]byte{kind}, func(key, _ []byte) bool {
		if key[0] != kind || len(due) == maxExpired || !timeOf(key).Before(before) {
			return false
		}
		due = append(due, bytes.Clone(key))
		return true
	})
	return due
}

// deleteTarget deletes what the target of a timed key refers to.
func (c *change) deleteTarget(target []byte) {
	switch target[0] {
	case keyFile:
		c.deleteExpiredFile(target)
	case keyJob:
		c.deleteExpiredJob(target)
	default:
		c.Delete(target)
	}
}

func (c *change) deleteExpiredFile(target []byte) {
	var file File
	if c.get(target, &file) {
		file.Deleted = true
		c.storeOrDeleteFile(file)
	}
}

func (c *change) deleteExpiredJob(target []byte) {
	var job Job
	if !c.get(target, &job) {
		return
	}
	c.Delete(target)
	c.Delete(tenantKey(keyTenantJob, job.Tenant, job.Created, string(job.ID())))
	if job.Key != "" {
		c.Delete(idempotencyKey(job.Tenant, job.Key))
	}
	c.deletePrefixLater(numberedPrefix(keyResult, string(job.ID())))
	c.deletePrefixLater(numberedPrefix(keyStart, string(job.ID())))
	var file File
	if c.get(fileKey(job.File), &file) {
		file.Jobs--
		c.storeOrDeleteFile(file)
	}
}

// collectGarbage deletes a limited number of keys with the scheduled prefixes and
// returns how many.
func (c *change) collectGarbage() int {
	var prefixes [][]byte
	c.Scan([]byte{keyGarbage}, func(key, _ []byte) bool {
		if key[0] != keyGarbage || len(prefixes) == maxExpired {
			return false
		}
		prefixes = append(prefixes, bytes.Clone(key))
		return true
	})
	deleted := 0
	for _, garbage := range prefixes {
		keys := c.keysWithPrefix(garbage[1:], maxDeleted-deleted)
		for _, key := range keys {
			c.Delete(key)
		}
		deleted += len(keys)
		if deleted == maxDeleted {
			return deleted
		}
		c.Delete(garbage)
	}
	return deleted
}

func (c *change) keysWithPrefix(prefix []byte, limit int) [][]byte {
	var keys [][]byte
	c.Scan(prefix, func(key, _ []byte) bool {
		if !bytes.HasPrefix(key, prefix) || len(keys) == limit {
			return false
		}
		keys = append(keys, bytes.Clone(key))
		return true
	})
	return keys
}
