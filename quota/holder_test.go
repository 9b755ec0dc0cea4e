package quota

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/sim"
)

func testHolder(now time.Time, rows map[api.RowKey]Ceiling) *Holder {
	holder := NewHolder(HolderSettings{
		Settings: DefaultSettings(), Router: "router", Instance: 1,
		GroupOf: func(api.RowKey) api.GroupID { return 0 },
	})
	holder.Step(now, HolderCeilings{Rows: rows})
	return holder
}

func TestRowsWithoutCeilingAreNeverRefused(t *testing.T) {
	holder := testHolder(sim.Epoch, nil)
	for range 1000 {
		if ok, _ := holder.Acquire(sim.Epoch, rowKey); !ok {
			t.Fatal("refused")
		}
	}
	if actions := holder.Step(sim.Epoch, Tick{}); len(actions) > 0 {
		t.Errorf("reported %+v", actions)
	}
}

// A router without a share admits nothing.
func TestNewRouterHasNoShare(t *testing.T) {
	ceilings := map[api.RowKey]Ceiling{rowKey: {Concurrency: 5}}
	if ok, retryAfter := testHolder(sim.Epoch, ceilings).Acquire(sim.Epoch, rowKey); ok || retryAfter <= 0 {
		t.Errorf("admitted %v, retry after %v", ok, retryAfter)
	}
}

// Requests in flight before a new ceiling continue, none is admitted before the first share,
// and the next tick requests a share even right after another report of the group.
func TestNewCeilingAppliesAtOnce(t *testing.T) {
	now := sim.Epoch
	other := api.RowKey{Service: "other", Place: "east"}
	ceilings := map[api.RowKey]Ceiling{other: {Concurrency: 5}}
	holder := testHolder(now, ceilings)
	for range 3 {
		holder.Acquire(now, rowKey)
	}
	holder.Acquire(now, other)
	if len(holder.Step(now, Tick{})) != 1 {
		t.Fatal("the first report is missing")
	}
	ceilings = map[api.RowKey]Ceiling{other: {Concurrency: 5}, rowKey: {Concurrency: 5}}
	holder.Step(now, HolderCeilings{Rows: ceilings})
	if ok, retryAfter := holder.Acquire(now, rowKey); ok || retryAfter <= 0 {
		t.Errorf("admitted %v before the first share, retry after %v", ok, retryAfter)
	}
	actions := holder.Step(now.Add(time.Millisecond), Tick{})
	if len(actions) != 1 {
		t.Fatalf("the next tick gave %+v", actions)
	}
	report := actions[0].(SendReport).Report
	shares := make([]Share, len(report.Rows))
	for i, row := range report.Rows {
		if row.Key == Key(rowKey) {
			shares[i].Concurrency = 4
			if row.InFlight != 3 || row.Want < 4 {
				t.Errorf("reported %+v with 3 in flight and one rejected", row)
			}
		}
	}
	holder.Step(now, GrantReceived{Grant: Grant{Epoch: 1, Instance: 1, Sequence: report.Sequence, Shares: shares}})
	if ok, _ := holder.Acquire(now, rowKey); !ok {
		t.Error("the share's fourth request was refused")
	}
	if ok, _ := holder.Acquire(now, rowKey); ok {
		t.Error("a fifth request was admitted with a share of four")
	}
}

func TestBatchLeavesPartOfShareFree(t *testing.T) {
	now := sim.Epoch
	holder := testHolder(now, map[api.RowKey]Ceiling{rowKey: {Concurrency: 8}})
	holder.Acquire(now, rowKey)
	report := holder.Step(now, Tick{})[0].(SendReport).Report
	holder.Step(now, GrantReceived{Grant: Grant{Epoch: 1, Instance: 1, Sequence: report.Sequence, Shares: []Share{{Concurrency: 8}}}})
	admitted := 0
	for ok := true; ok; admitted++ {
		if ok, _ = holder.Check(now, rowKey, api.ClassBatch); ok {
			holder.Take(now, rowKey)
		}
	}
	if ok, _ := holder.Acquire(now, rowKey); !ok || admitted-1 != 7 {
		t.Errorf("batch took %d of 8, online admitted %v", admitted-1, ok)
	}
}

func FuzzReportAndGrant(f *testing.F) {
	f.Add([]byte(`{"router":"r","instance":1,"sequence":1,"epoch":1,"rows":[{"k":"model/east","w":3,"u":2,"d":9}]}`),
		[]byte(`{"epoch":1,"instance":1,"sequence":1,"shares":[{"c":5}]}`))
	f.Add([]byte(`{"rows":[{"k":"no-place"}]}`), []byte(`{"shares":[{},{"t":-1}]}`))
	f.Fuzz(func(t *testing.T, reportBody, grantBody []byte) {
		now := sim.Epoch
		owner := NewOwner(DefaultSettings())
		owner.Step(now, OwnerCeilings{Rows: map[api.RowKey]Ceiling{rowKey: {Concurrency: 10, Rate: 10}}})
		owner.Step(now, BecameLeader{Epoch: 1})
		now = now.Add(time.Minute)
		var report Report
		if json.Unmarshal(reportBody, &report) == nil && report.Validate() == nil {
			owner.Step(now, HolderRegistered{Epoch: 1, Router: report.Router})
			owner.Step(now, ReportReceived{Token: 1, Report: report})
			for _, action := range owner.Step(now, LeadershipConfirmed{Token: 1, Epoch: 1}) {
				for _, share := range action.(SendGrant).Grant.Shares {
					if share.Concurrency < 0 || share.Concurrency > 10 || share.Tokens < 0 {
						t.Fatalf("granted %+v for %s", share, reportBody)
					}
				}
			}
		}
		var grant Grant
		if json.Unmarshal(grantBody, &grant) == nil {
			holder := testHolder(now, map[api.RowKey]Ceiling{rowKey: {Concurrency: 10, Rate: 10}})
			holder.Acquire(now, rowKey)
			holder.Step(now, Tick{})
			holder.Step(now, GrantReceived{Grant: grant})
			holder.Acquire(now, rowKey)
		}
	})
}
