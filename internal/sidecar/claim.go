package sidecar

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/jobs"
	"github.com/dykewing/dykewing/placement"
)

const (
	claimTimeout    = 2 * time.Second  // to commit a claim, after which the request is refused
	recordTimeout   = 30 * time.Second // to commit a record, while the claim holds the key
	claimRetryAfter = time.Second
	holderTimeout   = time.Second
	maxRecordBody   = 4 << 20
)

// serveClaimed runs a non-repeatable request under its idempotency key. It commits the
// claim before the request is sent and records the response afterwards. The request
// continues if the caller disconnects, so that a resend gets the response.
func (s *Sidecar) serveClaimed(w http.ResponseWriter, r *http.Request, request *onlineRequest) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(r.Context()), request.deadline)
	defer cancel()
	s.running.Store(request.routed.ID, struct{}{})
	defer s.running.Delete(request.routed.ID)
	recorded, failure := s.claim(ctx, request)
	if failure != nil {
		s.refuse(w, failure)
		return
	}
	if recorded != nil {
		s.replay(w, request, recorded)
		return
	}
	answer, failure := s.sendWithRetries(ctx, request)
	if failure != nil {
		s.recordFailure(request, failure)
		s.refuse(w, failure)
		return
	}
	s.relayClaimed(ctx, w, request, answer)
}

// claim commits the claim. It returns the response recorded earlier under the key, or nil
// if the request may be sent.
func (s *Sidecar) claim(ctx context.Context, request *onlineRequest) (*jobs.RecordAnswer, *api.Error) {
	result, failure := s.commitClaim(ctx, request)
	if failure == nil {
		return result.Recorded, nil
	}
	if failure.Code != api.CodeInProgress || result.Claimed == nil {
		return nil, failure
	}
	if s.isHolderRunning(ctx, *result.Claimed) {
		return nil, newInProgressError(failure)
	}
	// The holder may have recorded a response or released the key since then.
	result, failure = s.commitClaim(ctx, request)
	if failure == nil {
		return result.Recorded, nil
	}
	if failure.Code != api.CodeInProgress {
		return nil, failure
	}
	return nil, api.NewError("claim key", "", api.CodeOutcomeUnknown, api.OutcomeUnknown,
		"the process that ran the request with idempotency key %q is gone and left no answer; it is not sent again", request.key)
}

func newInProgressError(failure *api.Error) *api.Error {
	failure.Outcome = api.OutcomeUnknown
	failure.RetryAfter = claimRetryAfter
	return failure
}

func (s *Sidecar) commitClaim(ctx context.Context, request *onlineRequest) (jobs.Result, *api.Error) {
	const step = "claim key"
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	claim := jobs.ClaimKey{
		Tenant: request.routed.Tenant, Key: request.key, BodyHash: hashOf(request),
		Request: request.routed.ID, Holder: s.holder,
	}
	result, err := s.stores.Command(ctx, s.groupOf(request), jobs.Command{Claim: &claim})
	if err == nil && result.Duplicate && result.Recorded == nil {
		// The group took the command for a duplicate, but the request is new:
		// whether the claim holds is undecided.
		err = api.NewError(step, "", api.CodeNoQuorum, api.OutcomeNotRun, "the store group did not decide the claim")
	}
	if err == nil {
		return result, nil
	}
	failure := *api.AsError(step, err)
	if isUndecided(result.Code) {
		// The request has not been sent, but the claim may still be committed.
		s.recordInBackground(request, jobs.RecordAnswer{Outcome: api.OutcomeNotRun})
		failure.Code, failure.Outcome = api.CodeNoQuorum, api.OutcomeNotRun
		failure.RetryAfter = claimRetryAfter
	}
	return result, &failure
}

// isUndecided reports whether the code leaves the claim undecided.
func isUndecided(code api.ErrorCode) bool {
	return code == "" || code == api.CodeNotLeader || code == api.CodeNoQuorum
}

func hashOf(request *onlineRequest) string {
	hash := sha256.New()
	hash.Write([]byte(request.uri))
	hash.Write([]byte{0})
	hash.Write(request.body)
	return hex.EncodeToString(hash.Sum(nil))
}

func (s *Sidecar) groupOf(request *onlineRequest) api.GroupID {
	return placement.TenantGroup(request.routed.Tenant, s.node.Settings.Store.Groups)
}

// isHolderRunning asks the sidecar that holds a claim whether the request is in progress. If
// it does not respond but is in the view, the request is assumed to be.
func (s *Sidecar) isHolderRunning(ctx context.Context, claim jobs.ClaimKey) bool {
	ctx, cancel := context.WithTimeout(ctx, holderTimeout)
	defer cancel()
	err := transport.Get(ctx, s.node.Control, "ask holder of key", claim.Holder, api.PathClaims+string(claim.Request), nil)
	if err == nil {
		return true
	}
	var failure *api.Error
	if errors.As(err, &failure) && failure.Code == api.CodeNotFound {
		return false
	}
	for _, node := range s.node.Nodes() {
		if node.Role == api.RoleSidecar && node.Address == claim.Holder {
			return true
		}
	}
	return false
}

// serveHolder tells other sidecars whether a claimed request is in progress here.
func (s *Sidecar) serveHolder(w http.ResponseWriter, r *http.Request) {
	id := api.RequestID(r.PathValue("request"))
	_, running := s.running.Load(id)
	_, unrecorded := s.pendingRecords.Load(id)
	if !running && !unrecorded {
		transport.WriteError(w, api.NewError("find claim", "", api.CodeNotFound, api.OutcomeUnknown, "request %q is not in progress here", id))
		return
	}
	transport.WriteJSON(w, http.StatusOK, struct{}{})
}

// recordFailure records the outcome of a failed request. The outcome not run releases
// the key.
func (s *Sidecar) recordFailure(request *onlineRequest, failure *api.Error) {
	record := jobs.RecordAnswer{Outcome: failure.Outcome}
	if failure.Outcome != api.OutcomeNotRun {
		record = unknownRecord(failure)
	}
	s.recordAndWait(request, record)
}

// recordAndWait waits up to claimTimeout for the record to be committed, which continues in
// the background after that.
func (s *Sidecar) recordAndWait(request *onlineRequest, record jobs.RecordAnswer) {
	done := s.recordInBackground(request, record)
	select {
	case <-done:
	case <-time.After(claimTimeout):
	}
}

// recordInBackground commits a record in the background and closes the returned channel when
// done. The request counts as in progress until then.
func (s *Sidecar) recordInBackground(request *onlineRequest, record jobs.RecordAnswer) <-chan struct{} {
	record.Tenant, record.Key, record.Request = request.routed.Tenant, request.key, request.routed.ID
	done := make(chan struct{})
	s.pendingRecords.Store(record.Request, struct{}{})
	s.recorders.Go(func() {
		defer close(done)
		defer s.pendingRecords.Delete(record.Request)
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		defer cancel()
		_, err := s.stores.Command(ctx, s.groupOf(request), jobs.Command{Record: &record})
		if err != nil && record.Outcome != api.OutcomeNotRun {
			s.log.WithError(err).WithField("request", request.routed.ID).Error("Could not record the response of a request with an idempotency key.")
		}
	})
	return done
}
