package sidecar

import (
	"context"
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
	"github.com/dykewing/dykewing/placement"
)

// batchRequest is the body of a batch's creation in the OpenAI API's shape.
type batchRequest struct {
	InputFileID      string            `json:"input_file_id"`
	Endpoint         string            `json:"endpoint"`
	CompletionWindow string            `json:"completion_window"`
	Metadata         map[string]string `json:"metadata"`
}

// batchObject is a batch in the OpenAI API's shape.
type batchObject struct {
	ID               string            `json:"id"`
	Object           string            `json:"object"`
	Endpoint         string            `json:"endpoint"`
	InputFileID      string            `json:"input_file_id"`
	CompletionWindow string            `json:"completion_window"`
	Status           string            `json:"status"`
	OutputFileID     string            `json:"output_file_id,omitempty"`
	ErrorFileID      string            `json:"error_file_id,omitempty"`
	CreatedAt        int64             `json:"created_at"`
	InProgressAt     int64             `json:"in_progress_at,omitempty"`
	ExpiresAt        int64             `json:"expires_at,omitempty"`
	CompletedAt      int64             `json:"completed_at,omitempty"`
	CancelledAt      int64             `json:"cancelled_at,omitempty"`
	RequestCounts    requestCounts     `json:"request_counts"`
	Metadata         map[string]string `json:"metadata,omitempty"`
}

type requestCounts struct {
	Total     int `json:"total"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
}

// resultLine is one line of an output or error file.
type resultLine struct {
	ID       string          `json:"id"`
	CustomID string          `json:"custom_id"`
	Response *resultResponse `json:"response"`
	Error    *resultError    `json:"error"`
}

type resultResponse struct {
	StatusCode int             `json:"status_code"`
	RequestID  string          `json:"request_id"`
	Body       json.RawMessage `json:"body"`
}

type resultError struct {
	Code    string      `json:"code"`
	Message string      `json:"message"`
	Outcome api.Outcome `json:"dykewing_outcome"`
}

func batchObjectOf(job jobs.Job) batchObject {
	suffix := strings.TrimPrefix(string(job.ID()), batchPrefix)
	object := batchObject{
		ID: string(job.ID()), Object: "batch", Endpoint: job.Endpoint, InputFileID: string(job.File),
		CompletionWindow: job.Deadline.Sub(job.Created).Round(time.Second).String(), Status: string(job.Status),
		OutputFileID: outputPrefix + suffix, ErrorFileID: errorPrefix + suffix,
		CreatedAt: job.Created.Unix(), InProgressAt: job.Created.Unix(), ExpiresAt: job.Deadline.Unix(),
		RequestCounts: requestCounts{Total: job.Total, Completed: job.Completed, Failed: job.Failed},
		Metadata:      job.Metadata,
	}
	switch job.Status {
	case jobs.JobCompleted:
		object.CompletedAt = job.Ended.Unix()
	case jobs.JobCancelled:
		object.CancelledAt = job.Ended.Unix()
	}
	return object
}

const (
	maximumBatchBody = 1 << 20
	defaultPage      = 20
)

func (s *Sidecar) createBatch(w http.ResponseWriter, r *http.Request) {
	const step = "create batch"
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maximumBatchBody))
	if err != nil {
		s.refuse(w, transport.BodyError(step, err))
		return
	}
	submit, failure := submitOf(r, raw)
	if failure != nil {
		s.refuse(w, failure)
		return
	}
	group, failure := groupOf(string(submit.File))
	if failure != nil {
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

func submitOf(r *http.Request, raw []byte) (*jobs.Submit, *api.Error) {
	const step = "create batch"
	var body batchRequest
	if err := json.Unmarshal(raw, &body); err != nil {
		return nil, api.NewError(step, "", api.CodeBadRequest, api.OutcomeNotRun, "%w", err)
	}
	window, err := time.ParseDuration(body.CompletionWindow)
	if err != nil || window <= 0 {
		return nil, api.NewError(step, "", api.CodeBadRequest, api.OutcomeNotRun, "completion_window %q is not a duration such as 24h", body.CompletionWindow)
	}
	repeatable, failure := repeatableOf(r, true)
	if failure != nil {
		return nil, failure
	}
	hash := sha256.Sum256(raw)
	return &jobs.Submit{
		Tenant: tenantOf(r), Key: r.Header.Get(api.HeaderIdempotencyKey), BodyHash: hex.EncodeToString(hash[:]),
		File: jobs.FileID(body.InputFileID), Endpoint: body.Endpoint, Repeatable: repeatable,
		Deadline: time.Now().UTC().Add(window), Metadata: body.Metadata,
	}, nil
}

func (s *Sidecar) listBatches(w http.ResponseWriter, r *http.Request) {
	tenant := tenantOf(r)
	group := placement.GroupOf(tenant, s.node.Settings.Store.Groups)
	var found storeclient.JobsPage
	if err := s.stores.Read(r.Context(), group, storeclient.JobsPath(group, tenant, r.URL.Query().Get("after"), defaultPage), &found); err != nil {
		s.refuse(w, api.AsError("list batches", err))
		return
	}
	objects := []batchObject{}
	for _, job := range found.Jobs {
		objects = append(objects, batchObjectOf(job))
	}
	transport.WriteJSON(w, http.StatusOK, list[batchObject]{Object: "list", Data: objects, HasMore: found.More})
}

func (s *Sidecar) getBatch(w http.ResponseWriter, r *http.Request) {
	group, failure := groupOf(r.PathValue("id"))
	if failure != nil {
		s.refuse(w, failure)
		return
	}
	var job jobs.Job
	if err := s.stores.Read(r.Context(), group, storeclient.JobPath(group, r.PathValue("id")), &job); err != nil {
		s.refuse(w, api.AsError("read batch", err))
		return
	}
	transport.WriteJSON(w, http.StatusOK, batchObjectOf(job))
}

func (s *Sidecar) cancelBatch(w http.ResponseWriter, r *http.Request) {
	group, failure := groupOf(r.PathValue("id"))
	if failure != nil {
		s.refuse(w, failure)
		return
	}
	command := jobs.Command{Cancel: &jobs.Cancel{Job: jobs.JobID(r.PathValue("id"))}}
	result, err := s.stores.Command(r.Context(), group, command)
	if err != nil {
		s.refuse(w, api.AsError("cancel batch", err))
		return
	}
	transport.WriteJSON(w, http.StatusOK, batchObjectOf(*result.Job))
}

// writeResults writes a job's answers, or its failures, as lines.
func (s *Sidecar) writeResults(ctx context.Context, w io.Writer, group api.GroupID, id jobs.JobID, failures bool) error {
	var job jobs.Job
	if err := s.stores.Read(ctx, group, storeclient.JobPath(group, string(id)), &job); err != nil {
		return err
	}
	encoder := json.NewEncoder(w)
	for from := 0; from >= 0; {
		var page storeclient.ResultsPage
		if err := s.stores.Read(ctx, group, storeclient.ResultsPath(group, string(id), from), &page); err != nil {
			return err
		}
		for _, result := range page.Results {
			if isFailure(result) != failures {
				continue
			}
			if err := encoder.Encode(lineOf(result)); err != nil {
				return err
			}
		}
		from = page.Next
	}
	return nil
}

func isFailure(result jobs.ItemResult) bool {
	return result.Outcome != api.OutcomeRan || result.Status >= 400
}

func lineOf(result jobs.ItemResult) resultLine {
	line := resultLine{ID: string(result.Request), CustomID: result.CustomID}
	if result.Outcome == api.OutcomeRan {
		line.Response = &resultResponse{StatusCode: result.Status, RequestID: string(result.Request), Body: result.Body}
		return line
	}
	line.Error = &resultError{Code: "not_completed", Message: result.Error, Outcome: result.Outcome}
	return line
}
