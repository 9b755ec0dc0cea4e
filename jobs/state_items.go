package jobs

import (
	"encoding/json"

	"github.com/dykewing/dykewing/api"
)

// storedResult is an item's terminal record. Its key identifies the item.
type storedResult struct {
	CustomID string          `json:"c"`
	Outcome  api.Outcome     `json:"o"`
	Status   int             `json:"s,omitempty"`
	Body     json.RawMessage `json:"b,omitempty"`
	Code     api.ErrorCode   `json:"k,omitempty"`
	Error    string          `json:"e,omitempty"`
	Request  api.RequestID   `json:"q,omitempty"`
}

func (s storedResult) result(item ItemRef) ItemResult {
	return ItemResult{
		Item: item, CustomID: s.CustomID, Outcome: s.Outcome, Status: s.Status,
		Body: s.Body, Code: s.Code, Error: s.Error, Request: s.Request,
	}
}

// storedStart is the latest start of a non-repeatable item.
type storedStart struct {
	Router   api.NodeID    `json:"r"`
	Request  api.RequestID `json:"q"`
	Epoch    uint64        `json:"e"`
	Released bool          `json:"x,omitempty"` // revoked: the request did not run
}

func resultKey(item ItemRef) []byte { return numberedKey(keyResult, string(item.Job), item.Item) }
func startKey(item ItemRef) []byte  { return numberedKey(keyStart, string(item.Job), item.Item) }

func (j Job) hasItem(item ItemRef) bool { return item.Item >= 0 && item.Item < j.Total }

func (c *change) start(command Start) Result {
	job, ok := c.job(command.Item.Job)
	if !ok || !job.hasItem(command.Item) || job.Repeatable {
		return failure(api.CodeNotFound, "no non-repeatable item %v", command.Item)
	}
	var known storedStart
	started := c.get(startKey(command.Item), &known)
	if job.Status != JobInProgress && !c.faults.StartAfterCancel || c.Get(resultKey(command.Item)) != nil {
		return failure(api.CodeConflict, "item %v may not start: it has ended or its job is %s", command.Item, job.Status)
	}
	if started && known.Request == command.Request && !known.Released {
		return Result{Duplicate: true}
	}
	if started && (!known.Released || known.Epoch >= command.Epoch && !c.faults.IgnoreEpoch) {
		return failure(api.CodeConflict, "item %v was started under grant %d", command.Item, known.Epoch)
	}
	c.put(startKey(command.Item), storedStart{Router: command.Router, Request: command.Request, Epoch: command.Epoch})
	job.Started++
	c.storeJob(&job)
	return Result{}
}

// complete stores the first result of each item. Consecutive results of one job are
// applied together, so that the job is read and stored once.
func (c *change) complete(command Complete) Result {
	var result Result
	for from := 0; from < len(command.Results); {
		id, to := command.Results[from].Item.Job, from
		for to < len(command.Results) && command.Results[to].Item.Job == id {
			to++
		}
		if job, ok := c.job(id); ok {
			result.Accepted += c.completeItems(&job, command.Results[from:to])
			c.storeJob(&job)
		}
		from = to
	}
	for _, release := range command.Released {
		c.release(release)
	}
	return result
}

func (c *change) completeItems(job *Job, results []ItemResult) int {
	accepted := 0
	for _, result := range results {
		if !job.hasItem(result.Item) {
			continue
		}
		if c.isDuplicate(result) {
			continue
		}
		if !c.mayComplete(job, result) {
			job.Dropped++
			continue
		}
		c.put(resultKey(result.Item), storedResult{
			CustomID: result.CustomID, Outcome: result.Outcome, Status: result.Status,
			Body: result.Body, Code: result.Code, Error: result.Error, Request: result.Request,
		})
		job.countResult(result)
		accepted++
	}
	return accepted
}

// isDuplicate reports whether the result was stored before and is a retry.
func (c *change) isDuplicate(result ItemResult) bool {
	if c.faults.AcceptSecondResult || result.Request == "" {
		return false
	}
	var known storedResult
	return c.get(resultKey(result.Item), &known) && known.Request == result.Request
}

// mayComplete reports whether a result is accepted as the item's first. For a
// repeatable item the job must be in progress. For a non-repeatable one the result must
// come from the request whose start is committed, and the job must not have ended; an
// item without a start may only end as not run.
func (c *change) mayComplete(job *Job, result ItemResult) bool {
	if c.Get(resultKey(result.Item)) != nil && !c.faults.AcceptSecondResult {
		return false
	}
	if job.Repeatable {
		return job.Status == JobInProgress
	}
	var start storedStart
	started := c.get(startKey(result.Item), &start) && !start.Released
	if !started {
		return job.Status == JobInProgress && result.Outcome == api.OutcomeNotRun
	}
	if start.Request != result.Request || job.Status.Ended() {
		return false
	}
	job.Started--
	return true
}

func (j *Job) countResult(result ItemResult) {
	if result.Failed() {
		j.Failed++
	} else {
		j.Completed++
	}
	if result.Outcome == api.OutcomeUnknown {
		j.Unknown++
	}
}

// release lets a started item that did not run start again under a later grant.
func (c *change) release(command Release) {
	var start storedStart
	job, ok := c.job(command.Item.Job)
	if !ok || !c.get(startKey(command.Item), &start) || start.Released || start.Request != command.Request {
		return
	}
	if c.Get(resultKey(command.Item)) != nil {
		return
	}
	start.Released = true
	c.put(startKey(command.Item), start)
	job.Started--
	c.storeJob(&job)
}
