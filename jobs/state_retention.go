package jobs

import (
	"bytes"
	"time"
)

// Bounds of one ExpireRetention command, so that no command holds up others.
const (
	maximumExpired = 64   // jobs, files and claims
	maximumDeleted = 2000 // keys of lines, results and starts
)

func (c *change) expireRetention(command ExpireRetention) Result {
	expired := c.due(keyRetention, command.Before)
	expired = append(expired, c.due(keyUpload, command.UploadsBefore)...)
	for _, key := range expired {
		c.Delete(key)
		c.drop(holderOf(key))
	}
	deleted := c.collectGarbage()
	return Result{More: len(expired) >= maximumExpired || deleted == maximumDeleted}
}

// due lists the first keys of the kind whose time is before the bound.
func (c *change) due(kind byte, before time.Time) [][]byte {
	var due [][]byte
	c.Scan([]byte{kind}, func(key, _ []byte) bool {
		if key[0] != kind || len(due) == maximumExpired || !timeOf(key).Before(before) {
			return false
		}
		due = append(due, bytes.Clone(key))
		return true
	})
	return due
}

// drop removes what holder names.
func (c *change) drop(holder []byte) {
	switch holder[0] {
	case keyFile:
		c.dropFile(holder)
	case keyJob:
		c.dropJob(holder)
	default:
		c.Delete(holder)
	}
}

func (c *change) dropFile(holder []byte) {
	var file File
	if c.get(holder, &file) {
		file.Deleted = true
		c.freeFile(file)
	}
}

func (c *change) dropJob(holder []byte) {
	var job Job
	if !c.get(holder, &job) {
		return
	}
	c.Delete(holder)
	c.Delete(tenantKey(keyTenant, job.Tenant, job.Created, string(job.ID())))
	if job.Key != "" {
		c.Delete(identityKey(job.Tenant, job.Key))
	}
	c.discard(numberedPrefix(keyResult, string(job.ID())))
	c.discard(numberedPrefix(keyStart, string(job.ID())))
	var file File
	if c.get(fileKey(job.File), &file) {
		file.Jobs--
		c.freeFile(file)
	}
}

// collectGarbage deletes a bounded number of discarded keys and counts them.
func (c *change) collectGarbage() int {
	var prefixes [][]byte
	c.Scan([]byte{keyGarbage}, func(key, _ []byte) bool {
		if key[0] != keyGarbage || len(prefixes) == maximumExpired {
			return false
		}
		prefixes = append(prefixes, bytes.Clone(key))
		return true
	})
	deleted := 0
	for _, garbage := range prefixes {
		keys := c.keysWith(garbage[1:], maximumDeleted-deleted)
		for _, key := range keys {
			c.Delete(key)
		}
		deleted += len(keys)
		if deleted == maximumDeleted {
			return deleted
		}
		c.Delete(garbage)
	}
	return deleted
}

func (c *change) keysWith(prefix []byte, limit int) [][]byte {
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
