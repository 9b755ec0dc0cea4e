package jobs

import (
	"encoding/json"

	"github.com/dykewing/dykewing/api"
)

// storedResult is an item's terminal record; its key names the item.
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
	Released bool          `json:"x,omitempty"` // taken back: it did not run
}

func resultKey(item ItemRef) []byte { return numberedKey(keyResult, string(item.Job), item.Item) }
func startKey(item ItemRef) []byte  { return numberedKey(keyStart, string(item.Job), item.Item) }

func (j Job) holds(item ItemRef) bool { return item.Item >= 0 && item.Item < j.Total }

func (c *change) start(command Start) Result {
	job, ok := c.job(command.Item.Job)
	if !ok || !job.holds(command.Item) || job.Repeatable {
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

// complete takes each item's first result. Results are grouped by job, so that
// a job is read and stored once for a run of its items.
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
		if !job.holds(result.Item) {
			continue
		}
		if c.isRepeat(result) {
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
		job.count(result)
		accepted++
	}
	return accepted
}

// isRepeat recognises a report that was sent again because its answer was lost.
func (c *change) isRepeat(result ItemResult) bool {
	if c.faults.AcceptSecondResult || result.Request == "" {
		return false
	}
	var known storedResult
	return c.get(resultKey(result.Item), &known) && known.Request == result.Request
}

// mayComplete tells whether a result is the item's first. A repeatable item's
// is taken while the job runs. A non-repeatable item's is taken, also while the
// job winds up, from the request whose start is committed; an item that was
// never started may only end as not run.
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

func (j *Job) count(result ItemResult) {
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
