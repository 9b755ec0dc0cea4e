// Package retry decides whether a failed attempt is retried and which outcome a caller is
// told.
//
// Invariants: a request that is not repeatable is retried only after an attempt that
// certainly did not run. No attempt follows once a byte of a response was forwarded.
// Retries never exceed the budget, which only first attempts replenish, so that a failing
// fleet receives at most 1+BudgetRatio times its normal load.
package retry

import (
	"math/rand/v2"
	"time"

	"github.com/dykewing/dykewing/api"
)

// Attempt describes a failed attempt.
type Attempt struct {
	Number     int // 1 for the first
	Failure    *api.Error
	Repeatable bool
	// ResponseStarted reports that part of the response was forwarded to the caller.
	ResponseStarted bool
	Remaining       time.Duration // until the request's deadline
}

// Decision is the reaction to a failed attempt.
type Decision struct {
	Retry bool
	Delay time.Duration // before the next attempt
}

// Settings configures a Policy.
type Settings struct {
	MaxAttempts int
	BudgetRatio float64 // retries per first attempt
	BudgetBurst float64 // maximum budget
	// BaseDelay is the maximum delay before the second attempt. The maximum
	// doubles with each attempt up to a limit, and the delay is drawn
	// uniformly between 0 and it (exponential backoff with full jitter).
	BaseDelay time.Duration
	MaxDelay  time.Duration // limit of the maximum
}

// DefaultSettings returns settings for online requests.
func DefaultSettings() Settings {
	return Settings{
		MaxAttempts: 4, BudgetRatio: 0.2, BudgetBurst: 20,
		BaseDelay: 5 * time.Millisecond, MaxDelay: 200 * time.Millisecond,
	}
}

// Policy decides on retries within a retry budget, which first attempts replenish.
// It is not safe for concurrent use.
type Policy struct {
	settings Settings
	budget   float64
	random   *rand.Rand
	// faultRetryUnknown is a fault injected by tests: requests that are not
	// repeatable are retried.
	faultRetryUnknown bool
}

// NewPolicy returns a policy with a full budget. random is used for the delays.
func NewPolicy(settings Settings, random *rand.Rand) *Policy {
	return &Policy{settings: settings, budget: settings.BudgetBurst, random: random}
}

// RecordFirstAttempt replenishes the budget. It must be called once per request.
func (p *Policy) RecordFirstAttempt() {
	p.budget = min(p.budget+p.settings.BudgetRatio, p.settings.BudgetBurst)
}

// Decide decides whether to retry after a failed attempt. A retry consumes budget.
func (p *Policy) Decide(attempt Attempt) Decision {
	if attempt.ResponseStarted || !retryable(attempt.Failure) {
		return Decision{}
	}
	if !attempt.Repeatable && attempt.Failure.Outcome != api.OutcomeNotRun && !p.faultRetryUnknown {
		return Decision{}
	}
	if attempt.Number >= p.settings.MaxAttempts {
		return Decision{}
	}
	delay := p.delay(attempt.Number)
	if attempt.Remaining <= delay || p.budget < 1 {
		return Decision{}
	}
	p.budget--
	return Decision{Retry: true, Delay: delay}
}

// delay returns the backoff delay with full jitter.
func (p *Policy) delay(number int) time.Duration {
	bound := min(p.settings.BaseDelay<<(number-1), p.settings.MaxDelay)
	if bound <= 0 {
		return 0
	}
	return time.Duration(p.random.Int64N(int64(bound)))
}

// retryable reports whether the request may succeed at another router or worker.
func retryable(failure *api.Error) bool {
	switch failure.Code {
	case api.CodeUpstream, api.CodeOutcomeUnknown, api.CodeLeaving, api.CodeNoCapacity,
		api.CodePreempted, api.CodeNotLeader, api.CodeNoTable, api.CodeInternal, api.CodeOverloaded:
		return true
	}
	return false
}
