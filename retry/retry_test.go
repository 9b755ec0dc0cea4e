package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dykewing/dykewing/api"
)

func newTestPolicy() *Policy {
	return NewPolicy(DefaultSettings(), rand.New(rand.NewPCG(1, 2)))
}

var allCodes = []api.ErrorCode{
	api.CodeBadRequest, api.CodeTooLarge, api.CodeNotFound, api.CodeConflict, api.CodeUnknownService,
	api.CodeCeiling, api.CodeNoCapacity, api.CodeNoTable, api.CodeNotLeader, api.CodeNoQuorum, api.CodeLeaving,
	api.CodePreempted, api.CodeDiskFull, api.CodeDeadline, api.CodeUpstream, api.CodeOutcomeUnknown,
	api.CodeClientCancelled, api.CodeInProgress, api.CodeInternal, api.CodeOverloaded, api.CodeRequestTimeout,
}

func genAttempt(t *rapid.T) Attempt {
	outcomes := []api.Outcome{api.OutcomeNotRun, api.OutcomeRan, api.OutcomeUnknown}
	return Attempt{
		Number: rapid.IntRange(1, 6).Draw(t, "number"), Repeatable: rapid.Bool().Draw(t, "repeatable"),
		ResponseStarted: rapid.Bool().Draw(t, "started"), Remaining: time.Duration(rapid.Int64Range(-1e9, 1e10).Draw(t, "remaining")),
		Failure: &api.Error{
			Code: rapid.SampledFrom(allCodes).Draw(t, "code"), Outcome: rapid.SampledFrom(outcomes).Draw(t, "outcome"),
		},
	}
}

// violatedRule returns the first rule that a decision violates.
func violatedRule(attempt Attempt, decision Decision) string {
	if !decision.Retry {
		return ""
	}
	switch {
	case !attempt.Repeatable && attempt.Failure.Outcome != api.OutcomeNotRun:
		return "non-repeatable request retried after outcome " + string(attempt.Failure.Outcome)
	case attempt.ResponseStarted:
		return "retry after the response started"
	case attempt.Remaining <= decision.Delay:
		return "retry after the deadline"
	case attempt.Number >= DefaultSettings().MaxAttempts:
		return "too many attempts"
	}
	return ""
}

func TestDecideFollowsRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := newTestPolicy()
		attempt := genAttempt(t)
		if violated := violatedRule(attempt, policy.Decide(attempt)); violated != "" {
			t.Fatal(violated)
		}
	})
}

func TestRuleCheckDetectsRetryOfUnknownOutcome(t *testing.T) {
	policy := newTestPolicy()
	policy.faultRetryUnknown = true
	attempt := Attempt{Number: 1, Remaining: time.Minute, Failure: &api.Error{Code: api.CodeUpstream, Outcome: api.OutcomeUnknown}}
	if violatedRule(attempt, policy.Decide(attempt)) == "" {
		t.Fatal("retry after an unknown outcome was not detected")
	}
}

// Every attempt fails. Retries must not exceed the burst plus the ratio of first attempts.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := DefaultSettings()
		policy := newTestPolicy()
		requests := rapid.IntRange(1, 2000).Draw(t, "requests")
		retries := 0
		for range requests {
			policy.RecordFirstAttempt()
			for number := 1; ; number++ {
				attempt := Attempt{Number: number, Repeatable: true, Remaining: time.Minute, Failure: &api.Error{Code: api.CodeUpstream, Outcome: api.OutcomeUnknown}}
				if !policy.Decide(attempt).Retry {
					break
				}
				retries++
			}
		}
		if bound := settings.BudgetBurst + settings.BudgetRatio*float64(requests); float64(retries) > bound {
			t.Fatalf("%d retries for %d requests, limit %v", retries, requests, bound)
		}
	})
}

func TestOutcomes(t *testing.T) {
	for _, c := range []struct {
		name     string
		evidence Evidence
		want     api.Outcome
	}{
		{"no connection", Evidence{}, api.OutcomeNotRun},
		{"connection, no byte", Evidence{Connected: true}, api.OutcomeNotRun},
		{"byte written", Evidence{Connected: true, BytesWritten: 1}, api.OutcomeUnknown},
	} {
		if got := OutcomeWithoutResponse(c.evidence); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
	for _, c := range []struct {
		name   string
		answer BackendResponse
		want   api.Outcome
	}{
		{"200", BackendResponse{Status: 200}, api.OutcomeRan},
		{"400", BackendResponse{Status: 400}, api.OutcomeRan},
		{"302 is forwarded", BackendResponse{Status: 302}, api.OutcomeRan},
		{"429", BackendResponse{Status: 429}, api.OutcomeNotRun},
		{"429 from an application", BackendResponse{Status: 429, Application: true}, api.OutcomeNotRun},
		{"503 with Retry-After from an engine", BackendResponse{Status: 503, RetryAfter: true}, api.OutcomeNotRun},
		{"503 without Retry-After", BackendResponse{Status: 503}, api.OutcomeUnknown},
		{"503 from an application", BackendResponse{Status: 503, RetryAfter: true, Application: true}, api.OutcomeUnknown},
		{"503 from an application with outcome not run", BackendResponse{Status: 503, Application: true, Outcome: api.OutcomeNotRun}, api.OutcomeNotRun},
		{"500", BackendResponse{Status: 500}, api.OutcomeUnknown},
		{"502 with Retry-After", BackendResponse{Status: 502, RetryAfter: true}, api.OutcomeUnknown},
	} {
		if got := OutcomeOfResponse(c.answer); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}
