package detour

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dykewing/dykewing/api"
)

var testStart = time.Unix(1_700_000_000, 0)

const ms = time.Millisecond

// step is an event of a test case.
type step struct {
	at     time.Duration
	do     string // "ask": a new repeatable query; "once": a new non-repeatable query; "next": the next path; "straight", "p", "q", "r": the result of that path
	result Result
	want   string // expected path of "ask", "once" and "next", or "none"
	due    time.Duration
}

func TestPathSelection(t *testing.T) {
	// The direct path fails and p relays the answer.
	cut := []step{
		{at: 0, do: "ask", want: "straight"},
		{at: 20 * ms, do: "next", want: "p"},
		{at: 24 * ms, do: "p", result: Answered},
		{at: 60 * ms, do: "straight", result: NoAnswer},
	}
	after := func(steps ...step) []step { return append(slices.Clone(cut), steps...) }
	tests := []struct {
		name  string
		fault Fault
		steps []step
	}{
		{"direct path first, then relays", "", []step{
			{at: 0, do: "ask", want: "straight", due: 20 * ms},
			{at: 20 * ms, do: "next", want: "p", due: 35 * ms},
			{at: 35 * ms, do: "next", want: "q", due: 50 * ms},
			{at: 50 * ms, do: "next", want: "r"},
			{at: 60 * ms, do: "next", want: "none"},
		}},
		{"relay of the last answer, without the direct path", "", after(
			step{at: 100 * ms, do: "ask", want: "p", due: 115 * ms},
			step{at: 115 * ms, do: "next", want: "q"},
		)},
		{"periodic probe of the direct path beside the relay", "", after(
			step{at: 1100 * ms, do: "ask", want: "straight", due: 1100 * ms},
			step{at: 1100 * ms, do: "next", want: "p", due: 1115 * ms},
			step{at: 1110 * ms, do: "ask", want: "p"},
		)},
		{"non-repeatable query does not probe", "", after(step{at: 1100 * ms, do: "once", want: "p"})},
		{"direct path after a successful probe", "", after(
			step{at: 1100 * ms, do: "ask", want: "straight"},
			step{at: 1102 * ms, do: "straight", result: Answered},
			step{at: 1110 * ms, do: "ask", want: "straight", due: 1130 * ms},
		)},
		{"backoff of a peer that does not reach the process", "", []step{
			{at: 0, do: "ask", want: "straight"},
			{at: 20 * ms, do: "next", want: "p"},
			{at: 22 * ms, do: "p", result: Unreachable},
			{at: 22 * ms, do: "next", want: "q"},
			{at: 25 * ms, do: "q", result: Answered},
			{at: 60 * ms, do: "straight", result: NoAnswer},
			{at: 100 * ms, do: "ask", want: "q"},
		}},
		{"relay of the last answer preferred after the backoff of a nearer peer", "", []step{
			{at: 0, do: "ask", want: "straight"},
			{at: 20 * ms, do: "next", want: "p"},
			{at: 35 * ms, do: "p", result: NoAnswer},
			{at: 35 * ms, do: "next", want: "q"},
			{at: 38 * ms, do: "q", result: Answered},
			{at: 60 * ms, do: "straight", result: NoAnswer},
			{at: 600 * ms, do: "ask", want: "q"},
		}},
		{"failover to another relay and back", "", after(
			step{at: 100 * ms, do: "ask", want: "p"},
			step{at: 100 * ms, do: "p", result: NoAnswer},
			step{at: 100 * ms, do: "next", want: "q"},
			step{at: 104 * ms, do: "q", result: Answered},
			step{at: 110 * ms, do: "ask", want: "q"},
			step{at: 700 * ms, do: "q", result: NoAnswer},
			step{at: 700 * ms, do: "next", want: "p"},
		)},
		{"query ends after three unreachable relays", "", []step{
			{at: 0, do: "ask", want: "straight"},
			{at: 1 * ms, do: "straight", result: NoAnswer},
			{at: 1 * ms, do: "next", want: "p"},
			{at: 2 * ms, do: "p", result: Unreachable},
			{at: 2 * ms, do: "next", want: "q"},
			{at: 3 * ms, do: "q", result: Unreachable},
			{at: 3 * ms, do: "next", want: "r"},
			{at: 4 * ms, do: "r", result: Unreachable},
			{at: 4 * ms, do: "next", want: "none"},
		}},
		{"direct path if all peers are in backoff", "", []step{
			{at: 0, do: "ask", want: "straight"},
			{at: 0, do: "next", want: "p"},
			{at: 0, do: "next", want: "q"},
			{at: 0, do: "next", want: "r"},
			{at: 60 * ms, do: "straight", result: NoAnswer},
			{at: 60 * ms, do: "p", result: NoAnswer},
			{at: 60 * ms, do: "q", result: NoAnswer},
			{at: 60 * ms, do: "r", result: NoAnswer},
			{at: 100 * ms, do: "ask", want: "s"},
			{at: 160 * ms, do: "s", result: NoAnswer},
			{at: 200 * ms, do: "ask", want: "straight"},
		}},
		{"fault: no backoff", FaultNoBackoff, []step{
			{at: 0, do: "ask", want: "straight"},
			{at: 20 * ms, do: "next", want: "p"},
			{at: 22 * ms, do: "p", result: Unreachable},
			{at: 60 * ms, do: "straight", result: NoAnswer},
			{at: 100 * ms, do: "ask", want: "p"},
		}},
		{"backoff of a failed peer", "", []step{
			{at: 0, do: "ask", want: "straight"},
			{at: 20 * ms, do: "next", want: "p"},
			{at: 22 * ms, do: "p", result: Unreachable},
			{at: 60 * ms, do: "straight", result: NoAnswer},
			{at: 100 * ms, do: "ask", want: "q"},
		}},
		{"fault: no probe", FaultNoProbe, after(step{at: 5000 * ms, do: "ask", want: "p"})},
		{"fault: relay not remembered", FaultNoMemory, []step{
			{at: 0, do: "ask", want: "straight"},
			{at: 20 * ms, do: "next", want: "p"},
			{at: 35 * ms, do: "p", result: NoAnswer},
			{at: 35 * ms, do: "next", want: "q"},
			{at: 38 * ms, do: "q", result: Answered},
			{at: 60 * ms, do: "straight", result: NoAnswer},
			{at: 600 * ms, do: "ask", want: "p"},
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := New()
			w.fault = test.fault
			var q *Query
			for i, s := range test.steps {
				now := testStart.Add(s.at)
				switch s.do {
				case "ask", "once", "next":
					if s.do != "next" {
						q = w.Begin(now, "store", s.do == "ask")
					}
					if got := pathName(q.Next(now, func() []api.NodeID { return []api.NodeID{"p", "q", "r", "s"} })); got != s.want {
						t.Fatalf("step %d: path %s, want %s", i, got, s.want)
					}
					if s.due > 0 && !q.Due().Equal(testStart.Add(s.due)) {
						t.Errorf("step %d: next path due at %v, want %v", i, q.Due().Sub(testStart), s.due)
					}
				case "straight":
					q.RecordResult(now, Path{}, s.result)
				default:
					q.RecordResult(now, Path{Relay: api.NodeID(s.do)}, s.result)
				}
			}
		})
	}
}

func pathName(way Path, ok bool) string {
	switch {
	case !ok:
		return "none"
	case way.Direct():
		return "straight"
	}
	return string(way.Relay)
}

// The backoff of a peer doubles with each failure and ends with an answer.
func TestPeerBackoffGrows(t *testing.T) {
	w := New()
	now := testStart
	for _, want := range []time.Duration{250 * ms, 500 * ms, 1000 * ms, 2000 * ms, 4000 * ms, 8000 * ms, 8000 * ms} {
		q := w.Begin(now, "store", true)
		q.RecordResult(now, Path{Relay: "p"}, NoAnswer)
		q.RecordResult(now, Path{Relay: "p"}, NoAnswer)
		if got := w.backoffs["p"].until.Sub(now); got != want {
			t.Errorf("backoff %v, want %v", got, want)
		}
		now = w.backoffs["p"].until
	}
	w.Begin(now, "store", true).RecordResult(now, Path{Relay: "p"}, Answered)
	if w.backoffs["p"].active(now) {
		t.Error("backoff active after an answer")
	}
}

func TestReachesAfterRelayedQueries(t *testing.T) {
	w := New()
	if !w.Reaches(testStart, "store") {
		t.Error("unknown path not assumed to work")
	}
	w.RecordRelayed(testStart, "store", NoAnswer)
	if w.Reaches(testStart.Add(100*ms), "store") {
		t.Error("direct path used after a failure")
	}
	if !w.Reaches(testStart.Add(probeInterval+ms), "store") {
		t.Error("direct path not tried again")
	}
	w.RecordRelayed(testStart.Add(probeInterval+ms), "store", Answered)
	if !w.Reaches(testStart.Add(probeInterval+2*ms), "store") {
		t.Error("direct path not used after an answer")
	}
}

func TestPeersAlternateBetweenZones(t *testing.T) {
	at := func(region, zone string) api.Location {
		return api.Location{Region: api.RegionName(region), Zone: api.ZoneName(zone)}
	}
	node := func(id string, location api.Location) api.Node {
		return api.Node{ID: api.NodeID(id), Role: api.RoleFrontend, Location: location}
	}
	self := node("self", at("r", "a"))
	suspected, leaving, store := node("s", at("r", "a")), node("l", at("r", "a")), node("store", at("r", "a"))
	suspected.Suspected, leaving.Leaving, store.Role = true, true, api.RoleStore
	view := []api.Node{node("far", at("s", "a")), node("next", at("r", "b")), suspected, self, leaving, store, node("near", at("r", "a"))}
	if got := RelayCandidates(self, view); !slices.Equal(got, []api.NodeID{"near", "next", "far"}) {
		t.Errorf("%v", got)
	}
	zones := map[api.NodeID]string{}
	var two []api.Node
	for i := range 4 {
		near, next := node(fmt.Sprint("near-", i), at("r", "a")), node(fmt.Sprint("next-", i), at("r", "b"))
		two = append(two, next, near)
		zones[near.ID], zones[next.ID] = "near", "next"
	}
	for i, id := range RelayCandidates(self, two) {
		if want := []string{"near", "next"}[i%2]; zones[id] != want {
			t.Errorf("%s at %d", id, i)
		}
	}
	// Processes in the same zone start with different peers.
	var zone []api.Node
	for i := range 12 {
		zone = append(zone, node(fmt.Sprint(i), at("r", "a")))
	}
	first := map[api.NodeID]int{}
	for _, each := range zone {
		first[RelayCandidates(each, zone)[0]]++
	}
	if len(first) < 6 {
		t.Errorf("12 processes start with %d different peers", len(first))
	}
}

// No path is tried twice, every query ends, and a working direct path is used.
func TestQueriesEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w, now := New(), testStart
		peers := []api.NodeID{"p", "q", "r", "s", "t"}
		for range rapid.IntRange(1, 30).Draw(t, "questions") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * ms)
			q := w.Begin(now, "store", rapid.Bool().Draw(t, "repeatable"))
			seen := map[Path]bool{}
			for {
				way, ok := q.Next(now, func() []api.NodeID { return peers })
				if !ok {
					break
				}
				if seen[way] || len(seen) > maxRelays {
					t.Fatalf("%v after %v", way, seen)
				}
				seen[way] = true
				result := rapid.SampledFrom([]Result{Answered, NoAnswer, Unreachable}).Draw(t, "result")
				if way.Direct() && result == Unreachable {
					result = NoAnswer
				}
				q.RecordResult(now, way, result)
			}
			if len(seen) == 0 {
				t.Fatal("no path tried")
			}
			w.RecordRelayed(now, "other", Answered)
		}
		now = now.Add(2 * probeInterval)
		q := w.Begin(now, "store", true)
		if way, _ := q.Next(now, func() []api.NodeID { return peers }); way.Direct() {
			q.RecordResult(now, way, Answered)
		} else {
			t.Fatalf("path %v, want a probe of the direct path after 2 s", way)
		}
		if via := w.Relay("store"); via != "" {
			t.Fatalf("still relayed by %s", via)
		}
	})
}

func TestApart(t *testing.T) {
	type end struct {
		at     time.Duration
		target api.NodeID
		result Result
	}
	tests := []struct {
		name string
		ends []end
		at   time.Duration
		want bool
	}{
		{"no results", nil, 0, false},
		{"one target fails", []end{{0, "a", NoAnswer}, {0, "a", NoAnswer}}, 0, false},
		{"two targets fail", []end{{0, "a", NoAnswer}, {0, "b", NoAnswer}}, 0, true},
		{"a third target answers", []end{{0, "a", NoAnswer}, {0, "b", NoAnswer}, {0, "c", Answered}}, 0, false},
		{"expired success", []end{{0, "c", Answered}, {2500 * ms, "a", NoAnswer}, {2500 * ms, "b", NoAnswer}}, 2500 * ms, true},
		{"one target recovers", []end{{0, "a", NoAnswer}, {0, "b", NoAnswer}, {500 * ms, "a", Answered}}, 500 * ms, false},
		{"expired failures", []end{{0, "a", NoAnswer}, {0, "b", NoAnswer}}, 2500 * ms, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := New()
			for _, e := range test.ends {
				now := testStart.Add(e.at)
				w.Begin(now, e.target, true).RecordResult(now, Path{}, e.result)
			}
			if got := w.Isolated(testStart.Add(test.at)); got != test.want {
				t.Errorf("%t", got)
			}
		})
	}
}

func TestIdleStateIsEvicted(t *testing.T) {
	w := New()
	for i := range 500 {
		q := w.Begin(testStart, api.NodeID(fmt.Sprint("store-", i)), true)
		q.RecordResult(testStart, Path{}, NoAnswer)
		q.RecordResult(testStart, Path{Relay: api.NodeID(fmt.Sprint("peer-", i))}, NoAnswer)
	}
	w.Begin(testStart.Add(idleTTL+2*time.Second), "store", true)
	if len(w.targets) != 1 || len(w.backoffs) != 0 {
		t.Errorf("%d targets and %d peers kept", len(w.targets), len(w.backoffs))
	}
}
