package jobs

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func (s *inlineState) checkpoint(index, offset int, text string) {
	s.apply(Command{CheckpointInline: &CheckpointInline{Parts: []InlinePart{{Job: "j", Index: index, Offset: offset, Text: text, LastEvent: "1"}}}})
}

func shortened(index int, text string, kept int) Command {
	return Command{CompleteInline: &CompleteInline{Results: []InlineResult{{
		Job: "j", Index: index, Outcome: InlineCompleted, Text: text, CheckpointBytes: kept,
	}}}}.Shortened()
}

func TestShortenedResultIsRestoredFromKeptParts(t *testing.T) {
	for _, test := range []struct {
		name       string
		kept, text string
		named      int
		listed     bool
	}{
		{"all is kept", "one\ntwo", "one\ntwo", 7, true},
		{"a prefix is kept", "one", "one\ntwo", 3, true},
		{"more is kept than is omitted", "one\ntwo", "one\ntwo", 3, true},
		{"no bytes are omitted", "one", "one\ntwo", 0, true},
		{"an empty text", "", "", 0, true},
		{"less is kept than is omitted", "one", "one\ntwo", 7, false},
		{"nothing is kept", "", "one\ntwo", 3, false},
		{"another text is kept", "ONE", "one\ntwo", 3, false},
	} {
		s := newInlineState(t, Faults{})
		s.apply(Command{SubmitInline: &SubmitInline{Job: "j", Items: inlineItems(1)}})
		if test.kept != "" {
			s.checkpoint(0, 0, test.kept)
		}
		command := shortened(0, test.text, test.named)
		if got := len(command.CompleteInline.Results[0].Text); got != len(test.text)-test.named {
			t.Errorf("%s: the command has %d bytes of text", test.name, got)
		}
		if got := s.apply(command).Accepted == 1; got != test.listed {
			t.Errorf("%s: listed %t", test.name, got)
			continue
		}
		if !test.listed {
			if s.apply(Command{CompleteInline: &CompleteInline{Results: []InlineResult{{Job: "j", Text: test.text}}}}).Accepted != 1 {
				t.Errorf("%s: the whole result was not accepted afterwards", test.name)
			}
		}
		result := s.page("j", 0).Results[0]
		if result.Text != test.text || result.CheckpointBytes != 0 || result.Checksum != 0 {
			t.Errorf("%s: %+v", test.name, result)
		}
	}
}

func TestShortenedDoesNotModifyCommand(t *testing.T) {
	results := []InlineResult{{Job: "j", Text: "one", CheckpointBytes: 2}, {Job: "j", Text: "two", CheckpointBytes: 9}}
	short := Command{CompleteInline: &CompleteInline{Results: results}}.Shortened().CompleteInline.Results
	if results[0].Text != "one" || short[0].Text != "e" || short[1].Text != "two" || short[1].Checksum != 0 {
		t.Errorf("results %+v, shortened to %+v", results, short)
	}
}

// listedTextMatches applies lost, repeated and truncated parts before a result and
// reports whether the listed text is that of the item.
func listedTextMatches(t *rapid.T, faults Faults) bool {
	s := newInlineState(t, faults)
	s.apply(Command{SubmitInline: &SubmitInline{Job: "j", Items: inlineItems(1)}})
	text := strings.Join(rapid.SliceOfN(rapid.StringN(0, 8, 8), 1, 6).Draw(t, "events"), "\n")
	other := strings.ToUpper(text)
	for range rapid.IntRange(0, 5).Draw(t, "parts") {
		from := rapid.IntRange(0, len(text)).Draw(t, "from")
		to := rapid.IntRange(from, len(text)).Draw(t, "to")
		part := text
		if len(other) == len(text) && rapid.Bool().Draw(t, "of another text") {
			part = other
		}
		s.checkpoint(0, from, part[from:to])
	}
	if s.apply(shortened(0, text, rapid.IntRange(0, len(text)).Draw(t, "named"))).Accepted == 0 {
		s.apply(Command{CompleteInline: &CompleteInline{Results: []InlineResult{{Job: "j", Text: text}}}})
	}
	return s.page("j", 0).Results[0].Text == text
}

func TestListedTextMatchesItem(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if !listedTextMatches(t, Faults{}) {
			t.Fatal("the listed text differs from the item's")
		}
	})
}

func TestListedTextCheckDetectsMismatchedParts(t *testing.T) {
	caught := false
	for seed := range 300 {
		_ = rapid.Custom(func(t *rapid.T) bool {
			whole := listedTextMatches(t, Faults{TrustCheckpoints: true})
			caught = caught || !whole
			return whole
		}).Example(seed)
	}
	if !caught {
		t.Error("no mismatch was detected with the injected fault")
	}
}
