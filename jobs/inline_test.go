package jobs

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dykewing/dykewing/origin"
)

func inlineItems(count int) []InlineItem {
	var items []InlineItem
	for i := range count {
		items = append(items, InlineItem{ID: fmt.Sprint("item", i), Path: "/p", Body: []byte(fmt.Sprint("body", i))})
	}
	return items
}

type inlineState struct {
	t     testingT
	state *State
	index uint64
	now   time.Time
}

type testingT interface {
	Helper()
	Fatalf(format string, arguments ...any)
}

func newInlineState(t testingT, faults Faults) *inlineState {
	state, err := OpenStateWithFaults(NewMemoryStorage(), faults)
	if err != nil {
		t.Fatalf("%v", err)
	}
	return &inlineState{t: t, state: state, now: time.Unix(1_700_000_000, 0)}
}

func (s *inlineState) apply(command Command) Result {
	s.t.Helper()
	s.index++
	s.now = s.now.Add(time.Millisecond)
	command.Time = s.now
	results, err := s.state.Apply(Entry{Index: s.index, Command: command})
	if err != nil {
		s.t.Fatalf("%v", err)
	}
	return results[0]
}

func (s *inlineState) complete(job string, index int, text string) bool {
	return s.apply(Command{CompleteInline: &CompleteInline{Results: []InlineResult{{
		Job: JobID(job), Index: index, ItemID: fmt.Sprint("item", index), Outcome: InlineCompleted, Text: text,
	}}}}).Accepted == 1
}

func (s *inlineState) page(job string, from int) InlinePage {
	s.t.Helper()
	page, found, err := s.state.InlineResults(JobID(job), "", from, 1<<20)
	if err != nil || !found {
		s.t.Fatalf("read %s: %t %v", job, found, err)
	}
	return page
}

func TestInlineJobListsEachItemOnceInCommitOrder(t *testing.T) {
	s := newInlineState(t, Faults{})
	submit := Command{SubmitInline: &SubmitInline{Job: "j", Host: "h", Items: inlineItems(3), RunTarget: time.Second}}
	if result := s.apply(submit); result.Inline == nil || result.Inline.Total != 3 || result.Duplicate {
		t.Fatalf("%+v", result)
	}
	if result := s.apply(submit); !result.Duplicate {
		t.Errorf("the same job sent again: %+v", result)
	}
	if !s.complete("j", 2, "two") || s.complete("j", 2, "again") || !s.complete("j", 0, "zero") {
		t.Error("items were not listed exactly once")
	}
	if s.complete("j", 3, "none") || s.complete("j", -1, "none") || s.complete("unknown", 0, "none") {
		t.Error("an unknown item was listed")
	}
	page := s.page("j", 0)
	if page.Total != 3 || page.Next != 2 || page.Results[0].Text != "two" || page.Results[1].Text != "zero" {
		t.Errorf("%+v", page)
	}
	if page := s.page("j", 2); len(page.Results) != 0 || page.Next != 2 {
		t.Errorf("beyond the end: %+v", page)
	}
	item, found, _ := s.state.InlineItemByID("j", "", "item1")
	if !found || string(item.Body) != "body1" {
		t.Errorf("%+v", item)
	}
	if open, _ := s.state.UnlistedInlineItems(InlineJob{ID: "j", Total: 3}); len(open) != 1 || open[0] != 1 {
		t.Errorf("unlisted %v", open)
	}
}

func TestInlinePageHoldsAtLeastOneResult(t *testing.T) {
	s := newInlineState(t, Faults{})
	s.apply(Command{SubmitInline: &SubmitInline{Job: "j", Items: inlineItems(3)}})
	for index := range 3 {
		s.complete("j", index, "some text")
	}
	page, _, _ := s.state.InlineResults("j", "", 1, 1)
	if len(page.Results) != 1 || page.Next != 2 {
		t.Errorf("%+v", page)
	}
}

func TestEndedInlineJobAcceptsNoResults(t *testing.T) {
	s := newInlineState(t, Faults{})
	s.apply(Command{SubmitInline: &SubmitInline{Job: "j", Items: inlineItems(2)}})
	s.complete("j", 0, "zero")
	if result := s.apply(Command{EndInline: &EndInline{Job: "j"}}); !result.Inline.Ended || result.Duplicate {
		t.Errorf("%+v", result)
	}
	if result := s.apply(Command{EndInline: &EndInline{Job: "j"}}); !result.Duplicate || result.Code != "" {
		t.Errorf("ended again: %+v", result)
	}
	if result := s.apply(Command{EndInline: &EndInline{Job: "unknown"}}); result.Code == "" {
		t.Errorf("an unknown job was ended: %+v", result)
	}
	if s.complete("j", 1, "late") || len(s.page("j", 0).Results) != 1 {
		t.Error("a result was listed after the job ended")
	}
	if open, _ := s.state.OpenInlineJobs(); len(open) != 0 {
		t.Errorf("open: %+v", open)
	}
}

func TestInlinePartsAreAcceptedInOrderOnly(t *testing.T) {
	s := newInlineState(t, Faults{})
	s.apply(Command{SubmitInline: &SubmitInline{Job: "j", Items: inlineItems(1)}})
	keep := func(offset int, text, last string) int {
		return s.apply(Command{CheckpointInline: &CheckpointInline{Parts: []InlinePart{{Job: "j", Offset: offset, Text: text, LastEvent: last}}}}).Accepted
	}
	if keep(0, "one", "1") != 1 || keep(0, "one", "1") != 0 || keep(5, "gap", "9") != 0 || keep(3, "\ntwo", "2") != 1 {
		t.Error("a part was accepted out of order")
	}
	if partial, _ := s.state.InlinePartial("j", 0); partial.Text != "one\ntwo" || partial.LastEvent != "2" {
		t.Errorf("%+v", partial)
	}
	s.complete("j", 0, "one\ntwo")
	if partial, _ := s.state.InlinePartial("j", 0); partial.Text != "" || keep(0, "late", "1") != 0 {
		t.Errorf("kept after the item was listed: %+v", partial)
	}
}

func TestInlineFailureCountNeverDecreases(t *testing.T) {
	s := newInlineState(t, Faults{})
	s.apply(Command{SubmitInline: &SubmitInline{Job: "j", Items: inlineItems(1)}})
	keep := func(part InlinePart) {
		part.Job = "j"
		s.apply(Command{CheckpointInline: &CheckpointInline{Parts: []InlinePart{part}}})
	}
	keep(InlinePart{Text: "one", LastEvent: "1"})
	keep(InlinePart{Offset: 3, Failures: 2})
	keep(InlinePart{Offset: 3, Failures: 1, Text: "two", LastEvent: "2"})
	if partial, _ := s.state.InlinePartial("j", 0); partial != (InlinePartial{Text: "onetwo", LastEvent: "2", Failures: 2}) {
		t.Errorf("%+v", partial)
	}
}

func TestInlineJobsExpireAfterRetention(t *testing.T) {
	s := newInlineState(t, Faults{})
	s.apply(Command{SubmitInline: &SubmitInline{Job: "short", Items: inlineItems(2), Retention: time.Minute}})
	s.apply(Command{SubmitInline: &SubmitInline{Job: "long", Items: inlineItems(2), Retention: time.Hour}})
	s.complete("short", 0, "zero")
	before := s.now.Add(2 * time.Minute)
	if result := s.apply(Command{ExpireInline: &ExpireInline{Before: before}}); result.Accepted != 1 || result.More {
		t.Errorf("%+v", result)
	}
	if _, found, _ := s.state.InlineJob("short"); found {
		t.Error("the job was not deleted")
	}
	if _, found, _ := s.state.InlineItem("short", 1); found {
		t.Error("an item was not deleted")
	}
	if next, found, _ := s.state.NextInlineExpiry(); !found || next.Before(before) {
		t.Errorf("next %v %t", next, found)
	}
	s.page("long", 0)
}

// checkPositionsStable applies random commands and fails if an entry that was read
// changes or an item is listed twice.
func checkPositionsStable(t *rapid.T, faults Faults) error {
	s := newInlineState(t, faults)
	s.apply(Command{SubmitInline: &SubmitInline{Job: "j", Items: inlineItems(4)}})
	var read []InlineResult
	for step := range rapid.IntRange(1, 20).Draw(t, "steps") {
		index := rapid.IntRange(0, 4).Draw(t, "index")
		if rapid.IntRange(0, 9).Draw(t, "kind") == 0 {
			s.apply(Command{EndInline: &EndInline{Job: "j"}})
		}
		s.complete("j", index, fmt.Sprint("text", step))
		page := s.page("j", 0)
		seen := map[int]bool{}
		for position, result := range page.Results {
			if seen[result.Index] {
				return fmt.Errorf("item %d is listed twice", result.Index)
			}
			seen[result.Index] = true
			if position < len(read) && read[position] != result {
				return fmt.Errorf("position %d has changed", position)
			}
		}
		if len(page.Results) < len(read) {
			return fmt.Errorf("%d results after %d", len(page.Results), len(read))
		}
		read = page.Results
	}
	return nil
}

func TestInlinePositionsNeverChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := checkPositionsStable(t, Faults{}); err != nil {
			t.Fatalf("%v", err)
		}
	})
}

func TestInlinePositionsCheckDetectsSecondResult(t *testing.T) {
	caught := false
	for seed := range 50 {
		err := rapid.Custom(func(t *rapid.T) string {
			if err := checkPositionsStable(t, Faults{AcceptSecondResult: true}); err != nil {
				return err.Error()
			}
			return ""
		}).Example(seed)
		caught = caught || err != ""
	}
	if !caught {
		t.Error("no violation was detected with AcceptSecondResult")
	}
}

// A text is bound to the version that wrote it only while every part of it is known to be of that
// version; leaders of earlier builds store parts without one.
func TestInlinePartialKnowsItsOrigin(t *testing.T) {
	v1, v2 := &origin.Origin{Service: "s", Version: "v1"}, &origin.Origin{Service: "s", Version: "v2"}
	tests := []struct {
		name  string
		parts []InlinePart
		want  *origin.Origin
	}{
		{"one version", []InlinePart{{Text: "a", Origin: v1}, {Offset: 1, Text: "b", Origin: v1}}, v1},
		{"two versions", []InlinePart{{Text: "a", Origin: v1}, {Offset: 1, Text: "b", Origin: v2}}, nil},
		{"later part of an earlier build", []InlinePart{{Text: "a", Origin: v1}, {Offset: 1, Text: "b"}}, nil},
		{"earlier part of an earlier build", []InlinePart{{Text: "a"}, {Offset: 1, Text: "b", Origin: v1}}, nil},
		{"failures only", []InlinePart{{Text: "a", Origin: v1}, {Offset: 1, Failures: 1}}, v1},
		{"failures before the text", []InlinePart{{Failures: 1}, {Text: "a", Origin: v1}}, v1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newInlineState(t, Faults{})
			s.apply(Command{SubmitInline: &SubmitInline{Job: "j", Items: inlineItems(1)}})
			for n := range test.parts {
				test.parts[n].Job = "j"
			}
			if got := s.apply(Command{CheckpointInline: &CheckpointInline{Parts: test.parts}}).Accepted; got != len(test.parts) {
				t.Fatalf("%d parts accepted", got)
			}
			partial, err := s.state.InlinePartial("j", 0)
			if err != nil || (partial.Origin == nil) != (test.want == nil) || test.want != nil && *partial.Origin != *test.want {
				t.Errorf("origin %v, want %v, error %v", partial.Origin, test.want, err)
			}
		})
	}
}

// Guards against an item that is returned with the body, headers or tokens of another item of its job.
func TestInlineItemByIDIsThatItemAlone(t *testing.T) {
	s := newInlineState(t, Faults{})
	items := []InlineItem{
		{ID: "full", Path: "/a", Headers: map[string]string{"Name": "value"}, Body: []byte("body"), Tokens: 7},
		{ID: "bare", Path: "/b"},
	}
	s.apply(Command{SubmitInline: &SubmitInline{Job: "j", Items: items}})
	for _, want := range items {
		got, found, err := s.state.InlineItemByID("j", "", want.ID)
		if err != nil || !found || !reflect.DeepEqual(got, want) {
			t.Errorf("item %s: %+v, %t, %v, want %+v", want.ID, got, found, err, want)
		}
	}
	if got, found, err := s.state.InlineItemByID("j", "", "none"); err != nil || found || !reflect.DeepEqual(got, InlineItem{}) {
		t.Errorf("unknown item: %+v, %t, %v", got, found, err)
	}
}
