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
	appendLines      = 500
	appendBytes      = 1 << 20
	maximumLine      = 4 << 20
	maximumFileLines = 100_000
	firstLineBuffer  = 64 << 10
	cleanUpTimeout   = 5 * time.Second
)

// upload streams one file into its group, a bounded part at a time. It keeps no
// more than a part of the content and a hash of each custom id.
type upload struct {
	sidecar *Sidecar
	group   api.GroupID
	file    jobs.FileID
	pending jobs.AppendFile
	size    int   // bytes of pending
	bytes   int64 // of the whole content
	line    int   // of the content, from 1
	seen    map[uint64]bool
}

// storeFile stores the content's lines; when that fails, what was stored goes.
func (s *Sidecar) storeFile(ctx context.Context, group api.GroupID, create jobs.CreateFile, content io.Reader) (*jobs.File, *api.Error) {
	const step = "upload file"
	if _, err := s.stores.Command(ctx, group, jobs.Command{CreateFile: &create}); err != nil {
		return nil, api.AsError(step, err)
	}
	u := &upload{sidecar: s, group: group, file: create.File, pending: jobs.AppendFile{File: create.File}, seen: map[uint64]bool{}}
	file, failure := u.run(ctx, content)
	if failure != nil {
		u.cleanUp(ctx)
	}
	return file, failure
}

// cleanUp deletes a part of a file. Where it fails, the part goes when its
// retention ends.
func (u *upload) cleanUp(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cleanUpTimeout)
	defer cancel()
	command := jobs.Command{DeleteFile: &jobs.DeleteFile{File: u.file}}
	if _, err := u.sidecar.stores.Command(ctx, u.group, command); err != nil {
		u.sidecar.log.WithError(err).WithField("file", u.file).Warn("A part of a failed upload stays until its retention ends.")
	}
}

func (u *upload) run(ctx context.Context, content io.Reader) (*jobs.File, *api.Error) {
	scanner := bufio.NewScanner(content)
	scanner.Buffer(make([]byte, firstLineBuffer), maximumLine)
	for scanner.Scan() {
		if failure := u.take(ctx, scanner.Bytes()); failure != nil {
			return nil, failure
		}
	}
	if err := scanner.Err(); errors.Is(err, bufio.ErrTooLong) {
		u.line++
		return nil, u.bad("it is over %d bytes", maximumLine)
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

// bad refuses the file over its present line.
func (u *upload) bad(format string, arguments ...any) *api.Error {
	return api.NewError("upload file", "", api.CodeBadRequest, api.OutcomeNotRun, "line %d: %w", u.line, fmt.Errorf(format, arguments...))
}

// take checks one line and adds it to the part.
func (u *upload) take(ctx context.Context, raw []byte) *api.Error {
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
		return u.bad("%w", err)
	}
	id := xxhash.Sum64String(line.CustomID)
	if u.seen[id] {
		return u.bad("custom_id %q was used before", line.CustomID)
	}
	u.seen[id] = true
	if len(u.seen) > maximumFileLines {
		return u.bad("a file has at most %d lines", maximumFileLines)
	}
	u.pending.Lines = append(u.pending.Lines, json.RawMessage(bytes.Clone(raw)))
	u.size += len(raw)
	if len(u.pending.Lines) >= appendLines || u.size >= appendBytes {
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
	u.size = 0
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
