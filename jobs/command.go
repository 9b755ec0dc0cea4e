// Package jobs stores files, batch jobs and idempotency claims of non-repeatable
// requests in a deterministic state machine over a replicated log (State). The
// leader hands waiting items to routers (Dispatcher), which run them (Runner).
//
// Invariants:
//   - An item has at most one terminal record: the first one committed.
//   - No item of a job starts after the job's cancellation is committed.
//   - A non-repeatable item is sent only after its start is committed, and at
//     most once.
package jobs

import (
	"encoding/json"
	"time"

	"github.com/dykewing/dykewing/api"
)

// FileID identifies a file. It contains the ID of the group that stores it.
type FileID string

// JobID identifies a batch job. It contains the ID of the group that stores it.
type JobID string

// ItemRef identifies an item of a job by its zero-based line number in the input.
type ItemRef struct {
	Job  JobID `json:"job"`
	Item int   `json:"item"`
}

// Command is an entry of a group's log. Exactly one field besides Time is set.
type Command struct {
	Time       time.Time        `json:"time"` // clock of the proposing leader; not monotonic
	CreateFile *CreateFile      `json:"create_file,omitempty"`
	AppendFile *AppendFile      `json:"append_file,omitempty"`
	SealFile   *SealFile        `json:"seal_file,omitempty"`
	DeleteFile *DeleteFile      `json:"delete_file,omitempty"`
	Submit     *Submit          `json:"submit,omitempty"`
	Cancel     *Cancel          `json:"cancel,omitempty"`
	ExpireJobs *ExpireJobs      `json:"expire_jobs,omitempty"`
	Start      *Start           `json:"start,omitempty"`
	Complete   *Complete        `json:"complete,omitempty"`
	Claim      *ClaimKey        `json:"claim,omitempty"`
	Record     *RecordAnswer    `json:"record,omitempty"`
	Expire     *ExpireRetention `json:"expire,omitempty"`
	Holder     *HolderChange    `json:"holder,omitempty"`

	SubmitInline     *SubmitInline     `json:"submit_inline,omitempty"`
	CompleteInline   *CompleteInline   `json:"complete_inline,omitempty"`
	CheckpointInline *CheckpointInline `json:"keep_inline,omitempty"`
	EndInline        *EndInline        `json:"end_inline,omitempty"`
	ExpireInline     *ExpireInline     `json:"expire_inline,omitempty"`
	AdmitToQueue     *AdmitToQueue     `json:"admit_to_queue,omitempty"`
	ReportQueue      *ReportQueue      `json:"report_queue,omitempty"`
}

// CreateFile opens a file for AppendFile.
type CreateFile struct {
	File    FileID       `json:"file"`
	Tenant  api.TenantID `json:"tenant"`
	Name    string       `json:"name"`
	Purpose string       `json:"purpose"`
}

// AppendFile appends complete lines. Line is the index of the first one, which
// makes retries idempotent.
type AppendFile struct {
	File  FileID            `json:"file"`
	Line  int               `json:"line"`
	Lines []json.RawMessage `json:"lines"`
}

// SealFile completes a file. It is rejected unless the file has Lines lines.
type SealFile struct {
	File  FileID `json:"file"`
	Lines int    `json:"lines"`
	Bytes int64  `json:"bytes"`
}

// DeleteFile hides a file at once and frees its space when no job uses it.
type DeleteFile struct {
	File FileID `json:"file"`
}

// Submit creates a job over a sealed file.
type Submit struct {
	Job        JobID             `json:"job"`
	Tenant     api.TenantID      `json:"tenant"`
	Key        string            `json:"key,omitempty"` // idempotency key, scoped to the tenant
	BodyHash   string            `json:"body_hash"`
	File       FileID            `json:"file"`
	Endpoint   string            `json:"endpoint"`
	Repeatable bool              `json:"repeatable"`
	Window     string            `json:"window,omitempty"` // as the caller gave it
	Deadline   time.Time         `json:"deadline"`
	Metadata   map[string]string `json:"metadata,omitempty"`
}

// Cancel cancels a job permanently.
type Cancel struct {
	Job JobID `json:"job"`
}

// ExpireJobs expires those of the jobs whose deadline is at or before the
// command's time.
type ExpireJobs struct {
	Jobs []JobID `json:"jobs"`
}

// Start records that a non-repeatable item is about to be sent. It is rejected if a
// start under the same or a later grant was committed before, unless it is a retry of
// that start, or if the job or the item has ended.
type Start struct {
	Item    ItemRef       `json:"item"`
	Router  api.NodeID    `json:"router"`
	Request api.RequestID `json:"request"`
	Epoch   uint64        `json:"epoch"` // of the grant
}

// Release revokes a start whose request is known not to have run.
type Release struct {
	Item    ItemRef       `json:"item"`
	Request api.RequestID `json:"request"`
}

// Complete records results and releases of any number of items.
type Complete struct {
	Results  []ItemResult `json:"results,omitempty"`
	Released []Release    `json:"released,omitempty"`
}

// ItemResult is the terminal record of an item.
type ItemResult struct {
	Item     ItemRef         `json:"item"`
	CustomID string          `json:"custom_id"` // of the input line
	Outcome  api.Outcome     `json:"outcome"`
	Status   int             `json:"status"` // HTTP status of the answer
	Body     json.RawMessage `json:"body,omitempty"`
	Code     api.ErrorCode   `json:"code,omitempty"` // set if there is no answer
	Error    string          `json:"error,omitempty"`
	Request  api.RequestID   `json:"request"`
}

// Failed reports whether the item has no answer or one with status 400 or above.
func (r ItemResult) Failed() bool {
	return r.Outcome != api.OutcomeRan || r.Status == 0 || r.Status >= 400
}

// Codes of items without a result whose job was cancelled or expired, as defined
// by the OpenAI API.
const (
	CodeExpired   api.ErrorCode = "batch_expired"
	CodeCancelled api.ErrorCode = "batch_cancelled"
)

// ClaimKey reserves an idempotency key for a non-repeatable online request
// before it is sent.
type ClaimKey struct {
	Tenant   api.TenantID  `json:"tenant"`
	Key      string        `json:"key"`
	BodyHash string        `json:"body_hash"`
	Request  api.RequestID `json:"request"`
	// Holder is the address of the sidecar that handles the request.
	Holder string `json:"holder,omitempty"`
}

// RecordAnswer stores the answer of a claimed request. The outcome "not run"
// releases the key instead.
type RecordAnswer struct {
	Tenant      api.TenantID  `json:"tenant"`
	Key         string        `json:"key"`
	Request     api.RequestID `json:"request"`
	Outcome     api.Outcome   `json:"outcome"`
	Status      int           `json:"status"`
	ContentType string        `json:"content_type"`
	Body        []byte        `json:"body,omitempty"`
}

// ExpireRetention deletes jobs, files and claims that ended before Before, and
// unsealed uploads created before UploadsBefore. One command deletes a bounded
// number; Result.More reports whether to send another.
type ExpireRetention struct {
	Before        time.Time `json:"before"`
	UploadsBefore time.Time `json:"uploads_before"`
}

// Result is the outcome of an applied command.
type Result struct {
	Job       *Job          `json:"job,omitempty"`
	File      *File         `json:"file,omitempty"`
	Duplicate bool          `json:"duplicate,omitempty"` // the command was applied before
	Accepted  int           `json:"accepted,omitempty"`  // number of results, parts or jobs that took effect
	More      bool          `json:"more,omitempty"`      // ExpireRetention, ExpireInline: more remains to be deleted
	Recorded  *RecordAnswer `json:"recorded,omitempty"`  // Claim, Record: the stored answer
	Claimed   *ClaimKey     `json:"claimed,omitempty"`   // Claim: the conflicting claim
	Inline    *InlineJob    `json:"inline,omitempty"`    // SubmitInline, EndInline
	Code      api.ErrorCode `json:"code,omitempty"`      // empty on success
	Message   string        `json:"message,omitempty"`
}

// File describes a file without its lines.
type File struct {
	ID      FileID       `json:"id"`
	Tenant  api.TenantID `json:"tenant"`
	Name    string       `json:"name"`
	Purpose string       `json:"purpose"`
	Created time.Time    `json:"created"`
	Lines   int          `json:"lines"`
	Bytes   int64        `json:"bytes"`
	Sealed  bool         `json:"sealed"`
	// Services is the number of lines by service.
	Services map[api.ServiceName]int `json:"services,omitempty"`
	// Jobs is the number of stored jobs that use the file.
	Jobs int `json:"jobs,omitempty"`
	// Deleted files are hidden; their lines are kept while Jobs is not 0.
	Deleted bool `json:"deleted,omitempty"`
}

// JobStatus is the state of a job, as defined by the OpenAI API.
type JobStatus string

// The states of a job; the last three are terminal.
const (
	JobInProgress JobStatus = "in_progress"
	JobCancelling JobStatus = "cancelling" // cancelled, with started non-repeatable items outstanding
	JobFinalizing JobStatus = "finalizing" // past its deadline, with started non-repeatable items outstanding
	JobCompleted  JobStatus = "completed"
	JobCancelled  JobStatus = "cancelled"
	JobExpired    JobStatus = "expired"
)

// Ended reports whether the state is terminal.
func (s JobStatus) Ended() bool {
	return s == JobCompleted || s == JobCancelled || s == JobExpired
}

// Job describes a batch job without its items. Once the job has ended, Completed,
// Failed and Unfinished add up to Total.
type Job struct {
	Submit
	Status     JobStatus `json:"status"`
	Created    time.Time `json:"created"`
	Cancelling time.Time `json:"cancelling"` // when the cancel was committed; zero otherwise
	Ended      time.Time `json:"ended"`
	Total      int       `json:"total"`
	Completed  int       `json:"completed"`  // answered with a status below 400
	Failed     int       `json:"failed"`     // all other items with a result
	Unknown    int       `json:"unknown"`    // part of Failed: the outcome is unknown
	Unfinished int       `json:"unfinished"` // cancelled or expired without a result
	Started    int       `json:"started"`    // non-repeatable items started, without a result
	Dropped    int       `json:"dropped"`    // late results that were rejected
	// Services is the number of items by service.
	Services map[api.ServiceName]int `json:"services,omitempty"`
}

func (j Job) ID() JobID { return j.Submit.Job }

// settled is the number of items with a result.
func (j Job) settled() int { return j.Completed + j.Failed }
