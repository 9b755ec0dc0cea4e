package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime/multipart"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/transport"
)

// stallTimeout aborts an upload or download that makes no progress.
const stallTimeout = time.Minute

// request builds an HTTP request to the sidecar on behalf of the tenant.
func (c *jobCommands) request(ctx context.Context, method, path string, body io.Reader) (*http.Request, error) {
	if c.sidecar == "" {
		return nil, errors.New("jobs: --sidecar is missing")
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.sidecar+path, body)
	if err != nil {
		return nil, err
	}
	if c.tenant != "" {
		request.Header.Set(api.HeaderTenant, c.tenant)
	}
	return request, nil
}

// do sends a request and returns its response, or an error for an error status.
func (c *jobCommands) do(step string, request *http.Request) (*http.Response, error) {
	response, err := c.client.Do(request)
	if err != nil {
		return nil, transport.SendError(step, c.sidecar, err)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		defer response.Body.Close()
		return nil, transport.ReadError(step, c.sidecar, response)
	}
	return response, nil
}

func (c *jobCommands) doJSON(step string, request *http.Request, answer any) error {
	response, err := c.do(step, request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(answer); err != nil {
		return fmt.Errorf("%s: read answer of %s: %w", step, c.sidecar, err)
	}
	return nil
}

func (c *jobCommands) get(step, path string, answer any) error {
	ctx, cancel := c.newContext()
	defer cancel()
	request, err := c.request(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	return c.doJSON(step, request, answer)
}

func (c *jobCommands) post(step, path string, body any, headers map[string]string, answer any) error {
	ctx, cancel := c.newContext()
	defer cancel()
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := c.request(ctx, http.MethodPost, path, bytes.NewReader(raw))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	for name, value := range headers {
		if value != "" {
			request.Header.Set(name, value)
		}
	}
	return c.doJSON(step, request, answer)
}

// upload streams the file as a multipart form and returns its id.
func (c *jobCommands) upload() (string, error) {
	const step = "upload file"
	file, err := os.Open(c.file)
	if err != nil {
		return "", err
	}
	defer file.Close()
	info, err := file.Stat()
	if err != nil {
		return "", err
	}
	ctx, watch := newStallContext()
	defer watch.Stop()
	const unit = 1 << 10
	bar := newProgress(os.Stderr, "KiB uploaded", int(info.Size()/unit))
	defer bar.end()
	moving := &meter{reader: file, unit: unit, bar: bar, watch: watch}
	reader, writer := io.Pipe()
	defer reader.Close()
	form := multipart.NewWriter(writer)
	go func() { writer.CloseWithError(writeForm(form, filepath.Base(c.file), moving)) }()
	request, err := c.request(ctx, http.MethodPost, "/v1/files", reader)
	if err != nil {
		return "", err
	}
	request.Header.Set("Content-Type", form.FormDataContentType())
	var uploaded struct {
		ID string `json:"id"`
	}
	err = c.doJSON(step, request, &uploaded)
	return uploaded.ID, err
}

func writeForm(form *multipart.Writer, name string, content io.Reader) error {
	if err := form.WriteField("purpose", "batch"); err != nil {
		return err
	}
	part, err := form.CreateFormFile("file", name)
	if err != nil {
		return err
	}
	if _, err := io.Copy(part, content); err != nil {
		return err
	}
	return form.Close()
}

func (c *jobCommands) download(file string, out io.Writer) error {
	const step = "read results"
	ctx, watch := newStallContext()
	defer watch.Stop()
	request, err := c.request(ctx, http.MethodGet, "/v1/files/"+file+"/content", nil)
	if err != nil {
		return err
	}
	response, err := c.do(step, request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if _, err := io.Copy(out, &meter{reader: response.Body, watch: watch}); err != nil {
		return fmt.Errorf("%s of %s: the results are incomplete: %w", step, c.sidecar, err)
	}
	return nil
}

// newStallContext returns a context that is cancelled unless the timer is reset
// within each stallTimeout.
func newStallContext() (context.Context, *time.Timer) {
	ctx, cancel := context.WithCancelCause(context.Background())
	return ctx, time.AfterFunc(stallTimeout, func() { cancel(fmt.Errorf("no data transferred for %v", stallTimeout)) })
}

// meter advances a progress bar by the bytes read and resets the stall timer.
type meter struct {
	reader io.Reader
	unit   int // bytes per step of the bar; 0 for no bar
	bar    *progress
	watch  *time.Timer
	part   int
}

func (m *meter) Read(buffer []byte) (int, error) {
	n, err := m.reader.Read(buffer)
	m.watch.Reset(stallTimeout)
	for m.part += n; m.unit > 0 && m.part >= m.unit; m.part -= m.unit {
		m.bar.step()
	}
	return n, err
}
