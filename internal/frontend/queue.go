package frontend

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/storeclient"
	"github.com/dykewing/dykewing/jobs"
)

// queueRetryAfter is sent with refusals of jobs that don't fit into their queue. Items
// end frequently, so that there may soon be space.
const queueRetryAfter = time.Second

// queueName returns the queue of the job's items.
func (x *exchange) queueName() jobs.QueueName {
	return jobs.QueueName(x.route.Queue(x.identity.tenant.Name))
}

// admitToQueue counts a job against its queue's limit before submission. It returns an
// error if the job does not fit or could not be counted; nothing of it has run then. A
// job that its group already has always fits.
func (x *exchange) admitToQueue(ctx context.Context, items []jobs.InlineItem) *api.Error {
	if x.route.MaxQueuedTokens <= 0 {
		return nil
	}
	command := jobs.AdmitToQueue{
		Queue: x.queueName(), Job: jobs.JobID(x.request.ID), Tokens: totalTokens(items), MaxTokens: x.route.MaxQueuedTokens,
	}
	home := command.Queue.HomeGroup(x.frontend.node.Settings.Store.Groups)
	_, err := x.frontend.stores.Command(ctx, home, jobs.Command{AdmitToQueue: &command})
	if err == nil {
		return nil
	}
	failure := api.AsError("admit to queue", err)
	if failure.Code == api.CodeQueueFull {
		return x.handleQueueFull(ctx, command, failure)
	}
	failure.Outcome = api.OutcomeNotRun // admission runs no item
	return failure
}

// handleQueueFull returns the refusal unless the job was accepted earlier.
func (x *exchange) handleQueueFull(ctx context.Context, command jobs.AdmitToQueue, refusal *api.Error) *api.Error {
	group := x.frontend.jobGroup(x.request.ID)
	caller := storeclient.Caller{Tenant: api.TenantID(x.identity.tenant.Name), Version: x.version}
	var page jobs.InlinePage
	err := x.frontend.stores.Read(ctx, group, storeclient.InlineResultsPath(group, caller, x.request.ID, 0), &page)
	if err == nil {
		return nil
	}
	failure := api.AsError("find batch job", err)
	if failure.Code != api.CodeNotFound {
		failure.Outcome = api.OutcomeNotRun
		return failure
	}
	x.frontend.log.WithFields(logrus.Fields{
		"event": "queue_full", "request": x.request.ID, "queue": command.Queue, "tokens": command.Tokens, "bound": command.MaxTokens, "version": x.version,
	}).WithError(refusal).Info("Batch job exceeds the queue limit of its route.")
	return refusal
}

func totalTokens(items []jobs.InlineItem) (tokens int64) {
	for _, item := range items {
		tokens += int64(item.Tokens)
	}
	return tokens
}
