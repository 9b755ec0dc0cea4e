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
	filePrefix   = "file-"
	outputPrefix = "file-output-"
	errorPrefix  = "file-errors-"
	batchPrefix  = "batch_"
	maxPurpose   = 64
	maxName      = 256
	defaultPage  = 20
	maxPage      = 100
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

// newID returns a new id that contains its group.
func newID(prefix string, group api.GroupID) string {
	return fmt.Sprintf("%sg%d-%s", prefix, group, uuid.NewString())
}

// groupOf parses the group of an id.
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
		return 0, newNotFoundError(id)
	}
	return api.GroupID(group), nil
}

func newNotFoundError(id string) *api.Error {
	return api.NewError("read id", "", api.CodeNotFound, api.OutcomeNotRun, "no object has the id %q", id)
}

// batchOfFile returns the batch of an output or error file's id.
func batchOfFile(id string) (batch string, failures, ok bool) {
	if rest, ok := strings.CutPrefix(id, outputPrefix); ok {
		return batchPrefix + rest, false, true
	}
	if rest, ok := strings.CutPrefix(id, errorPrefix); ok {
		return batchPrefix + rest, true, true
	}
	return "", false, false
}

// createFile streams an upload to its store group in bounded parts.
func (s *Sidecar) createFile(w http.ResponseWriter, r *http.Request) {
	const step = "upload file"
	r.Body = http.MaxBytesReader(w, r.Body, s.node.Settings.Sidecar.MaximumFileBytes)
	parts, err := r.MultipartReader()
	if err != nil {
		s.refuse(w, api.NewError(step, "", api.CodeBadRequest, api.OutcomeNotRun, "%w", err))
		return
	}
	tenant := tenantOf(r)
	group := placement.TenantGroup(tenant, s.node.Settings.Store.Groups)
	purpose := "batch"
	for {
		part, err := parts.NextPart()
		if err != nil {
			s.refuse(w, uploadError(step, err))
			return
		}
		if part.FormName() == "purpose" {
			raw, _ := io.ReadAll(io.LimitReader(part, maxPurpose))
			purpose = string(raw)
			continue
		}
		if part.FormName() != "file" {
			continue
		}
		name := part.FileName()
		file := jobs.CreateFile{File: jobs.FileID(newID(filePrefix, group)), Tenant: tenant, Name: name[:min(len(name), maxName)], Purpose: purpose}
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
	var found storeclient.FilesPage
	if failure := s.readPage(r, "list files", storeclient.FilesPath, &found); failure != nil {
		s.refuse(w, failure)
		return
	}
	identify := func(file fileObject) string { return file.ID }
	transport.WriteJSON(w, http.StatusOK, newPage(found.Files, fileObjectOf, identify, found.More))
}

// file reads a file owned by the caller's tenant.
func (s *Sidecar) file(r *http.Request, id string) (jobs.File, api.GroupID, *api.Error) {
	tenant := func(file jobs.File) api.TenantID { return file.Tenant }
	return readOwned(s, r, "read file", id, storeclient.FilePath, tenant)
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

// resultFileOf describes an output or error file, which is generated from the results
// when read, so that its size is unknown.
func resultFileOf(job jobs.Job, id string, failures bool) fileObject {
	name := string(job.ID()) + "_output.jsonl"
	if failures {
		name = string(job.ID()) + "_error.jsonl"
	}
	return fileObject{ID: id, Object: "file", CreatedAt: job.Created.Unix(), Filename: name, Purpose: "batch_output", Status: "processed"}
}

// deletedObject is the response to a deletion in the OpenAI API's shape.
type deletedObject struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Deleted bool   `json:"deleted"`
}

// deleteFile hides a file at once. Jobs that use it continue; its space is freed after
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

// getContent streams an uploaded file, or a job's output or errors.
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
		s.log.WithError(err).Warn("Could not read a file to its end; aborting the caller's connection.")
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
