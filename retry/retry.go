// Package retry is the one place that decides whether a failed attempt is
// tried again, and what a caller may be told of its effect.
package retry

import (
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
}

// DefaultSettings fit online requests.
func DefaultSettings() Settings {
	return Settings{MaximumAttempts: 3, BudgetRatio: 0.2, BudgetBurst: 10}
}

// Policy decides, within a budget that first attempts fill and retries use.
// It is not safe for concurrent use.
type Policy struct {
	settings Settings
	budget   float64
}

// NewPolicy starts with a full budget.
func NewPolicy(settings Settings) *Policy {
	return &Policy{settings: settings, budget: settings.BudgetBurst}
}

// FirstAttempt credits the budget.
func (p *Policy) FirstAttempt() {
	p.budget = min(p.budget+p.settings.BudgetRatio, p.settings.BudgetBurst)
}

// Decide says whether to try again elsewhere. A request that may not be
// repeated is tried again only when it certainly did not run.
func (p *Policy) Decide(attempt Attempt) Decision {
	if !retriable(attempt.Failure.Code) || attempt.Started {
		return Decision{}
	}
	if attempt.Number >= p.settings.MaximumAttempts || attempt.Remaining <= 0 {
		return Decision{}
	}
	if !attempt.Repeatable && attempt.Failure.Outcome != api.OutcomeNotRun {
		return Decision{}
	}
	if p.budget < 1 {
		return Decision{}
	}
	p.budget--
	return Decision{Again: true}
}

func retriable(code api.ErrorCode) bool {
	switch code {
	case api.CodeUpstream, api.CodeOutcomeUnknown, api.CodeLeaving, api.CodeNoCapacity, api.CodePreempted, api.CodeNotLeader:
		return true
	}
	return false
}
