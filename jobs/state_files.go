package jobs

import (
	"bytes"

	"github.com/dykewing/dykewing/api"
)

// maxFileServices is the maximum number of services that the lines of one file are for.
const maxFileServices = 64

func fileKey(id FileID) []byte { return nameKey(keyFile, string(id)) }

func (c *change) file(id FileID) (File, bool) {
	var file File
	found := c.get(fileKey(id), &file)
	return file, found && !file.Deleted
}

func (c *change) createFile(command CreateFile) Result {
	if known, ok := c.file(command.File); ok {
		return Result{File: &known, Duplicate: true}
	}
	file := File{ID: command.File, Tenant: command.Tenant, Name: command.Name, Purpose: command.Purpose, Created: c.now}
	c.put(fileKey(file.ID), file)
	c.Put(timedKey(keyUpload, file.Created, fileKey(file.ID)), []byte{})
	c.Put(tenantKey(keyTenantFile, file.Tenant, file.Created, string(file.ID)), []byte{})
	return Result{File: &file}
}

func (c *change) appendFile(command AppendFile) Result {
	file, ok := c.file(command.File)
	if !ok {
		return failure(api.CodeNotFound, "no file %s", command.File)
	}
	if command.Line < file.Lines {
		return Result{Duplicate: true}
	}
	if command.Line > file.Lines || file.Sealed {
		return failure(api.CodeConflict, "file %s has %d lines, append is at %d", command.File, file.Lines, command.Line)
	}
	services := make([]api.ServiceName, len(command.Lines))
	for i, raw := range command.Lines {
		service, err := serviceOfLine(raw)
		if err != nil {
			return failure(api.CodeBadRequest, "line %d: %v", command.Line+i+1, err)
		}
		services[i] = service
	}
	if file.Services == nil {
		file.Services = map[api.ServiceName]int{}
	}
	for _, service := range services {
		file.Services[service]++
	}
	if len(file.Services) > maxFileServices {
		return failure(api.CodeBadRequest, "file %s is for more than %d models or services", command.File, maxFileServices)
	}
	for i, raw := range command.Lines {
		c.Put(numberedKey(keyLine, string(file.ID), command.Line+i), bytes.Clone(raw))
	}
	file.Lines += len(command.Lines)
	c.put(fileKey(file.ID), file)
	return Result{}
}

func serviceOfLine(raw []byte) (api.ServiceName, error) {
	line, err := ParseLine(raw)
	if err != nil {
		return "", err
	}
	return ServiceOf(line.URL, line.Body)
}

func (c *change) sealFile(command SealFile) Result {
	file, ok := c.file(command.File)
	if !ok {
		return failure(api.CodeNotFound, "no file %s", command.File)
	}
	if file.Lines != command.Lines {
		return failure(api.CodeConflict, "file %s has %d lines, not %d", command.File, file.Lines, command.Lines)
	}
	if file.Sealed {
		return Result{File: &file, Duplicate: true}
	}
	file.Sealed = true
	file.Bytes = command.Bytes
	c.Delete(timedKey(keyUpload, file.Created, fileKey(file.ID)))
	c.Put(timedKey(keyRetention, file.Created, fileKey(file.ID)), []byte{})
	c.put(fileKey(file.ID), file)
	return Result{File: &file}
}

// deleteFile hides the file at once; its lines are deleted once no job uses it.
func (c *change) deleteFile(command DeleteFile) Result {
	file, ok := c.file(command.File)
	if !ok {
		return failure(api.CodeNotFound, "no file %s", command.File)
	}
	file.Deleted = true
	c.storeOrDeleteFile(file)
	return Result{File: &file}
}

// storeOrDeleteFile stores a changed file, or deletes it if it is marked as deleted and
// no job uses it.
func (c *change) storeOrDeleteFile(file File) {
	if file.Deleted {
		c.Delete(tenantKey(keyTenantFile, file.Tenant, file.Created, string(file.ID)))
	}
	if !file.Deleted || file.Jobs > 0 {
		c.put(fileKey(file.ID), file)
		return
	}
	c.Delete(fileKey(file.ID))
	c.Delete(timedKey(keyUpload, file.Created, fileKey(file.ID)))
	c.Delete(timedKey(keyRetention, file.Created, fileKey(file.ID)))
	c.deletePrefixLater(numberedPrefix(keyLine, string(file.ID)))
}

// deletePrefixLater schedules the deletion of all keys with the prefix by
// collectGarbage.
func (c *change) deletePrefixLater(prefix []byte) {
	c.Put(append([]byte{keyGarbage}, prefix...), []byte{})
}
