package jobs

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/dykewing/dykewing/api"
)

// testRunner is a Runner that keeps the actions of its last step.
type testRunner struct {
	*Runner
	now     time.Time
	actions []RunnerAction
}

func newTestRunner() *testRunner {
	serial := 0
	settings := DefaultRunnerSettings()
	settings.Router = "router"
	settings.NewRequestID = func() api.RequestID {
		serial++
		return api.RequestID(fmt.Sprintf("request-%03d", serial))
	}
	r := &testRunner{Runner: NewRunner(settings), now: testEpoch}
	r.step(Leaders{Groups: []GroupLeader{{Group: 1, Leader: "store", Term: 1}}})
	return r
}

func (r *testRunner) step(message RunnerMessage) { r.actions = r.Step(r.now, message) }

func (r *testRunner) room(count int) {
	r.step(Capacity{Rows: []RowCapacity{{Service: "judge", Place: "old", Slots: count}}})
}

// grant answers the pending claim with count items.
func (r *testRunner) grant(repeatable bool, count int) {
	var grant Grant
	for i := range count {
		grant.Items = append(grant.Items, GrantedItem{
			Item: ItemRef{Job: "j", Item: i}, Epoch: uint64(i + 1), CustomID: fmt.Sprint("item-", i),
			Service: "judge", Place: "old", Repeatable: repeatable,
		})
	}
	r.step(GrantArrived{Group: 1, Serial: r.groups[1].claimSerial, Grant: grant})
}

func actionsOf[A RunnerAction](actions []RunnerAction) []A {
	var found []A
	for _, action := range actions {
		if match, ok := action.(A); ok {
			found = append(found, match)
		}
	}
	return found
}

func (r *testRunner) settle(t *testing.T) SendSettle {
	t.Helper()
	r.now = r.now.Add(time.Second)
	r.step(RunnerTick{})
	sent := actionsOf[SendSettle](r.actions)
	if len(sent) != 1 {
		t.Fatalf("%d reports were sent: %+v", len(sent), r.actions)
	}
	return sent[0]
}

func TestRunnerRunsNoMoreItemsThanRoom(t *testing.T) {
	r := newTestRunner()
	r.room(2)
	if claims := actionsOf[SendClaim](r.actions); len(claims) != 1 || claims[0].Claim.Rows[0].Slots != 2 {
		t.Fatalf("claims %+v", claims)
	}
	r.grant(true, 3)
	if runs := actionsOf[RunItem](r.actions); len(runs) != 2 {
		t.Fatalf("%d items run in room for 2", len(runs))
	}
	r.now = r.now.Add(2 * r.settings.MaxHoldTime)
	r.room(5)
	if runs := actionsOf[RunItem](r.actions); len(runs) != 0 {
		t.Fatal("an item that was held for too long was run")
	}
	if report := r.settle(t).Settle; len(report.Returned) != 1 || report.Returned[0].Reason != ReturnNoCapacity {
		t.Fatalf("report %+v", report)
	}
}

func TestNonRepeatableItemIsSentAfterStartCommits(t *testing.T) {
	r := newTestRunner()
	r.room(1)
	r.grant(false, 1)
	starts := actionsOf[SendStart](r.actions)
	if len(starts) != 1 || len(actionsOf[RunItem](r.actions)) != 0 {
		t.Fatalf("actions %+v", r.actions)
	}
	request := starts[0].Start.Request
	r.step(StartAnswered{Request: request, Answer: StartUnknown})
	r.now = r.now.Add(r.settings.RetryInterval)
	r.step(RunnerTick{})
	if again := actionsOf[SendStart](r.actions); len(again) != 1 || again[0].Start != starts[0].Start {
		t.Fatalf("the start was not sent again: %+v", r.actions)
	}
	r.step(StartAnswered{Request: request, Answer: StartCommitted})
	if len(actionsOf[RunItem](r.actions)) != 1 {
		t.Fatalf("actions %+v", r.actions)
	}
	r.step(ItemFinished{Request: request, Outcome: api.OutcomeUnknown, Returned: ReturnedItem{Reason: ReturnFailed, Error: "lost"}})
	if report := r.settle(t).Settle; len(report.Results) != 1 || report.Results[0].Outcome != api.OutcomeUnknown || report.Results[0].Request != request {
		t.Fatalf("report %+v", report)
	}
}

func TestRefusedStartIsReleasedAndNotSent(t *testing.T) {
	r := newTestRunner()
	r.room(1)
	r.grant(false, 1)
	request := actionsOf[SendStart](r.actions)[0].Start.Request
	r.step(StartAnswered{Request: request, Answer: StartRefused})
	if len(actionsOf[RunItem](r.actions)) != 0 {
		t.Fatal("an item whose start was refused was run")
	}
	if report := r.settle(t).Settle; len(report.Returned) != 1 || report.Returned[0].Request != request {
		t.Fatalf("report %+v", report)
	}
}

func TestCancelStopsRepeatableItems(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		r := newTestRunner()
		r.room(1)
		r.grant(repeatable, 2)
		if !repeatable {
			r.step(StartAnswered{Request: "request-001", Answer: StartCommitted})
		}
		r.step(RenewAnswered{Group: 1, Notice: Notice{Cancelled: []JobID{"j"}}})
		if cancels := actionsOf[CancelItem](r.actions); (len(cancels) == 1) != repeatable {
			t.Fatalf("repeatable %v: cancels %+v", repeatable, cancels)
		}
		r.room(5)
		if runs := actionsOf[RunItem](r.actions); len(runs) != 0 {
			t.Fatalf("repeatable %v: a held item of a cancelled job runs", repeatable)
		}
	}
}

func TestResultsAreRetainedUntilSettled(t *testing.T) {
	r := newTestRunner()
	r.room(1)
	r.grant(true, 1)
	request := actionsOf[RunItem](r.actions)[0].Request
	r.step(ItemFinished{Request: request, Result: &ItemResult{Item: ItemRef{Job: "j"}, Request: request, Body: json.RawMessage(`1`)}})
	first := r.settle(t)
	r.step(SettleAnswered{Group: 1, Serial: first.Serial, Failed: true})
	r.step(Leaders{Groups: []GroupLeader{{Group: 1, Leader: "other", Term: 2}}})
	second := r.settle(t)
	if second.Leader != "other" || len(second.Settle.Results) != 1 || r.Idle() {
		t.Fatalf("second report %+v", second)
	}
	r.step(SettleAnswered{Group: 1, Serial: first.Serial})
	if r.Idle() {
		t.Fatal("an answer to the first report ended the second")
	}
	r.step(SettleAnswered{Group: 1, Serial: second.Serial})
	if !r.Idle() || r.unsettledBytes != 0 {
		t.Fatalf("%d bytes are unsettled", r.unsettledBytes)
	}
}

func TestRefusedReportDoesNotBlockOthers(t *testing.T) {
	r := newTestRunner()
	r.room(2)
	r.grant(true, 2)
	for _, run := range actionsOf[RunItem](r.actions) {
		r.step(ItemFinished{Request: run.Request, Result: &ItemResult{Item: run.Item.Item, Request: run.Request, Body: json.RawMessage(`"large"`)}})
	}
	r.step(SettleAnswered{Group: 1, Serial: r.settle(t).Serial, Refused: true})
	alone := r.settle(t)
	if len(alone.Settle.Results) != 1 {
		t.Fatalf("report %+v", alone)
	}
	r.step(SettleAnswered{Group: 1, Serial: alone.Serial, Refused: true})
	rest := r.settle(t)
	if len(rest.Settle.Results) != 2 || rest.Settle.Results[0].Code != api.CodeTooLarge {
		t.Fatalf("report %+v", rest)
	}
	r.step(SettleAnswered{Group: 1, Serial: rest.Serial})
	if !r.Idle() || r.unsettledBytes != 0 {
		t.Fatalf("%d bytes are unsettled", r.unsettledBytes)
	}
}

func FuzzParseLine(f *testing.F) {
	f.Add([]byte(testLine("a", "judge")))
	f.Add([]byte(`{"custom_id":"a","url":"/v1/chat/completions","body":{"model":"m"}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		line, err := ParseLine(raw)
		if err != nil {
			return
		}
		if service, err := ServiceOf(line.URL, line.Body); err == nil && api.ValidateName("service", string(service)) != nil {
			t.Fatalf("line %q is for the service %q", raw, service)
		}
	})
}
