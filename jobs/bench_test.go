package jobs

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"testing"

	"go.etcd.io/bbolt"

	"github.com/dykewing/dykewing/api"
)

const (
	benchmarkJobItems = 76_000
	benchmarkAppend   = 500
	benchmarkSettle   = 256
)

func benchmarkLine(item int) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(
		`{"custom_id":"item-%d","method":"POST","url":"/v1/chat/completions","body":{"model":"tutor","messages":[{"role":"user","content":"mark the answer %d"}]}}`, item, item))
}

func benchmarkResult(job JobID, item int) ItemResult {
	return ItemResult{
		Item: ItemRef{Job: job, Item: item}, CustomID: fmt.Sprint("item-", item), Outcome: api.OutcomeRan, Status: 200,
		Body:    json.RawMessage(fmt.Sprintf(`{"choices":[{"message":{"role":"assistant","content":"mark %d"}}]}`, item)),
		Request: api.RequestID(fmt.Sprintf("%032d", item)),
	}
}

// fillJob uploads and submits one job of the maximum size and completes all but one of
// its items.
func fillJob(b *testing.B, state *testState, number int) {
	id, file := JobID(fmt.Sprint("job-", number)), FileID(fmt.Sprint("file-", number))
	state.apply(Command{CreateFile: &CreateFile{File: file, Tenant: "t"}})
	for from := 0; from < benchmarkJobItems; from += benchmarkAppend {
		lines := make([]json.RawMessage, benchmarkAppend)
		for i := range lines {
			lines[i] = benchmarkLine(from + i)
		}
		state.apply(Command{AppendFile: &AppendFile{File: file, Line: from, Lines: lines}})
	}
	state.apply(Command{SealFile: &SealFile{File: file, Lines: benchmarkJobItems}})
	state.apply(Command{Submit: &Submit{Job: id, Tenant: "t", File: file, Repeatable: true, Deadline: testEpoch.Add(1 << 40)}})
	for from := 0; from < benchmarkJobItems-1; from += benchmarkSettle {
		var results []ItemResult
		for item := from; item < min(from+benchmarkSettle, benchmarkJobItems-1); item++ {
			results = append(results, benchmarkResult(id, item))
		}
		state.apply(Command{Complete: &Complete{Results: results}})
	}
	if job := state.job(string(id)); job.Completed != benchmarkJobItems-1 {
		b.Fatalf("job %+v", job)
	}
}

// BenchmarkStoredItems stores about a million items with results and reports disk and
// heap use. The database is not synced, so the disk is not measured.
func BenchmarkStoredItems(b *testing.B) {
	const jobs = 13
	for b.Loop() {
		path := filepath.Join(b.TempDir(), "state.db")
		database, err := bbolt.Open(path, 0o600, &bbolt.Options{NoSync: true, NoFreelistSync: true})
		if err != nil {
			b.Fatal(err)
		}
		storage, err := NewBoltStorage(database, "state")
		if err != nil {
			b.Fatal(err)
		}
		state := newTestState(b, storage, Faults{})
		before := heapBytes()
		for number := range jobs {
			fillJob(b, state, number)
		}
		dispatcher, err := NewDispatcher(state.State, DefaultDispatcherSettings(), testEpoch)
		if err != nil {
			b.Fatal(err)
		}
		after := heapBytes()
		info, err := os.Stat(path)
		if err != nil {
			b.Fatal(err)
		}
		items := float64(jobs * benchmarkJobItems)
		b.ReportMetric(items, "items")
		b.ReportMetric(float64(info.Size())/items, "disk-bytes/item")
		b.ReportMetric(after-before, "heap-bytes")
		runtime.KeepAlive(dispatcher)
		database.Close()
	}
}

func heapBytes() float64 {
	var memory runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&memory)
	return float64(memory.HeapAlloc)
}

// BenchmarkDispatch measures granting and completing items of many jobs in memory.
func BenchmarkDispatch(b *testing.B) {
	for _, count := range []int{1, 45, 200} {
		b.Run(fmt.Sprintf("jobs=%d", count), func(b *testing.B) {
			state := newTestState(b, NewMemoryStorage(), Faults{})
			lines := make([]json.RawMessage, 2000)
			for i := range lines {
				lines[i] = benchmarkLine(i)
			}
			for number := range count {
				file := FileID(fmt.Sprint("file-", number))
				tenant := api.TenantID(fmt.Sprint("tenant-", number%20))
				state.apply(Command{CreateFile: &CreateFile{File: file, Tenant: tenant}})
				state.apply(Command{AppendFile: &AppendFile{File: file, Lines: lines}})
				state.apply(Command{SealFile: &SealFile{File: file, Lines: len(lines)}})
			}
			items := 0
			var dispatcher *Dispatcher
			round := 0
			for b.Loop() {
				if items%(count*len(lines)) == 0 {
					b.StopTimer()
					dispatcher = benchmarkRound(b, state, count, round)
					round++
					b.StartTimer()
				}
				items += benchmarkClaim(b, state, dispatcher)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(items), "ns/item")
		})
	}
}

// benchmarkRound submits a job over each file and returns a new dispatcher.
func benchmarkRound(b *testing.B, state *testState, count, round int) *Dispatcher {
	for number := range count {
		state.apply(Command{Submit: &Submit{
			Job: JobID(fmt.Sprintf("job-%d-%d", round, number)), Tenant: api.TenantID(fmt.Sprint("tenant-", number%20)),
			File: FileID(fmt.Sprint("file-", number)), Repeatable: true, Deadline: testEpoch.Add(1 << 40),
		}})
	}
	settings := DefaultDispatcherSettings()
	settings.AdoptWait = 0
	dispatcher, err := NewDispatcher(state.State, settings, testEpoch)
	if err != nil {
		b.Fatal(err)
	}
	return dispatcher
}

func benchmarkClaim(b *testing.B, state *testState, dispatcher *Dispatcher) int {
	claim := ClaimItems{Router: "r", Rows: []RowCapacity{{Service: "tutor", Slots: 16}}}
	var grant Grant
	for _, action := range dispatcher.Step(testEpoch, ClaimArrived{Claim: claim}) {
		if granted, ok := action.(AnswerClaim); ok {
			grant = granted.Grant
		}
	}
	if len(grant.Items) == 0 {
		b.Fatal("no items")
	}
	var complete Complete
	for _, item := range grant.Items {
		complete.Results = append(complete.Results, benchmarkResult(item.Item.Job, item.Item.Item))
	}
	command := Command{Complete: &complete}
	dispatcher.Step(testEpoch, CommandApplied{Command: command, Result: state.apply(command)})
	return len(grant.Items)
}
