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

// group applies what is proposed at once.
type group struct {
	t       *testing.T
	state   *jobs.State
	leading *Leadership
	index   uint64
}

func newGroup(t *testing.T) *group {
	state, err := jobs.OpenState(jobs.NewMemoryStorage())
	if err != nil {
		t.Fatal(err)
	}
	g := &group{t: t, state: state}
	log := logrus.New()
	log.SetOutput(t.Output())
	settings := jobs.DefaultDispatcherSettings()
	settings.AdoptWait, settings.SweepInterval = 0, time.Hour
	g.leading, err = Start(state, settings, g.propose, log.WithField("part", "store"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.leading.Stop)
	return g
}

func (g *group) propose(_ context.Context, command jobs.Command) (jobs.Result, *api.Error) {
	if command.Expire != nil {
		return jobs.Result{}, nil // the sweep at the start, beside the test's commands
	}
	command.Time = time.Now()
	g.index++
	results, err := g.state.Apply(jobs.Entry{Index: g.index, Command: command})
	if err != nil {
		return jobs.Result{}, api.AsError("apply", err)
	}
	g.leading.Applied(command, results[0])
	return results[0], nil
}

func (g *group) commit(command jobs.Command) {
	g.t.Helper()
	if result, failure := g.propose(g.t.Context(), command); failure != nil || result.Code != "" {
		g.t.Fatalf("%+v, %v", result, failure)
	}
}

func (g *group) submit() {
	line := json.RawMessage(`{"custom_id":"a","url":"/v1/services/judge/mark","body":{}}`)
	g.commit(jobs.Command{CreateFile: &jobs.CreateFile{File: "f", Tenant: "t"}})
	g.commit(jobs.Command{AppendFile: &jobs.AppendFile{File: "f", Lines: []json.RawMessage{line}}})
	g.commit(jobs.Command{SealFile: &jobs.SealFile{File: "f", Lines: 1}})
	g.commit(jobs.Command{Submit: &jobs.Submit{Job: "j", Tenant: "t", File: "f", Repeatable: true, Deadline: time.Now().Add(time.Hour)}})
}

func claimOf(wait time.Duration) jobs.ClaimItems {
	return jobs.ClaimItems{Router: "r", WaitMs: int(wait.Milliseconds()), Wants: []jobs.ClaimWant{{Service: "judge", Place: "old", Room: 1}}}
}

func TestAClaimWaitsForWorkAndItsResultEndsTheJob(t *testing.T) {
	g := newGroup(t)
	granted := make(chan jobs.Grant, 1)
	go func() {
		grant, failure := g.leading.Claim(t.Context(), claimOf(time.Minute))
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
	if _, failure := g.leading.Settle(t.Context(), jobs.Settle{Router: "r", Results: []jobs.ItemResult{result}}); failure != nil {
		t.Fatal(failure)
	}
	if job, _, err := g.state.Job("j"); err != nil || job.Status != jobs.JobCompleted {
		t.Fatalf("job %+v, %v", job, err)
	}
}

func TestAClaimEndsWithItsCallerAndWithTheLeadership(t *testing.T) {
	g := newGroup(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, failure := g.leading.Claim(ctx, claimOf(time.Minute)); failure == nil || failure.Code != api.CodeClientCancelled {
		t.Fatalf("a caller that left got %v", failure)
	}
	ended := make(chan *api.Error, 1)
	go func() {
		_, failure := g.leading.Claim(t.Context(), claimOf(time.Minute))
		ended <- failure
	}()
	g.leading.Stop()
	if failure := <-ended; failure == nil || failure.Code != api.CodeNotLeader {
		t.Fatalf("a claim at an ended leadership got %v", failure)
	}
}

func TestAReportThatIsNotCommittedReturnsNothing(t *testing.T) {
	g := newGroup(t)
	g.submit()
	grant, _ := g.leading.Claim(t.Context(), claimOf(time.Minute))
	refuse := func(context.Context, jobs.Command) (jobs.Result, *api.Error) {
		return jobs.Result{}, api.NewError("commit command", "", api.CodeNoQuorum, api.OutcomeUnknown, "%w", errors.New("no quorum"))
	}
	g.leading.propose = refuse
	item := grant.Items[0]
	settle := jobs.Settle{Router: "r", Returned: []jobs.ReturnedItem{{Item: item.Item, Epoch: item.Epoch, Reason: jobs.ReturnPreempted, Request: "q"}}}
	if _, failure := g.leading.Settle(t.Context(), settle); failure == nil {
		t.Fatal("the report was taken")
	}
	if again, _ := g.leading.Claim(t.Context(), claimOf(10*time.Millisecond)); len(again.Items) != 0 {
		t.Fatal("an item whose release is not committed was granted again")
	}
}
