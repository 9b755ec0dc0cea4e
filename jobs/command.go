// Package jobs keeps files, batch jobs and the claims of requests that may not
// be repeated, as a deterministic state machine over a replicated log (State),
// and hands the leader's waiting items to routers (Dispatcher).
//
// Invariants: an item has one terminal record, the first committed one. After
// a committed cancel no item of the job starts. A non-repeatable item is sent
// only after its start was committed, and never twice.
package jobs

import (
	"encoding/json"
	"time"

	"github.com/dykewing/dykewing/api"
)

// FileID names a file; it contains the id of the group that holds it.
type FileID string

// JobID names a batch job; it contains the id of the group that holds it.
type JobID string

// ItemRef names one item of a job by its line number in the input, from 0.
type ItemRef struct {
	Job  JobID `json:"job"`
	Item int   `json:"item"`
}

// Command is one entry of a group's log; exactly one field besides Time is set.
type Command struct {
	Time       time.Time        `json:"time"` // of the proposing leader; orders nothing
	CreateFile *CreateFile      `json:"create_file,omitempty"`
	AppendFile *AppendFile      `json:"append_file,omitempty"`
	SealFile   *SealFile        `json:"seal_file,omitempty"`
	DeleteFile *DeleteFile      `json:"delete_file,omitempty"`
	Submit     *Submit          `json:"submit,omitempty"`
	Cancel     *Cancel          `json:"cancel,omitempty"`
	ExpireJobs *ExpireJobs      `json:"expire_jobs,omitempty"`
	Start      *Start           `json:"start,omitempty"`
	Complete   *Complete        `json:"complete,omitempty"`
	Claim      *ClaimRequest    `json:"claim,omitempty"`
	Record     *RecordRequest   `json:"record,omitempty"`
	Expire     *ExpireRetention `json:"expire,omitempty"`
	Holder     *HolderChange    `json:"holder,omitempty"`

	SubmitInline   *SubmitInline   `json:"submit_inline,omitempty"`
	CompleteInline *CompleteInline `json:"complete_inline,omitempty"`
	KeepInline     *KeepInline     `json:"keep_inline,omitempty"`
	EndInline      *EndInline      `json:"end_inline,omitempty"`
	ExpireInline   *ExpireInline   `json:"expire_inline,omitempty"`
	AdmitToQueue   *AdmitToQueue   `json:"admit_to_queue,omitempty"`
	ReportQueue    *ReportQueue    `json:"report_queue,omitempty"`
}

// CreateFile opens a file for AppendFile.
type CreateFile struct {
	File    FileID       `json:"file"`
	Tenant  api.TenantID `json:"tenant"`
	Name    string       `json:"name"`
	Purpose string       `json:"purpose"`
}

// AppendFile adds whole lines. Line is the index of the first one, so that a
// resent append has no second effect.
type AppendFile struct {
	File  FileID            `json:"file"`
	Line  int               `json:"line"`
	Lines []json.RawMessage `json:"lines"`
}

// SealFile ends a file with the number of lines that it must have.
type SealFile struct {
	File  FileID `json:"file"`
	Lines int    `json:"lines"`
	Bytes int64  `json:"bytes"`
}

// DeleteFile removes a file and frees its space.
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

// Cancel stops a job for good.
type Cancel struct {
	Job JobID `json:"job"`
}

// ExpireJobs ends those of the jobs whose deadline is not after the command's
// time.
type ExpireJobs struct {
	Jobs []JobID `json:"jobs"`
}

// Start records, before it is sent, that a non-repeatable item is sent. It is
// refused when a start of the same or a later grant was ever committed, unless
// it is the same start sent again, and once the job or the item has ended.
type Start struct {
	Item    ItemRef       `json:"item"`
	Router  api.NodeID    `json:"router"`
	Request api.RequestID `json:"request"`
	Epoch   uint64        `json:"epoch"` // of the grant
}

// Release takes a start back: the request is known not to have run.
type Release struct {
	Item    ItemRef       `json:"item"`
	Request api.RequestID `json:"request"`
}

// Complete brings results and releases of many items.
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
	Code     api.ErrorCode   `json:"code,omitempty"` // why there is no answer
	Error    string          `json:"error,omitempty"`
	Request  api.RequestID   `json:"request"`
}

// Failed tells whether the item has no answer or one of status 400 or more.
func (r ItemResult) Failed() bool {
	return r.Outcome != api.OutcomeRan || r.Status == 0 || r.Status >= 400
}

// The codes of items that their job left without a result; the words are the
// OpenAI API's.
const (
	CodeExpired   api.ErrorCode = "batch_expired"
	CodeCancelled api.ErrorCode = "batch_cancelled"
)

// ClaimRequest reserves an idempotency key for an online request that may not
// be repeated, before it is sent.
type ClaimRequest struct {
	Tenant   api.TenantID  `json:"tenant"`
	Key      string        `json:"key"`
	BodyHash string        `json:"body_hash"`
	Request  api.RequestID `json:"request"`
	// Holder is the address of the sidecar that works on the request.
	Holder string `json:"holder,omitempty"`
}

// RecordRequest keeps the answer of a claimed request. An outcome of not run
// gives the key free again.
type RecordRequest struct {
	Tenant  api.TenantID  `json:"tenant"`
	Key     string        `json:"key"`
	Request api.RequestID `json:"request"`
	Outcome api.Outcome   `json:"outcome"`
	Status  int           `json:"status"`
	Type    string        `json:"content_type"`
	Body    []byte        `json:"body,omitempty"`
}

// ExpireRetention drops jobs, files and claims that ended before Before, and
// uploads that were begun before UploadsBefore and never sealed. One command
// removes a bounded part; Result.More asks for another.
type ExpireRetention struct {
	Before        time.Time `json:"before"`
	UploadsBefore time.Time `json:"uploads_before"`
}

// Result answers a command once it is applied.
type Result struct {
	Job       *Job           `json:"job,omitempty"`
	File      *File          `json:"file,omitempty"`
	Duplicate bool           `json:"duplicate,omitempty"` // the same command took effect before
	Accepted  int            `json:"accepted,omitempty"`  // Complete: records that were first
	More      bool           `json:"more,omitempty"`      // ExpireRetention: there is more to remove
	Recorded  *RecordRequest `json:"recorded,omitempty"`  // Claim: the answer that stands
	Claimed   *ClaimRequest  `json:"claimed,omitempty"`   // Claim: whose claim stands in the way
	Inline    *InlineJob     `json:"inline,omitempty"`    // SubmitInline, EndInline: the job
	Code      api.ErrorCode  `json:"code,omitempty"`      // empty on success
	Message   string         `json:"message,omitempty"`
}

// File is a file's state.
type File struct {
	ID      FileID       `json:"id"`
	Tenant  api.TenantID `json:"tenant"`
	Name    string       `json:"name"`
	Purpose string       `json:"purpose"`
	Created time.Time    `json:"created"`
	Lines   int          `json:"lines"`
	Bytes   int64        `json:"bytes"`
	Sealed  bool         `json:"sealed"`
	// Services counts the lines by the service that they are for.
	Services map[api.ServiceName]int `json:"services,omitempty"`
	// Jobs counts the jobs over the file that are still kept.
	Jobs int `json:"jobs,omitempty"`
	// Deleted files are not shown; their lines stay while Jobs is not 0.
	Deleted bool `json:"deleted,omitempty"`
}

// JobStatus is a job's state; the words are the OpenAI API's.
type JobStatus string

// The states of a job; the last three are terminal.
const (
	JobInProgress JobStatus = "in_progress"
	JobCancelling JobStatus = "cancelling" // cancelled; started non-repeatable items are not settled yet
	JobFinalizing JobStatus = "finalizing" // past its deadline; started non-repeatable items are not settled yet
	JobCompleted  JobStatus = "completed"
	JobCancelled  JobStatus = "cancelled"
	JobExpired    JobStatus = "expired"
)

// Ended tells whether the state is terminal.
func (s JobStatus) Ended() bool {
	return s == JobCompleted || s == JobCancelled || s == JobExpired
}

// Job is a batch job's state without its items. Of an ended job, Completed,
// Failed and Unfinished add up to Total.
type Job struct {
	Submit
	Status     JobStatus `json:"status"`
	Created    time.Time `json:"created"`
	Cancelling time.Time `json:"cancelling"` // when the cancel was committed; zero otherwise
	Ended      time.Time `json:"ended"`
	Total      int       `json:"total"`
	Completed  int       `json:"completed"`  // ended with an answer of status below 400
	Failed     int       `json:"failed"`     // ended otherwise
	Unknown    int       `json:"unknown"`    // of Failed: the outcome could not be learned
	Unfinished int       `json:"unfinished"` // cancelled or expired without a result
	Started    int       `json:"started"`    // non-repeatable items that are sent and not settled
	Dropped    int       `json:"dropped"`    // late answers that were not taken
	// Services counts the items by service.
	Services map[api.ServiceName]int `json:"services,omitempty"`
}

// ID is the job's id.
func (j Job) ID() JobID { return j.Submit.Job }

// Ended items have a record.
func (j Job) settled() int { return j.Completed + j.Failed }
