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
	claimTimeout      = 2 * time.Second  // for a claim to be committed before the request is refused
	recordTimeout     = 30 * time.Second // for a record, while the claim holds the key
	claimRetryAfter   = time.Second
	holderTimeout     = time.Second
	maximumRecordBody = 4 << 20
)

// serveClaimed runs a request that may not be repeated under its key: the
// claim is committed before the request is sent, and what came of it after.
// The request goes on when its caller goes away, so that a resend finds the
// answer.
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
	answer, failure := s.attempts(ctx, request)
	if failure != nil {
		s.recordFailure(request, failure)
		s.refuse(w, failure)
		return
	}
	s.relayClaimed(ctx, w, request, answer)
}

// claim commits the claim; it gives the answer that is recorded already, or
// nil when the request may be sent.
func (s *Sidecar) claim(ctx context.Context, request *onlineRequest) (*jobs.RecordRequest, *api.Error) {
	result, failure := s.commitClaim(ctx, request)
	if failure == nil {
		return result.Recorded, nil
	}
	if failure.Code != api.CodeAlreadySubmitted || result.Claimed == nil {
		return nil, failure
	}
	if s.holderRuns(ctx, *result.Claimed) {
		return nil, inProgress(failure)
	}
	// It may have been recorded, or given free, since the claim was read.
	result, failure = s.commitClaim(ctx, request)
	if failure == nil {
		return result.Recorded, nil
	}
	if failure.Code != api.CodeAlreadySubmitted {
		return nil, failure
	}
	return nil, api.NewError("claim key", "", api.CodeOutcomeUnknown, api.OutcomeUnknown,
		"the process that ran the request with idempotency key %q is gone and left no answer; it is not sent again", request.key)
}

func inProgress(failure *api.Error) *api.Error {
	failure.Outcome = api.OutcomeUnknown
	failure.RetryAfter = claimRetryAfter
	return failure
}

func (s *Sidecar) commitClaim(ctx context.Context, request *onlineRequest) (jobs.Result, *api.Error) {
	const step = "claim key"
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	claim := jobs.ClaimRequest{
		Tenant: request.routed.Tenant, Key: request.key, BodyHash: hashOf(request),
		Request: request.routed.ID, Holder: s.holder,
	}
	result, err := s.stores.Command(ctx, s.groupOf(request), jobs.Command{Claim: &claim})
	if err == nil && result.Duplicate && result.Recorded == nil {
		// The group took the command for one that it had applied before, but
		// the request is new: this is no verdict.
		err = api.NewError(step, "", api.CodeNoQuorum, api.OutcomeNotRun, "the group gave no verdict on the claim")
	}
	if err == nil {
		return result, nil
	}
	failure := *api.AsError(step, err)
	if passing(result.Code) {
		// Nothing was sent, so this is true; but the claim may yet be committed.
		s.recordLater(request, jobs.RecordRequest{Outcome: api.OutcomeNotRun})
		failure.Code, failure.Outcome = api.CodeNoQuorum, api.OutcomeNotRun
		failure.RetryAfter = claimRetryAfter
	}
	return result, &failure
}

// passing tells whether the group gave no verdict on the claim.
func passing(code api.ErrorCode) bool {
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
	return placement.GroupOf(request.routed.Tenant, s.node.Settings.Store.Groups)
}

// holderRuns asks the sidecar that holds a claim whether it works on it. One
// that does not answer but is in the view may.
func (s *Sidecar) holderRuns(ctx context.Context, claim jobs.ClaimRequest) bool {
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

// serveHolder tells other sidecars whether a claimed request is worked on here.
func (s *Sidecar) serveHolder(w http.ResponseWriter, r *http.Request) {
	id := api.RequestID(r.PathValue("request"))
	_, running := s.running.Load(id)
	_, unrecorded := s.unrecorded.Load(id)
	if !running && !unrecorded {
		transport.WriteError(w, api.NewError("find claim", "", api.CodeNotFound, api.OutcomeUnknown, "request %q is not worked on here", id))
		return
	}
	transport.WriteJSON(w, http.StatusOK, struct{}{})
}

// recordFailure records what is known of a request that brought no answer; not
// run gives the key free.
func (s *Sidecar) recordFailure(request *onlineRequest, failure *api.Error) {
	record := jobs.RecordRequest{Outcome: failure.Outcome}
	if failure.Outcome != api.OutcomeNotRun {
		record = unknownRecord(failure)
	}
	s.recordNow(request, record)
}

// recordNow waits a little for the record and goes on with it in the
// background when it takes longer.
func (s *Sidecar) recordNow(request *onlineRequest, record jobs.RecordRequest) {
	done := s.recordLater(request, record)
	select {
	case <-done:
	case <-time.After(claimTimeout):
	}
}

// recordLater commits a record in the background; the request counts as worked
// on until then.
func (s *Sidecar) recordLater(request *onlineRequest, record jobs.RecordRequest) <-chan struct{} {
	record.Tenant, record.Key, record.Request = request.routed.Tenant, request.key, request.routed.ID
	done := make(chan struct{})
	s.unrecorded.Store(record.Request, struct{}{})
	s.recording.Go(func() {
		defer close(done)
		defer s.unrecorded.Delete(record.Request)
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		defer cancel()
		_, err := s.stores.Command(ctx, s.groupOf(request), jobs.Command{Record: &record})
		if err != nil && record.Outcome != api.OutcomeNotRun {
			s.log.WithError(err).WithField("request", request.routed.ID).Error("An answer could not be recorded.")
		}
	})
	return done
}
