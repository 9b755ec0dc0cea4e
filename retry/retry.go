// Package retry is the one place that decides whether a failed attempt is
// tried again, and what a caller may be told of its effect.
//
// Invariants: a request that may not be repeated is tried again only after an
// attempt that certainly did not run. No attempt follows once a byte of an
// answer was passed on. Retries never pass the budget, which only first
// attempts fill, so a fleet that fails sees at most 1+BudgetRatio times its
// ordinary load.
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
	// Started: bytes of the answer were already passed to the caller.
	Started   bool
	Remaining time.Duration // until the request's deadline
}

// Decision is what follows a failed attempt.
type Decision struct {
	Again bool
	Delay time.Duration // before the next attempt
}

// Settings bound retries.
type Settings struct {
	MaximumAttempts int
	BudgetRatio     float64 // retries allowed for each first attempt
	BudgetBurst     float64 // retries allowed at once
	// BaseDelay is the longest pause before the second attempt; it doubles
	// with each further one up to MaximumDelay. The pause is drawn evenly
	// between 0 and that bound.
	BaseDelay    time.Duration
	MaximumDelay time.Duration
}

// DefaultSettings fit online requests.
func DefaultSettings() Settings {
	return Settings{
		MaximumAttempts: 4, BudgetRatio: 0.2, BudgetBurst: 20,
		BaseDelay: 5 * time.Millisecond, MaximumDelay: 200 * time.Millisecond,
	}
}

// Policy decides, within a budget that first attempts fill and retries use.
// It is not safe for concurrent use.
type Policy struct {
	settings Settings
	budget   float64
	random   *rand.Rand
	// repeatUnknown is the fault that tests plant: the rule for requests that
	// may not be repeated is left out.
	repeatUnknown bool
}

// NewPolicy starts with a full budget; random draws the pauses.
func NewPolicy(settings Settings, random *rand.Rand) *Policy {
	return &Policy{settings: settings, budget: settings.BudgetBurst, random: random}
}

// FirstAttempt credits the budget.
func (p *Policy) FirstAttempt() {
	p.budget = min(p.budget+p.settings.BudgetRatio, p.settings.BudgetBurst)
}

// Decide says whether to try again elsewhere.
func (p *Policy) Decide(attempt Attempt) Decision {
	if attempt.Started || !retriable(attempt.Failure) {
		return Decision{}
	}
	if !attempt.Repeatable && attempt.Failure.Outcome != api.OutcomeNotRun && !p.repeatUnknown {
		return Decision{}
	}
	if attempt.Number >= p.settings.MaximumAttempts {
		return Decision{}
	}
	delay := p.delay(attempt.Number)
	if attempt.Remaining <= delay || p.budget < 1 {
		return Decision{}
	}
	p.budget--
	return Decision{Again: true, Delay: delay}
}

// delay is drawn evenly below a bound that doubles, so that the callers of a
// broken peer spread out.
func (p *Policy) delay(number int) time.Duration {
	bound := min(p.settings.BaseDelay<<(number-1), p.settings.MaximumDelay)
	if bound <= 0 {
		return 0
	}
	return time.Duration(p.random.Int64N(int64(bound)))
}

// retriable tells whether another router or worker may do better.
func retriable(failure *api.Error) bool {
	switch failure.Code {
	case api.CodeUpstream, api.CodeOutcomeUnknown, api.CodeLeaving, api.CodeNoCapacity,
		api.CodePreempted, api.CodeNotLeader, api.CodeNoTable, api.CodeInternal, api.CodeOverloaded:
		return true
	}
	return false
}
