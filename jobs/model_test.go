package jobs

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dykewing/dykewing/api"
)

// modelItem is the reference model of an item.
type modelItem struct {
	started  bool
	epoch    uint64
	request  api.RequestID
	released bool
	result   *ItemResult
}

// modelJob is the reference model of a job.
type modelJob struct {
	repeatable bool
	status     JobStatus
	items      []modelItem
	dropped    int
}

func (m *modelJob) count(match func(modelItem) bool) int {
	total := 0
	for _, item := range m.items {
		if match(item) {
			total++
		}
	}
	return total
}

func (m *modelJob) running() int {
	return m.count(func(i modelItem) bool { return i.started && !i.released && i.result == nil })
}

func (m *modelJob) settle() {
	switch {
	case m.status == JobInProgress && m.count(func(i modelItem) bool { return i.result != nil }) == len(m.items):
		m.status = JobCompleted
	case m.status == JobCancelling && m.running() == 0:
		m.status = JobCancelled
	case m.status == JobFinalizing && m.running() == 0:
		m.status = JobExpired
	}
}

func (m *modelJob) start(item int, request api.RequestID, epoch uint64) bool {
	held := &m.items[item]
	if m.repeatable || m.status != JobInProgress || held.result != nil {
		return false
	}
	if held.started && !held.released {
		return held.request == request
	}
	if held.started && held.epoch >= epoch {
		return false
	}
	*held = modelItem{started: true, epoch: epoch, request: request}
	return true
}

func (m *modelJob) complete(item int, result ItemResult) bool {
	held := &m.items[item]
	running := held.started && !held.released
	var taken bool
	switch {
	case held.result != nil:
		if held.result.Request == result.Request {
			return false // a retry is not counted as dropped
		}
	case m.repeatable:
		taken = m.status == JobInProgress
	case running:
		taken = held.request == result.Request && !m.status.Ended()
	default:
		taken = m.status == JobInProgress && result.Outcome == api.OutcomeNotRun
	}
	if !taken {
		m.dropped++
		return false
	}
	held.result = &result
	m.settle()
	return true
}

func (m *modelJob) release(item int, request api.RequestID) {
	held := &m.items[item]
	if held.started && !held.released && held.result == nil && held.request == request {
		held.released = true
		m.settle()
	}
}

// TestStateMatchesModel compares the State with the reference model under random
// commands.
func TestStateMatchesModel(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		state := newTestState(t, NewMemoryStorage(), Faults{})
		models := map[string]*modelJob{}
		names := func() []string { return slices.Sorted(maps.Keys(models)) }
		anyItem := func(r *rapid.T) (string, int) {
			name := rapid.SampledFrom(names()).Draw(r, "job")
			return name, rapid.IntRange(0, len(models[name].items)-1).Draw(r, "item")
		}
		request := rapid.SampledFrom([]api.RequestID{"a", "b", "c"})
		r.Repeat(map[string]func(*rapid.T){
			"submit": func(r *rapid.T) {
				name := fmt.Sprint("j", len(models))
				items, repeatable := rapid.IntRange(1, 4).Draw(r, "items"), rapid.Bool().Draw(r, "repeatable")
				state.submit(name, items, repeatable)
				models[name] = &modelJob{repeatable: repeatable, status: JobInProgress, items: make([]modelItem, items)}
			},
			"start": func(r *rapid.T) {
				if len(models) == 0 {
					r.Skip()
				}
				name, item := anyItem(r)
				id, epoch := request.Draw(r, "request"), rapid.Uint64Range(1, 4).Draw(r, "epoch")
				got := state.apply(Command{Start: &Start{Item: ItemRef{Job: JobID(name), Item: item}, Request: id, Epoch: epoch}}).Code == ""
				if want := models[name].start(item, id, epoch); got != want {
					r.Fatalf("start of %s/%d by %s under %d: %v, want %v", name, item, id, epoch, got, want)
				}
			},
			"complete": func(r *rapid.T) {
				if len(models) == 0 {
					r.Skip()
				}
				name, item := anyItem(r)
				id := request.Draw(r, "request")
				outcome := rapid.SampledFrom([]api.Outcome{api.OutcomeRan, api.OutcomeUnknown, api.OutcomeNotRun}).Draw(r, "outcome")
				got := state.complete(name, item, outcome, string(id)) == 1
				want := models[name].complete(item, ItemResult{Outcome: outcome, Status: 200, Request: id})
				if got != want {
					r.Fatalf("result of %s/%d by %s: accepted %v, want %v", name, item, id, got, want)
				}
			},
			"release": func(r *rapid.T) {
				if len(models) == 0 {
					r.Skip()
				}
				name, item := anyItem(r)
				id := request.Draw(r, "request")
				state.apply(Command{Complete: &Complete{Released: []Release{{Item: ItemRef{Job: JobID(name), Item: item}, Request: id}}}})
				models[name].release(item, id)
			},
			"cancel": func(r *rapid.T) {
				if len(models) == 0 {
					r.Skip()
				}
				name, _ := anyItem(r)
				state.apply(Command{Cancel: &Cancel{Job: JobID(name)}})
				if models[name].status == JobInProgress {
					models[name].status = JobCancelling
					models[name].settle()
				}
			},
			"expire": func(r *rapid.T) {
				if len(models) == 0 {
					r.Skip()
				}
				name, _ := anyItem(r)
				state.now = state.now.Add(2 * time.Hour)
				state.apply(Command{ExpireJobs: &ExpireJobs{Jobs: []JobID{JobID(name)}}})
				if models[name].status == JobInProgress {
					models[name].status = JobFinalizing
					models[name].settle()
				}
			},
			"": func(r *rapid.T) {
				for _, name := range names() {
					checkModel(r, state, name, models[name])
				}
			},
		})
	})
}

func checkModel(r *rapid.T, state *testState, name string, model *modelJob) {
	job := state.job(name)
	failed := model.count(func(i modelItem) bool { return i.result != nil && i.result.Failed() })
	completed := model.count(func(i modelItem) bool { return i.result != nil && !i.result.Failed() })
	if job.Status != model.status || job.Completed != completed || job.Failed != failed || job.Started != model.running() || job.Dropped != model.dropped {
		r.Fatalf("job %s is %+v, want %+v with %d completed, %d failed, %d running", name, job, model, completed, failed, model.running())
	}
	if job.Status.Ended() && job.settled()+job.Unfinished != job.Total {
		r.Fatalf("the counts of %s do not add up: %+v", name, job)
	}
	results, _, err := state.Results(JobID(name), 0, 100)
	if err != nil {
		r.Fatal(err)
	}
	for _, result := range results {
		if held := model.items[result.Item.Item]; held.result != nil && (held.result.Request != result.Request || held.result.Outcome != result.Outcome) {
			r.Fatalf("item %d of %s has %+v, want %+v", result.Item.Item, name, result, held.result)
		}
	}
}

func TestRetentionDeletesAllKeysOfJob(t *testing.T) {
	for name, storage := range storages(t) {
		t.Run(name, func(t *testing.T) {
			state := newTestState(t, storage, Faults{})
			state.submit("j", 3000, true)
			for i := range 50 {
				state.complete("j", i, api.OutcomeRan, "r")
			}
			state.apply(Command{CreateFile: &CreateFile{File: "scratch", Tenant: "t"}})
			state.apply(Command{DeleteFile: &DeleteFile{File: "file-j"}})
			if lines, _, _ := state.Lines("file-j", 0, 1); len(lines) != 1 {
				t.Fatal("the lines of a deleted file were removed while a job uses it")
			}
			state.apply(Command{Cancel: &Cancel{Job: "j"}})
			later := ExpireRetention{Before: state.now.Add(time.Hour), UploadsBefore: state.now.Add(time.Hour)}
			for state.apply(Command{Expire: &later}).More {
			}
			var left []string
			_ = storage.View(func(r Reader) error {
				r.Scan(nil, func(key, _ []byte) bool {
					left = append(left, string(key))
					return len(left) < 10
				})
				return nil
			})
			if len(left) != 1 || left[0] != string(appliedKey) {
				t.Fatalf("keys %q were not deleted", left)
			}
		})
	}
}
