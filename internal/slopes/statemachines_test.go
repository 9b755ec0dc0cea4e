package slopes

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/dykewing/dykewing/admission"
	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/jobs"
	"github.com/dykewing/dykewing/membership"
	"github.com/dykewing/dykewing/placement"
	"github.com/dykewing/dykewing/routing"
	"github.com/dykewing/dykewing/sim"
	"github.com/dykewing/dykewing/table"
)

// benchmarkNodes lists the fleet sizes, in nodes.
var benchmarkNodes = []int{50, 150, 300, 670}

func benchmarkRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func encodedSize(b *testing.B, value any) float64 {
	b.Helper()
	raw, err := json.Marshal(value)
	if err != nil {
		b.Fatal(err)
	}
	return float64(len(raw))
}

// summaryOf returns the summary of a router that is home of the workers.
func summaryOf(workers []api.Worker) api.LoadSummary {
	machine := admission.NewMachine(admission.Settings{})
	machine.Step(sim.Epoch, admission.Workers{Workers: workers})
	return api.LoadSummary{Sequence: 1, Services: machine.Summaries()}
}

// reportingNodes returns the fleet's nodes with their summaries.
func reportingNodes(size Size) []api.Node {
	nodes := size.NodeList()
	homed := map[api.NodeID][]api.Worker{}
	for _, worker := range size.WorkerList() {
		if home, ok := placement.HomeOf(worker, nodes); ok {
			homed[home] = append(homed[home], worker)
		}
	}
	for i := range nodes {
		nodes[i].Summary = summaryOf(homed[nodes[i].ID])
	}
	return nodes
}

func BenchmarkPlacementAllHomes(b *testing.B) {
	for _, count := range benchmarkNodes {
		size := DesignSize().WithNodes(count)
		nodes, workers := size.NodeList(), size.WorkerList()
		b.Run(fmt.Sprintf("nodes=%d/workers=%d", count, size.Workers), func(b *testing.B) {
			for b.Loop() {
				for _, worker := range workers {
					placement.HomeOf(worker, nodes)
				}
			}
		})
	}
}

// BenchmarkPlacementMine measures one router's work after a change of the routers
// (rehome) and after a change of loads only (same).
func BenchmarkPlacementMine(b *testing.B) {
	for _, count := range benchmarkNodes {
		size := DesignSize().WithNodes(count)
		nodes, workers := size.NodeList(), size.WorkerList()
		homes := placement.NewHomes(nodes[0].ID)
		homes.SetNodes(nodes)
		b.Run(fmt.Sprintf("rehome/nodes=%d/workers=%d", count, size.Workers), func(b *testing.B) {
			for b.Loop() {
				homes.OwnWorkers(workers)
			}
		})
		b.Run(fmt.Sprintf("same/nodes=%d", count), func(b *testing.B) {
			for b.Loop() {
				homes.SetNodes(nodes)
			}
		})
	}
}

func BenchmarkTableApplyOneRow(b *testing.B) {
	for _, models := range []int{6, 12, 24, 96} {
		size := DesignSize()
		size.Models = models
		rows := size.TableRows()
		replica := table.NewReplica()
		replica.Step(sim.Epoch, table.DeltaReceived{Delta: api.TableDelta{Revision: int64(len(rows)), Rows: rows}})
		b.Run(fmt.Sprintf("rows=%d", len(rows)), func(b *testing.B) {
			revision := int64(len(rows))
			var delta api.TableDelta
			for b.Loop() {
				revision++
				changed := rows[int(revision)%len(rows)]
				changed.Revision = revision
				delta = api.TableDelta{Revision: revision, Rows: []api.VersionedRow{changed}}
				replica.Step(sim.Epoch, table.DeltaReceived{Delta: delta})
			}
			b.ReportMetric(encodedSize(b, delta), "delta-bytes")
			b.ReportMetric(encodedSize(b, api.TableDelta{Revision: revision, Rows: rows}), "table-bytes")
		})
	}
}

func benchmarkProfile() routing.Profile {
	return routing.Profile{
		Filters: []routing.Filter{routing.RowFilter{}, routing.NotLeavingFilter{}, routing.NotTriedFilter{}},
		Scorers: []routing.WeightedScorer{{Scorer: routing.LoadScorer{}, Weight: 2}, {Scorer: routing.ZoneScorer{}, Weight: 1}},
		Picker:  routing.BestPicker{Random: benchmarkRandom()},
	}
}

func BenchmarkAdmissionArriveAndFinish(b *testing.B) {
	for _, count := range []int{6, 25, 100, 400} {
		size := DesignSize()
		size.Workers, size.Zones = count, 1
		machine := admission.NewMachine(admission.Settings{Online: benchmarkProfile(), Batch: benchmarkProfile()})
		machine.Step(sim.Epoch, admission.Workers{Workers: size.WorkerList()})
		rows := map[api.RowKey]api.Row{}
		for _, row := range size.TableRows() {
			rows[row.Row.Key()] = row.Row
		}
		machine.Step(sim.Epoch, admission.Rows{Rows: rows})
		b.Run(fmt.Sprintf("workers=%d", count), func(b *testing.B) {
			now := sim.Epoch
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				id := api.RequestID(fmt.Sprint(i))
				request := routing.Request{ID: id, Service: size.Service(i % min(size.Models, count)), Place: size.Place(0), Class: api.ClassOnline}
				machine.Step(now, admission.Arrive{Request: request})
				machine.Step(now, admission.Finished{Request: id})
			}
		})
	}
}

func BenchmarkRoutingChoose(b *testing.B) {
	for _, count := range []int{10, 27, 100, 400} {
		endpoints := make([]routing.Endpoint, count)
		key := api.RowKey{Service: "model-00", Place: "place-00"}
		for i := range endpoints {
			endpoints[i] = routing.Endpoint{Name: fmt.Sprint(i), Key: key, Slots: slotsPerWorker, Online: i % slotsPerWorker}
		}
		profile := benchmarkProfile()
		b.Run(fmt.Sprintf("endpoints=%d", count), func(b *testing.B) {
			for b.Loop() {
				profile.Choose(routing.Request{Service: key.Service, Place: key.Place, Class: api.ClassOnline}, endpoints)
			}
		})
	}
}

// benchmarkGroup is an in-memory state with the index of its last applied command.
type benchmarkGroup struct {
	*jobs.State
	index uint64
}

func newBenchmarkGroup(b *testing.B) *benchmarkGroup {
	state, err := jobs.OpenState(jobs.NewMemoryStorage())
	if err != nil {
		b.Fatal(err)
	}
	return &benchmarkGroup{State: state}
}

func (g *benchmarkGroup) apply(b *testing.B, command jobs.Command) {
	b.Helper()
	g.index++
	results, err := g.Apply(jobs.Entry{Index: g.index, Command: command})
	if err != nil || results[0].Code != "" {
		b.Fatalf("apply: %v %+v", err, results)
	}
}

// benchmarkState returns a state with one job of the given number of items.
func benchmarkState(b *testing.B, items int) *benchmarkGroup {
	b.Helper()
	state := newBenchmarkGroup(b)
	lines := make([]json.RawMessage, items)
	for i := range lines {
		lines[i] = json.RawMessage(fmt.Sprintf(
			`{"custom_id":"item-%d","method":"POST","url":"/v1/chat/completions","body":{"model":"model-00","messages":[{"role":"user","content":"mark the answer %d"}]}}`, i, i))
	}
	apply := func(command jobs.Command) { state.apply(b, command) }
	apply(jobs.Command{CreateFile: &jobs.CreateFile{File: "file-0", Tenant: "tenant"}})
	apply(jobs.Command{AppendFile: &jobs.AppendFile{File: "file-0", Lines: lines}})
	apply(jobs.Command{SealFile: &jobs.SealFile{File: "file-0", Lines: items}})
	apply(jobs.Command{Submit: &jobs.Submit{
		Job: "job-0", Tenant: "tenant", File: "file-0", Endpoint: "/v1/chat/completions",
		Repeatable: true, Deadline: sim.Epoch.Add(24 * time.Hour),
	}})
	return state
}

func benchmarkDispatcher(b *testing.B, group *benchmarkGroup) *jobs.Dispatcher {
	settings := jobs.DefaultDispatcherSettings()
	settings.AdoptWait = 0
	dispatcher, err := jobs.NewDispatcher(group.State, settings, sim.Epoch)
	if err != nil {
		b.Fatal(err)
	}
	return dispatcher
}

// claimOnce claims items without waiting for work.
func claimOnce(dispatcher *jobs.Dispatcher, wants []jobs.RowCapacity) jobs.Grant {
	for _, action := range dispatcher.Step(sim.Epoch, jobs.ClaimArrived{Claim: jobs.ClaimItems{Router: "router", Rows: wants}}) {
		if granted, ok := action.(jobs.AnswerClaim); ok {
			return granted.Grant
		}
	}
	return jobs.Grant{}
}

func BenchmarkJobsClaimAndComplete(b *testing.B) {
	for _, items := range []int{1_000, 10_000, 76_000} {
		b.Run(fmt.Sprintf("items=%d", items), func(b *testing.B) {
			state := benchmarkState(b, items)
			dispatcher := benchmarkDispatcher(b, state)
			wants := []jobs.RowCapacity{{Service: "model-00", Place: "place-00", Slots: 16}}
			done, claimBytes := 0, 0.0
			for b.Loop() {
				grant := claimOnce(dispatcher, wants)
				if len(grant.Items) == 0 {
					b.StopTimer()
					state = benchmarkState(b, items)
					dispatcher = benchmarkDispatcher(b, state)
					b.StartTimer()
					continue
				}
				if claimBytes == 0 {
					claimBytes = encodedSize(b, grant) / float64(len(grant.Items))
				}
				results := make([]jobs.ItemResult, len(grant.Items))
				for i, item := range grant.Items {
					results[i] = jobs.ItemResult{Item: item.Item, CustomID: item.CustomID, Outcome: api.OutcomeRan, Status: 200, Body: json.RawMessage(`{}`)}
				}
				command := jobs.Command{Complete: &jobs.Complete{Results: results}}
				state.apply(b, command)
				dispatcher.Step(sim.Epoch, jobs.CommandApplied{Command: command})
				done += len(results)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(max(done, 1)), "ns/item")
			b.ReportMetric(claimBytes, "grant-bytes/item")
		})
	}
}

func BenchmarkJobsBacklog(b *testing.B) {
	for _, count := range []int{10, 45, 200} {
		state := benchmarkState(b, 100)
		for i := 1; i < count; i++ {
			state.apply(b, jobs.Command{Submit: &jobs.Submit{
				Job: jobs.JobID(fmt.Sprintf("job-%d", i)), Tenant: "tenant", File: "file-0", Repeatable: true, Deadline: sim.Epoch.Add(time.Hour),
			}})
		}
		dispatcher := benchmarkDispatcher(b, state)
		b.Run(fmt.Sprintf("jobs=%d", count), func(b *testing.B) {
			for b.Loop() {
				dispatcher.Backlog()
			}
		})
	}
}

func BenchmarkMembershipHeartbeat(b *testing.B) {
	for _, count := range benchmarkNodes {
		nodes := reportingNodes(DesignSize().WithNodes(count))
		b.Run(fmt.Sprintf("nodes=%d", count), func(b *testing.B) { benchmarkHeartbeat(b, nodes) })
	}
}

// benchmarkHeartbeat measures one exchange between nodes that know all others: its
// creation, encoding, decoding and merging.
func benchmarkHeartbeat(b *testing.B, nodes []api.Node) {
	newMachine := func(self api.Node) *membership.Machine {
		return membership.NewMachine(membership.Settings{
			Self: self, Seeds: []string{nodes[1].Address}, Interval: time.Second, SuspectTimeout: 5 * time.Second, Random: benchmarkRandom(),
		})
	}
	sender, receiver := newMachine(nodes[0]), newMachine(nodes[1])
	records := make([]membership.Record, len(nodes))
	for i, node := range nodes {
		records[i] = membership.Record{Node: node, Status: membership.StatusAlive}
	}
	all := membership.RequestReceived{Exchange: membership.Exchange{From: nodes[2].ID, Location: nodes[0].Location, Updates: records}}
	sender.Step(sim.Epoch, all)
	receiver.Step(sim.Epoch, all)
	now, bytes := sim.Epoch, 0
	for b.Loop() {
		now = now.Add(time.Second)
		for _, action := range sender.Step(now, membership.Tick{}) {
			send, ok := action.(membership.Send)
			if !ok {
				continue
			}
			raw, _ := json.Marshal(send.Exchange)
			bytes += len(raw)
			var decoded membership.Exchange
			if err := json.Unmarshal(raw, &decoded); err != nil {
				b.Fatal(err)
			}
			receiver.Step(now, membership.RequestReceived{Exchange: decoded})
		}
	}
	b.ReportMetric(float64(bytes)/float64(b.N), "bytes/heartbeat")
}
