package sidecar

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/storeclient"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/jobs"
)

const (
	maxBatchBody = 1 << 20
	maxWindow    = 30 * 24 * time.Hour
	maxMetadata  = 16 // pairs, as in the OpenAI API
)

// batchRequest is the body of a batch's creation in the OpenAI API's shape.
type batchRequest struct {
	InputFileID      string            `json:"input_file_id"`
	Endpoint         string            `json:"endpoint"`
	CompletionWindow string            `json:"completion_window"`
	Metadata         map[string]string `json:"metadata"`
}

// batchObject is a batch in the OpenAI API's shape. Times are Unix times in seconds,
// omitted until the event has happened.
type batchObject struct {
	ID               string            `json:"id"`
	Object           string            `json:"object"`
	Endpoint         string            `json:"endpoint"`
	Errors           *struct{}         `json:"errors"`
	InputFileID      string            `json:"input_file_id"`
	CompletionWindow string            `json:"completion_window"`
	Status           string            `json:"status"`
	OutputFileID     string            `json:"output_file_id,omitempty"`
	ErrorFileID      string            `json:"error_file_id,omitempty"`
	CreatedAt        int64             `json:"created_at"`
	InProgressAt     int64             `json:"in_progress_at,omitempty"`
	ExpiresAt        int64             `json:"expires_at,omitempty"`
	FinalizingAt     int64             `json:"finalizing_at,omitempty"`
	CompletedAt      int64             `json:"completed_at,omitempty"`
	ExpiredAt        int64             `json:"expired_at,omitempty"`
	CancellingAt     int64             `json:"cancelling_at,omitempty"`
	CancelledAt      int64             `json:"cancelled_at,omitempty"`
	RequestCounts    requestCounts     `json:"request_counts"`
	Metadata         map[string]string `json:"metadata,omitempty"`
}

type requestCounts struct {
	Total     int `json:"total"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
}

func batchObjectOf(job jobs.Job) batchObject {
	object := batchObject{
		ID: string(job.ID()), Object: "batch", Endpoint: job.Endpoint, InputFileID: string(job.File),
		CompletionWindow: job.Window, Status: string(job.Status),
		CreatedAt: job.Created.Unix(), InProgressAt: job.Created.Unix(), ExpiresAt: job.Deadline.Unix(),
		RequestCounts: requestCounts{Total: job.Total, Completed: job.Completed, Failed: job.Failed},
		Metadata:      job.Metadata,
	}
	suffix := strings.TrimPrefix(string(job.ID()), batchPrefix)
	if job.Completed > 0 {
		object.OutputFileID = outputPrefix + suffix
	}
	if job.Failed+job.Unfinished > 0 {
		object.ErrorFileID = errorPrefix + suffix
	}
	object.setTimes(job)
	return object
}

func (o *batchObject) setTimes(job jobs.Job) {
	if !job.Cancelling.IsZero() {
		o.CancellingAt = job.Cancelling.Unix()
	}
	switch job.Status {
	case jobs.JobFinalizing:
		o.FinalizingAt = job.Deadline.Unix()
	case jobs.JobCompleted:
		o.FinalizingAt, o.CompletedAt = job.Ended.Unix(), job.Ended.Unix()
	case jobs.JobCancelled:
		o.CancelledAt = job.Ended.Unix()
	case jobs.JobExpired:
		o.ExpiredAt = job.Ended.Unix()
		o.RequestCounts.Failed += job.Unfinished
	}
}

func (s *Sidecar) createBatch(w http.ResponseWriter, r *http.Request) {
	const step = "create batch"
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBatchBody))
	if err != nil {
		s.refuse(w, transport.BodyError(step, err))
		return
	}
	submit, failure := submitOf(r, raw)
	if failure != nil {
		s.refuse(w, failure)
		return
	}
	file, group, failure := s.file(r, string(submit.File))
	if failure != nil {
		s.refuse(w, failure)
		return
	}
	if submit.Repeatable, failure = s.batchRepeatable(r, file); failure != nil {
		s.refuse(w, failure)
		return
	}
	submit.Job = jobs.JobID(newID(batchPrefix, group))
	result, err := s.stores.Command(r.Context(), group, jobs.Command{Submit: submit})
	if err != nil {
		s.refuse(w, api.AsError(step, err))
		return
	}
	transport.WriteJSON(w, http.StatusOK, batchObjectOf(*result.Job))
}

// batchRepeatable reports whether the file's items may be retried. The header takes
// precedence; otherwise every service of the file must be repeatable in the table.
// Without a table, or for an unknown service, items may not be retried.
func (s *Sidecar) batchRepeatable(r *http.Request, file jobs.File) (bool, *api.Error) {
	byDefault := true
	snapshot := s.node.Table()
	for service := range file.Services {
		byDefault = byDefault && snapshot != nil && len(snapshot.Service(service)) > 0 && allRepeatable(snapshot.Service(service))
	}
	return repeatableOf(r, byDefault)
}

func submitOf(r *http.Request, raw []byte) (*jobs.Submit, *api.Error) {
	const step = "create batch"
	var body batchRequest
	if err := json.Unmarshal(raw, &body); err != nil {
		return nil, api.NewError(step, "", api.CodeBadRequest, api.OutcomeNotRun, "%w", err)
	}
	window, err := time.ParseDuration(body.CompletionWindow)
	if err != nil || window <= 0 || window > maxWindow {
		return nil, api.NewError(step, "", api.CodeBadRequest, api.OutcomeNotRun, "completion_window %q is not a duration up to %v, such as 24h", body.CompletionWindow, maxWindow)
	}
	if len(body.Metadata) > maxMetadata {
		return nil, api.NewError(step, "", api.CodeBadRequest, api.OutcomeNotRun, "metadata has %d pairs, more than %d", len(body.Metadata), maxMetadata)
	}
	key := r.Header.Get(api.HeaderIdempotencyKey)
	if len(key) > maxKeyBytes || strings.ContainsRune(key, 0) {
		return nil, api.NewError(step, "", api.CodeBadRequest, api.OutcomeNotRun, "header %s is over %d bytes or not text", api.HeaderIdempotencyKey, maxKeyBytes)
	}
	hash := sha256.New()
	hash.Write([]byte(r.Header.Get(api.HeaderRepeatable) + "\n"))
	hash.Write(raw)
	return &jobs.Submit{
		Tenant: tenantOf(r), Key: key, BodyHash: hex.EncodeToString(hash.Sum(nil)),
		File: jobs.FileID(body.InputFileID), Endpoint: body.Endpoint, Window: body.CompletionWindow,
		Deadline: time.Now().UTC().Add(window), Metadata: body.Metadata,
	}, nil
}

func (s *Sidecar) listBatches(w http.ResponseWriter, r *http.Request) {
	var found storeclient.JobsPage
	if failure := s.readPage(r, "list batches", storeclient.JobsPath, &found); failure != nil {
		s.refuse(w, failure)
		return
	}
	identify := func(batch batchObject) string { return batch.ID }
	transport.WriteJSON(w, http.StatusOK, newPage(found.Jobs, batchObjectOf, identify, found.More))
}

// batch reads a job owned by the caller's tenant.
func (s *Sidecar) batch(r *http.Request, id string) (jobs.Job, api.GroupID, *api.Error) {
	tenant := func(job jobs.Job) api.TenantID { return job.Tenant }
	return readOwned(s, r, "read batch", id, storeclient.JobPath, tenant)
}

func (s *Sidecar) getBatch(w http.ResponseWriter, r *http.Request) {
	job, _, failure := s.batch(r, r.PathValue("id"))
	if failure != nil {
		s.refuse(w, failure)
		return
	}
	transport.WriteJSON(w, http.StatusOK, batchObjectOf(job))
}

func (s *Sidecar) cancelBatch(w http.ResponseWriter, r *http.Request) {
	job, group, failure := s.batch(r, r.PathValue("id"))
	if failure != nil {
		s.refuse(w, failure)
		return
	}
	result, err := s.stores.Command(r.Context(), group, jobs.Command{Cancel: &jobs.Cancel{Job: job.ID()}})
	if err != nil {
		s.refuse(w, api.AsError("cancel batch", err))
		return
	}
	transport.WriteJSON(w, http.StatusOK, batchObjectOf(*result.Job))
}
