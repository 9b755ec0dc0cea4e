package frontend

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/backend"
	"github.com/dykewing/dykewing/internal/storeclient"
	"github.com/dykewing/dykewing/jobs"
	"github.com/dykewing/dykewing/placement"
	"github.com/dykewing/dykewing/route"
)

const (
	submitTimeout = 3500 * time.Millisecond // slightly below the timeout of callers
	readTimeout   = 2 * time.Second
	endJobTimeout = 3500 * time.Millisecond
	// retainMargin is added to the retention period of a job.
	retainMargin = time.Minute
)

// jobGroup returns the store group that owns a job. All frontends compute the same one.
func (f *Frontend) jobGroup(job string) api.GroupID {
	return placement.TenantGroup(api.TenantID(job), f.node.Settings.Store.Groups)
}

// submitJob submits a batch job, of a route of the configuration, to the stores and answers 202 once
// it is committed.
func (x *exchange) submitJob(configuration *route.Configuration) {
	f := x.frontend
	items, err := f.protocol.DecodeJob(x.body)
	if err == nil {
		err = jobs.ValidateInline(jobs.JobID(x.request.ID), items)
	}
	if err != nil {
		x.refuse(api.NewError("decode batch job", "", api.CodeBadRequest, api.OutcomeNotRun, "%w", err))
		return
	}
	ctx, cancel := context.WithTimeout(x.r.Context(), min(x.timeLimit(), submitTimeout))
	defer cancel()
	if failure := x.admitToQueue(ctx, items); failure != nil {
		x.refuseJob(failure)
		return
	}
	host := hostOf(x.r)
	command := jobs.Command{SubmitInline: &jobs.SubmitInline{
		Job: jobs.JobID(x.request.ID), Tenant: api.TenantID(x.identity.tenant.Name), Host: host, Queue: x.queueName(), Items: items, RunTarget: x.route.CompletionTarget, AbandonAfter: x.route.AbandonAfter,
		Retention: max(x.route.AbandonAfter, f.node.Settings.Batch.Retention) + retainMargin, Terms: jobs.NewTerms(configuration, host, items),
	}}
	result, err := f.stores.Command(ctx, f.jobGroup(x.request.ID), command)
	if err != nil {
		x.refuseJob(api.AsError("submit batch job", err))
		return
	}
	f.log.WithFields(logrus.Fields{
		"event": "job_accepted", "request": x.request.ID, "items": len(items), "duplicate": result.Duplicate,
		"age_ms": time.Since(x.arrived).Milliseconds(), "version": x.version,
	}).Info("Batch job accepted.")
	f.metrics.requests.WithLabelValues(string(x.route.Kind), "served").Inc()
	x.w.WriteHeader(http.StatusAccepted)
}

// refuseJob answers a failed submission. The response says that the job was not
// accepted only if that is certain.
func (x *exchange) refuseJob(failure *api.Error) {
	switch {
	case failure.Outcome != api.OutcomeNotRun:
		failure.Code = api.CodeDeadline
	case failure.Code == api.CodeConflict:
	case failure.Code == api.CodeQueueFull:
		failure.RetryAfter = queueRetryAfter
	default:
		failure.Code = api.CodeNoQuorum
		failure.RetryAfter = 0
	}
	x.refuse(failure)
}

// serveJobCall serves a call about a job that was submitted earlier.
func (f *Frontend) serveJobCall(w http.ResponseWriter, r *http.Request, call backend.JobCall) {
	caller, ok := f.identifyJobCall(w, r, call)
	if !ok {
		return
	}
	switch call.Action {
	case backend.JobRead:
		f.serveResults(w, r, call, caller)
	case backend.JobItem:
		f.serveItem(w, r, call, caller)
	case backend.JobEnd:
		f.serveJobEnd(w, r, call, caller)
	}
}

func (f *Frontend) serveResults(w http.ResponseWriter, r *http.Request, call backend.JobCall, caller storeclient.Caller) {
	ctx, cancel := context.WithTimeout(r.Context(), readTimeout)
	defer cancel()
	group := f.jobGroup(call.Job)
	var page jobs.InlinePage
	if err := f.stores.Read(ctx, group, storeclient.InlineResultsPath(group, caller, call.Job, call.From), &page); err != nil {
		f.writeJobError(w, "read results", call, err)
		return
	}
	body, err := f.protocol.EncodePage(page)
	if err != nil {
		f.writeJobError(w, "encode results", call, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

func (f *Frontend) serveItem(w http.ResponseWriter, r *http.Request, call backend.JobCall, caller storeclient.Caller) {
	ctx, cancel := context.WithTimeout(r.Context(), readTimeout)
	defer cancel()
	group := f.jobGroup(call.Job)
	var item jobs.InlineItem
	if err := f.stores.Read(ctx, group, storeclient.InlineItemPath(group, caller, call.Job, call.Item), &item); err != nil {
		f.writeJobError(w, "read item", call, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(item.Body)
}

func (f *Frontend) serveJobEnd(w http.ResponseWriter, r *http.Request, call backend.JobCall, caller storeclient.Caller) {
	ctx, cancel := context.WithTimeout(r.Context(), endJobTimeout)
	defer cancel()
	command := jobs.Command{EndInline: &jobs.EndInline{Job: jobs.JobID(call.Job), Tenant: caller.Tenant, Version: caller.Version}}
	if _, err := f.stores.Command(ctx, f.jobGroup(call.Job), command); err != nil {
		f.writeJobError(w, "end job", call, err)
		return
	}
	f.log.WithFields(logrus.Fields{"event": "job_ended", "request": call.Job}).Info("Batch job ended by its caller.")
	w.WriteHeader(http.StatusOK)
}

// writeJobError writes an error response. The status is 404 only if the job's group has
// confirmed that the tenant has no such job.
func (f *Frontend) writeJobError(w http.ResponseWriter, step string, call backend.JobCall, err error) {
	failure := api.AsError(step, err)
	status := http.StatusServiceUnavailable
	if failure.Code == api.CodeNotFound && failure.Outcome == api.OutcomeNotRun {
		status = http.StatusNotFound
	}
	if failure.Code == api.CodeUnauthorized {
		status = http.StatusUnauthorized
	}
	f.log.WithFields(logrus.Fields{
		"event": "job_call_failed", "request": call.Job, "item": call.Item, "from": call.From, "step": step, "status": status,
		"code": failure.Code, "peer": failure.Peer,
	}).WithError(err).Warn("Batch job call failed.")
	if status == http.StatusServiceUnavailable {
		f.protocol.WriteRetryAfter(w.Header(), f.settings.RetryAfter)
	}
	w.WriteHeader(status)
}
