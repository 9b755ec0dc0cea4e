package reservation

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/hold"
	"github.com/dykewing/dykewing/worker"
)

var start = time.Unix(1_700_000_000, 0)

func TestAPlaceCountsUntilAReportShowsIt(t *testing.T) {
	b := New()
	b.Report(start, Report{Node: "f", Sequence: 1, Held: map[string]int{"w": 2}})
	grant := b.Give(start, "f", "w")
	if n := b.Online("w"); n != 3 {
		t.Fatalf("%d with a place", n)
	}
	b.Report(start, Report{Node: "f", Sequence: 2, Seen: grant - 1, Held: map[string]int{"w": 1}})
	if n := b.Online("w"); n != 2 {
		t.Errorf("%d after a report that was sent before the place was known", n)
	}
	b.Report(start, Report{Node: "f", Sequence: 4, Seen: grant, Held: map[string]int{"w": 2}})
	b.Report(start, Report{Node: "f", Sequence: 3, Seen: grant, Held: map[string]int{"w": 9}})
	if n := b.Online("w"); n != 2 {
		t.Errorf("%d after a report that shows it, and an older one", n)
	}
}

func TestWhatIsLostIsForgotten(t *testing.T) {
	b := New()
	b.Report(start, Report{Node: "f", Sequence: 1, Held: map[string]int{"w": 2}})
	b.Give(start.Add(reportLife), "f", "w")
	b.Expire(start.Add(reportLife))
	if n := b.Online("w"); n != 3 {
		t.Errorf("%d before its time", n)
	}
	b.Expire(start.Add(reportLife + time.Millisecond))
	if n := b.Online("w"); n != 1 {
		t.Errorf("%d after the report's life", n)
	}
	b.Expire(start.Add(reportLife + grantLife + time.Millisecond))
	if n := b.Online("w"); n != 0 {
		t.Errorf("%d after the place's life", n)
	}
}

// A restarted frontend's reports go on, since their numbers begin with the time.
func TestARestartedFrontendsReportCounts(t *testing.T) {
	b := New()
	b.Report(start, Report{Node: "f", Sequence: 100, Held: map[string]int{"w": 5}})
	b.Report(start, Report{Node: "f", Sequence: 200})
	if n := b.Online("w"); n != 0 {
		t.Errorf("%d", n)
	}
}

// What the book counts is never less than what frontends hold, whatever is lost and
// however messages overtake each other, while nothing is older than its life.
func TestTheBookNeverCountsLess(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New()
		held := map[api.NodeID]map[string]int{"f": {}, "g": {}}
		seen, sequence := map[api.NodeID]uint64{}, uint64(0)
		onTheirWay := []Report{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			node := rapid.SampledFrom([]api.NodeID{"f", "g"}).Draw(t, "node")
			worker := rapid.SampledFrom([]string{"v", "w"}).Draw(t, "worker")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0: // a place is given and taken
				seen[node] = b.Give(start, node, worker)
				held[node][worker]++
			case 1: // a request ends
				if held[node][worker] > 0 {
					held[node][worker]--
				}
			case 2: // a report is sent
				sequence++
				report := Report{Node: node, Sequence: sequence, Seen: seen[node], Held: map[string]int{}}
				for id, n := range held[node] {
					report.Held[id] = n
				}
				onTheirWay = append(onTheirWay, report)
			case 3: // one arrives, or is lost
				if len(onTheirWay) > 0 {
					i := rapid.IntRange(0, len(onTheirWay)-1).Draw(t, "which")
					if rapid.Bool().Draw(t, "arrives") {
						b.Report(start, onTheirWay[i])
					}
					onTheirWay = append(onTheirWay[:i], onTheirWay[i+1:]...)
				}
			}
			for _, id := range []string{"v", "w"} {
				if n := held["f"][id] + held["g"][id]; b.Online(id) < n {
					t.Fatalf("%s: %d counted, %d held", id, b.Online(id), n)
				}
			}
		}
	})
}

func TestAQueueEstimatesByThoseAhead(t *testing.T) {
	const ms = time.Millisecond
	var q Queue
	for i := range 100 {
		q.Placed(start.Add(time.Duration(i) * 10 * ms))
	}
	now := start.Add(time.Second)
	wait := func(rank int, begin time.Duration) *Waiting {
		return Wait(now, "f", Ask{Rank: hold.Rank{Route: rank}, Begin: begin, Last: 3 * time.Second})
	}
	for range 50 {
		q.Add(wait(1, 200*ms))
	}
	tests := []struct {
		name        string
		waits       *Waiting
		least, most time.Duration
	}{
		{"before all others", wait(0, 200*ms), 5 * ms, 40 * ms},
		{"behind all others", wait(2, 200*ms), 400 * ms, 1200 * ms},
		{"late, behind those in time", wait(1, -ms), 400 * ms, 1200 * ms},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := q.Until(now, test.waits); got < test.least || got > test.most {
				t.Errorf("%v", got)
			}
		})
	}
	urgent := wait(0, 300*ms)
	q.Add(urgent)
	if first := q.Sorted(now)[0]; first != urgent {
		t.Errorf("not the most urgent one first")
	}
	if !q.Remove(urgent) || q.Remove(urgent) || q.Len() != 50 {
		t.Errorf("%d wait", q.Len())
	}
}

// A report of a process that hears nothing of workers, or is older, reads as before; what
// is heard comes through whole.
func TestWordsOfWorkersOnTheWire(t *testing.T) {
	tests := []struct {
		name   string
		report Report
		text   string // nothing is checked where empty
	}{
		{"nothing heard", Report{Node: "f", Sequence: 1}, `{"node":"f","sequence":1}`},
		{"of a worker without a start", Report{Node: "f", Sequence: 1, Heard: []Word{{Worker: "w", Pace: 0.7}}}, `{"node":"f","sequence":1,"heard":[{"worker":"w","pace":0.7}]}`},
		{"all", Report{Node: "f", Sequence: 1, Heard: []Word{{
			Worker: "w", Born: start.UTC(), Pace: 1.7, PaceAge: time.Millisecond, Streams: 2, Step: time.Second, Outcomes: worker.Outcomes{Whole: 1, Broken: 2},
		}}}, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			raw, err := json.Marshal(test.report)
			if err != nil || test.text != "" && string(raw) != test.text {
				t.Fatalf("%s: %v", raw, err)
			}
			var read Report
			if err := json.Unmarshal(raw, &read); err != nil || !reflect.DeepEqual(read, test.report) {
				t.Errorf("%+v: %v", read, err)
			}
		})
	}
}
