package batchrun

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/jobs"
)

// applying commits what is proposed at once. loseParts answers that parts were committed and commits none: what is kept is then not
// what the leader believes.
type applying struct {
	state     *jobs.State
	index     uint64
	loseParts bool
	bytes     int // of text that was proposed, as it travels
	commands  int
}

func (a *applying) propose(_ context.Context, command jobs.Command) (jobs.Result, *api.Error) {
	command = command.Shortened()
	a.commands++
	if command.KeepInline != nil {
		for _, part := range command.KeepInline.Parts {
			a.bytes += len(part.Text)
		}
		if a.loseParts {
			return jobs.Result{}, nil
		}
	}
	if command.CompleteInline != nil {
		for _, result := range command.CompleteInline.Results {
			a.bytes += len(result.Text)
		}
	}
	a.index++
	command.Time = time.Now()
	results, err := a.state.Apply(jobs.Entry{Index: a.index + 1, Command: command})
	if err != nil {
		return jobs.Result{}, api.NewError("apply", "", api.CodeInternal, api.OutcomeUnknown, "%w", err)
	}
	return results[0], nil
}

// TestATextIsProposedOnce: parts brought a text to the replicas and its result brought it
// again, so that each item crossed twice.
func TestATextIsProposedOnce(t *testing.T) {
	const parts = 20
	piece := strings.Repeat("x", leastKept)
	for _, test := range []struct {
		name        string
		loseParts   bool
		uncommitted bool // the last part is on its way when the item ends
		most        int  // bytes that travel
	}{
		{"all parts are committed", false, false, parts * leastKept},
		{"the last part is on its way", false, true, (parts + 1) * leastKept},
		{"what is kept is not what was told", true, false, 2 * parts * leastKept},
	} {
		l := testLeader(t, 1, 0)
		group := &applying{state: l.state, loseParts: test.loseParts}
		l.propose = group.propose
		i := l.waiting[0]
		if !l.describe(i) {
			t.Fatal("the item can't be read")
		}
		l.running[i] = true
		for n := range parts {
			i.text = append(i.text, piece...)
			found, of := l.newParts(time.Unix(int64(n+1)*60, 0))
			if len(found) != 1 {
				t.Fatalf("%s: %d parts", test.name, len(found))
			}
			if _, committed := l.commit(jobs.Command{KeepInline: &jobs.KeepInline{Parts: found}}); committed && !(test.uncommitted && n == parts-1) {
				keptFor(found, of)
			}
		}
		l.list(i, jobs.InlineCompleted, string(i.text))
		l.commitResults(l.gather(<-l.results))
		page, _, err := l.state.InlineResults("j", "", 0, 1<<20)
		if err != nil || len(page.Results) != 1 || page.Results[0].Text != string(i.text) {
			t.Errorf("%s: %d results, %v: not the whole text", test.name, len(page.Results), err)
		}
		if group.bytes > test.most {
			t.Errorf("%s: %d bytes of text travel, want %d at most", test.name, group.bytes, test.most)
		}
	}
}

// A result that was listed before, as after a commit whose answer was lost, is not sent again.
func TestAListedResultWithoutPartsIsNotProposedAgain(t *testing.T) {
	l := testLeader(t, 1, 0)
	group := &applying{state: l.state}
	l.propose = group.propose
	for range 2 {
		l.commitResults([]jobs.InlineResult{{Job: "j", Outcome: jobs.InlineCompleted, Text: "one"}})
	}
	if group.commands != 2 {
		t.Errorf("%d commands", group.commands)
	}
}
