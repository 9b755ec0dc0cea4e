package frontend

import (
	"context"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/backend"
	"github.com/dykewing/dykewing/quarantine"
)

// requestDigest returns the request's digest. It is computed on first use, since it is
// only needed while a request is suspected of crashing workers.
func (x *exchange) requestDigest() quarantine.Digest {
	if x.digest == "" {
		x.digest = quarantine.Identity{
			Tenant: x.identity.tenant.Name, Host: hostOf(x.r), Target: x.r.URL.RequestURI(), Body: x.body,
		}.Digest()
	}
	return x.digest
}

// checkQuarantine returns an error if the request is quarantined because workers crash
// while they run it, and nil if it may be sent. The request may have run before, so the
// error does not use a status that promises otherwise (503 or 429). A run that the guard
// grants on trial is allowed.
func (x *exchange) checkQuarantine(ctx context.Context) *api.Error {
	guard := x.frontend.guard
	if x.trialGranted || !guard.Active() || !guard.IsQuarantined(x.requestDigest()) {
		return nil
	}
	granted, wait := guard.RequestTrial(ctx, x.digest)
	if granted {
		x.trialGranted = true
		x.logEntry("request_tried", nil).Info("A quarantined request runs once on trial.")
		return nil
	}
	failure := api.NewError("look for ended workers", "", api.CodeQuarantined, api.OutcomeUnknown, "workers crash while running request %s", x.digest)
	failure.RetryAfter = wait
	return failure
}

// reportRun tells the guard whether the response broke off or the worker survived the
// run.
func (x *exchange) reportRun(ticket *backend.Assignment, last attemptResult) {
	guard := x.frontend.guard
	switch {
	case last.status == attemptNotRun:
		return
	case last.status == attemptMaybeRun && last.failure.Code == api.CodeUpstream:
		guard.RecordBrokenResponse(ticket.Worker, x.requestDigest(), x.headerWritten || x.request.LastEvent != "")
	case last.status != attemptMaybeRun && guard.Active():
		guard.RecordSurvival(x.requestDigest())
	}
	x.trialGranted = false
}
