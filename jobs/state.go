package jobs

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/dykewing/dykewing/api"
)

type itemState struct {
	started bool // non-repeatable: its start is committed
	result  *ItemResult
}

type jobState struct {
	job   Job
	items []itemState
}

type fileState struct {
	file  File
	lines []json.RawMessage
}

type claimKey struct {
	tenant api.TenantID
	key    string
}

// State is the applied state of one group.
type State struct {
	files  map[FileID]*fileState
	jobs   map[JobID]*jobState
	keys   map[claimKey]JobID
	claims map[claimKey]*claimState
}

type claimState struct {
	claim  ClaimRequest
	record *RecordRequest
}

// NewState starts empty.
func NewState() *State {
	return &State{
		files:  map[FileID]*fileState{},
		jobs:   map[JobID]*jobState{},
		keys:   map[claimKey]JobID{},
		claims: map[claimKey]*claimState{},
	}
}

// Apply applies one committed command; it depends on nothing but the state and
// the command.
func (s *State) Apply(command Command) Result {
	switch {
	case command.CreateFile != nil:
		return s.createFile(command.Time, *command.CreateFile)
	case command.AppendFile != nil:
		return s.appendFile(*command.AppendFile)
	case command.SealFile != nil:
		return s.sealFile(*command.SealFile)
	case command.Submit != nil:
		return s.submit(command.Time, *command.Submit)
	case command.Cancel != nil:
		return s.cancel(command.Time, *command.Cancel)
	case command.Start != nil:
		return s.start(*command.Start)
	case command.Complete != nil:
		return s.complete(command.Time, *command.Complete)
	case command.Claim != nil:
		return s.claim(*command.Claim)
	case command.Record != nil:
		return s.record(*command.Record)
	}
	return failure(api.CodeBadRequest, "command has no known part")
}

func failure(code api.ErrorCode, format string, arguments ...any) Result {
	return Result{Code: code, Message: fmt.Sprintf(format, arguments...)}
}

func (s *State) createFile(now time.Time, command CreateFile) Result {
	if known, ok := s.files[command.File]; ok {
		return Result{File: &known.file, Duplicate: true}
	}
	state := &fileState{file: File{ID: command.File, Tenant: command.Tenant, Name: command.Name, Purpose: command.Purpose, Created: now}}
	s.files[command.File] = state
	file := state.file
	return Result{File: &file}
}

func (s *State) appendFile(command AppendFile) Result {
	state, ok := s.files[command.File]
	if !ok {
		return failure(api.CodeNotFound, "no file %s", command.File)
	}
	if command.Line < len(state.lines) {
		return Result{Duplicate: true}
	}
	if command.Line > len(state.lines) || state.file.Sealed {
		return failure(api.CodeConflict, "file %s has %d lines, append is at %d", command.File, len(state.lines), command.Line)
	}
	state.lines = append(state.lines, command.Lines...)
	state.file.Lines = len(state.lines)
	return Result{}
}

func (s *State) sealFile(command SealFile) Result {
	state, ok := s.files[command.File]
	if !ok {
		return failure(api.CodeNotFound, "no file %s", command.File)
	}
	if len(state.lines) != command.Lines {
		return failure(api.CodeConflict, "file %s has %d lines, not %d", command.File, len(state.lines), command.Lines)
	}
	state.file.Sealed = true
	state.file.Bytes = command.Bytes
	file := state.file
	return Result{File: &file}
}

func (s *State) submit(now time.Time, command Submit) Result {
	key := claimKey{tenant: command.Tenant, key: command.Key}
	if known, ok := s.keys[key]; ok && command.Key != "" {
		job := s.jobs[known].job
		if job.BodyHash != command.BodyHash {
			return failure(api.CodeConflict, "idempotency key %q was used with another body", command.Key)
		}
		return Result{Job: &job, Duplicate: true}
	}
	file, ok := s.files[command.File]
	if !ok || !file.file.Sealed || file.file.Tenant != command.Tenant {
		return failure(api.CodeNotFound, "no input file %s", command.File)
	}
	state := &jobState{items: make([]itemState, len(file.lines))}
	state.job = Job{Submit: command, Status: JobInProgress, Created: now, Total: len(file.lines)}
	s.jobs[command.Job] = state
	if command.Key != "" {
		s.keys[key] = command.Job
	}
	job := state.job
	return Result{Job: &job}
}

func (s *State) cancel(now time.Time, command Cancel) Result {
	state, ok := s.jobs[command.Job]
	if !ok {
		return failure(api.CodeNotFound, "no job %s", command.Job)
	}
	if state.job.Status == JobInProgress {
		state.job.Status = JobCancelled
		state.job.Ended = now
	}
	job := state.job
	return Result{Job: &job}
}

func (s *State) start(command Start) Result {
	state, ok := s.jobs[command.Item.Job]
	if !ok || command.Item.Item >= len(state.items) {
		return failure(api.CodeNotFound, "no item %v", command.Item)
	}
	item := &state.items[command.Item.Item]
	if state.job.Status != JobInProgress || item.started || item.result != nil {
		return failure(api.CodeConflict, "item %v may not start", command.Item)
	}
	item.started = true
	return Result{}
}

func (s *State) complete(now time.Time, command Complete) Result {
	result := Result{}
	for _, itemResult := range command.Results {
		state, ok := s.jobs[itemResult.Item.Job]
		if !ok || itemResult.Item.Item >= len(state.items) {
			continue
		}
		item := &state.items[itemResult.Item.Item]
		if item.result != nil || state.job.Status == JobCancelled {
			state.job.Dropped++
			continue
		}
		item.result = &itemResult
		result.Accepted++
		state.count(now, itemResult)
	}
	return result
}

func (j *jobState) count(now time.Time, result ItemResult) {
	if result.Outcome == api.OutcomeRan && result.Status < 400 {
		j.job.Completed++
	} else {
		j.job.Failed++
	}
	if result.Outcome == api.OutcomeUnknown {
		j.job.Unknown++
	}
	if j.job.Completed+j.job.Failed == j.job.Total {
		j.job.Status = JobCompleted
		j.job.Ended = now
	}
}

func (s *State) claim(command ClaimRequest) Result {
	key := claimKey{tenant: command.Tenant, key: command.Key}
	known, ok := s.claims[key]
	if !ok {
		s.claims[key] = &claimState{claim: command}
		return Result{}
	}
	if known.claim.BodyHash != command.BodyHash {
		return failure(api.CodeConflict, "idempotency key %q was used with another body", command.Key)
	}
	if known.record != nil {
		return Result{Duplicate: true, Recorded: known.record}
	}
	if known.claim.Request == command.Request {
		return Result{}
	}
	standing := known.claim
	result := failure(api.CodeAlreadySubmitted, "idempotency key %q is in use by a request whose answer is not recorded", command.Key)
	result.Claimed = &standing
	return result
}

func (s *State) record(command RecordRequest) Result {
	key := claimKey{tenant: command.Tenant, key: command.Key}
	known, ok := s.claims[key]
	if !ok || known.claim.Request != command.Request {
		return failure(api.CodeNotFound, "no claim of key %q by request %s", command.Key, command.Request)
	}
	if known.record == nil && command.Outcome == api.OutcomeNotRun {
		delete(s.claims, key)
		return Result{}
	}
	if known.record == nil {
		known.record = &command
	}
	return Result{Recorded: known.record}
}

// Job finds a job.
func (s *State) Job(id JobID) (Job, bool) {
	state, ok := s.jobs[id]
	if !ok {
		return Job{}, false
	}
	return state.job, true
}

// Jobs lists a tenant's jobs in no order.
func (s *State) Jobs(tenant api.TenantID) []Job {
	var list []Job
	for _, state := range s.jobs {
		if state.job.Tenant == tenant {
			list = append(list, state.job)
		}
	}
	return list
}

// File finds a file.
func (s *State) File(id FileID) (File, bool) {
	state, ok := s.files[id]
	if !ok {
		return File{}, false
	}
	return state.file, true
}

// Lines reads up to count lines of a file from the given one on.
func (s *State) Lines(id FileID, from, count int) []json.RawMessage {
	state, ok := s.files[id]
	if !ok || from >= len(state.lines) {
		return nil
	}
	return state.lines[from:min(from+count, len(state.lines))]
}

// Results reads up to count results of a job from the given item on, and the
// item to go on from; next is -1 at the end.
func (s *State) Results(id JobID, from, count int) (results []ItemResult, next int) {
	state, ok := s.jobs[id]
	if !ok {
		return nil, -1
	}
	for i := from; i < len(state.items); i++ {
		if len(results) == count {
			return results, i
		}
		if state.items[i].result != nil {
			results = append(results, *state.items[i].result)
		}
	}
	return results, -1
}

// Runnable says whether an item may be handed out.
func (s *State) Runnable(item ItemRef) bool {
	state, ok := s.jobs[item.Job]
	if !ok || state.job.Status != JobInProgress || item.Item >= len(state.items) {
		return false
	}
	return !state.items[item.Item].started && state.items[item.Item].result == nil
}
