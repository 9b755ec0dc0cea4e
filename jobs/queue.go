package jobs

import (
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/placement"
)

// A queue is what waits on one route, counted in tokens over all groups. One
// group, the queue's home, keeps the count: a job is admitted there before its
// own group takes it, and that group's leader reports what is left of it.
//
// Invariant: the tokens counted never pass the bound of the admission that
// raised them, whatever the bound was before.

// QueueName names a queue; it is the same at every process that knows the route.
type QueueName string

// AdmitToQueue counts a job's tokens if they fit under Bound. A job that is
// counted already is admitted again without a second effect.
type AdmitToQueue struct {
	Queue  QueueName `json:"queue"`
	Job    JobID     `json:"job"`
	Tokens int64     `json:"tokens"`
	Bound  int64     `json:"bound"` // above 0
}

// ReportQueue tells what is left of jobs that a group keeps.
type ReportQueue struct {
	Group api.GroupID `json:"group"`
	// Whole: the group keeps no other open jobs than those of Jobs.
	Whole bool        `json:"whole,omitempty"`
	Jobs  []QueuedJob `json:"jobs,omitempty"`
}

// QueuedJob is how many tokens of a job no worker has finished; 0 forgets it.
type QueuedJob struct {
	Queue  QueueName `json:"queue"`
	Job    JobID     `json:"job"`
	Tokens int64     `json:"tokens"`
}

// Home is the group that keeps a queue's count, of so many groups.
func (q QueueName) Home(groups int) api.GroupID {
	return placement.GroupOf(api.TenantID(q), groups)
}

// admittedLife is how long an admitted job counts of which its own group has not
// reported: its submission failed, or its caller is gone.
const admittedLife = 30 * time.Second

// queueEntry is a job's part of a queue.
type queueEntry struct {
	Queue    QueueName   `json:"queue"`
	Tokens   int64       `json:"tokens"`
	Since    time.Time   `json:"since"`
	Group    api.GroupID `json:"group,omitempty"`
	Reported bool        `json:"reported,omitempty"` // Group has told of it
}

func queueTotalKey(name QueueName) []byte { return nameKey(keyQueueTotal, string(name)) }

func queueEntryKey(job JobID) []byte { return nameKey(keyQueueEntry, string(job)) }

func (c *change) admitToQueue(command AdmitToQueue) Result {
	if known := c.queueEntry(command.Job); known != nil {
		return Result{Duplicate: true}
	}
	if !c.fits(command) {
		c.expireAdmitted()
	}
	if !c.fits(command) && !c.faults.IgnoreQueueBound {
		return failure(api.CodeQueueFull, "%d tokens wait on %s, %d more pass the bound of %d",
			c.queueTotal(command.Queue), command.Queue, command.Tokens, command.Bound)
	}
	c.setQueueEntry(command.Job, queueEntry{Queue: command.Queue, Tokens: command.Tokens, Since: c.now})
	return Result{Accepted: 1}
}

func (c *change) fits(command AdmitToQueue) bool {
	return c.queueTotal(command.Queue)+command.Tokens <= command.Bound
}

func (c *change) reportQueue(command ReportQueue) Result {
	told := make(map[JobID]bool, len(command.Jobs))
	for _, job := range command.Jobs {
		told[job.Job] = true
		c.setQueueEntry(job.Job, queueEntry{
			Queue: job.Queue, Tokens: job.Tokens, Since: c.now, Group: command.Group, Reported: true,
		})
	}
	if command.Whole {
		c.dropQueueEntries(func(job JobID, entry queueEntry) bool {
			return entry.Reported && entry.Group == command.Group && !told[job]
		})
	}
	return Result{Accepted: len(command.Jobs)}
}

// expireAdmitted forgets jobs that were admitted and of which nothing was heard.
func (c *change) expireAdmitted() {
	c.dropQueueEntries(func(_ JobID, entry queueEntry) bool {
		return !entry.Reported && c.now.Sub(entry.Since) > admittedLife
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

// setQueueEntry replaces a job's part of its queue; one without tokens is gone.
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

// QueuedTokens is how many tokens are counted on a queue; only its home knows.
func (s *State) QueuedTokens(name QueueName) (total int64, err error) {
	err = s.storage.View(func(r Reader) error {
		_, err := get(r, queueTotalKey(name), &total)
		return err
	})
	return total, err
}
