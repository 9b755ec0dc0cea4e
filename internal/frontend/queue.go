package frontend

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/storeclient"
	"github.com/dykewing/dykewing/jobs"
)

// queueRetryAfter is the advice to a caller whose job does not fit: items end all
// the time, so that there may soon be room.
const queueRetryAfter = time.Second

// queue names what the job's items wait in.
func (x *exchange) queue() jobs.QueueName {
	return jobs.QueueName(x.route.Queue(x.identity.tenant.Name))
}

// admitToQueue counts a job at its queue's home before it is submitted. The error
// is of a job that does not fit, or that could not be counted; nothing of it has
// run. A job that its group knows already fits always.
func (x *exchange) admitToQueue(ctx context.Context, items []jobs.InlineItem) *api.Error {
	if x.route.MaxQueuedTokens <= 0 {
		return nil
	}
	command := jobs.AdmitToQueue{
		Queue: x.queue(), Job: jobs.JobID(x.request.ID), Tokens: tokensOf(items), Bound: x.route.MaxQueuedTokens,
	}
	home := command.Queue.Home(x.frontend.node.Settings.Store.Groups)
	_, err := x.frontend.stores.Command(ctx, home, jobs.Command{AdmitToQueue: &command})
	if err == nil {
		return nil
	}
	failure := api.AsError("admit to queue", err)
	if failure.Code == api.CodeQueueFull {
		return x.queueFull(ctx, command, failure)
	}
	failure.Outcome = api.OutcomeNotRun // an admission runs nothing
	return failure
}

// queueFull gives the refusal, unless the job was taken before.
func (x *exchange) queueFull(ctx context.Context, command jobs.AdmitToQueue, refusal *api.Error) *api.Error {
	group := x.frontend.group(x.request.ID)
	var page jobs.InlinePage
	err := x.frontend.stores.Read(ctx, group, storeclient.InlineResultsPath(group, api.TenantID(x.identity.tenant.Name), x.request.ID, 0), &page)
	if err == nil {
		return nil
	}
	failure := api.AsError("find batch job", err)
	if failure.Code != api.CodeNotFound {
		failure.Outcome = api.OutcomeNotRun
		return failure
	}
	x.frontend.log.WithFields(logrus.Fields{
		"event": "queue_full", "request": x.request.ID, "queue": command.Queue, "tokens": command.Tokens, "bound": command.Bound, "version": x.version,
	}).WithError(refusal).Info("A batch job does not fit under its route's bound.")
	return refusal
}

func tokensOf(items []jobs.InlineItem) (tokens int64) {
	for _, item := range items {
		tokens += int64(item.Tokens)
	}
	return tokens
}
