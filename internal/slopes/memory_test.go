package slopes

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/discovery"
	"github.com/dykewing/dykewing/jobs"
	"github.com/dykewing/dykewing/membership"
	"github.com/dykewing/dykewing/sim"
)

// heapOf returns the number of heap bytes retained by the value that build returns.
func heapOf[T any](build func() T) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	value := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(value)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

func BenchmarkJobsHeap(b *testing.B) {
	for _, items := range []int{1_000, 10_000, 76_000} {
		b.Run(fmt.Sprintf("items=%d", items), func(b *testing.B) {
			heap := 0.0
			for b.Loop() {
				heap = heapOf(func() *benchmarkGroup { return finishedState(b, items) })
			}
			b.ReportMetric(heap/float64(items), "heap-bytes/item")
		})
	}
}

// finishedState returns a state with a job whose items all have a short result.
func finishedState(b *testing.B, items int) *benchmarkGroup {
	state := benchmarkState(b, items)
	results := make([]jobs.ItemResult, items)
	for i := range results {
		body := json.RawMessage(fmt.Sprintf(`{"choices":[{"message":{"role":"assistant","content":"mark %d"}}]}`, i))
		results[i] = jobs.ItemResult{Item: jobs.ItemRef{Job: "job-0", Item: i}, Outcome: api.OutcomeRan, Status: 200, Body: body}
	}
	state.apply(b, jobs.Command{Complete: &jobs.Complete{Results: results}})
	return state
}

func BenchmarkMembershipHeap(b *testing.B) {
	for _, count := range benchmarkNodes {
		nodes := reportingNodes(DesignSize().WithNodes(count))
		records := make([]membership.Record, len(nodes))
		for i, node := range nodes {
			records[i] = membership.Record{Node: node, Status: membership.StatusAlive}
		}
		raw, err := json.Marshal(membership.Exchange{From: nodes[1].ID, Location: nodes[0].Location, Updates: records})
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("nodes=%d", count), func(b *testing.B) {
			heap := 0.0
			for b.Loop() {
				heap = heapOf(func() *membership.Machine { return restoredMachine(b, nodes[0], raw) })
			}
			b.ReportMetric(heap, "heap-bytes")
		})
	}
}

// restoredMachine returns a machine that has merged the encoded exchange raw.
func restoredMachine(b *testing.B, self api.Node, raw []byte) *membership.Machine {
	var exchange membership.Exchange
	if err := json.Unmarshal(raw, &exchange); err != nil {
		b.Fatal(err)
	}
	machine := membership.NewMachine(membership.Settings{
		Self: self, Interval: time.Second, SuspectTimeout: 5 * time.Second, Random: benchmarkRandom(),
	})
	machine.Step(sim.Epoch, membership.RequestReceived{Exchange: exchange})
	return machine
}

func BenchmarkMachineList(b *testing.B) {
	for _, workers := range []int{746, 2_238, 4_477, 10_000} {
		size := DesignSize()
		size.Workers = workers
		groups := make([]discovery.Group, 0, workers)
		for _, worker := range size.WorkerList() {
			groups = append(groups, discovery.Group{Targets: []string{worker.Address}, Labels: map[string]string{
				discovery.LabelID: string(worker.ID), discovery.LabelService: string(worker.Service),
				discovery.LabelPlace: string(worker.Place), discovery.LabelRegion: string(worker.Location.Region),
				discovery.LabelZone: string(worker.Location.Zone), discovery.LabelSlots: "32", discovery.LabelState: discovery.StateLive,
			}})
		}
		raw, err := json.Marshal(groups)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			for b.Loop() {
				var decoded []discovery.Group
				if err := json.Unmarshal(raw, &decoded); err != nil {
					b.Fatal(err)
				}
				if _, err := discovery.ParseWorkers(decoded); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(raw)), "list-bytes")
		})
	}
}
