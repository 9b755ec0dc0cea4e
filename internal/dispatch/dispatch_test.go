package dispatch

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/jobs"
)

// fakeGroup applies proposed commands at once.
type fakeGroup struct {
	t          *testing.T
	state      *jobs.State
	leadership *Leadership
	index      uint64
}

func newFakeGroup(t *testing.T) *fakeGroup {
	state, err := jobs.OpenState(jobs.NewMemoryStorage())
	if err != nil {
		t.Fatal(err)
	}
	g := &fakeGroup{t: t, state: state}
	log := logrus.New()
	log.SetOutput(t.Output())
	settings := jobs.DefaultDispatcherSettings()
	settings.AdoptWait, settings.SweepInterval = 0, time.Hour
	g.leadership, err = Start(state, settings, g.propose, log.WithField("part", "store"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.leadership.Stop)
	return g
}

func (g *fakeGroup) propose(_ context.Context, command jobs.Command) (jobs.Result, *api.Error) {
	if command.Expire != nil {
		return jobs.Result{}, nil // the initial sweep, which is concurrent with the test's commands
	}
	command.Time = time.Now()
	g.index++
	results, err := g.state.Apply(jobs.Entry{Index: g.index, Command: command})
	if err != nil {
		return jobs.Result{}, api.AsError("apply", err)
	}
	g.leadership.Applied(command, results[0])
	return results[0], nil
}

func (g *fakeGroup) commit(command jobs.Command) {
	g.t.Helper()
	if result, failure := g.propose(g.t.Context(), command); failure != nil || result.Code != "" {
		g.t.Fatalf("%+v, %v", result, failure)
	}
}

func (g *fakeGroup) submit() {
	line := json.RawMessage(`{"custom_id":"a","url":"/v1/services/judge/mark","body":{}}`)
	g.commit(jobs.Command{CreateFile: &jobs.CreateFile{File: "f", Tenant: "t"}})
	g.commit(jobs.Command{AppendFile: &jobs.AppendFile{File: "f", Lines: []json.RawMessage{line}}})
	g.commit(jobs.Command{SealFile: &jobs.SealFile{File: "f", Lines: 1}})
	g.commit(jobs.Command{Submit: &jobs.Submit{Job: "j", Tenant: "t", File: "f", Repeatable: true, Deadline: time.Now().Add(time.Hour)}})
}

func claimWaiting(wait time.Duration) jobs.ClaimItems {
	return jobs.ClaimItems{Router: "r", WaitMs: int(wait.Milliseconds()), Rows: []jobs.RowCapacity{{Service: "judge", Place: "old", Slots: 1}}}
}

func TestClaimWaitsForItemsAndResultCompletesJob(t *testing.T) {
	g := newFakeGroup(t)
	granted := make(chan jobs.Grant, 1)
	go func() {
		grant, failure := g.leadership.Claim(t.Context(), claimWaiting(time.Minute))
		if failure != nil {
			t.Error(failure)
		}
		granted <- grant
	}()
	g.submit()
	grant := <-granted
	if len(grant.Items) != 1 || grant.Items[0].CustomID != "a" {
		t.Fatalf("grant %+v", grant)
	}
	result := jobs.ItemResult{Item: grant.Items[0].Item, Outcome: api.OutcomeRan, Status: 200, Request: "q"}
	if _, failure := g.leadership.Settle(t.Context(), jobs.Settle{Router: "r", Results: []jobs.ItemResult{result}}); failure != nil {
		t.Fatal(failure)
	}
	if job, _, err := g.state.Job("j"); err != nil || job.Status != jobs.JobCompleted {
		t.Fatalf("job %+v, %v", job, err)
	}
}

func TestClaimEndsWithCallerAndLeadership(t *testing.T) {
	g := newFakeGroup(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, failure := g.leadership.Claim(ctx, claimWaiting(time.Minute)); failure == nil || failure.Code != api.CodeClientCancelled {
		t.Fatalf("claim with a cancelled context returned %v", failure)
	}
	failed := make(chan *api.Error, 1)
	go func() {
		_, failure := g.leadership.Claim(t.Context(), claimWaiting(time.Minute))
		failed <- failure
	}()
	g.leadership.Stop()
	if failure := <-failed; failure == nil || failure.Code != api.CodeNotLeader {
		t.Fatalf("claim after Stop returned %v", failure)
	}
}

func TestUncommittedSettleDoesNotReturnItems(t *testing.T) {
	g := newFakeGroup(t)
	g.submit()
	grant, _ := g.leadership.Claim(t.Context(), claimWaiting(time.Minute))
	refuse := func(context.Context, jobs.Command) (jobs.Result, *api.Error) {
		return jobs.Result{}, api.NewError("commit command", "", api.CodeNoQuorum, api.OutcomeUnknown, "%w", errors.New("no quorum"))
	}
	g.leadership.propose = refuse
	item := grant.Items[0]
	settle := jobs.Settle{Router: "r", Returned: []jobs.ReturnedItem{{Item: item.Item, Epoch: item.Epoch, Reason: jobs.ReturnPreempted, Request: "q"}}}
	if _, failure := g.leadership.Settle(t.Context(), settle); failure == nil {
		t.Fatal("Settle succeeded without a commit")
	}
	if second, _ := g.leadership.Claim(t.Context(), claimWaiting(10*time.Millisecond)); len(second.Items) != 0 {
		t.Fatal("item granted again although its return is not committed")
	}
}
