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
func quarantined(d *Detector, ends ...testCrash) (list []Digest) {
	now := start
	for _, end := range ends {
		d.RecordCrash(now, Crash{Worker: end.worker, Unanswered: end.requests, Answered: end.answered})
		now = now.Add(defaultReportWindow)
		entries, _ := d.Evaluate(now)
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
		d.RecordCrash(now, Crash{Worker: worker, Unanswered: []Digest{"shared"}})
		if entries, next := d.Evaluate(now); len(entries) > 0 || !next.Equal(now.Add(defaultReportWindow)) {
			t.Fatalf("%v, next at %v", entries, next)
		}
		d.RecordCrash(now.Add(defaultReportWindow/2), Crash{Worker: worker, Unanswered: []Digest{"ends it"}})
		d.RecordSurvival("shared")
	}
	entries, _ := d.Evaluate(start.Add(time.Minute))
	if len(entries) != 1 || entries[0].Digest != "ends it" {
		t.Errorf("quarantined %+v, want the request that crashes workers", entries)
	}
}

func TestSuspectsAreListed(t *testing.T) {
	d := New(Settings{})
	d.RecordCrash(start, Crash{Worker: "a", Unanswered: []Digest{"x", "y"}})
	if list := d.NearThreshold(); len(list) > 0 {
		t.Errorf("after one crash: %+v", list)
	}
	d.RecordCrash(start.Add(time.Second), Crash{Worker: "b", Age: 300 * time.Millisecond, Unanswered: []Digest{"x"}})
	want := Suspect{Digest: "x", LastCrash: start.Add(700 * time.Millisecond)}
	if list := d.NearThreshold(); len(list) != 1 || list[0] != want {
		t.Errorf("got %+v, want %+v", list, want)
	}
}

func TestSurvivalClearsEarlierCrashes(t *testing.T) {
	d := New(Settings{})
	d.RecordCrash(start, Crash{Worker: "a", Unanswered: []Digest{"x"}})
	d.RecordCrash(start, Crash{Worker: "b", Unanswered: []Digest{"x"}})
	d.RecordSurvival("x")
	d.RecordCrash(start, Crash{Worker: "c", Unanswered: []Digest{"x"}})
	if entries, _ := d.Evaluate(start.Add(time.Minute)); len(entries) > 0 {
		t.Errorf("quarantined %+v after a surviving run", entries)
	}
}

func TestReleasedRequestNeedsNewCrashes(t *testing.T) {
	d := New(Settings{})
	if got := quarantined(d, testCrash{worker: "a", requests: []Digest{"x"}}, testCrash{worker: "b", requests: []Digest{"x"}}, testCrash{worker: "c", requests: []Digest{"x"}}); len(got) != 1 {
		t.Fatalf("quarantined %v after three crashes", got)
	}
	if !d.RecordSurvival("x") || d.IsQuarantined("x") {
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
	d.Merge(now, "x", 0)
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
		d.RecordCrash(now, Crash{Worker: fmt.Sprint("w", i), Unanswered: []Digest{"x"}})
	}
	elsewhere := New(Settings{})
	elsewhere.Merge(start, "x", 0)
	elsewhere.Merge(start.Add(time.Second), "x", 1) // another store granted the first trial
	if granted, wait := elsewhere.Trial(start.Add(3*time.Second), "x"); granted || wait != delays[1]-2*time.Second {
		t.Errorf("granted %t, wait %v after a trial that another store granted", granted, wait)
	}
	without := New(Settings{Fault: FaultNoTrial})
	without.Merge(start, "x", 0)
	if granted, _ := without.Trial(start.Add(24*time.Hour), "x"); granted {
		t.Error("the injected fault was not detected")
	}
}

// Guards against a data race: returned entries must not share their list of workers with
// the detector, which inserts later crashes in place.
func TestReturnedFindingsAreCopies(t *testing.T) {
	tests := []struct {
		name string
		get  func(d *Detector) Entry
	}{
		{"from an evaluation", func(d *Detector) Entry {
			entries, _ := d.Evaluate(start.Add(time.Minute))
			return entries[0]
		}},
		{"from the list", func(d *Detector) Entry {
			d.Evaluate(start.Add(time.Minute))
			return d.Entries()[0]
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := New(Settings{})
			for _, worker := range []string{"b", "c", "d"} {
				d.RecordCrash(start, Crash{Worker: worker, Unanswered: []Digest{"x"}})
			}
			entry := test.get(d)
			d.RecordCrash(start.Add(time.Minute), Crash{Worker: "a", Unanswered: []Digest{"x"}})
			if want := []string{"b", "c", "d"}; !slices.Equal(entry.Workers, want) {
				t.Errorf("the returned workers changed to %v, were %v", entry.Workers, want)
			}
			if now, want := d.Entries()[0].Workers, []string{"a", "b", "c", "d"}; !slices.Equal(now, want) {
				t.Errorf("the detector has workers %v, want %v", now, want)
			}
		})
	}
}

func TestLimitsAreEnforced(t *testing.T) {
	settings := Settings{MaxCrashes: 8, MaxRequests: 4, MaxEntries: 3}
	check := func(t *rapid.T, d *Detector) {
		for step := range 60 {
			now := start.Add(time.Duration(step) * time.Second)
			worker := fmt.Sprint("w", rapid.IntRange(0, 30).Draw(t, "worker"))
			var requests []Digest
			for range rapid.IntRange(0, 6).Draw(t, "requests") {
				requests = append(requests, Digest(fmt.Sprint("d", rapid.IntRange(0, 9).Draw(t, "request"))))
			}
			d.RecordCrash(now, Crash{Worker: worker, Age: time.Duration(rapid.IntRange(0, 700).Draw(t, "age")) * time.Second, Unanswered: requests, Answered: requests[:len(requests)/3]})
			d.Evaluate(now.Add(settings.withDefaults().ReportWindow))
			if rapid.Bool().Draw(t, "survives") {
				d.RecordSurvival("d1")
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
		d.RecordCrash(start, Crash{Worker: fmt.Sprint("w", i), Unanswered: []Digest{"a", "b", "c", "d", "e"}})
	}
	if d.violation() == "" {
		t.Error("the check did not detect a detector without limits")
	}
}

// violation describes a limit that is exceeded or an inconsistency of the indexes; empty if
// there is none.
func (d *Detector) violation() string {
	if len(d.crashes) > d.settings.MaxCrashes || len(d.entries) > d.settings.MaxEntries {
		return fmt.Sprintf("%d crashes, %d quarantined requests", len(d.crashes), len(d.entries))
	}
	entries := 0
	for worker, known := range d.crashes {
		entries += len(known.requests)
		if len(known.requests) > d.settings.MaxRequests {
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
