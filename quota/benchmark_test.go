package quota

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/sim"
)

// BenchmarkReportAndGrant measures one report of a router with 15 rows that have ceilings and
// its grant by an owner with 670 holders, and reports the size of both messages.
func BenchmarkReportAndGrant(b *testing.B) {
	const routers, rows = 670, 15
	now := sim.Epoch
	ceilings := map[api.RowKey]Ceiling{}
	for i := range rows {
		ceilings[api.RowKey{Service: api.ServiceName(fmt.Sprintf("model-%d", i)), Place: "region-east-1"}] = Ceiling{Concurrency: 4000, Rate: 3000}
	}
	owner := NewOwner(DefaultSettings())
	owner.Step(now, OwnerCeilings{Rows: ceilings})
	owner.Step(now, BecameLeader{Epoch: 1})
	now = now.Add(5 * time.Second)
	holders := make([]*Holder, routers)
	token, size := uint64(0), 0
	exchange := func(index int) {
		holder := holders[index]
		for key := range ceilings {
			holder.Acquire(now, key)
		}
		for _, action := range holder.Step(now, Tick{}) {
			report := action.(SendReport).Report
			token++
			owner.Step(now, ReportReceived{Token: token, Report: report})
			owner.Step(now, HolderRegistered{Epoch: 1, Router: report.Router})
			for _, action := range owner.Step(now, LeadershipConfirmed{Token: token, Epoch: 1}) {
				if answer, ok := action.(SendGrant); ok {
					holder.Step(now, GrantReceived{Grant: answer.Grant})
					sent, _ := json.Marshal(report)
					back, _ := json.Marshal(answer.Grant)
					size = len(sent) + len(back)
				}
			}
		}
	}
	for i := range holders {
		holders[i] = NewHolder(HolderSettings{
			Settings: DefaultSettings(), Router: api.NodeID(fmt.Sprintf("router-%d", i)), Instance: 1,
			GroupOf: func(api.RowKey) api.GroupID { return 0 },
		})
		holders[i].Step(now, HolderCeilings{Rows: ceilings})
	}
	for round := range 3 {
		now = sim.Epoch.Add(time.Duration(5+round) * time.Second)
		for i := range holders {
			exchange(i)
		}
	}
	b.ResetTimer()
	for i := range b.N {
		now = now.Add(time.Millisecond)
		exchange(i % routers)
	}
	b.ReportMetric(float64(size), "bytes/exchange")
}
