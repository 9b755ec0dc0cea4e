package router

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/dykewing/dykewing/admission"
	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/engine"
	"github.com/dykewing/dykewing/jobs"
	"github.com/dykewing/dykewing/routing"
)

const (
	// maxResponseBytes bounds a stored response. JSON escaping may make it six times
	// as long, which is within a store's limit.
	maxResponseBytes = 4 << 20
	recoverTimeout   = 5 * time.Second
)

// runItem sends one item to a worker and reports the result to the runner.
func (b *batchRunner) runItem(run jobs.RunItem) {
	ctx, cancel := context.WithTimeout(b.ctx, b.router.node.Settings.Router.EngineTimeout)
	defer cancel()
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	b.setCancel(run.Request, stop)
	result, failure := b.attempt(ctx, run)
	b.setCancel(run.Request, nil)
	b.reportCapacity()
	finished := jobs.ItemFinished{Request: run.Request}
	if failure != nil && errors.Is(context.Cause(ctx), errItemCancelled) {
		failure.Err = errItemCancelled
	}
	if failure == nil {
		b.router.metrics.items.WithLabelValues(string(result.Outcome)).Inc()
		finished.Result = &result
	} else {
		b.router.metrics.items.WithLabelValues(string(failure.Outcome)).Inc()
		finished.Outcome = failure.Outcome
		finished.Returned = newReturnedItem(failure)
		if run.Item.LastAttempt && finished.Returned.Reason == jobs.ReturnFailed {
			finished.Result = lastResult(run, failure)
		}
	}
	b.shell.Tell(finished)
}

func (b *batchRunner) setCancel(request api.RequestID, cancel context.CancelCauseFunc) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if cancel == nil {
		delete(b.cancels, request)
		return
	}
	b.cancels[request] = cancel
}

// newReturnedItem tells the dispatcher why an item is returned.
func newReturnedItem(failure *api.Error) jobs.ReturnedItem {
	returned := jobs.ReturnedItem{Reason: jobs.ReturnFailed, Error: failure.Error(), RetryAfterMs: failure.RetryAfter.Milliseconds()}
	switch {
	case failure.Code == api.CodePreempted, errors.Is(failure.Err, errItemCancelled), errors.Is(failure.Err, errPreempted):
		returned.Reason = jobs.ReturnPreempted
	case failure.Outcome == api.OutcomeNotRun && failure.Code != api.CodeBadRequest && failure.Code != api.CodeInternal:
		returned.Reason = jobs.ReturnNoCapacity
	}
	return returned
}

// lastResult returns the final result of an item that has no attempts left.
func lastResult(run jobs.RunItem, failure *api.Error) *jobs.ItemResult {
	return &jobs.ItemResult{
		Item: run.Item.Item, CustomID: run.Item.CustomID, Outcome: failure.Outcome, Request: run.Request, Code: failure.Code,
		Error: fmt.Sprintf("the last attempt failed: %v", failure),
	}
}

// attempt admits an item and sends it, and sends it again after each suspension that
// admission resumes.
func (b *batchRunner) attempt(ctx context.Context, run jobs.RunItem) (jobs.ItemResult, *api.Error) {
	item := run.Item
	routed := routing.Request{
		ID: run.Request, Tenant: item.Tenant, Service: item.Service, Place: item.Place,
		Class: api.ClassBatch, Repeatable: item.Repeatable, Prefix: engine.PromptPrefix(item.Body),
	}
	flight := b.router.inFlight.add(run.Request)
	defer b.router.inFlight.remove(run.Request)
	dispatched, failure := b.router.admit(routed)
	if failure != nil {
		return jobs.ItemResult{}, failure
	}
	defer b.router.admission.Tell(admission.Finished{Request: run.Request})
	b.shell.Tell(jobs.ItemAdmitted{Request: run.Request})
	header := backendHeader(http.Header{"Content-Type": {"application/json"}}, run.Request)
	for {
		result, suspended, failure := b.sendOnce(ctx, flight, run, routed, dispatched, header)
		if !suspended {
			return b.recoverResult(run, dispatched, result, failure)
		}
		resumed, ok := flight.awaitResume(ctx)
		if !ok {
			failure.Code = api.CodePreempted
			return jobs.ItemResult{}, failure
		}
		dispatched = resumed
		header.Set(api.HeaderResume, strconv.FormatBool(true))
	}
}

// sendOnce sends an item. The second result reports whether a suspension interrupted it.
func (b *batchRunner) sendOnce(ctx context.Context, flight *inFlightRequest, run jobs.RunItem, routed routing.Request, dispatched admission.Dispatch, header http.Header) (jobs.ItemResult, bool, *api.Error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	flight.setCancel(cancel)
	response, failure := b.router.send(ctx, routed, dispatched, run.Item.Path, run.Item.Body, header)
	if failure != nil {
		return jobs.ItemResult{}, errors.Is(context.Cause(ctx), errSuspended), failure
	}
	defer response.Body.Close()
	result, failure := readResult(ctx, run, response)
	return result, failure != nil && errors.Is(context.Cause(ctx), errSuspended), failure
}

func readResult(ctx context.Context, run jobs.RunItem, response *http.Response) (jobs.ItemResult, *api.Error) {
	const step = "read answer of worker"
	body, err := engine.ReadChecked(response, maxResponseBytes)
	if cause := context.Cause(ctx); err != nil && cause != nil {
		err = cause
	}
	if err != nil {
		return jobs.ItemResult{}, api.NewError(step, "", api.CodeUpstream, api.OutcomeUnknown, "%w", err)
	}
	result := jobs.ItemResult{
		Item: run.Item.Item, CustomID: run.Item.CustomID, Outcome: api.OutcomeRan,
		Status: response.StatusCode, Body: body, Request: run.Request,
	}
	retriable := run.Item.Repeatable && !run.Item.LastAttempt
	switch {
	case retriable && response.StatusCode >= http.StatusInternalServerError:
		return jobs.ItemResult{}, api.NewError(step, "", api.CodeUpstream, api.OutcomeRan, "status %d", response.StatusCode)
	case len(body) > maxResponseBytes:
		result.Status, result.Body = 0, nil
		result.Outcome, result.Code, result.Error = api.OutcomeUnknown, api.CodeTooLarge, fmt.Sprintf("the answer is over %d bytes and was not kept", maxResponseBytes)
	case !json.Valid(body):
		result.Body, _ = json.Marshal(string(body))
	}
	return result, nil
}

// recoverResult asks the worker, by request id, for the response to a non-repeatable item with
// an unknown outcome. The item itself is not sent again.
func (b *batchRunner) recoverResult(run jobs.RunItem, dispatched admission.Dispatch, result jobs.ItemResult, failure *api.Error) (jobs.ItemResult, *api.Error) {
	if failure == nil {
		return result, nil
	}
	if run.Item.Repeatable || failure.Outcome != api.OutcomeUnknown {
		return jobs.ItemResult{}, failure
	}
	ctx, cancel := context.WithTimeout(b.ctx, recoverTimeout)
	defer cancel()
	call := engine.Call{Worker: dispatched.Worker, Address: dispatched.Address}
	response, err := b.router.batchBackend.Resume(ctx, call, run.Request, 0)
	if err != nil {
		return jobs.ItemResult{}, failure
	}
	defer response.Body.Close()
	if engine.IsEventStream(response.Header) {
		return jobs.ItemResult{}, failure
	}
	recovered, second := readResult(ctx, run, response)
	if second != nil {
		return jobs.ItemResult{}, failure
	}
	return recovered, nil
}
