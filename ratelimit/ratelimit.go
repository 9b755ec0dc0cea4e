// Package ratelimit keeps the requests of each tenant under its limit, counted over
// all processes that take requests. Of each tenant one process is the owner: it keeps
// a bucket of tokens, and a request runs only with a token of it. The processes that
// ask (Holder) take tokens as their requests come, and a few more where a tenant sends
// many. An owner that does not answer is followed by the next one, which gives the rate
// but not the burst, since it does not know what the first one gave; without any, a
// holder spends a small part of the limit and tells it to the owner later.
//
// Invariant: what runs of a tenant in a window is at most what Tolerance allows.
// Its slack over the limit is what may be given twice while owners change.
//
// The machines have no clock, input or output; chance comes from the caller.
package ratelimit

import (
	"time"

	"github.com/dykewing/dykewing/route"
)

// Tolerance is what is tolerated above a limit, in each window.
type Tolerance struct {
	Window    time.Duration
	Overshoot float64 // a share of what the limit allows in a window
	Allowance float64 // requests
}

// Bound is how many requests may run in any window under a limit.
func (t Tolerance) Bound(limit route.Limit) float64 {
	return (limit.Rate*t.Window.Seconds()+limit.Burst)*(1+t.Overshoot) + t.Allowance
}

// slack is how much of Bound lies above the limit itself.
func (t Tolerance) slack(limit route.Limit) float64 {
	return t.Bound(limit) - limit.Rate*t.Window.Seconds() - limit.Burst
}

// slackPart of the slack is given for each of: what an owner's bucket holds above the
// burst, so that requests that come in clumps under the limit are not refused; what a
// new owner's bucket begins with. alonePart is for holders without an owner, and the
// rest for what is under way between them.
const slackPart = 0.25

// Ask is what a holder asks of an owner.
type Ask struct {
	Tenant  string      `json:"tenant"`
	Limit   route.Limit `json:"limit"`
	Version int64       `json:"version"` // of the configuration that Limit is of
	Tokens  int         `json:"tokens"`  // wanted
	// Elsewhere are tokens that the holder has spent without this owner since it last
	// asked it.
	Elsewhere int `json:"elsewhere,omitempty"`
	// Holder and Sequence name the question: one that reaches an owner by two ways counts
	// once. Sequence grows with each question of a holder, also over its restarts; without
	// a Holder each copy counts.
	Holder   string `json:"holder,omitempty"`
	Sequence uint64 `json:"sequence,omitempty"`
}

// Grant answers an Ask.
type Grant struct {
	Tokens int `json:"tokens"`
	// RetryAfter is when there will be a token again for whoever comes next; 0 where
	// tokens are left.
	RetryAfter time.Duration `json:"retry_after,omitempty"`
	Level      float64       `json:"level"` // tokens left
}
