package jobs

import (
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/placement"
)

// A queue counts the waiting tokens of one route over all groups. The count is kept
// by one group, the queue's home. A job is admitted there before its own group
// accepts it; the leader of that group then reports the remaining tokens.
//
// Invariant: an admission never raises the count above its own bound, even if an
// earlier bound was different.

// QueueName identifies a queue. All processes derive the same name from a route.
type QueueName string

// AdmitToQueue adds a job's tokens to a queue if the total stays within the given
// limit. Admitting a job that is counted already succeeds without effect.
type AdmitToQueue struct {
	Queue     QueueName `json:"queue"`
	Job       JobID     `json:"job"`
	Tokens    int64     `json:"tokens"`
	MaxTokens int64     `json:"bound"` // greater than 0
}

// ReportQueue reports the remaining tokens of jobs that a group stores.
type ReportQueue struct {
	Group api.GroupID `json:"group"`
	// Full is set if Jobs lists all open jobs of the group.
	Full bool        `json:"whole,omitempty"`
	Jobs []QueuedJob `json:"jobs,omitempty"`
}

// QueuedJob is the number of unfinished tokens of a job; 0 removes the job.
type QueuedJob struct {
	Queue  QueueName `json:"queue"`
	Job    JobID     `json:"job"`
	Tokens int64     `json:"tokens"`
}

// HomeGroup returns the group that counts the queue, out of the given number of groups.
func (q QueueName) HomeGroup(groups int) api.GroupID {
	return placement.TenantGroup(api.TenantID(q), groups)
}

// admissionTTL is how long an admitted job counts without a report by its own group.
// There is none if the submission failed or its caller is gone.
const admissionTTL = 30 * time.Second

// queueEntry is a job's share of a queue.
type queueEntry struct {
	Queue    QueueName   `json:"queue"`
	Tokens   int64       `json:"tokens"`
	Since    time.Time   `json:"since"`
	Group    api.GroupID `json:"group,omitempty"`
	Reported bool        `json:"reported,omitempty"` // Group has reported the job
}

func queueTotalKey(name QueueName) []byte { return nameKey(keyQueueTotal, string(name)) }

func queueEntryKey(job JobID) []byte { return nameKey(keyQueueEntry, string(job)) }

func (c *change) admitToQueue(command AdmitToQueue) Result {
	if known := c.queueEntry(command.Job); known != nil {
		return Result{Duplicate: true}
	}
	if !c.fits(command) {
		c.expireAdmissions()
	}
	if !c.fits(command) && !c.faults.IgnoreQueueBound {
		return failure(api.CodeQueueFull, "%d tokens wait in queue %s, %d more would exceed the limit of %d",
			c.queueTotal(command.Queue), command.Queue, command.Tokens, command.MaxTokens)
	}
	c.setQueueEntry(command.Job, queueEntry{Queue: command.Queue, Tokens: command.Tokens, Since: c.now})
	return Result{Accepted: 1}
}

func (c *change) fits(command AdmitToQueue) bool {
	return c.queueTotal(command.Queue)+command.Tokens <= command.MaxTokens
}

func (c *change) reportQueue(command ReportQueue) Result {
	reported := make(map[JobID]bool, len(command.Jobs))
	for _, job := range command.Jobs {
		reported[job.Job] = true
		c.setQueueEntry(job.Job, queueEntry{
			Queue: job.Queue, Tokens: job.Tokens, Since: c.now, Group: command.Group, Reported: true,
		})
	}
	if command.Full {
		c.dropQueueEntries(func(job JobID, entry queueEntry) bool {
			return entry.Reported && entry.Group == command.Group && !reported[job]
		})
	}
	return Result{Accepted: len(command.Jobs)}
}

// expireAdmissions removes admitted jobs that were not reported within admissionTTL.
func (c *change) expireAdmissions() {
	c.dropQueueEntries(func(_ JobID, entry queueEntry) bool {
		return !entry.Reported && c.now.Sub(entry.Since) > admissionTTL
	})
}

func (c *change) dropQueueEntries(drop func(job JobID, entry queueEntry) bool) {
	var dropped []JobID
	c.Scan([]byte{keyQueueEntry}, func(key, _ []byte) bool {
		if key[0] != keyQueueEntry {
			return false
		}
		job := JobID(key[1:])
		if entry := c.queueEntry(job); entry != nil && drop(job, *entry) {
			dropped = append(dropped, job)
		}
		return true
	})
	for _, job := range dropped {
		c.setQueueEntry(job, queueEntry{})
	}
}

func (c *change) queueEntry(job JobID) *queueEntry {
	var entry queueEntry
	if !c.get(queueEntryKey(job), &entry) {
		return nil
	}
	return &entry
}

// setQueueEntry replaces a job's entry; one without tokens is deleted.
func (c *change) setQueueEntry(job JobID, entry queueEntry) {
	if before := c.queueEntry(job); before != nil {
		c.addToQueue(before.Queue, -before.Tokens)
		c.Delete(queueEntryKey(job))
	}
	if entry.Tokens <= 0 {
		return
	}
	c.addToQueue(entry.Queue, entry.Tokens)
	c.put(queueEntryKey(job), entry)
}

func (c *change) addToQueue(name QueueName, tokens int64) {
	total := c.queueTotal(name) + tokens
	if total <= 0 {
		c.Delete(queueTotalKey(name))
		return
	}
	c.put(queueTotalKey(name), total)
}

func (c *change) queueTotal(name QueueName) int64 {
	total := int64(0)
	c.get(queueTotalKey(name), &total)
	return total
}

// QueuedTokens returns the number of tokens counted in a queue. It is only meaningful
// at the queue's home group.
func (s *State) QueuedTokens(name QueueName) (total int64, err error) {
	err = s.storage.View(func(r Reader) error {
		_, err := get(r, queueTotalKey(name), &total)
		return err
	})
	return total, err
}
