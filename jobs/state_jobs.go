package jobs

import (
	"github.com/dykewing/dykewing/api"
)

func jobKey(id JobID) []byte    { return nameKey(keyJob, string(id)) }
func activeKey(id JobID) []byte { return nameKey(keyActive, string(id)) }

func idempotencyKey(tenant api.TenantID, key string) []byte {
	return nameKey(keyIdempotency, string(tenant), key)
}

func (c *change) job(id JobID) (Job, bool) {
	var job Job
	found := c.get(jobKey(id), &job)
	return job, found
}

func (c *change) submit(command Submit) Result {
	if known, ok := c.submitted(command); ok {
		if known.BodyHash != command.BodyHash || known.Tenant != command.Tenant {
			return failure(api.CodeConflict, "idempotency key %q was used with another body", command.Key)
		}
		return Result{Job: &known, Duplicate: true}
	}
	file, ok := c.file(command.File)
	if !ok || !file.Sealed || file.Tenant != command.Tenant {
		return failure(api.CodeNotFound, "no input file %s", command.File)
	}
	if file.Lines == 0 {
		return failure(api.CodeBadRequest, "input file %s has no lines", command.File)
	}
	job := Job{Submit: command, Status: JobInProgress, Created: c.now, Total: file.Lines, Services: file.Services}
	c.put(jobKey(job.ID()), job)
	c.Put(activeKey(job.ID()), []byte{})
	c.Put(tenantKey(keyTenantJob, job.Tenant, job.Created, string(job.ID())), []byte{})
	if command.Key != "" {
		c.Put(idempotencyKey(command.Tenant, command.Key), []byte(job.ID()))
	}
	file.Jobs++
	c.put(fileKey(file.ID), file)
	return Result{Job: &job}
}

// submitted returns the job of an earlier submission with the same ID or idempotency
// key.
func (c *change) submitted(command Submit) (Job, bool) {
	if job, ok := c.job(command.Job); ok {
		return job, true
	}
	if command.Key == "" {
		return Job{}, false
	}
	id := c.Get(idempotencyKey(command.Tenant, command.Key))
	if id == nil {
		return Job{}, false
	}
	return c.job(JobID(id))
}

func (c *change) cancel(command Cancel) Result {
	job, ok := c.job(command.Job)
	if !ok {
		return failure(api.CodeNotFound, "no job %s", command.Job)
	}
	if job.Status == JobInProgress {
		job.Status = JobCancelling
		job.Cancelling = c.now
		c.storeJob(&job)
	}
	return Result{Job: &job}
}

func (c *change) expireJobs(command ExpireJobs) Result {
	for _, id := range command.Jobs {
		job, ok := c.job(id)
		if !ok || job.Status != JobInProgress || job.Deadline.After(c.now) {
			continue
		}
		job.Status = JobFinalizing
		c.storeJob(&job)
	}
	return Result{}
}

// storeJob stores a changed job, and ends it if nothing is outstanding.
func (c *change) storeJob(job *Job) {
	switch {
	case job.Status == JobInProgress && job.settled() == job.Total:
		c.endJob(job, JobCompleted)
	case job.Status == JobCancelling && job.Started == 0:
		c.endJob(job, JobCancelled)
	case job.Status == JobFinalizing && job.Started == 0:
		c.endJob(job, JobExpired)
	}
	c.put(jobKey(job.ID()), job)
}

func (c *change) endJob(job *Job, status JobStatus) {
	job.Status = status
	job.Ended = c.now
	job.Unfinished = job.Total - job.settled()
	c.Delete(activeKey(job.ID()))
	c.Put(timedKey(keyRetention, c.now, jobKey(job.ID())), []byte{})
}
