package detour

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dykewing/dykewing/api"
)

var start = time.Unix(1_700_000_000, 0)

const ms = time.Millisecond

// step is one thing that happens to a question or to Ways.
type step struct {
	at     time.Duration
	do     string // ask: a new question; once: one that may not be repeated; next; straight, p, q, r: the end of that way
	result Result
	want   string // of ask, once and next: the way, "none"
	due    time.Duration
}

func TestWhomToAskNext(t *testing.T) {
	// A straight way that failed, and the peer p that answered.
	cut := []step{
		{at: 0, do: "ask", want: "straight"},
		{at: 20 * ms, do: "next", want: "p"},
		{at: 24 * ms, do: "p", result: Answered},
		{at: 60 * ms, do: "straight", result: Silent},
	}
	after := func(steps ...step) []step { return append(slices.Clone(cut), steps...) }
	tests := []struct {
		name  string
		fault Fault
		steps []step
	}{
		{"the straight way alone at first, then peers", "", []step{
			{at: 0, do: "ask", want: "straight", due: 20 * ms},
			{at: 20 * ms, do: "next", want: "p", due: 35 * ms},
			{at: 35 * ms, do: "next", want: "q", due: 50 * ms},
			{at: 50 * ms, do: "next", want: "r"},
			{at: 60 * ms, do: "next", want: "none"},
		}},
		{"the peer that answered, without the straight way", "", after(
			step{at: 100 * ms, do: "ask", want: "p", due: 115 * ms},
			step{at: 115 * ms, do: "next", want: "q"},
		)},
		{"the straight way is tried beside it after a while", "", after(
			step{at: 1100 * ms, do: "ask", want: "straight", due: 1100 * ms},
			step{at: 1100 * ms, do: "next", want: "p", due: 1115 * ms},
			step{at: 1110 * ms, do: "ask", want: "p"},
		)},
		{"a question that may not be repeated is no trial", "", after(step{at: 1100 * ms, do: "once", want: "p"})},
		{"straight again after a trial that was answered", "", after(
			step{at: 1100 * ms, do: "ask", want: "straight"},
			step{at: 1102 * ms, do: "straight", result: Answered},
			step{at: 1110 * ms, do: "ask", want: "straight", due: 1130 * ms},
		)},
		{"a peer that is cut off as well is left alone", "", []step{
			{at: 0, do: "ask", want: "straight"},
			{at: 20 * ms, do: "next", want: "p"},
			{at: 22 * ms, do: "p", result: Unreached},
			{at: 22 * ms, do: "next", want: "q"},
			{at: 25 * ms, do: "q", result: Answered},
			{at: 60 * ms, do: "straight", result: Silent},
			{at: 100 * ms, do: "ask", want: "q"},
		}},
		{"the peer that answered is kept when a nearer one's pause is over", "", []step{
			{at: 0, do: "ask", want: "straight"},
			{at: 20 * ms, do: "next", want: "p"},
			{at: 35 * ms, do: "p", result: Silent},
			{at: 35 * ms, do: "next", want: "q"},
			{at: 38 * ms, do: "q", result: Answered},
			{at: 60 * ms, do: "straight", result: Silent},
			{at: 600 * ms, do: "ask", want: "q"},
		}},
		{"a peer that restarts is followed by another and comes back when that one fails", "", after(
			step{at: 100 * ms, do: "ask", want: "p"},
			step{at: 100 * ms, do: "p", result: Silent},
			step{at: 100 * ms, do: "next", want: "q"},
			step{at: 104 * ms, do: "q", result: Answered},
			step{at: 110 * ms, do: "ask", want: "q"},
			step{at: 700 * ms, do: "q", result: Silent},
			step{at: 700 * ms, do: "next", want: "p"},
		)},
		{"three peers that don't reach it either end the question", "", []step{
			{at: 0, do: "ask", want: "straight"},
			{at: 1 * ms, do: "straight", result: Silent},
			{at: 1 * ms, do: "next", want: "p"},
			{at: 2 * ms, do: "p", result: Unreached},
			{at: 2 * ms, do: "next", want: "q"},
			{at: 3 * ms, do: "q", result: Unreached},
			{at: 3 * ms, do: "next", want: "r"},
			{at: 4 * ms, do: "r", result: Unreached},
			{at: 4 * ms, do: "next", want: "none"},
		}},
		{"no peer left: straight", "", []step{
			{at: 0, do: "ask", want: "straight"},
			{at: 0, do: "next", want: "p"},
			{at: 0, do: "next", want: "q"},
			{at: 0, do: "next", want: "r"},
			{at: 60 * ms, do: "straight", result: Silent},
			{at: 60 * ms, do: "p", result: Silent},
			{at: 60 * ms, do: "q", result: Silent},
			{at: 60 * ms, do: "r", result: Silent},
			{at: 100 * ms, do: "ask", want: "s"},
			{at: 160 * ms, do: "s", result: Silent},
			{at: 200 * ms, do: "ask", want: "straight"},
		}},
		{"planted: peers that fail are asked again at once", FaultNoPause, []step{
			{at: 0, do: "ask", want: "straight"},
			{at: 20 * ms, do: "next", want: "p"},
			{at: 22 * ms, do: "p", result: Unreached},
			{at: 60 * ms, do: "straight", result: Silent},
			{at: 100 * ms, do: "ask", want: "p"},
		}},
		{"peers that failed are not asked again at once", "", []step{
			{at: 0, do: "ask", want: "straight"},
			{at: 20 * ms, do: "next", want: "p"},
			{at: 22 * ms, do: "p", result: Unreached},
			{at: 60 * ms, do: "straight", result: Silent},
			{at: 100 * ms, do: "ask", want: "q"},
		}},
		{"planted: the straight way is not tried again", FaultNoTrial, after(step{at: 5000 * ms, do: "ask", want: "p"})},
		{"planted: the peer that answered is forgotten", FaultNoMemory, []step{
			{at: 0, do: "ask", want: "straight"},
			{at: 20 * ms, do: "next", want: "p"},
			{at: 35 * ms, do: "p", result: Silent},
			{at: 35 * ms, do: "next", want: "q"},
			{at: 38 * ms, do: "q", result: Answered},
			{at: 60 * ms, do: "straight", result: Silent},
			{at: 600 * ms, do: "ask", want: "p"},
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := New()
			w.fault = test.fault
			var q *Question
			for i, s := range test.steps {
				now := start.Add(s.at)
				switch s.do {
				case "ask", "once", "next":
					if s.do != "next" {
						q = w.Begin(now, "store", s.do == "ask")
					}
					if got := name(q.Next(now, func() []api.NodeID { return []api.NodeID{"p", "q", "r", "s"} })); got != s.want {
						t.Fatalf("step %d: %s, not %s", i, got, s.want)
					}
					if s.due > 0 && !q.Due().Equal(start.Add(s.due)) {
						t.Errorf("step %d: the next is due at %v, not %v", i, q.Due().Sub(start), s.due)
					}
				case "straight":
					q.Ended(now, Way{}, s.result)
				default:
					q.Ended(now, Way{Via: api.NodeID(s.do)}, s.result)
				}
			}
		})
	}
}

func name(way Way, ok bool) string {
	switch {
	case !ok:
		return "none"
	case way.Straight():
		return "straight"
	}
	return string(way.Via)
}

// A peer's pause grows with each failure that follows and ends with an answer.
func TestThePauseOfAPeerGrows(t *testing.T) {
	w := New()
	now := start
	for _, want := range []time.Duration{250 * ms, 500 * ms, 1000 * ms, 2000 * ms, 4000 * ms, 8000 * ms, 8000 * ms} {
		q := w.Begin(now, "store", true)
		q.Ended(now, Way{Via: "p"}, Silent)
		q.Ended(now, Way{Via: "p"}, Silent)
		if got := w.peers["p"].until.Sub(now); got != want {
			t.Errorf("%v, not %v", got, want)
		}
		now = w.peers["p"].until
	}
	w.Begin(now, "store", true).Ended(now, Way{Via: "p"}, Answered)
	if w.peers["p"].holds(now) {
		t.Error("left alone after an answer")
	}
}

func TestOnlyWhoReachesAProcessPassesQuestionsOn(t *testing.T) {
	w := New()
	if !w.Reaches(start, "store") {
		t.Error("nothing is known: not tried")
	}
	w.Passed(start, "store", Silent)
	if w.Reaches(start.Add(100*ms), "store") {
		t.Error("passed on after a failure")
	}
	if !w.Reaches(start.Add(trialInterval+ms), "store") {
		t.Error("never tried again")
	}
	w.Passed(start.Add(trialInterval+ms), "store", Answered)
	if !w.Reaches(start.Add(trialInterval+2*ms), "store") {
		t.Error("not passed on after an answer")
	}
}

func TestPeersOfTheOwnZoneAndOfOthersByTurns(t *testing.T) {
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
	if got := Peers(self, view); !slices.Equal(got, []api.NodeID{"near", "next", "far"}) {
		t.Errorf("%v", got)
	}
	zones := map[api.NodeID]string{}
	var two []api.Node
	for i := range 4 {
		near, next := node(fmt.Sprint("near-", i), at("r", "a")), node(fmt.Sprint("next-", i), at("r", "b"))
		two = append(two, next, near)
		zones[near.ID], zones[next.ID] = "near", "next"
	}
	for i, id := range Peers(self, two) {
		if want := []string{"near", "next"}[i%2]; zones[id] != want {
			t.Errorf("%s at %d", id, i)
		}
	}
	// Those that are cut off together ask different peers first.
	var zone []api.Node
	for i := range 12 {
		zone = append(zone, node(fmt.Sprint(i), at("r", "a")))
	}
	first := map[api.NodeID]int{}
	for _, each := range zone {
		first[Peers(each, zone)[0]]++
	}
	if len(first) < 6 {
		t.Errorf("12 processes ask %d different peers first", len(first))
	}
}

// Whatever ends how: no way is taken twice, a question ends, and a process that is
// reached straight is asked straight.
func TestQuestionsEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w, now := New(), start
		peers := []api.NodeID{"p", "q", "r", "s", "t"}
		for range rapid.IntRange(1, 30).Draw(t, "questions") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * ms)
			q := w.Begin(now, "store", rapid.Bool().Draw(t, "repeatable"))
			seen := map[Way]bool{}
			for {
				way, ok := q.Next(now, func() []api.NodeID { return peers })
				if !ok {
					break
				}
				if seen[way] || len(seen) > mostPeers {
					t.Fatalf("%v after %v", way, seen)
				}
				seen[way] = true
				result := rapid.SampledFrom([]Result{Answered, Silent, Unreached}).Draw(t, "result")
				if way.Straight() && result == Unreached {
					result = Silent
				}
				q.Ended(now, way, result)
			}
			if len(seen) == 0 {
				t.Fatal("nobody is asked")
			}
			w.Passed(now, "other", Answered)
		}
		now = now.Add(2 * trialInterval)
		q := w.Begin(now, "store", true)
		if way, _ := q.Next(now, func() []api.NodeID { return peers }); way.Straight() {
			q.Ended(now, way, Answered)
		} else {
			t.Fatalf("%v: the straight way is not tried after 2 s", way)
		}
		if via := w.Via("store"); via != "" {
			t.Fatalf("still through %s", via)
		}
	})
}

func TestAProcessThatReachesNobodyIsApart(t *testing.T) {
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
		{"nothing is known", nil, 0, false},
		{"one that does not answer", []end{{0, "a", Silent}, {0, "a", Silent}}, 0, false},
		{"two that don't", []end{{0, "a", Silent}, {0, "b", Silent}}, 0, true},
		{"a third one answers", []end{{0, "a", Silent}, {0, "b", Silent}, {0, "c", Answered}}, 0, false},
		{"it answered long ago", []end{{0, "c", Answered}, {2500 * ms, "a", Silent}, {2500 * ms, "b", Silent}}, 2500 * ms, true},
		{"one answers again", []end{{0, "a", Silent}, {0, "b", Silent}, {500 * ms, "a", Answered}}, 500 * ms, false},
		{"long ago", []end{{0, "a", Silent}, {0, "b", Silent}}, 2500 * ms, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := New()
			for _, e := range test.ends {
				now := start.Add(e.at)
				w.Begin(now, e.target, true).Ended(now, Way{}, e.result)
			}
			if got := w.Apart(start.Add(test.at)); got != test.want {
				t.Errorf("%t", got)
			}
		})
	}
}

func TestWhatIsNotUsedIsForgotten(t *testing.T) {
	w := New()
	for i := range 500 {
		q := w.Begin(start, api.NodeID(fmt.Sprint("store-", i)), true)
		q.Ended(start, Way{}, Silent)
		q.Ended(start, Way{Via: api.NodeID(fmt.Sprint("peer-", i))}, Silent)
	}
	w.Begin(start.Add(memory+2*time.Second), "store", true)
	if len(w.targets) != 1 || len(w.peers) != 0 {
		t.Errorf("%d processes and %d peers kept", len(w.targets), len(w.peers))
	}
}
