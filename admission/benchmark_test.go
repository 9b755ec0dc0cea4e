package admission

import (
	"fmt"
	"testing"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/routing"
)

// BenchmarkArrive admits and finishes one online request while all workers are full
// of batch.
func BenchmarkArrive(b *testing.B) {
	for _, count := range []int{15, 100} {
		b.Run(fmt.Sprintf("workers=%d", count), func(b *testing.B) {
			o := newObserver(DefaultBatchPolicy())
			o.row.BatchAllowance = api.MaxSlots
			o.setRow(o.row)
			o.setWorkers(testWorkers(count))
			for range count * 8 {
				o.arrive(api.ClassBatch, true)
				o.now = o.now.Add(defaultStartInterval)
			}
			prefix := routing.PrefixHashes(make([]byte, 2048))
			request := routing.Request{ID: "online", Service: testService, Place: testPlace, Class: api.ClassOnline, Prefix: prefix}
			b.ReportAllocs()
			for b.Loop() {
				o.machine.Step(o.now, Arrive{Request: request})
				o.machine.Step(o.now, FirstToken{Request: request.ID})
				o.machine.Step(o.now, Finished{Request: request.ID})
			}
		})
	}
}
