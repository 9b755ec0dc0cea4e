package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// quarantinedDetector returns a detector that has quarantined a request, and when it did.
func quarantinedDetector(t *testing.T, request Digest) (*Detector, time.Time) {
	t.Helper()
	d, now := New(Settings{}), time.Unix(1_700_000_000, 0)
	for n := range 3 {
		now = now.Add(time.Second)
		d.RecordCrash(now, Crash{Worker: fmt.Sprint("w", n), Unanswered: []Digest{request}})
	}
	now = now.Add(time.Second)
	if d.Evaluate(now); !d.IsQuarantined(request) {
		t.Fatal("not quarantined")
	}
	return d, now
}

// grantedAt returns when the next deferred runs are granted, and how many, if they are asked for each
// 100 ms.
func (d *Detector) grantedAt(from time.Time, request Digest) (at time.Time, runs int) {
	for at = from; at.Sub(from) < time.Hour; at = at.Add(100 * time.Millisecond) {
		if runs, _ = d.DeferredTrial(at, request); runs > 0 {
			break
		}
	}
	return at, runs
}

// Guards against a deferred request that is never run again after crashes, and against one that crashes
// worker after worker without a bound.
func TestDeferredRequestIsOwedWithinBound(t *testing.T) {
	d, now := quarantinedDetector(t, "x")
	for n, want := range []time.Duration{2 * time.Second, 5 * time.Second, 5 * time.Second, 5 * time.Second, 5 * time.Second} {
		at, runs := d.grantedAt(now, "x")
		if at.Sub(now) != want || runs != 1 {
			t.Fatalf("trial %d: %d runs after %v, want one after %v", n, runs, at.Sub(now), want)
		}
		now = at.Add(200 * time.Millisecond)
		d.RecordCrash(now, Crash{Worker: fmt.Sprint("trial-", n), Unanswered: []Digest{"x"}})
		d.Evaluate(now.Add(2 * time.Second))
	}
	if granted, _ := d.Trial(now.Add(time.Minute), "x"); granted {
		t.Error("online requests got a trial run too, want none for an hour")
	}
}

// Guards against deferred requests that share a sound part and wait for each other's runs to end, and
// against a grant without bound.
func TestDeferredRunsGrowWhileNoWorkerCrashes(t *testing.T) {
	d, now := quarantinedDetector(t, "part")
	now = now.Add(2 * time.Second)
	granted := 0
	for n, want := range []int{1, 1, 2, 4, 8, 8, 8} {
		runs, _ := d.DeferredTrial(now, "part")
		if runs != want {
			t.Errorf("%d runs in second %d, want %d", runs, n, want)
		}
		if again, wait := d.DeferredTrial(now, "part"); again != 0 || wait <= 0 {
			t.Errorf("%d more runs at once, wait %v", again, wait)
		}
		granted += runs
		now = now.Add(time.Second)
	}
	d.RecordCrash(now, Crash{Worker: "late", Answered: []Digest{"part"}})
	d.Evaluate(now.Add(2 * time.Second))
	if at, runs := d.grantedAt(now, "part"); at.Sub(now) < 2*time.Second || runs != 1 {
		t.Errorf("%d runs %v after a crash under one of %d, want one after 2s or more", runs, at.Sub(now), granted)
	}
	if d.RecordSurvival("part"); d.IsQuarantined("part") {
		t.Error("still quarantined after a run has survived")
	}
	if runs, wait := d.DeferredTrial(now, "part"); runs != MaxDeferredRuns || wait != 0 {
		t.Errorf("%d runs, wait %v after the release", runs, wait)
	}
}

// Guards against a burst of crashes that counts against a deferred request whose trial run was in it.
func TestDeferredTrialInBurstDoesNotCount(t *testing.T) {
	d, now := quarantinedDetector(t, "x")
	at, _ := d.grantedAt(now, "x")
	crash := at.Add(100 * time.Millisecond)
	for n := range 6 {
		report := Crash{Worker: fmt.Sprint("burst-", n), Unanswered: []Digest{"other"}}
		if n == 0 {
			report.Unanswered = []Digest{"x"}
		}
		d.RecordCrash(crash, report)
	}
	d.Evaluate(crash.Add(2 * time.Second))
	if again, _ := d.grantedAt(crash, "x"); again.Sub(crash) != 2*time.Second {
		t.Errorf("next run %v after the burst, want 2s", again.Sub(crash))
	}
}

// Guards against a record of another process that holds a deferred request for longer than its own.
func TestMergedRecordHoldsDeferredRequestForSeconds(t *testing.T) {
	d, now := New(Settings{}), time.Unix(1_700_000_000, 0)
	for _, test := range []struct {
		trials int
		want   time.Duration
	}{{0, 2 * time.Second}, {1, 5 * time.Second}, {7, 5 * time.Second}} {
		request := Digest(fmt.Sprint("x", test.trials))
		d.Merge(now, request, test.trials)
		if at, runs := d.grantedAt(now, request); at.Sub(now) != test.want || runs != 1 {
			t.Errorf("%d failed trials elsewhere: %d runs after %v, want one after %v", test.trials, runs, at.Sub(now), test.want)
		}
	}
}

// Guards against deferred and online requests that are quarantined under one digest.
func TestDeferredDigestDiffers(t *testing.T) {
	identity := Identity{Tenant: "t", Host: "h", Target: "/x", Body: []byte("b")}.Digest()
	part := PartIdentity{Tenant: "t", Service: "s", Part: "p"}.Digest()
	seen := map[Digest]bool{}
	for _, digest := range []Digest{identity, part, identity.Deferred(), part.Deferred(), identity.Deferred().Deferred()} {
		if !digest.Valid() || seen[digest] {
			t.Errorf("digest %q: valid %t, seen %t", digest, digest.Valid(), seen[digest])
		}
		seen[digest] = true
	}
}
