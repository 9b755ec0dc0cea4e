package jobs

import (
	"cmp"
	"time"

	"github.com/dykewing/dykewing/api"
)

// An inline job brings its items with its submission and lists their results in
// the order in which they were committed. A position of the list never changes,
// and an item stands at one position at most.

// InlineItem is one request of an inline job. It may be repeated.
type InlineItem struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers,omitempty"`
	Body    []byte            `json:"body,omitempty"`
	Tokens  int               `json:"tokens,omitempty"` // of the prompt and the most it may generate
}

// SubmitInline creates a job. The same ID sent again has no second effect.
type SubmitInline struct {
	Job JobID `json:"job"`
	// Tenant alone may read and end the job; empty: everybody may.
	Tenant    api.TenantID  `json:"tenant,omitempty"`
	Host      string        `json:"host"` // of the route that took it
	Queue     QueueName     `json:"queue,omitempty"`
	Items     []InlineItem  `json:"items"`
	RunTarget time.Duration `json:"run_target,omitempty"` // within which all results are due
	Keep      time.Duration `json:"keep,omitempty"`       // after which items may be given up; 0: never
	Retain    time.Duration `json:"retain,omitempty"`     // after which the job is forgotten; 0: the default
}

// CompleteInline lists results. An item that is listed already is passed over,
// as is an ended or unknown job's.
type CompleteInline struct {
	Results []InlineResult `json:"results"`
}

// KeepInline keeps what items that run have given so far, so that another leader
// goes on after it.
type KeepInline struct {
	Parts []InlinePart `json:"parts"`
}

// InlinePart is a further part of an item's text, and how often its runs have
// failed. It is taken only if the text kept so far has the length Offset.
type InlinePart struct {
	Job      JobID  `json:"job"`
	Index    int    `json:"index"`
	Offset   int    `json:"offset"`
	Text     string `json:"text,omitempty"`
	Last     string `json:"last,omitempty"`     // id of the last event in it
	Failures int    `json:"failures,omitempty"` // in all; never falls
}

// InlinePartial is what is kept of an item that is not listed.
type InlinePartial struct {
	Text     string `json:"text"`
	Last     string `json:"last"`
	Failures int    `json:"failures,omitempty"`
}

// EndInline ends a job: nothing more of it is listed.
type EndInline struct {
	Job    JobID        `json:"job"`
	Tenant api.TenantID `json:"tenant,omitempty"`
}

// ExpireInline forgets jobs whose time of retention has passed at Before.
type ExpireInline struct {
	Before time.Time `json:"before"`
}

// InlineOutcome is how an item of an inline job ended.
type InlineOutcome string

// The outcomes.
const (
	InlineCompleted InlineOutcome = "completed"
	InlineAbandoned InlineOutcome = "abandoned"
)

// InlineResult is one entry of a job's list.
type InlineResult struct {
	Job     JobID         `json:"job"`
	Index   int           `json:"index"` // of the item in the submission
	Item    string        `json:"item"`  // its ID
	Outcome InlineOutcome `json:"outcome"`
	Text    string        `json:"text,omitempty"`
	// Kept is how many bytes at the start of Text the parts of the item hold already.
	// Only in a command; Command.Shortened takes them out of Text.
	Kept int `json:"kept,omitempty"`
	// Sum is the checksum of the whole text where Kept is left out of Text, else 0.
	Sum uint32 `json:"sum,omitempty"`
}

// InlineJob is a job without its items.
type InlineJob struct {
	ID        JobID         `json:"id"`
	Tenant    api.TenantID  `json:"tenant,omitempty"`
	Host      string        `json:"host"`
	Queue     QueueName     `json:"queue,omitempty"` // that its items wait in
	Created   time.Time     `json:"created"`
	RunTarget time.Duration `json:"run_target,omitempty"`
	Keep      time.Duration `json:"keep,omitempty"`
	Until     time.Time     `json:"until"` // when it may be forgotten
	Total     int           `json:"total"`
	Listed    int           `json:"listed"`
	Ended     bool          `json:"ended,omitempty"`
}

// Due is when all results are due.
func (j InlineJob) Due() time.Time { return j.Created.Add(j.RunTarget) }

// Of tells whether a tenant may see the job.
func (j InlineJob) Of(tenant api.TenantID) bool { return j.Tenant == "" || j.Tenant == tenant }

// Open tells whether items may still be listed.
func (j InlineJob) Open() bool { return !j.Ended && j.Listed < j.Total }

// InlinePage is a part of a job's list.
type InlinePage struct {
	Total   int            `json:"total"`
	Next    int            `json:"next"` // the position after the last of Results
	Results []InlineResult `json:"results"`
}

// defaultRetain is how long a job is kept whose submission does not say.
const defaultRetain = 24 * time.Hour

func inlineJobKey(id JobID) []byte { return nameKey(keyInlineJob, string(id)) }

func inlineKey(kind byte, id JobID, number int) []byte { return numberedKey(kind, string(id), number) }

func (c *change) inlineJob(id JobID) (InlineJob, bool) {
	var job InlineJob
	found := c.get(inlineJobKey(id), &job)
	return job, found
}

func (c *change) submitInline(command SubmitInline) Result {
	if known, ok := c.inlineJob(command.Job); ok {
		if !known.Of(command.Tenant) {
			return failure(api.CodeConflict, "batch job %s is another tenant's", command.Job)
		}
		return Result{Inline: &known, Duplicate: true}
	}
	retain := command.Retain
	if retain <= 0 {
		retain = defaultRetain
	}
	job := InlineJob{
		ID: command.Job, Tenant: command.Tenant, Host: command.Host, Queue: command.Queue, Created: c.now, RunTarget: command.RunTarget, Keep: command.Keep,
		Until: c.now.Add(retain), Total: len(command.Items),
	}
	c.put(inlineJobKey(job.ID), job)
	c.Put(timedKey(keyInlineRetain, job.Until, []byte(job.ID)), []byte{})
	tokens := make([]int, 0, len(command.Items))
	for index, item := range command.Items {
		c.put(inlineKey(keyInlineItem, job.ID, index), item)
		tokens = append(tokens, item.Tokens)
	}
	c.put(nameKey(keyInlineTokens, string(job.ID)), tokens)
	return Result{Inline: &job}
}

func (c *change) completeInline(command CompleteInline) Result {
	var result Result
	for _, each := range command.Results {
		if c.listInline(each) {
			result.Accepted++
		}
	}
	return result
}

// listInline gives an item the next position, once.
func (c *change) listInline(result InlineResult) bool {
	job, ok := c.inlineJob(result.Job)
	if !ok || !job.Open() || result.Index < 0 || result.Index >= job.Total {
		return false
	}
	listed := inlineKey(keyInlineListed, job.ID, result.Index)
	if c.Get(listed) != nil && !c.faults.AcceptSecondResult {
		return false
	}
	result, ok = c.wholeResult(result)
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

func (c *change) keepInline(command KeepInline) Result {
	var result Result
	for _, part := range command.Parts {
		if c.keepPart(part) {
			result.Accepted++
		}
	}
	return result
}

// keepPart adds to an item's text what follows it, and nothing else.
func (c *change) keepPart(part InlinePart) bool {
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
		Text: kept.Text + part.Text, Last: cmp.Or(part.Last, kept.Last), Failures: max(kept.Failures, part.Failures),
	})
	return true
}

func (c *change) endInline(command EndInline) Result {
	job, ok := c.inlineJob(command.Job)
	if !ok || !job.Of(command.Tenant) {
		return failure(codeNoInlineJob, "no batch job %s", command.Job)
	}
	if job.Ended {
		return Result{Inline: &job, Duplicate: true}
	}
	job.Ended = true
	c.put(inlineJobKey(job.ID), job)
	return Result{Inline: &job}
}

// expiredAtOnce bounds the jobs that one command forgets.
const expiredAtOnce = 32

func (c *change) expireInline(command ExpireInline) Result {
	var result Result
	for _, key := range c.expiredInline(command.Before) {
		if result.Accepted == expiredAtOnce {
			result.More = true
			break
		}
		c.forgetInline(JobID(holderOf(key)))
		c.Delete(key)
		result.Accepted++
	}
	return result
}

func (c *change) expiredInline(before time.Time) [][]byte {
	var keys [][]byte
	c.Scan([]byte{keyInlineRetain}, func(key, _ []byte) bool {
		if key[0] != keyInlineRetain || timeOf(key).After(before) || len(keys) > expiredAtOnce {
			return false
		}
		keys = append(keys, append([]byte(nil), key...))
		return true
	})
	return keys
}

func (c *change) forgetInline(id JobID) {
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
	c.Delete(inlineJobKey(id))
}
