package sidecar

import (
	"bufio"
	"context"
	"encoding/json"
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
	appendLines     = 500
	appendBytes     = 1 << 20
	maximumLine     = 4 << 20
	filePrefix      = "file-"
	outputPrefix    = "file-output-"
	errorPrefix     = "file-errors-"
	batchPrefix     = "batch_"
	multipartMemory = 1 << 20
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

// newID makes an id that names its group.
func newID(prefix string, group api.GroupID) string {
	return fmt.Sprintf("%sg%d-%s", prefix, group, uuid.NewString())
}

// groupOf reads the group from an id.
func groupOf(id string) (api.GroupID, *api.Error) {
	for _, prefix := range []string{outputPrefix, errorPrefix, filePrefix} {
		id = strings.TrimPrefix(id, prefix)
	}
	id = strings.TrimPrefix(id, batchPrefix)
	number, _, ok := strings.Cut(strings.TrimPrefix(id, "g"), "-")
	group, err := strconv.ParseUint(number, 10, 32)
	if !ok || err != nil {
		return 0, api.NewError("read id", "", api.CodeNotFound, api.OutcomeNotRun, "no object has the id %q", id)
	}
	return api.GroupID(group), nil
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
	purpose := ""
	for {
		part, err := parts.NextPart()
		if err != nil {
			s.refuse(w, uploadError(step, err))
			return
		}
		if part.FormName() == "purpose" {
			raw, _ := io.ReadAll(io.LimitReader(part, 64))
			purpose = string(raw)
			continue
		}
		if part.FormName() != "file" {
			continue
		}
		file := jobs.CreateFile{File: jobs.FileID(newID(filePrefix, group)), Tenant: tenant, Name: part.FileName(), Purpose: purpose}
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

func (s *Sidecar) storeFile(ctx context.Context, group api.GroupID, create jobs.CreateFile, content io.Reader) (*jobs.File, *api.Error) {
	const step = "upload file"
	if _, err := s.stores.Command(ctx, group, jobs.Command{CreateFile: &create}); err != nil {
		return nil, api.AsError(step, err)
	}
	scanner := bufio.NewScanner(content)
	scanner.Buffer(make([]byte, 64<<10), maximumLine)
	pending := jobs.AppendFile{File: create.File}
	size, bytes := 0, int64(0)
	flush := func() *api.Error {
		if len(pending.Lines) == 0 {
			return nil
		}
		if _, err := s.stores.Command(ctx, group, jobs.Command{AppendFile: &pending}); err != nil {
			return api.AsError(step, err)
		}
		pending = jobs.AppendFile{File: create.File, Line: pending.Line + len(pending.Lines)}
		size = 0
		return nil
	}
	for scanner.Scan() {
		line := scanner.Bytes()
		bytes += int64(len(line)) + 1
		if len(strings.TrimSpace(string(line))) == 0 {
			continue
		}
		if _, err := jobs.ParseLine(line); err != nil {
			return nil, api.NewError(step, "", api.CodeBadRequest, api.OutcomeNotRun, "line %d: %w", pending.Line+len(pending.Lines)+1, err)
		}
		pending.Lines = append(pending.Lines, json.RawMessage(append([]byte(nil), line...)))
		size += len(line)
		if len(pending.Lines) >= appendLines || size >= appendBytes {
			if failure := flush(); failure != nil {
				return nil, failure
			}
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, transport.BodyError(step, err)
	}
	if failure := flush(); failure != nil {
		return nil, failure
	}
	seal := jobs.SealFile{File: create.File, Lines: pending.Line, Bytes: bytes}
	result, err := s.stores.Command(ctx, group, jobs.Command{SealFile: &seal})
	if err != nil {
		return nil, api.AsError(step, err)
	}
	return result.File, nil
}

func (s *Sidecar) getFile(w http.ResponseWriter, r *http.Request) {
	group, failure := groupOf(r.PathValue("id"))
	if failure != nil {
		s.refuse(w, failure)
		return
	}
	var file jobs.File
	if err := s.stores.Read(r.Context(), group, storeclient.FilePath(group, r.PathValue("id")), &file); err != nil {
		s.refuse(w, api.AsError("read file", err))
		return
	}
	transport.WriteJSON(w, http.StatusOK, fileObjectOf(file))
}

// getContent streams a file: an uploaded one, or a job's output or errors.
func (s *Sidecar) getContent(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	group, failure := groupOf(id)
	if failure != nil {
		s.refuse(w, failure)
		return
	}
	w.Header().Set("Content-Type", "application/jsonl")
	var err error
	switch {
	case strings.HasPrefix(id, outputPrefix):
		err = s.writeResults(r.Context(), w, group, jobs.JobID(batchPrefix+strings.TrimPrefix(id, outputPrefix)), false)
	case strings.HasPrefix(id, errorPrefix):
		err = s.writeResults(r.Context(), w, group, jobs.JobID(batchPrefix+strings.TrimPrefix(id, errorPrefix)), true)
	default:
		err = s.writeLines(r.Context(), w, group, id)
	}
	if err != nil {
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
