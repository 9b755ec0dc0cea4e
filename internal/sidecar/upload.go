package sidecar

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/jobs"
)

const (
	maxAppendLines    = 500
	maxAppendBytes    = 1 << 20
	maxLineBytes      = 4 << 20
	maxFileLines      = 100_000
	initialLineBuffer = 64 << 10
	cleanUpTimeout    = 5 * time.Second
)

// upload streams one file to its store group in bounded parts. It keeps one part of the
// content and a hash of each custom id in memory.
type upload struct {
	sidecar      *Sidecar
	group        api.GroupID
	file         jobs.FileID
	pending      jobs.AppendFile
	pendingBytes int   // bytes of pending
	bytes        int64 // bytes read so far
	line         int   // current line number, from 1
	customIDs    map[uint64]bool
}

// storeFile stores the lines of a file and deletes them if that fails.
func (s *Sidecar) storeFile(ctx context.Context, group api.GroupID, create jobs.CreateFile, content io.Reader) (*jobs.File, *api.Error) {
	const step = "upload file"
	if _, err := s.stores.Command(ctx, group, jobs.Command{CreateFile: &create}); err != nil {
		return nil, api.AsError(step, err)
	}
	u := &upload{sidecar: s, group: group, file: create.File, pending: jobs.AppendFile{File: create.File}, customIDs: map[uint64]bool{}}
	file, failure := u.run(ctx, content)
	if failure != nil {
		u.cleanUp(ctx)
	}
	return file, failure
}

// cleanUp deletes a partly stored file. If that fails, the file expires with its
// retention.
func (u *upload) cleanUp(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cleanUpTimeout)
	defer cancel()
	command := jobs.Command{DeleteFile: &jobs.DeleteFile{File: u.file}}
	if _, err := u.sidecar.stores.Command(ctx, u.group, command); err != nil {
		u.sidecar.log.WithError(err).WithField("file", u.file).Warn("Could not delete a failed upload; it stays until its retention ends.")
	}
}

func (u *upload) run(ctx context.Context, content io.Reader) (*jobs.File, *api.Error) {
	scanner := bufio.NewScanner(content)
	scanner.Buffer(make([]byte, initialLineBuffer), maxLineBytes)
	for scanner.Scan() {
		if failure := u.addLine(ctx, scanner.Bytes()); failure != nil {
			return nil, failure
		}
	}
	if err := scanner.Err(); errors.Is(err, bufio.ErrTooLong) {
		u.line++
		return nil, u.newLineError("it is over %d bytes", maxLineBytes)
	} else if err != nil {
		return nil, transport.BodyError("upload file", err)
	}
	if failure := u.flush(ctx); failure != nil {
		return nil, failure
	}
	if u.pending.Line == 0 {
		return nil, api.NewError("upload file", "", api.CodeBadRequest, api.OutcomeNotRun, "the file has no lines")
	}
	return u.seal(ctx)
}

// bad returns an error that names the current line.
func (u *upload) newLineError(format string, arguments ...any) *api.Error {
	return api.NewError("upload file", "", api.CodeBadRequest, api.OutcomeNotRun, "line %d: %w", u.line, fmt.Errorf(format, arguments...))
}

// addLine validates one line and adds it to the pending part.
func (u *upload) addLine(ctx context.Context, raw []byte) *api.Error {
	u.line++
	u.bytes += int64(len(raw)) + 1
	if len(bytes.TrimSpace(raw)) == 0 {
		return nil
	}
	line, err := jobs.ParseLine(raw)
	if err == nil {
		_, err = jobs.ServiceOf(line.URL, line.Body)
	}
	if err != nil {
		return u.newLineError("%w", err)
	}
	id := xxhash.Sum64String(line.CustomID)
	if u.customIDs[id] {
		return u.newLineError("custom_id %q was used before", line.CustomID)
	}
	u.customIDs[id] = true
	if len(u.customIDs) > maxFileLines {
		return u.newLineError("a file has at most %d lines", maxFileLines)
	}
	u.pending.Lines = append(u.pending.Lines, json.RawMessage(bytes.Clone(raw)))
	u.pendingBytes += len(raw)
	if len(u.pending.Lines) >= maxAppendLines || u.pendingBytes >= maxAppendBytes {
		return u.flush(ctx)
	}
	return nil
}

func (u *upload) flush(ctx context.Context) *api.Error {
	if len(u.pending.Lines) == 0 {
		return nil
	}
	if _, err := u.sidecar.stores.Command(ctx, u.group, jobs.Command{AppendFile: &u.pending}); err != nil {
		return api.AsError("upload file", err)
	}
	u.pending = jobs.AppendFile{File: u.file, Line: u.pending.Line + len(u.pending.Lines)}
	u.pendingBytes = 0
	return nil
}

func (u *upload) seal(ctx context.Context) (*jobs.File, *api.Error) {
	seal := jobs.SealFile{File: u.file, Lines: u.pending.Line, Bytes: u.bytes}
	result, err := u.sidecar.stores.Command(ctx, u.group, jobs.Command{SealFile: &seal})
	if err != nil {
		return nil, api.AsError("upload file", err)
	}
	return result.File, nil
}
