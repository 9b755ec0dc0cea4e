package slopes

import (
	"fmt"
	"testing"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/jobs"
	"github.com/dykewing/dykewing/quota"
	"github.com/dykewing/dykewing/sim"
)

// claimOf returns the claim of a router with spare capacity for all models.
func claimOf(size Size, router int) jobs.ClaimItems {
	claim := jobs.ClaimItems{Router: api.NodeID(fmt.Sprintf("router-%04d", router)), WaitMs: 2_000}
	for model := range size.Models {
		claim.Rows = append(claim.Rows, jobs.RowCapacity{Service: size.Service(model), Place: size.Place(router % size.Zones), Slots: 28})
	}
	return claim
}

// BenchmarkJobsParkedClaims measures one step of a leader with waiting claims and
// no work. A tick visits every waiting claim; a new claim visits only itself.
func BenchmarkJobsParkedClaims(b *testing.B) {
	for _, routers := range []int{30, 90, 180, 400} {
		state, err := jobs.OpenState(jobs.NewMemoryStorage())
		if err != nil {
			b.Fatal(err)
		}
		dispatcher, err := jobs.NewDispatcher(state, jobs.DefaultDispatcherSettings(), sim.Epoch)
		if err != nil {
			b.Fatal(err)
		}
		now := sim.Epoch.Add(time.Second)
		for router := range routers {
			dispatcher.Step(now, jobs.ClaimArrived{Token: uint64(router + 1), Claim: claimOf(DesignSize(), router)})
		}
		b.Run(fmt.Sprintf("tick/routers=%d", routers), func(b *testing.B) {
			for b.Loop() {
				dispatcher.Step(now, jobs.DispatcherTick{})
			}
		})
		b.Run(fmt.Sprintf("claim/routers=%d", routers), func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				dispatcher.Step(now, jobs.ClaimArrived{Token: uint64(1_000 + i), Claim: claimOf(DesignSize(), i%routers)})
			}
			b.ReportMetric(encodedSize(b, claimOf(DesignSize(), 0)), "claim-bytes")
		})
	}
}

// BenchmarkQuotaReport measures the encoding and size of a router's report to one
// owner.
func BenchmarkQuotaReport(b *testing.B) {
	size := DesignSize()
	for _, rows := range []int{0, 2, 8, 24} {
		report := quota.Report{Router: "router-0000", Instance: 1_790_000_000_000, Sequence: 100_000, Ended: 99_990, Epoch: 7}
		grant := quota.Grant{Epoch: 7, Instance: report.Instance, Sequence: report.Sequence}
		for model := range rows {
			key := api.RowKey{Service: size.Service(model), Place: size.Place(0)}
			report.Rows = append(report.Rows, quota.RowReport{Key: quota.Key(key), Want: 28, InFlight: 20, Ended: 99_990, Share: 28})
			grant.Shares = append(grant.Shares, quota.Share{Concurrency: 28})
		}
		b.Run(fmt.Sprintf("rows=%d", rows), func(b *testing.B) {
			for b.Loop() {
				encodedSize(b, report)
			}
			b.ReportMetric(encodedSize(b, report), "report-bytes")
			b.ReportMetric(encodedSize(b, grant), "grant-bytes")
		})
	}
}
