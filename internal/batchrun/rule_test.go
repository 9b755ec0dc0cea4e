package batchrun

import (
	"fmt"
	"testing"
	"time"

	"github.com/dykewing/dykewing/clock"
	"github.com/dykewing/dykewing/jobs"
)

// adopt puts a configuration into force whose only route is a batch route with a prefix.
func (l *Leader) adopt(t *testing.T, version int, prefix string, maxAttempts int) {
	t.Helper()
	raw := fmt.Sprintf(`{"version": %d, "services": [{"name": "lm"}], "routes": [
		{"name": "batch", "host": "h", "pathPrefix": %q, "routeKind": "batch", "service": "lm", "maxAttempts": %d}]}`, version, prefix, maxAttempts)
	if err := l.service.catalog.Adopt([]byte(raw), "test"); err != nil {
		t.Fatal(err)
	}
}

// Guards against a decision by a configuration that is older than the one that accepted the job.
func TestRuleIsOfNewestConfiguration(t *testing.T) {
	terms := func(version int64) *jobs.Terms {
		return &jobs.Terms{Version: version, HasTenants: true, Routes: []jobs.ItemRoute{{Prefix: "/batch/", Services: []string{"other"}, MaxAttempts: 9}}}
	}
	tests := []struct {
		name      string
		terms     *jobs.Terms
		confirmed bool // the configuration was read after the item came
		want      rule
		service   string
	}{
		{"terms are newer", terms(6), false, rule{version: 6, found: true, hasTenants: true, binding: true}, "other"},
		{"terms are of the same version", terms(5), false, rule{version: 5, found: true, binding: true}, "lm"},
		{"terms are older", terms(4), false, rule{version: 5, found: true, binding: true}, "lm"},
		{"no terms", nil, false, rule{version: 5, found: true}, "lm"},
		{"no terms, configuration confirmed", nil, true, rule{version: 5, found: true, binding: true}, "lm"},
		{"newer terms without a route", &jobs.Terms{Version: 6}, false, rule{version: 6, binding: true}, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := testLeader(t, 1, 0)
			l.adopt(t, 5, "/batch/", 3)
			i := l.waiting[0]
			if !l.loadItem(i) {
				t.Fatal("the item is not stored")
			}
			i.terms = test.terms
			if test.confirmed {
				l.service.confirmation.begin(clock.Now())
				l.service.confirmation.end(true)
			}
			got, known := l.ruleFor(i)
			service := ""
			if got.found {
				service = got.route.Shares[0].Service
			}
			got.route = test.want.route
			if !known || service != test.service || fmt.Sprint(got) != fmt.Sprint(test.want) {
				t.Errorf("rule %+v for service %q, want %+v for %q", got, service, test.want, test.service)
			}
		})
	}
}

// Guards against an item that is abandoned after its last failure by the limit that was in force when
// its run began.
func TestFailuresAreJudgedByNewestConfiguration(t *testing.T) {
	for _, test := range []struct{ before, after, waiting int }{{3, 3, 0}, {3, 5, 1}, {5, 3, 0}} {
		l := testLeader(t, 1, 0)
		i := l.waiting[0]
		i.terms = &jobs.Terms{Version: 1}
		l.adopt(t, 2, "/batch/", test.before)
		if !l.loadItem(i) {
			t.Fatal("the item is not stored")
		}
		i.failures = 2
		began, _ := l.ruleFor(i)
		l.waiting, l.running[i] = nil, true
		l.adopt(t, 3, "/batch/", test.after)
		l.finishRun(i, verdictFailed, began, "w0", 0)
		if len(l.waiting) != test.waiting {
			t.Errorf("third failure, limit %d at its start and %d at its end: %d items wait, want %d", test.before, test.after, len(l.waiting), test.waiting)
		}
	}
}

// Guards against a leader that never places items of a service which its configuration does not name.
func TestItemsOfNewerTermsArePlaced(t *testing.T) {
	l := testLeader(t, 3, 2)
	l.adopt(t, 2, "/elsewhere/", 3)
	for _, i := range l.waiting {
		i.terms = &jobs.Terms{Version: 3, Routes: []jobs.ItemRoute{{Prefix: "/batch/", Services: []string{"lm"}, MaxAttempts: 3}}}
	}
	if n := l.dispatch(); n != 3 {
		t.Errorf("%d of 3 items started", n)
	}
}

// Guards against items that are abandoned too early, since the clock of the store that took them, or of the
// one that leads now, was stepped.
func TestExpiryDoesNotDependOnWallClock(t *testing.T) {
	const keep = time.Minute
	ago := func(elapsed time.Duration) time.Time { return clock.Now().Add(-elapsed) }
	tests := []struct {
		name    string
		item    *item
		expired bool
	}{
		{"taken here, clock then ahead", &item{submittedHere: true, addedAt: ago(keep + time.Second), job: jobs.InlineJob{AbandonAfter: keep, Created: time.Now().Add(time.Hour)}}, true},
		{"taken here, clock then back", &item{submittedHere: true, addedAt: ago(keep - time.Second), job: jobs.InlineJob{AbandonAfter: keep, Created: time.Now().Add(-time.Hour)}}, false},
		{"taken by another leader, clock then back", &item{addedAt: ago(0), job: jobs.InlineJob{AbandonAfter: keep, Created: time.Now().Add(-keep - 4*time.Second)}}, false},
		{"taken by another leader, long ago", &item{addedAt: ago(0), job: jobs.InlineJob{AbandonAfter: keep, Created: time.Now().Add(-keep - 6*time.Second)}}, true},
		{"never", &item{submittedHere: true, addedAt: ago(time.Hour)}, false},
	}
	for _, test := range tests {
		if got := test.item.expired(); got != test.expired {
			t.Errorf("%s: expired %t", test.name, got)
		}
	}
}

// Guards against an item that runs again, since its run failed just as its job was ended.
func TestEndedJobRequeuesNoItem(t *testing.T) {
	for _, verdict := range []verdict{verdictFailed, verdictInterrupted, verdictNotRun, verdictImpossible, verdictCancelled} {
		l := testLeader(t, 1, 0)
		i := l.waiting[0]
		if !l.loadItem(i) {
			t.Fatal("the item is not stored")
		}
		began, _ := l.ruleFor(i)
		l.waiting, l.running[i] = nil, true
		l.endJob(i.job.ID)
		l.finishRun(i, verdict, began, "w0", 0)
		if len(l.waiting) > 0 || len(l.running) > 0 {
			t.Errorf("%s: %d items wait and %d run, want none", verdict, len(l.waiting), len(l.running))
		}
	}
}
