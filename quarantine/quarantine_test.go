package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

// crashReport is the crash of one worker as a process reports it.
type testCrash struct {
	worker   string
	requests []Digest
	answered []Digest
}

// quarantined reports the crashes, each evaluated before the next, and returns the requests that
// were quarantined.
func quarantined(d *Book, ends ...testCrash) (list []Digest) {
	now := start
	for _, end := range ends {
		d.Lost(now, Loss{Worker: end.worker, Requests: end.requests, Answered: end.answered})
		now = now.Add(defaultReportWindow)
		entries, _ := d.Settle(now)
		for _, entry := range entries {
			list = append(list, entry.Digest)
		}
	}
	return list
}

func TestQuarantineDecision(t *testing.T) {
	tests := []struct {
		name string
		ends []testCrash
		want []Digest
	}{
		{"two crashes", []testCrash{{worker: "a", requests: []Digest{"x"}}, {worker: "b", requests: []Digest{"x"}}}, nil},
		{"three crashes", []testCrash{{worker: "a", requests: []Digest{"x"}}, {worker: "b", requests: []Digest{"x"}}, {worker: "c", requests: []Digest{"x"}}}, []Digest{"x"}},
		{"one worker reported three times", []testCrash{{worker: "a", requests: []Digest{"x"}}, {worker: "a", requests: []Digest{"x"}}, {worker: "a", requests: []Digest{"x"}}}, nil},
		{"other requests share the workers", []testCrash{{worker: "a", requests: []Digest{"x", "y"}}, {worker: "b", requests: []Digest{"x", "z"}}, {worker: "c", requests: []Digest{"y", "x", "z"}}}, []Digest{"x"}},
		{"two requests with the same evidence", []testCrash{{worker: "a", requests: []Digest{"x", "y"}}, {worker: "b", requests: []Digest{"x", "y"}}, {worker: "c", requests: []Digest{"x", "y"}}}, []Digest{"x", "y"}},
		{"three crashes of runs that had begun to respond", []testCrash{{worker: "a", answered: []Digest{"x"}}, {worker: "b", answered: []Digest{"x"}}, {worker: "c", answered: []Digest{"x"}}}, nil},
		{"four crashes, two of runs that had begun to respond", []testCrash{{worker: "a", answered: []Digest{"x"}}, {worker: "b", requests: []Digest{"x"}}, {worker: "c", requests: []Digest{"x"}}, {worker: "d", answered: []Digest{"x"}}}, []Digest{"x"}},
		{"another request explains the crashes", []testCrash{
			{worker: "a", requests: []Digest{"y"}, answered: []Digest{"x"}}, {worker: "b", requests: []Digest{"y"}, answered: []Digest{"x"}},
			{worker: "c", requests: []Digest{"y"}, answered: []Digest{"x"}}, {worker: "d", requests: []Digest{"y"}, answered: []Digest{"x"}},
			{worker: "e", requests: []Digest{"y"}, answered: []Digest{"x"}}}, []Digest{"y"}},
		{"one of two runs on a worker had begun to respond", []testCrash{{worker: "a", requests: []Digest{"x"}, answered: []Digest{"x"}}, {worker: "b", requests: []Digest{"x"}}, {worker: "c", requests: []Digest{"x"}}}, nil},
		{"two crashing requests in turn", []testCrash{
			{worker: "a", requests: []Digest{"x"}}, {worker: "b", requests: []Digest{"x"}}, {worker: "c", requests: []Digest{"x"}}, {worker: "d", requests: []Digest{"y"}}, {worker: "e", requests: []Digest{"y"}}, {worker: "f", requests: []Digest{"y"}},
		}, []Digest{"x", "y"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := quarantined(New(Settings{}), test.ends...); !slices.Equal(got, test.want) {
				t.Errorf("quarantined %v, want %v", got, test.want)
			}
		})
	}
}

// Several processes report one crash at different times, and the first report may only name
// a request that shared the worker.
func TestEvaluationWaitsForAllReports(t *testing.T) {
	d := New(Settings{})
	for i, worker := range []string{"a", "b", "c"} {
		now := start.Add(time.Duration(i) * time.Second)
		d.Lost(now, Loss{Worker: worker, Requests: []Digest{"shared"}})
		if entries, next := d.Settle(now); len(entries) > 0 || !next.Equal(now.Add(defaultReportWindow)) {
			t.Fatalf("%v, next at %v", entries, next)
		}
		d.Lost(now.Add(defaultReportWindow/2), Loss{Worker: worker, Requests: []Digest{"ends it"}})
		d.Survived("shared")
	}
	entries, _ := d.Settle(start.Add(time.Minute))
	if len(entries) != 1 || entries[0].Digest != "ends it" {
		t.Errorf("quarantined %+v, want the request that crashes workers", entries)
	}
}

func TestSuspectsAreListed(t *testing.T) {
	d := New(Settings{})
	d.Lost(start, Loss{Worker: "a", Requests: []Digest{"x", "y"}})
	if list := d.AlmostFound(); len(list) > 0 {
		t.Errorf("after one crash: %+v", list)
	}
	d.Lost(start.Add(time.Second), Loss{Worker: "b", Age: 300 * time.Millisecond, Requests: []Digest{"x"}})
	want := Suspect{Digest: "x", Last: start.Add(700 * time.Millisecond)}
	if list := d.AlmostFound(); len(list) != 1 || list[0] != want {
		t.Errorf("got %+v, want %+v", list, want)
	}
}

func TestSurvivalClearsEarlierCrashes(t *testing.T) {
	d := New(Settings{})
	d.Lost(start, Loss{Worker: "a", Requests: []Digest{"x"}})
	d.Lost(start, Loss{Worker: "b", Requests: []Digest{"x"}})
	d.Survived("x")
	d.Lost(start, Loss{Worker: "c", Requests: []Digest{"x"}})
	if entries, _ := d.Settle(start.Add(time.Minute)); len(entries) > 0 {
		t.Errorf("quarantined %+v after a surviving run", entries)
	}
}

func TestReleasedRequestNeedsNewCrashes(t *testing.T) {
	d := New(Settings{})
	if got := quarantined(d, testCrash{worker: "a", requests: []Digest{"x"}}, testCrash{worker: "b", requests: []Digest{"x"}}, testCrash{worker: "c", requests: []Digest{"x"}}); len(got) != 1 {
		t.Fatalf("quarantined %v after three crashes", got)
	}
	if !d.Survived("x") || d.Holds("x") {
		t.Error("not released")
	}
	if got := quarantined(d, testCrash{worker: "d", requests: []Digest{"x"}}, testCrash{worker: "e", requests: []Digest{"x"}}); len(got) != 0 {
		t.Errorf("quarantined %v after two new crashes", got)
	}
	if got := quarantined(d, testCrash{worker: "f", requests: []Digest{"x"}}); len(got) != 1 {
		t.Errorf("quarantined %v after three new crashes", got)
	}
}

func TestTrialsFollowBackoffSchedule(t *testing.T) {
	d := New(Settings{})
	now := start
	d.Adopt(now, "x", 0)
	delays := []time.Duration{2 * time.Second, 5 * time.Minute, 30 * time.Minute, time.Hour, time.Hour}
	for i, want := range delays {
		if granted, wait := d.Trial(now.Add(want-time.Millisecond), "x"); granted || wait <= 0 {
			t.Fatalf("trial %d was granted early: wait %v", i, wait)
		}
		now = now.Add(want)
		if granted, _ := d.Trial(now, "x"); !granted {
			t.Fatalf("trial %d was not granted after %v", i, want)
		}
		if granted, _ := d.Trial(now, "x"); granted {
			t.Fatalf("trial %d granted a second run", i)
		}
		d.Lost(now, Loss{Worker: fmt.Sprint("w", i), Requests: []Digest{"x"}})
	}
	elsewhere := New(Settings{})
	elsewhere.Adopt(start, "x", 0)
	elsewhere.Adopt(start.Add(time.Second), "x", 1) // another store granted the first trial
	if granted, wait := elsewhere.Trial(start.Add(3*time.Second), "x"); granted || wait != delays[1]-2*time.Second {
		t.Errorf("granted %t, wait %v after a trial that another store granted", granted, wait)
	}
	without := New(Settings{Fault: FaultNoTrial})
	without.Adopt(start, "x", 0)
	if granted, _ := without.Trial(start.Add(24*time.Hour), "x"); granted {
		t.Error("the injected fault was not detected")
	}
}

// Guards against a data race: returned entries must not share their list of workers with
// the detector, which inserts later crashes in place.
func TestReturnedFindingsAreCopies(t *testing.T) {
	tests := []struct {
		name string
		get  func(d *Book) Finding
	}{
		{"from an evaluation", func(d *Book) Finding {
			entries, _ := d.Settle(start.Add(time.Minute))
			return entries[0]
		}},
		{"from the list", func(d *Book) Finding {
			d.Settle(start.Add(time.Minute))
			return d.Findings()[0]
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := New(Settings{})
			for _, worker := range []string{"b", "c", "d"} {
				d.Lost(start, Loss{Worker: worker, Requests: []Digest{"x"}})
			}
			entry := test.get(d)
			d.Lost(start.Add(time.Minute), Loss{Worker: "a", Requests: []Digest{"x"}})
			if want := []string{"b", "c", "d"}; !slices.Equal(entry.Workers, want) {
				t.Errorf("the returned workers changed to %v, were %v", entry.Workers, want)
			}
			if now, want := d.Findings()[0].Workers, []string{"a", "b", "c", "d"}; !slices.Equal(now, want) {
				t.Errorf("the detector has workers %v, want %v", now, want)
			}
		})
	}
}

func TestLimitsAreEnforced(t *testing.T) {
	settings := Settings{Losses: 8, Requests: 4, Findings: 3}
	check := func(t *rapid.T, d *Book) {
		for step := range 60 {
			now := start.Add(time.Duration(step) * time.Second)
			worker := fmt.Sprint("w", rapid.IntRange(0, 30).Draw(t, "worker"))
			var requests []Digest
			for range rapid.IntRange(0, 6).Draw(t, "requests") {
				requests = append(requests, Digest(fmt.Sprint("d", rapid.IntRange(0, 9).Draw(t, "request"))))
			}
			d.Lost(now, Loss{Worker: worker, Age: time.Duration(rapid.IntRange(0, 700).Draw(t, "age")) * time.Second, Requests: requests, Answered: requests[:len(requests)/3]})
			d.Settle(now.Add(settings.withDefaults().Settle))
			if rapid.Bool().Draw(t, "survives") {
				d.Survived("d1")
			}
			if violation := d.violation(); violation != "" {
				t.Fatal(violation)
			}
		}
	}
	rapid.Check(t, func(t *rapid.T) { check(t, New(settings)) })
	settings.Fault = FaultUnbounded
	d := New(settings)
	for i := range 40 {
		d.Lost(start, Loss{Worker: fmt.Sprint("w", i), Requests: []Digest{"a", "b", "c", "d", "e"}})
	}
	if d.violation() == "" {
		t.Error("the check did not detect a detector without limits")
	}
}

// violation describes a limit that is exceeded or an inconsistency of the indexes; empty if
// there is none.
func (d *Book) violation() string {
	if len(d.crashes) > d.settings.Losses || len(d.entries) > d.settings.Findings {
		return fmt.Sprintf("%d crashes, %d quarantined requests", len(d.crashes), len(d.entries))
	}
	entries := 0
	for worker, known := range d.crashes {
		entries += len(known.requests)
		if len(known.requests) > d.settings.Requests {
			return fmt.Sprintf("%d requests of worker %s", len(known.requests), worker)
		}
	}
	for request, workers := range d.crashesByRequest {
		entries -= len(workers)
		if len(workers) == 0 {
			return fmt.Sprintf("empty entry of request %s", request)
		}
	}
	if entries != 0 {
		return "the indexes by request and by worker differ"
	}
	return ""
}

func TestDigestCoversEveryPart(t *testing.T) {
	same := Identity{Tenant: "t", Host: "h", Target: "/a?b", Body: []byte("body")}
	tests := []struct {
		name  string
		other Identity
	}{
		{"another tenant", Identity{Tenant: "u", Host: "h", Target: "/a?b", Body: []byte("body")}},
		{"no tenant", Identity{Host: "h", Target: "/a?b", Body: []byte("body")}},
		{"another host", Identity{Tenant: "t", Host: "i", Target: "/a?b", Body: []byte("body")}},
		{"another query", Identity{Tenant: "t", Host: "h", Target: "/a?c", Body: []byte("body")}},
		{"another body", Identity{Tenant: "t", Host: "h", Target: "/a?b", Body: []byte("bodies")}},
		{"different boundary between parts", Identity{Tenant: "th", Target: "/a?b", Body: []byte("body")}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if test.other.Digest() == same.Digest() {
				t.Error("the digests are equal")
			}
		})
	}
	again := same
	again.Body = []byte("body")
	if first, second := same.Digest(), again.Digest(); first != second || !first.Valid() {
		t.Errorf("digests %q and %q", first, second)
	}
}
