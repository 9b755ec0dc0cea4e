package batchrun

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/jobs"
)

// fakeGroup applies proposed commands at once. With dropParts it reports partial outputs as
// committed without applying them, so that the state lacks text that the leader takes for
// committed.
type fakeGroup struct {
	state     *jobs.State
	index     uint64
	dropParts bool
	bytes     int // proposed text, after commands are shortened
	commands  int
}

func (g *fakeGroup) propose(_ context.Context, command jobs.Command) (jobs.Result, *api.Error) {
	command = command.Shortened()
	g.commands++
	if command.CheckpointInline != nil {
		for _, part := range command.CheckpointInline.Parts {
			g.bytes += len(part.Text)
		}
		if g.dropParts {
			return jobs.Result{}, nil
		}
	}
	if command.CompleteInline != nil {
		for _, result := range command.CompleteInline.Results {
			g.bytes += len(result.Text)
		}
	}
	g.index++
	command.Time = time.Now()
	results, err := g.state.Apply(jobs.Entry{Index: g.index + 1, Command: command})
	if err != nil {
		return jobs.Result{}, api.NewError("apply", "", api.CodeInternal, api.OutcomeUnknown, "%w", err)
	}
	return results[0], nil
}

// TestTextIsProposedOnce guards against sending an item's text to the replicas twice, as partial
// output and again in its result.
func TestTextIsProposedOnce(t *testing.T) {
	const partCount = 20
	piece := strings.Repeat("x", minPartBytes)
	for _, test := range []struct {
		name        string
		dropParts   bool
		uncommitted bool // the last part is still in flight when the item ends
		most        int  // maximum bytes proposed
	}{
		{"all parts are committed", false, false, partCount * minPartBytes},
		{"last part in flight", false, true, (partCount + 1) * minPartBytes},
		{"parts were acknowledged but not applied", true, false, 2 * partCount * minPartBytes},
	} {
		l := testLeader(t, 1, 0)
		group := &fakeGroup{state: l.state, dropParts: test.dropParts}
		l.propose = group.propose
		i := l.waiting[0]
		if !l.loadItem(i) {
			t.Fatal("loadItem failed")
		}
		l.running[i] = true
		for n := range partCount {
			i.text = append(i.text, piece...)
			parts, items := l.dueParts(time.Unix(int64(n+1)*60, 0))
			if len(parts) != 1 {
				t.Fatalf("%s: %d parts", test.name, len(parts))
			}
			if _, committed := l.commit(jobs.Command{CheckpointInline: &jobs.CheckpointInline{Parts: parts}}); committed && !(test.uncommitted && n == partCount-1) {
				markCommitted(parts, items)
			}
		}
		l.enqueueResult(i, jobs.InlineCompleted, string(i.text))
		l.commitResults(l.drainResults(<-l.results))
		page, _, err := l.state.InlineResults("j", "", 0, 1<<20)
		if err != nil || len(page.Results) != 1 || page.Results[0].Text != string(i.text) {
			t.Errorf("%s: %d results, error %v: want one result with the whole text", test.name, len(page.Results), err)
		}
		if group.bytes > test.most {
			t.Errorf("%s: %d bytes of text proposed, want at most %d", test.name, group.bytes, test.most)
		}
	}
}

// A result that is already committed, for instance because the answer to its first commit was
// lost, must not be proposed a third time.
func TestCommittedResultIsNotProposedAgain(t *testing.T) {
	l := testLeader(t, 1, 0)
	group := &fakeGroup{state: l.state}
	l.propose = group.propose
	for range 2 {
		l.commitResults([]jobs.InlineResult{{Job: "j", Outcome: jobs.InlineCompleted, Text: "one"}})
	}
	if group.commands != 2 {
		t.Errorf("%d commands proposed, want 2", group.commands)
	}
}
