package jobs

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"go.etcd.io/bbolt"

	"github.com/dykewing/dykewing/api"
)

var testEpoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func testLine(id, service string) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"custom_id":%q,"url":"/v1/services/%s/mark","body":{}}`, id, service))
}

func testLines(count int) []json.RawMessage {
	lines := make([]json.RawMessage, count)
	for i := range lines {
		lines[i] = testLine(fmt.Sprint("item-", i), "judge")
	}
	return lines
}

// testState applies commands one at a time.
type testState struct {
	*State
	t     testing.TB
	index uint64
	now   time.Time
}

func newTestState(t testing.TB, storage Storage, faults Faults) *testState {
	state, err := OpenStateWithFaults(storage, faults)
	if err != nil {
		t.Fatal(err)
	}
	return &testState{State: state, t: t, now: testEpoch}
}

func (s *testState) apply(command Command) Result {
	s.t.Helper()
	s.index++
	command.Time = s.now
	results, err := s.Apply(Entry{Index: s.index, Command: command})
	if err != nil {
		s.t.Fatal(err)
	}
	return results[0]
}

// submit uploads a file with the given number of lines and submits a job over it.
func (s *testState) submit(id string, items int, repeatable bool) Job {
	s.t.Helper()
	file := FileID("file-" + id)
	s.apply(Command{CreateFile: &CreateFile{File: file, Tenant: "t"}})
	s.apply(Command{AppendFile: &AppendFile{File: file, Lines: testLines(items)}})
	s.apply(Command{SealFile: &SealFile{File: file, Lines: items}})
	result := s.apply(Command{Submit: &Submit{
		Job: JobID(id), Tenant: "t", File: file, Repeatable: repeatable, Deadline: s.now.Add(time.Hour),
	}})
	if result.Code != "" {
		s.t.Fatalf("submit %s: %s", id, result.Message)
	}
	return *result.Job
}

func (s *testState) complete(job string, item int, outcome api.Outcome, request string) int {
	return s.apply(Command{Complete: &Complete{Results: []ItemResult{{
		Item: ItemRef{Job: JobID(job), Item: item}, Outcome: outcome, Status: 200, Request: api.RequestID(request),
	}}}}).Accepted
}

func (s *testState) job(id string) Job {
	s.t.Helper()
	job, found, err := s.Job(JobID(id))
	if err != nil || !found {
		s.t.Fatalf("job %s: found %v, %v", id, found, err)
	}
	return job
}

// storages returns an instance of each Storage implementation.
func storages(t testing.TB) map[string]Storage {
	database, err := bbolt.Open(filepath.Join(t.TempDir(), "state.db"), 0o600, &bbolt.Options{NoSync: true})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { database.Close() })
	bolt, err := NewBoltStorage(database, "state")
	if err != nil {
		t.Fatal(err)
	}
	return map[string]Storage{"memory": NewMemoryStorage(), "bolt": bolt}
}

func TestReplayIsIdempotent(t *testing.T) {
	for name, storage := range storages(t) {
		t.Run(name, func(t *testing.T) {
			state := newTestState(t, storage, Faults{})
			state.submit("j", 2, true)
			state.complete("j", 0, api.OutcomeRan, "r")
			reopened, err := OpenState(storage)
			if err != nil {
				t.Fatal(err)
			}
			command := Command{Time: testEpoch, Complete: &Complete{Results: []ItemResult{{Item: ItemRef{Job: "j"}, Outcome: api.OutcomeRan}}}}
			results, err := reopened.Apply(Entry{Index: state.index, Command: command})
			if err != nil || !results[0].Duplicate {
				t.Fatalf("replay gave %+v, %v", results, err)
			}
			if job := state.job("j"); job.Dropped != 0 || job.Completed != 1 {
				t.Fatalf("replay changed the job to %+v", job)
			}
		})
	}
}

func TestSnapshotRestoresWholeState(t *testing.T) {
	for name, storage := range storages(t) {
		t.Run(name, func(t *testing.T) {
			state := newTestState(t, storage, Faults{})
			state.submit("j", 300, true)
			for i := range 100 {
				state.complete("j", i, api.OutcomeRan, "r")
			}
			var snapshot bytes.Buffer
			index, err := state.WriteSnapshot(&snapshot)
			if err != nil || index != state.index {
				t.Fatalf("index %d, %v, want %d", index, err, state.index)
			}
			whole := snapshot.Bytes()
			target := NewMemoryStorage()
			for _, broken := range [][]byte{whole[:len(whole)/2], append(bytes.Clone(whole[:40]), append([]byte{whole[40] ^ 1}, whole[41:]...)...)} {
				if _, err := ReadSnapshot(target, bytes.NewReader(broken)); !errors.Is(err, ErrBadSnapshot) {
					t.Fatalf("a broken snapshot gave %v", err)
				}
				if _, err := OpenState(target); !errors.Is(err, ErrIncompleteSnapshot) {
					t.Fatalf("opening a partial import gave %v", err)
				}
			}
			copied, err := ReadSnapshot(target, bytes.NewReader(whole))
			if err != nil {
				t.Fatal(err)
			}
			var again bytes.Buffer
			if _, err := copied.WriteSnapshot(&again); err != nil || !bytes.Equal(again.Bytes(), whole) {
				t.Fatalf("the copy differs: %v", err)
			}
		})
	}
}
