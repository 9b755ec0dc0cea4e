// Package ratelimit enforces a rate limit per tenant over all processes that accept requests.
// One process is the owner of each tenant and keeps its token bucket; a request runs only
// with a token. The processes that accept requests, the holders, request tokens as requests
// arrive and prefetch some for busy tenants. If an owner does not answer, the next one takes
// over; it grants the rate but not the burst, since it does not know what the previous owner
// granted. Without any owner, a holder spends a small part of the limit by itself and reports
// it to the owner later.
//
// Invariant: in any window at most as many requests of a tenant run as its Tolerance allows.
// The slack above the limit covers tokens that are granted twice while owners change.
//
// The package does no I/O; callers pass in the time and random numbers.
package ratelimit

import (
	"time"

	"github.com/dykewing/dykewing/route"
)

// Tolerance is the excess over a limit that is tolerated in any window.
type Tolerance struct {
	Window    time.Duration
	Overshoot float64 // fraction of what the limit allows in a window
	Allowance float64 // requests
}

// Bound returns the largest number of requests that may run in any window under a limit.
func (t Tolerance) Bound(limit route.RateLimit) float64 {
	return (limit.Rate*t.Window.Seconds()+limit.Burst)*(1+t.Overshoot) + t.Allowance
}

// slack returns the number of tolerated requests above the limit itself.
func (t Tolerance) slack(limit route.RateLimit) float64 {
	return t.Bound(limit) - limit.Rate*t.Window.Seconds() - limit.Burst
}

// slackFraction is the fraction of the slack that an owner's bucket holds above the burst, so
// that clustered requests below the limit are not rejected, and again the fraction with which
// a new owner's bucket starts. Another fraction, localSlackFraction, is for holders without an
// owner, and the rest covers tokens in flight.
const slackFraction = 0.25

// TokenRequest is a holder's request for tokens.
type TokenRequest struct {
	Tenant  string          `json:"tenant"`
	Limit   route.RateLimit `json:"limit"`
	Version int64           `json:"version"` // version of the configuration with the limit
	Tokens  int             `json:"tokens"`  // wanted
	// SpentElsewhere is the number of tokens that the holder has spent without this owner since it
	// last reported them.
	SpentElsewhere int `json:"elsewhere,omitempty"`
	// Holder and Sequence identify the request, so that duplicates over several paths count
	// once. Sequence grows with each request of a holder, also across restarts. Without a
	// Holder every copy counts.
	Holder   string `json:"holder,omitempty"`
	Sequence uint64 `json:"sequence,omitempty"`
}

// Grant is the response to a request for tokens.
type Grant struct {
	Tokens int `json:"tokens"`
	// RetryAfter is the delay until a token is available for the next request; 0 while tokens
	// are left.
	RetryAfter time.Duration `json:"retry_after,omitempty"`
	Level      float64       `json:"level"` // tokens left
}
