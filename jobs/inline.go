package jobs

import (
	"cmp"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/origin"
)

// An inline job is submitted together with its items. Its results form a list in the
// order of commit: an entry of the list never changes, and an item has at most one.

// InlineItem is one request of an inline job. It must be repeatable.
type InlineItem struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers,omitempty"`
	Body    []byte            `json:"body,omitempty"`
	Tokens  int               `json:"tokens,omitempty"` // of the prompt, plus the maximum it may generate
}

// SubmitInline creates an inline job. Submitting the same Job again has no effect, except that newer
// Terms replace the stored ones.
type SubmitInline struct {
	Job JobID `json:"job"`
	// Tenant is the only one that may read and end the job; empty allows all.
	Tenant       api.TenantID  `json:"tenant,omitempty"`
	Host         string        `json:"host"` // of the route that accepted the job
	Queue        QueueName     `json:"queue,omitempty"`
	Items        []InlineItem  `json:"items"`
	RunTarget    time.Duration `json:"run_target,omitempty"` // time in which all results are due
	AbandonAfter time.Duration `json:"keep,omitempty"`       // time after which items may be abandoned; 0: never
	Retention    time.Duration `json:"retain,omitempty"`     // retention; 0: the default
	Terms        *Terms        `json:"terms,omitempty"`      // nil in commands of builds before Terms
}

// CompleteInline appends results to the lists of their jobs. Results of items that are
// listed already, and of ended or unknown jobs, are ignored.
type CompleteInline struct {
	Results []InlineResult `json:"results"`
}

// CheckpointInline stores the partial output of running items, so that a new leader can
// resume from it.
type CheckpointInline struct {
	Parts []InlinePart `json:"parts"`
}

// InlinePart is the next part of an item's text and its failure count. It is rejected
// unless Offset is the length of the text stored so far.
type InlinePart struct {
	Job       JobID  `json:"job"`
	Index     int    `json:"index"`
	Offset    int    `json:"offset"`
	Text      string `json:"text,omitempty"`
	LastEvent string `json:"last,omitempty"`     // ID of the last event in Text
	Failures  int    `json:"failures,omitempty"` // total; never decreases
	// Origin is the software that wrote Text; nil if unknown, as in parts of earlier builds.
	Origin *origin.Origin `json:"origin,omitempty"`
}

// InlinePartial is the stored partial output of an item that is not listed yet.
type InlinePartial struct {
	Text      string `json:"text"`
	LastEvent string `json:"last"`
	Failures  int    `json:"failures,omitempty"`
	// Origin is the software that wrote all of Text; nil if unknown.
	Origin *origin.Origin `json:"origin,omitempty"`
}

// EndInline ends a job, which accepts no further results.
type EndInline struct {
	Job     JobID        `json:"job"`
	Tenant  api.TenantID `json:"tenant,omitempty"`
	Version int64        `json:"version,omitempty"` // of the configuration that identified Tenant; 0: unknown
}

// ExpireInline deletes jobs whose retention ended at or before Before, a bounded number
// per command; Result.More reports whether to send another.
type ExpireInline struct {
	Before time.Time `json:"before"`
}

// InlineOutcome is how an item of an inline job ended.
type InlineOutcome string

// The outcomes of an item.
const (
	InlineCompleted InlineOutcome = "completed"
	InlineAbandoned InlineOutcome = "abandoned"
)

// InlineResult is one entry of a job's result list.
type InlineResult struct {
	Job     JobID         `json:"job"`
	Index   int           `json:"index"` // of the item in the submission
	ItemID  string        `json:"item"`  // its ID
	Outcome InlineOutcome `json:"outcome"`
	Text    string        `json:"text,omitempty"`
	// CheckpointBytes is the number of leading bytes of Text that are stored as parts of the item.
	// It is only set in a command, where Command.Shortened removes them from Text.
	CheckpointBytes int `json:"kept,omitempty"`
	// Checksum is the checksum of the whole text if leading bytes were removed from Text,
	// and 0 otherwise.
	Checksum uint32 `json:"sum,omitempty"`
}

// InlineJob describes an inline job without its items.
type InlineJob struct {
	ID           JobID         `json:"id"`
	Tenant       api.TenantID  `json:"tenant,omitempty"`
	Host         string        `json:"host"`
	Queue        QueueName     `json:"queue,omitempty"` // in which its items wait
	Created      time.Time     `json:"created"`
	RunTarget    time.Duration `json:"run_target,omitempty"`
	AbandonAfter time.Duration `json:"keep,omitempty"`
	ExpiresAt    time.Time     `json:"until"` // end of the retention
	Total        int           `json:"total"`
	Listed       int           `json:"listed"`
	Ended        bool          `json:"ended,omitempty"`
}

// Due returns when all results are due.
func (j InlineJob) Due() time.Time { return j.Created.Add(j.RunTarget) }

// VisibleTo reports whether the tenant may access the job.
func (j InlineJob) VisibleTo(tenant api.TenantID) bool { return j.Tenant == "" || j.Tenant == tenant }

// Open reports whether items may still be listed.
func (j InlineJob) Open() bool { return !j.Ended && j.Listed < j.Total }

// InlinePage is a range of a job's result list.
type InlinePage struct {
	Total   int            `json:"total"`
	Next    int            `json:"next"` // position after the last of Results
	Results []InlineResult `json:"results"`
}

// defaultRetention is the retention of jobs submitted without one.
const defaultRetention = 24 * time.Hour

func inlineJobKey(id JobID) []byte { return nameKey(keyInlineJob, string(id)) }

func inlineKey(kind byte, id JobID, number int) []byte { return numberedKey(kind, string(id), number) }

func (c *change) inlineJob(id JobID) (InlineJob, bool) {
	var job InlineJob
	found := c.get(inlineJobKey(id), &job)
	return job, found
}

func (c *change) submitInline(command SubmitInline) Result {
	if known, ok := c.inlineJob(command.Job); ok {
		if !known.VisibleTo(command.Tenant) {
			return failure(api.CodeConflict, "batch job %s belongs to another tenant", command.Job)
		}
		if known.Open() {
			c.renewTerms(known, command)
		}
		return Result{Inline: &known, Duplicate: true}
	}
	retain := command.Retention
	if retain <= 0 {
		retain = defaultRetention
	}
	job := InlineJob{
		ID: command.Job, Tenant: command.Tenant, Host: command.Host, Queue: command.Queue, Created: c.now, RunTarget: command.RunTarget, AbandonAfter: command.AbandonAfter,
		ExpiresAt: c.now.Add(retain), Total: len(command.Items),
	}
	c.put(inlineJobKey(job.ID), job)
	c.Put(timedKey(keyInlineRetention, job.ExpiresAt, []byte(job.ID)), []byte{})
	tokens := make([]int, 0, len(command.Items))
	for index, item := range command.Items {
		c.put(inlineKey(keyInlineItem, job.ID, index), item)
		tokens = append(tokens, item.Tokens)
	}
	c.put(nameKey(keyInlineTokens, string(job.ID)), tokens)
	c.putTerms(job.ID, command.Terms)
	return Result{Inline: &job}
}

func (c *change) completeInline(command CompleteInline) Result {
	var result Result
	for _, each := range command.Results {
		if c.appendInlineResult(each) {
			result.Accepted++
		}
	}
	return result
}

// appendInlineResult appends a result to its job's list unless the item is listed
// already.
func (c *change) appendInlineResult(result InlineResult) bool {
	job, ok := c.inlineJob(result.Job)
	if !ok || !job.Open() || result.Index < 0 || result.Index >= job.Total {
		return false
	}
	listed := inlineKey(keyInlineListed, job.ID, result.Index)
	if c.Get(listed) != nil && !c.faults.AcceptSecondResult {
		return false
	}
	result, ok = c.restoreText(result)
	if !ok {
		return false
	}
	c.Put(listed, []byte{1})
	c.Delete(inlineKey(keyInlinePartial, job.ID, result.Index))
	c.put(inlineKey(keyInlineResult, job.ID, job.Listed), result)
	job.Listed++
	c.put(inlineJobKey(job.ID), job)
	return true
}

func (c *change) checkpointInline(command CheckpointInline) Result {
	var result Result
	for _, part := range command.Parts {
		if c.appendInlinePart(part) {
			result.Accepted++
		}
	}
	return result
}

// appendInlinePart appends a part to an item's stored text. It rejects parts that do
// not follow that text directly.
func (c *change) appendInlinePart(part InlinePart) bool {
	job, ok := c.inlineJob(part.Job)
	if !ok || !job.Open() || part.Index < 0 || part.Index >= job.Total || c.Get(inlineKey(keyInlineListed, job.ID, part.Index)) != nil {
		return false
	}
	key := inlineKey(keyInlinePartial, job.ID, part.Index)
	var kept InlinePartial
	c.get(key, &kept)
	if len(kept.Text) != part.Offset {
		return false
	}
	c.put(key, InlinePartial{
		Text: kept.Text + part.Text, LastEvent: cmp.Or(part.LastEvent, kept.LastEvent), Failures: max(kept.Failures, part.Failures),
		Origin: originOf(kept, part),
	})
	return true
}

// originOf returns the software that wrote a stored text and its next part, or nil if that is
// unknown or not the same.
func originOf(kept InlinePartial, part InlinePart) *origin.Origin {
	switch {
	case part.Text == "":
		return kept.Origin
	case kept.Text == "":
		return part.Origin
	case kept.Origin == nil || part.Origin == nil || *kept.Origin != *part.Origin:
		return nil
	}
	return kept.Origin
}

func (c *change) endInline(command EndInline) Result {
	job, ok := c.inlineJob(command.Job)
	if !ok || !job.VisibleTo(command.Tenant) {
		var terms *Terms
		if c.get(inlineTermsKey(command.Job), &terms); terms.NewerThan(command.Version) {
			return failure(api.CodeNoTable, "batch job %s was accepted under configuration %d, and its caller identified by %d", command.Job, terms.Version, command.Version)
		}
		return failure(codeNoInlineJob, "no batch job %s", command.Job)
	}
	if job.Ended {
		return Result{Inline: &job, Duplicate: true}
	}
	job.Ended = true
	c.put(inlineJobKey(job.ID), job)
	return Result{Inline: &job}
}

// maxExpiredInline is the maximum number of jobs that one ExpireInline deletes.
const maxExpiredInline = 32

func (c *change) expireInline(command ExpireInline) Result {
	var result Result
	for _, key := range c.expiredInline(command.Before) {
		if result.Accepted == maxExpiredInline {
			result.More = true
			break
		}
		c.deleteInline(JobID(targetOf(key)))
		c.Delete(key)
		result.Accepted++
	}
	return result
}

func (c *change) expiredInline(before time.Time) [][]byte {
	var keys [][]byte
	c.Scan([]byte{keyInlineRetention}, func(key, _ []byte) bool {
		if key[0] != keyInlineRetention || timeOf(key).After(before) || len(keys) > maxExpiredInline {
			return false
		}
		keys = append(keys, append([]byte(nil), key...))
		return true
	})
	return keys
}

func (c *change) deleteInline(id JobID) {
	job, ok := c.inlineJob(id)
	if !ok {
		return
	}
	for index := range job.Total {
		c.Delete(inlineKey(keyInlineItem, id, index))
		c.Delete(inlineKey(keyInlineResult, id, index))
		c.Delete(inlineKey(keyInlineListed, id, index))
		c.Delete(inlineKey(keyInlinePartial, id, index))
	}
	c.Delete(nameKey(keyInlineTokens, string(id)))
	c.Delete(inlineTermsKey(id))
	c.Delete(inlineJobKey(id))
}
