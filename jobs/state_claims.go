package jobs

import (
	"time"

	"github.com/dykewing/dykewing/api"
)

// storedClaim is a claimed idempotency key with the recorded answer, if any.
type storedClaim struct {
	Claim   ClaimKey      `json:"claim"`
	Created time.Time     `json:"created"`
	Record  *RecordAnswer `json:"record,omitempty"`
	// Free is set if the claiming request did not run, so that another may claim the
	// key.
	Free bool `json:"free,omitempty"`
}

func claimKey(tenant api.TenantID, key string) []byte {
	return nameKey(keyClaim, string(tenant), key)
}

func (c *change) claim(command ClaimKey) Result {
	key := claimKey(command.Tenant, command.Key)
	var known storedClaim
	if !c.get(key, &known) {
		c.put(key, storedClaim{Claim: command, Created: c.now})
		c.Put(timedKey(keyRetention, c.now, key), []byte{})
		return Result{}
	}
	if known.Free {
		c.put(key, storedClaim{Claim: command, Created: known.Created})
		return Result{}
	}
	if known.Claim.BodyHash != command.BodyHash {
		return failure(api.CodeConflict, "idempotency key %q was used with another body", command.Key)
	}
	if known.Record != nil {
		return Result{Duplicate: true, Recorded: known.Record}
	}
	if known.Claim.Request == command.Request {
		return Result{}
	}
	result := failure(api.CodeInProgress, "idempotency key %q is in use by a request whose answer is not recorded", command.Key)
	result.Claimed = &known.Claim
	return result
}

func (c *change) record(command RecordAnswer) Result {
	key := claimKey(command.Tenant, command.Key)
	var known storedClaim
	if !c.get(key, &known) || known.Claim.Request != command.Request {
		return failure(api.CodeNotFound, "no claim of key %q by request %s; it is of %q", command.Key, command.Request, known.Claim.Request)
	}
	if known.Record == nil && command.Outcome == api.OutcomeNotRun {
		known.Free = true
		c.put(key, known)
		return Result{}
	}
	if known.Record == nil {
		known.Record = &command
		c.put(key, known)
	}
	return Result{Recorded: known.Record}
}
