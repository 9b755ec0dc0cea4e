package jobs

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/dykewing/dykewing/api"
)

// testDispatcher is a Dispatcher that is notified of all commands applied to its state.
type testDispatcher struct {
	*testState
	dispatcher *Dispatcher
	actions    []DispatcherAction
	token      uint64
}

func newTestDispatcher(t *testing.T, term uint64, state *testState) *testDispatcher {
	t.Helper()
	settings := DefaultDispatcherSettings()
	settings.Term = term
	settings.AdoptWait = 0
	dispatcher, err := NewDispatcher(state.State, settings, state.now)
	if err != nil {
		t.Fatal(err)
	}
	return &testDispatcher{testState: state, dispatcher: dispatcher}
}

func (d *testDispatcher) step(message DispatcherMessage) {
	d.actions = append(d.actions, d.dispatcher.Step(d.now, message)...)
}

func (d *testDispatcher) commit(command Command) Result {
	d.t.Helper()
	result := d.apply(command)
	command.Time = d.now
	d.step(CommandApplied{Command: command, Result: result})
	return result
}

// claim asks for up to room items and returns those granted at once.
func (d *testDispatcher) claim(router string, room int) []GrantedItem {
	d.token++
	d.actions = nil
	d.step(ClaimArrived{Token: d.token, Claim: ClaimItems{
		Router: api.NodeID(router), WaitMs: 1000, Rows: []RowCapacity{{Service: "judge", Place: "old", Slots: room}},
	}})
	return d.granted(d.token).Items
}

func (d *testDispatcher) granted(token uint64) Grant {
	for _, action := range d.actions {
		if granted, ok := action.(AnswerClaim); ok && granted.Token == token {
			return granted.Grant
		}
	}
	return Grant{}
}

// submitFor uploads a file and submits a repeatable job for the tenant.
func (d *testDispatcher) submitFor(tenant, id string, items int, deadline time.Duration) {
	d.t.Helper()
	file := FileID("file-" + id)
	d.commit(Command{CreateFile: &CreateFile{File: file, Tenant: api.TenantID(tenant)}})
	d.commit(Command{AppendFile: &AppendFile{File: file, Lines: testLines(items)}})
	d.commit(Command{SealFile: &SealFile{File: file, Lines: items}})
	d.commit(Command{Submit: &Submit{
		Job: JobID(id), Tenant: api.TenantID(tenant), File: file, Repeatable: true, Deadline: d.now.Add(deadline),
	}})
}

func newMemoryDispatcher(t *testing.T) *testDispatcher {
	return newTestDispatcher(t, 1, newTestState(t, NewMemoryStorage(), Faults{}))
}

func TestTenantsShareEquallyRegardlessOfJobCount(t *testing.T) {
	d := newMemoryDispatcher(t)
	for i := range 9 {
		d.submitFor("many", fmt.Sprint("many-", i), 100, time.Hour)
	}
	d.submitFor("one", "one", 200, 24*time.Hour)
	counts := map[api.TenantID]int{}
	for range 20 {
		for _, item := range d.claim("r", 10) {
			counts[item.Tenant]++
		}
	}
	if difference := counts["many"] - counts["one"]; counts["many"]+counts["one"] != 200 || difference > grantQuantum || difference < -grantQuantum {
		t.Fatalf("got %v of 200 items by tenant", counts)
	}
}

func TestIdleTenantAccumulatesNoCredit(t *testing.T) {
	d := newMemoryDispatcher(t)
	d.submitFor("early", "early", 400, time.Hour)
	d.claim("r", 200)
	d.submitFor("late", "late", 400, time.Hour)
	counts := map[api.TenantID]int{}
	for _, item := range d.claim("r", 160) {
		counts[item.Tenant]++
	}
	if counts["early"] < 80-grantQuantum {
		t.Fatalf("got %v of 160 items by tenant", counts)
	}
}

func TestLeastSlackGoesFirst(t *testing.T) {
	d := newMemoryDispatcher(t)
	d.submitFor("t", "far", 5, 3*time.Hour)
	d.submitFor("t", "near", 5, time.Hour)
	d.submitFor("t", "middle", 5, 2*time.Hour)
	var order []JobID
	for _, item := range d.claim("r", 15) {
		order = append(order, item.Item.Job)
	}
	if want := []JobID{"near", "middle", "far"}; !slices.Equal(slices.Compact(order), want) {
		t.Fatalf("order %v, want %v", slices.Compact(order), want)
	}
}

func TestPendingClaimIsAnsweredWhenWorkArrives(t *testing.T) {
	d := newMemoryDispatcher(t)
	if items := d.claim("r", 3); len(items) != 0 {
		t.Fatal("items were granted before any were submitted")
	}
	token := d.token
	d.submitFor("t", "j", 5, time.Hour)
	if items := d.granted(token).Items; len(items) != 3 {
		t.Fatalf("the pending claim got %d items, want 3", len(items))
	}
	d.claim("idle", 0)
	token = d.token
	d.now = d.now.Add(2 * time.Second)
	d.step(DispatcherTick{})
	if !slices.ContainsFunc(d.actions, func(a DispatcherAction) bool { g, ok := a.(AnswerClaim); return ok && g.Token == token }) {
		t.Fatal("the claim was not answered after its wait time")
	}
}

func TestCancelAnswersPendingClaimOfGrantedRouter(t *testing.T) {
	d := newMemoryDispatcher(t)
	d.submitFor("t", "j", 2, time.Hour)
	d.claim("r", 2)
	d.claim("r", 2)
	token := d.token
	d.commit(Command{Cancel: &Cancel{Job: "j"}})
	if grant := d.granted(token); !slices.Equal(grant.Cancelled, []JobID{"j"}) {
		t.Fatalf("got grant %+v, want job j cancelled", grant)
	}
	if items := d.claim("other", 5); len(items) != 0 {
		t.Fatalf("%d items of a cancelled job were granted", len(items))
	}
}

func TestExpiredGrantIsReissuedWithLaterEpoch(t *testing.T) {
	d := newMemoryDispatcher(t)
	d.submitFor("t", "j", 1, time.Hour)
	first := d.claim("a", 1)[0]
	d.now = d.now.Add(2 * d.dispatcher.settings.GrantLifetime)
	d.step(DispatcherTick{})
	second := d.claim("b", 1)
	if len(second) != 1 || second[0].Epoch <= first.Epoch {
		t.Fatalf("second grant %+v after %+v", second, first)
	}
	d.step(ItemsReturned{Router: "a", Returned: []ReturnedItem{{Item: first.Item, Epoch: first.Epoch, Reason: ReturnPreempted}}})
	if again := d.claim("c", 1); len(again) != 0 {
		t.Fatal("a late return of the first grant ended the second")
	}
}

func TestNewLeaderAdoptsRenewedGrants(t *testing.T) {
	d := newMemoryDispatcher(t)
	d.submitFor("t", "j", 4, time.Hour)
	running := d.claim("a", 2)
	next := newTestDispatcher(t, 2, d.testState)
	renew := Renew{Router: "a"}
	for _, item := range running {
		renew.Items = append(renew.Items, RenewedGrant{Item: item.Item, Epoch: item.Epoch})
	}
	next.step(RenewArrived{Renew: renew})
	items := next.claim("b", 10)
	if len(items) != 2 || items[0].Item.Item != 2 || items[1].Item.Item != 3 {
		t.Fatalf("the new leader granted %+v", items)
	}
}

func TestFailedItemsBackOffUntilLastAttempt(t *testing.T) {
	d := newMemoryDispatcher(t)
	d.submitFor("t", "j", 1, time.Hour)
	for attempt := 1; ; attempt++ {
		items := d.claim("r", 1)
		if len(items) != 1 {
			t.Fatalf("attempt %d got no item", attempt)
		}
		if last := attempt == d.dispatcher.settings.MaxAttempts; items[0].LastAttempt != last {
			t.Fatalf("attempt %d: last is %v", attempt, items[0].LastAttempt)
		} else if last {
			return
		}
		d.step(ItemsReturned{Returned: []ReturnedItem{{Item: items[0].Item, Epoch: items[0].Epoch, Reason: ReturnFailed}}})
		if early := d.claim("r", 1); len(early) != 0 {
			t.Fatalf("attempt %d was not followed by a backoff", attempt)
		}
		d.now = d.now.Add(d.dispatcher.settings.MaxBackoff)
	}
}

func TestItemsOfUnknownServiceFail(t *testing.T) {
	d := newMemoryDispatcher(t)
	d.submitFor("t", "j", 300, time.Hour)
	d.step(KnownServices{Services: []api.ServiceName{"tutor"}})
	for range 10 {
		d.actions = nil
		d.step(DispatcherTick{})
		for _, action := range d.actions {
			if propose, ok := action.(ProposeCommand); ok {
				d.commit(propose.Command)
			}
		}
		d.now = d.now.Add(d.dispatcher.settings.UnknownServiceGrace)
	}
	job := d.job("j")
	if job.Status != JobCompleted && job.Status != JobExpired || job.Failed == 0 {
		t.Fatalf("the job is %+v", job)
	}
	results, _, err := d.Results("j", 0, 1)
	if err != nil || results[0].Code != api.CodeUnknownService {
		t.Fatalf("first result %+v, %v", results, err)
	}
}

func TestDispatcherBuffersOnePageOfLargeJob(t *testing.T) {
	d := newMemoryDispatcher(t)
	d.submitFor("t", "j", 5000, time.Hour)
	seen := map[int]bool{}
	for range 10 {
		for _, item := range d.claim("r", 100) {
			seen[item.Item.Item] = true
			d.commit(Command{Complete: &Complete{Results: []ItemResult{{Item: item.Item, Outcome: api.OutcomeRan, Status: 200}}}})
		}
	}
	stream := d.dispatcher.jobs["j"].streams["judge"]
	if len(seen) != 1000 || len(stream.page) > linesPerPage || len(stream.returned) > 0 || len(d.dispatcher.grants.byItem) > 0 {
		t.Fatalf("%d items seen, page %d, returned %d, grants %d", len(seen), len(stream.page), len(stream.returned), len(d.dispatcher.grants.byItem))
	}
}

// TestStaleStartIsFenced guards against accepting a delayed start of an expired grant
// after the item was started and released under the next grant.
func TestStaleStartIsFenced(t *testing.T) {
	for _, ignore := range []bool{false, true} {
		state := newTestState(t, NewMemoryStorage(), Faults{IgnoreEpoch: ignore})
		state.submit("j", 1, false)
		item := ItemRef{Job: "j"}
		state.apply(Command{Start: &Start{Item: item, Request: "second", Epoch: 2}})
		state.apply(Command{Complete: &Complete{Released: []Release{{Item: item, Request: "second"}}}})
		refused := state.apply(Command{Start: &Start{Item: item, Request: "first", Epoch: 1}}).Code != ""
		if refused == ignore {
			t.Fatalf("ignoring epochs %v: refused %v", ignore, refused)
		}
	}
}
