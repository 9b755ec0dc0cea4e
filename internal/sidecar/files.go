package sidecar

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/google/uuid"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/storeclient"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/jobs"
	"github.com/dykewing/dykewing/placement"
)

const (
	filePrefix     = "file-"
	outputPrefix   = "file-output-"
	errorPrefix    = "file-errors-"
	batchPrefix    = "batch_"
	maximumPurpose = 64
	maximumName    = 256
	defaultPage    = 20
	maximumPage    = 100
)

// fileObject is a file in the OpenAI API's shape.
type fileObject struct {
	ID        string `json:"id"`
	Object    string `json:"object"`
	Bytes     int64  `json:"bytes"`
	CreatedAt int64  `json:"created_at"`
	Filename  string `json:"filename"`
	Purpose   string `json:"purpose"`
	Status    string `json:"status"`
}

func fileObjectOf(file jobs.File) fileObject {
	status := "uploaded"
	if file.Sealed {
		status = "processed"
	}
	return fileObject{
		ID: string(file.ID), Object: "file", Bytes: file.Bytes, CreatedAt: file.Created.Unix(),
		Filename: file.Name, Purpose: file.Purpose, Status: status,
	}
}

// page is a list in the OpenAI API's shape.
type page[T any] struct {
	Object  string `json:"object"`
	Data    []T    `json:"data"`
	FirstID string `json:"first_id,omitempty"`
	LastID  string `json:"last_id,omitempty"`
	HasMore bool   `json:"has_more"`
}

// pageLimit reads how many objects a list is to have.
func pageLimit(r *http.Request) (int, *api.Error) {
	text := r.URL.Query().Get("limit")
	if text == "" {
		return defaultPage, nil
	}
	limit, err := strconv.Atoi(text)
	if err != nil || limit < 1 || limit > maximumPage {
		return 0, api.NewError("read limit", "", api.CodeBadRequest, api.OutcomeNotRun, "limit %q is not within 1 to %d", text, maximumPage)
	}
	return limit, nil
}

// newID makes an id that names its group.
func newID(prefix string, group api.GroupID) string {
	return fmt.Sprintf("%sg%d-%s", prefix, group, uuid.NewString())
}

// groupOf reads the group from an id.
func groupOf(id string) (api.GroupID, *api.Error) {
	rest := id
	for _, prefix := range []string{outputPrefix, errorPrefix, filePrefix, batchPrefix} {
		if after, ok := strings.CutPrefix(id, prefix); ok {
			rest = after
			break
		}
	}
	number, _, ok := strings.Cut(strings.TrimPrefix(rest, "g"), "-")
	group, err := strconv.ParseUint(number, 10, 32)
	if !ok || err != nil {
		return 0, noObject(id)
	}
	return api.GroupID(group), nil
}

func noObject(id string) *api.Error {
	return api.NewError("read id", "", api.CodeNotFound, api.OutcomeNotRun, "no object has the id %q", id)
}

// batchOfFile gives the batch whose output or error file the id names.
func batchOfFile(id string) (batch string, failures, ok bool) {
	if rest, ok := strings.CutPrefix(id, outputPrefix); ok {
		return batchPrefix + rest, false, true
	}
	if rest, ok := strings.CutPrefix(id, errorPrefix); ok {
		return batchPrefix + rest, true, true
	}
	return "", false, false
}

// createFile streams an upload into its group, a bounded part at a time.
func (s *Sidecar) createFile(w http.ResponseWriter, r *http.Request) {
	const step = "upload file"
	r.Body = http.MaxBytesReader(w, r.Body, s.node.Settings.Sidecar.MaximumFileBytes)
	parts, err := r.MultipartReader()
	if err != nil {
		s.refuse(w, api.NewError(step, "", api.CodeBadRequest, api.OutcomeNotRun, "%w", err))
		return
	}
	tenant := tenantOf(r)
	group := placement.GroupOf(tenant, s.node.Settings.Store.Groups)
	purpose := "batch"
	for {
		part, err := parts.NextPart()
		if err != nil {
			s.refuse(w, uploadError(step, err))
			return
		}
		if part.FormName() == "purpose" {
			raw, _ := io.ReadAll(io.LimitReader(part, maximumPurpose))
			purpose = string(raw)
			continue
		}
		if part.FormName() != "file" {
			continue
		}
		name := part.FileName()
		file := jobs.CreateFile{File: jobs.FileID(newID(filePrefix, group)), Tenant: tenant, Name: name[:min(len(name), maximumName)], Purpose: purpose}
		stored, failure := s.storeFile(r.Context(), group, file, part)
		if failure != nil {
			s.refuse(w, failure)
			return
		}
		transport.WriteJSON(w, http.StatusOK, fileObjectOf(*stored))
		return
	}
}

func uploadError(step string, err error) *api.Error {
	if errors.Is(err, io.EOF) {
		return api.NewError(step, "", api.CodeBadRequest, api.OutcomeNotRun, "the form has no part named file")
	}
	return transport.BodyError(step, err)
}

func (s *Sidecar) listFiles(w http.ResponseWriter, r *http.Request) {
	limit, failure := pageLimit(r)
	if failure != nil {
		s.refuse(w, failure)
		return
	}
	tenant := tenantOf(r)
	group := placement.GroupOf(tenant, s.node.Settings.Store.Groups)
	var found storeclient.FilesPage
	path := storeclient.FilesPath(group, tenant, r.URL.Query().Get("after"), limit)
	if err := s.stores.Read(r.Context(), group, path, &found); err != nil {
		s.refuse(w, api.AsError("list files", err))
		return
	}
	answer := page[fileObject]{Object: "list", Data: []fileObject{}, HasMore: found.More}
	for _, file := range found.Files {
		answer.Data = append(answer.Data, fileObjectOf(file))
	}
	if last := len(answer.Data) - 1; last >= 0 {
		answer.FirstID, answer.LastID = answer.Data[0].ID, answer.Data[last].ID
	}
	transport.WriteJSON(w, http.StatusOK, answer)
}

// file reads a file that the caller's tenant owns.
func (s *Sidecar) file(r *http.Request, id string) (jobs.File, api.GroupID, *api.Error) {
	group, failure := groupOf(id)
	if failure != nil {
		return jobs.File{}, 0, failure
	}
	var file jobs.File
	if err := s.stores.Read(r.Context(), group, storeclient.FilePath(group, id), &file); err != nil {
		return jobs.File{}, 0, api.AsError("read file", err)
	}
	if file.Tenant != tenantOf(r) {
		return jobs.File{}, 0, noObject(id)
	}
	return file, group, nil
}

func (s *Sidecar) getFile(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	if batch, failures, ok := batchOfFile(id); ok {
		job, _, failure := s.batch(r, batch)
		if failure != nil {
			s.refuse(w, failure)
			return
		}
		transport.WriteJSON(w, http.StatusOK, resultFileOf(job, id, failures))
		return
	}
	file, _, failure := s.file(r, id)
	if failure != nil {
		s.refuse(w, failure)
		return
	}
	transport.WriteJSON(w, http.StatusOK, fileObjectOf(file))
}

// resultFileOf describes a file that is made of results when it is read, so
// that its size is not known before.
func resultFileOf(job jobs.Job, id string, failures bool) fileObject {
	name := string(job.ID()) + "_output.jsonl"
	if failures {
		name = string(job.ID()) + "_error.jsonl"
	}
	return fileObject{ID: id, Object: "file", CreatedAt: job.Created.Unix(), Filename: name, Purpose: "batch_output", Status: "processed"}
}

// deletedObject answers a deletion in the OpenAI API's shape.
type deletedObject struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Deleted bool   `json:"deleted"`
}

// deleteFile hides a file at once. Jobs over it go on; its space is freed with
// the last of them.
func (s *Sidecar) deleteFile(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	if batch, _, ok := batchOfFile(id); ok {
		s.refuse(w, api.NewError("delete file", "", api.CodeBadRequest, api.OutcomeNotRun, "file %s is kept as long as %s", id, batch))
		return
	}
	_, group, failure := s.file(r, id)
	if failure != nil {
		s.refuse(w, failure)
		return
	}
	command := jobs.Command{DeleteFile: &jobs.DeleteFile{File: jobs.FileID(id)}}
	if _, err := s.stores.Command(r.Context(), group, command); err != nil {
		s.refuse(w, api.AsError("delete file", err))
		return
	}
	transport.WriteJSON(w, http.StatusOK, deletedObject{ID: id, Object: "file", Deleted: true})
}

// getContent streams a file: an uploaded one, or a job's output or errors.
func (s *Sidecar) getContent(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	var write func() error
	if batch, failures, ok := batchOfFile(id); ok {
		job, group, failure := s.batch(r, batch)
		if failure != nil {
			s.refuse(w, failure)
			return
		}
		write = func() error { return s.writeResults(r.Context(), w, group, job, failures) }
	} else {
		_, group, failure := s.file(r, id)
		if failure != nil {
			s.refuse(w, failure)
			return
		}
		write = func() error { return s.writeLines(r.Context(), w, group, id) }
	}
	w.Header().Set("Content-Type", "application/jsonl")
	if err := write(); err != nil {
		s.log.WithError(err).Warn("A file could not be read to its end; the caller's connection is cut.")
		panic(http.ErrAbortHandler)
	}
}

func (s *Sidecar) writeLines(ctx context.Context, w io.Writer, group api.GroupID, id string) error {
	for from := 0; from >= 0; {
		var page storeclient.LinesPage
		if err := s.stores.Read(ctx, group, storeclient.LinesPath(group, id, from), &page); err != nil {
			return err
		}
		for _, line := range page.Lines {
			if _, err := w.Write(append(line, '\n')); err != nil {
				return err
			}
		}
		from = page.Next
	}
	return nil
}
