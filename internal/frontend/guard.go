package frontend

import (
	"context"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/backend"
	"github.com/dykewing/dykewing/quarantine"
	"github.com/dykewing/dykewing/worker"
)

// requestDigests returns the digests of what may crash the workers that run the request: the request
// itself, then the shared parts of its prompt. They are computed on first use, since they are only
// needed while something is suspected of crashing workers.
func (x *exchange) requestDigests() []quarantine.Digest {
	if x.digest == "" {
		x.digest = quarantine.Identity{
			Tenant: x.identity.tenant.Name, Host: hostOf(x.r), Target: x.r.URL.RequestURI(), Body: x.body,
		}.Digest()
		x.digests = append([]quarantine.Digest{x.digest}, quarantine.PartDigests(x.identity.tenant.Name, x.service, worker.PartIDs(x.request.Parts))...)
	}
	return x.digests
}

// checkQuarantine returns an error if the request or a part of its prompt is quarantined because
// workers crash while they run it, and nil if it may be sent. The request may have run before, so
// the error does not use a status that promises otherwise (503 or 429). A run that the guard grants
// on trial is allowed.
func (x *exchange) checkQuarantine(ctx context.Context) *api.Error {
	guard := x.frontend.guard
	if x.trial != "" || !guard.Active() {
		return nil
	}
	held, ok := guard.Quarantined(x.requestDigests())
	if !ok {
		return nil
	}
	granted, wait := guard.RequestTrial(ctx, held)
	if granted {
		x.trial = held
		x.logEntry("request_tried", nil).WithField("held", held).Info("A quarantined request runs once on trial.")
		return nil
	}
	failure := api.NewError("look for ended workers", "", api.CodeQuarantined, api.OutcomeUnknown, "workers crash while running requests with %s", held)
	failure.RetryAfter = wait
	return failure
}

// reportRun tells the guard whether the response broke off or the worker survived the
// run. A part of a prompt only crashes workers that begin to answer, so an error response does not
// clear it.
func (x *exchange) reportRun(ticket *backend.Assignment, last attemptResult) {
	guard := x.frontend.guard
	switch {
	case last.status == attemptNotRun:
		return
	case last.status == attemptMaybeRun && last.failure.Code == api.CodeUpstream:
		for _, digest := range x.requestDigests() {
			guard.RecordBrokenResponse(ticket.Worker, digest, x.headerWritten || x.request.LastEvent != "")
		}
	case last.status == attemptServed && guard.Active():
		for _, digest := range x.requestDigests() {
			guard.RecordSurvival(digest)
		}
	case last.status == attemptWorkerError && guard.Active():
		x.requestDigests()
		guard.RecordSurvival(x.digest)
	}
	x.trial = ""
}

// returnTrial returns a trial that was granted for a run that never began.
func (x *exchange) returnTrial() {
	if x.trial != "" {
		x.frontend.guard.ReturnTrial(x.trial)
	}
}
