package jobs

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dykewing/dykewing/api"
)

const testQueue QueueName = "host/path/"

func (s *inlineState) admit(job JobID, tokens, bound int64) Result {
	s.t.Helper()
	return s.apply(Command{AdmitToQueue: &AdmitToQueue{Queue: testQueue, Job: job, Tokens: tokens, MaxTokens: bound}})
}

func (s *inlineState) report(group api.GroupID, whole bool, jobs ...QueuedJob) {
	s.t.Helper()
	s.apply(Command{ReportQueue: &ReportQueue{Group: group, Full: whole, Jobs: jobs}})
}

func (s *inlineState) queuedTokens() int64 {
	s.t.Helper()
	total, err := s.state.QueuedTokens(testQueue)
	if err != nil {
		s.t.Fatalf("%v", err)
	}
	return total
}

func TestQueueCountsWaitingTokens(t *testing.T) {
	left := func(job JobID, tokens int64) QueuedJob {
		return QueuedJob{Queue: testQueue, Job: job, Tokens: tokens}
	}
	tests := []struct {
		name string
		do   func(s *inlineState)
		want int64
	}{
		{"a job that fits", func(s *inlineState) { s.admit("a", 60, 100) }, 60},
		{"a job that just fits", func(s *inlineState) { s.admit("a", 100, 100) }, 100},
		{"a job over the bound", func(s *inlineState) { s.admit("a", 101, 100) }, 0},
		{"a second job that does not fit", func(s *inlineState) { s.admit("a", 60, 100); s.admit("b", 41, 100) }, 60},
		{"the same job again", func(s *inlineState) { s.admit("a", 60, 100); s.admit("a", 60, 100) }, 60},
		{"a bound lowered below what waits", func(s *inlineState) { s.admit("a", 60, 100); s.admit("b", 1, 10) }, 60},
		{"some tokens are finished", func(s *inlineState) { s.admit("a", 60, 100); s.report(1, false, left("a", 20)) }, 20},
		{"all tokens are finished", func(s *inlineState) { s.admit("a", 60, 100); s.report(1, false, left("a", 0)) }, 0},
		{"a job that was not admitted before", func(s *inlineState) { s.report(1, false, left("a", 70)) }, 70},
		{"a whole report removes jobs that are not in it", func(s *inlineState) {
			s.report(1, false, left("a", 70), left("b", 7))
			s.report(1, true, left("b", 7))
		}, 7},
		{"a whole report of another group", func(s *inlineState) {
			s.report(1, false, left("a", 70))
			s.report(2, true)
		}, 70},
		{"a whole report does not remove an unreported admission", func(s *inlineState) {
			s.admit("a", 60, 100)
			s.report(1, true)
		}, 60},
		{"an unreported admission expires", func(s *inlineState) {
			s.admit("a", 60, 100)
			s.now = s.now.Add(2 * admissionTTL)
			s.admit("b", 90, 100)
		}, 90},
		{"a reported job does not expire", func(s *inlineState) {
			s.admit("a", 60, 100)
			s.report(1, false, left("a", 60))
			s.now = s.now.Add(2 * admissionTTL)
			s.admit("b", 90, 100)
		}, 60},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newInlineState(t, Faults{})
			test.do(s)
			if got := s.queuedTokens(); got != test.want {
				t.Errorf("%d tokens counted, want %d", got, test.want)
			}
		})
	}
}

// queueModel simulates the groups that share one queue: jobs are admitted, processed
// and reported, and reports may be missing.
type queueModel struct {
	state    *inlineState
	accepted map[JobID]int64 // remaining tokens of the admitted jobs
	reported map[JobID]bool
}

func newQueueModel(t *rapid.T, faults Faults) *queueModel {
	return &queueModel{state: newInlineState(t, faults), accepted: map[JobID]int64{}, reported: map[JobID]bool{}}
}

func (m *queueModel) waitingTokens() (total int64) {
	for _, tokens := range m.accepted {
		total += tokens
	}
	return total
}

func (m *queueModel) group(job JobID) api.GroupID {
	return api.GroupID(len(job)+int(job[len(job)-1])) % 3
}

func (m *queueModel) report(group api.GroupID, whole bool) {
	var reported []QueuedJob
	for _, job := range slices.Sorted(maps.Keys(m.accepted)) {
		tokens := m.accepted[job]
		if m.group(job) == group && (!whole || tokens > 0 || !m.reported[job]) {
			reported = append(reported, QueuedJob{Queue: testQueue, Job: job, Tokens: tokens})
			m.reported[job] = true
		}
	}
	m.state.report(group, whole, reported...)
}

func (m *queueModel) check(t *rapid.T) error {
	number := 0
	bound := int64(1000)
	for range rapid.IntRange(5, 60).Draw(t, "steps") {
		switch rapid.IntRange(0, 4).Draw(t, "step") {
		case 0, 1:
			number++
			job, tokens := JobID(fmt.Sprint("job", number)), rapid.Int64Range(1, 600).Draw(t, "tokens")
			before := m.waitingTokens()
			if m.state.admit(job, tokens, bound).Code == "" {
				m.accepted[job] = tokens
				if before+tokens > bound {
					return errors.New("more than the bound was accepted")
				}
			}
		case 2:
			for _, job := range slices.Sorted(maps.Keys(m.accepted)) {
				tokens := m.accepted[job]
				m.accepted[job] = tokens - min(tokens, rapid.Int64Range(0, 300).Draw(t, "finished"))
			}
		case 3:
			m.report(api.GroupID(rapid.IntRange(0, 2).Draw(t, "group")), rapid.Bool().Draw(t, "whole"))
		case 4:
			bound = rapid.Int64Range(50, 1500).Draw(t, "bound")
		}
	}
	for group := range api.GroupID(3) {
		m.report(group, true)
	}
	if counted := m.state.queuedTokens(); counted != m.waitingTokens() {
		return fmt.Errorf("%d tokens counted, %d are waiting", counted, m.waitingTokens())
	}
	if room := bound - m.waitingTokens(); room > 0 && m.state.admit("fits", room, bound).Code != "" {
		return errors.New("a job that fits was refused")
	}
	return nil
}

func TestQueueEnforcesBoundAndAdmitsWhatFits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newQueueModel(t, Faults{})
		if err := m.check(t); err != nil {
			t.Fatal(err)
		}
	})
}

func TestQueueCheckDetectsIgnoredBound(t *testing.T) {
	s := newInlineState(t, Faults{IgnoreQueueBound: true})
	if s.admit("a", 101, 100); s.queuedTokens() <= 100 {
		t.Error("the injected fault had no effect")
	}
	seen := false
	rapid.Check(t, func(t *rapid.T) {
		seen = seen || newQueueModel(t, Faults{IgnoreQueueBound: true}).check(t) != nil
	})
	if !seen {
		t.Error("no violation was detected with IgnoreQueueBound")
	}
}

func TestInlineTokensLiveAsLongAsJob(t *testing.T) {
	s := newInlineState(t, Faults{})
	items := inlineItems(2)
	items[0].Tokens, items[1].Tokens = 7, 9
	s.apply(Command{SubmitInline: &SubmitInline{Job: "j", Queue: testQueue, Items: items, Retention: time.Second}})
	tokens, err := s.state.InlineTokens("j")
	if err != nil || len(tokens) != 2 || tokens[0] != 7 || tokens[1] != 9 {
		t.Errorf("%v, %v", tokens, err)
	}
	if queues, err := s.state.InlineQueues(); err != nil || len(queues) != 1 || queues[0] != testQueue {
		t.Errorf("%v, %v", queues, err)
	}
	s.apply(Command{ExpireInline: &ExpireInline{Before: s.now.Add(time.Minute)}})
	if tokens, err := s.state.InlineTokens("j"); err != nil || tokens != nil {
		t.Errorf("tokens of a deleted job: %v, %v", tokens, err)
	}
}
