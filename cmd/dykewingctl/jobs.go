package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

const jobPollInterval = 500 * time.Millisecond

// batch holds the fields of an OpenAI batch object that the tool uses.
type batch struct {
	ID            string `json:"id"`
	Endpoint      string `json:"endpoint"`
	InputFileID   string `json:"input_file_id"`
	Status        string `json:"status"`
	OutputFileID  string `json:"output_file_id,omitempty"`
	ErrorFileID   string `json:"error_file_id,omitempty"`
	CreatedAt     int64  `json:"created_at"`
	ExpiresAt     int64  `json:"expires_at"`
	RequestCounts struct {
		Total     int `json:"total"`
		Completed int `json:"completed"`
		Failed    int `json:"failed"`
	} `json:"request_counts"`
}

func (b batch) ended() bool {
	switch b.Status {
	case "completed", "cancelled", "expired", "failed":
		return true
	}
	return false
}

const batchHeader = "JOB\tSTATUS\tTOTAL\tCOMPLETED\tFAILED\tCREATED\tEXPIRES"

func (b batch) row() string {
	return fmt.Sprintf("%s\t%s\t%d\t%d\t%d\t%s\t%s", b.ID, b.Status, b.RequestCounts.Total, b.RequestCounts.Completed,
		b.RequestCounts.Failed, formatTime(b.CreatedAt), formatTime(b.ExpiresAt))
}

func formatTime(seconds int64) string { return time.Unix(seconds, 0).UTC().Format(time.RFC3339) }

// jobCommands holds the flags of the jobs subcommands.
type jobCommands struct {
	*session
	tenant     string
	id         string
	file       string
	endpoint   string
	window     string
	key        string
	repeatable string
	wait       bool
	limit      int
	after      string
	failures   bool
	target     string
}

// registerJobs adds the jobs subcommands; act wraps a function as a kingpin
// action.
func registerJobs(application *kingpin.Application, s *session, act func(func() error) kingpin.Action) {
	c := &jobCommands{session: s}
	group := application.Command("jobs", "Batch jobs, through a sidecar.")
	group.Flag("tenant", "Tenant that owns the jobs.").Envar("DYKEWING_TENANT").StringVar(&c.tenant)

	submit := group.Command("submit", "Upload a file of requests and submit a batch job for it.").Action(act(c.submit))
	submit.Arg("file", "JSON lines, each with custom_id, method, url and body.").Required().ExistingFileVar(&c.file)
	submit.Flag("endpoint", "Endpoint named in the job.").Default("/v1/chat/completions").StringVar(&c.endpoint)
	submit.Flag("window", "Time in which the job must end.").Default("24h").StringVar(&c.window)
	submit.Flag("key", "Idempotency key: a resend with the same key returns the same job.").StringVar(&c.key)
	submit.Flag("repeatable", "Whether items may be retried; by default as configured in the table.").EnumVar(&c.repeatable, "true", "false")
	submit.Flag("wait", "Wait until the job has ended.").BoolVar(&c.wait)

	list := group.Command("list", "List jobs, the newest first.").Action(act(c.list))
	list.Flag("limit", "Maximum number of jobs, up to 100.").Default("20").IntVar(&c.limit)
	list.Flag("after", "List jobs after this one.").StringVar(&c.after)

	status := group.Command("status", "Show one job.").Action(act(c.status))
	status.Arg("job", "Id of the job.").Required().StringVar(&c.id)
	status.Flag("wait", "Wait until the job has ended.").BoolVar(&c.wait)

	results := group.Command("results", "Write a job's results as JSON lines.").Action(act(c.results))
	results.Arg("job", "Id of the job.").Required().StringVar(&c.id)
	results.Flag("errors", "Write failed items instead of completed ones.").BoolVar(&c.failures)
	results.Flag("file", "Write to this file instead of standard output.").StringVar(&c.target)

	cancel := group.Command("cancel", "Cancel a job; no further items are started.").Action(act(c.cancel))
	cancel.Arg("job", "Id of the job.").Required().StringVar(&c.id)
}

func (c *jobCommands) submit() error {
	file, err := c.upload()
	if err != nil {
		return err
	}
	body := map[string]string{"input_file_id": file, "endpoint": c.endpoint, "completion_window": c.window}
	var submitted batch
	headers := map[string]string{"Idempotency-Key": c.key, "Dykewing-Repeatable": c.repeatable}
	if err := c.post("submit job", "/v1/batches", body, headers, &submitted); err != nil {
		return fmt.Errorf("%w (the uploaded file is %s)", err, file)
	}
	return c.show(submitted)
}

// show prints a job. If waiting was requested it first waits for the job to end
// and returns an error if the job did not complete or has failed items.
func (c *jobCommands) show(shown batch) error {
	if !c.wait {
		return c.print(shown, batchHeader, []string{shown.row()})
	}
	ended, err := c.await(shown)
	if err != nil {
		return err
	}
	if err := c.print(ended, batchHeader, []string{ended.row()}); err != nil {
		return err
	}
	if ended.Status != "completed" || ended.RequestCounts.Failed > 0 {
		return fmt.Errorf("job %s is %s with %d failed items", ended.ID, ended.Status, ended.RequestCounts.Failed)
	}
	return nil
}

func (c *jobCommands) await(waited batch) (batch, error) {
	bar := newProgress(os.Stderr, "items", waited.RequestCounts.Total)
	defer bar.end()
	shown := 0
	for {
		for ; shown < waited.RequestCounts.Completed+waited.RequestCounts.Failed; shown++ {
			bar.step()
		}
		if waited.ended() {
			return waited, nil
		}
		time.Sleep(jobPollInterval)
		if err := c.get("read job", "/v1/batches/"+url.PathEscape(waited.ID), &waited); err != nil {
			return waited, err
		}
	}
}

func (c *jobCommands) list() error {
	query := url.Values{"limit": {strconv.Itoa(c.limit)}}
	if c.after != "" {
		query.Set("after", c.after)
	}
	var page struct {
		Data    []batch `json:"data"`
		HasMore bool    `json:"has_more"`
	}
	if err := c.get("list jobs", "/v1/batches?"+query.Encode(), &page); err != nil {
		return err
	}
	var rows []string
	for _, listed := range page.Data {
		rows = append(rows, listed.row())
	}
	if err := c.print(page, batchHeader, rows); err != nil {
		return err
	}
	if page.HasMore && c.output == outputTable {
		fmt.Fprintf(os.Stderr, "There are more: --after %s\n", page.Data[len(page.Data)-1].ID)
	}
	return nil
}

func (c *jobCommands) status() error {
	var shown batch
	if err := c.get("read job", "/v1/batches/"+url.PathEscape(c.id), &shown); err != nil {
		return err
	}
	return c.show(shown)
}

func (c *jobCommands) cancel() error {
	var cancelled batch
	if err := c.post("cancel job", "/v1/batches/"+url.PathEscape(c.id)+"/cancel", nil, nil, &cancelled); err != nil {
		return err
	}
	return c.print(cancelled, batchHeader, []string{cancelled.row()})
}

func (c *jobCommands) results() (err error) {
	var shown batch
	if err := c.get("read job", "/v1/batches/"+url.PathEscape(c.id), &shown); err != nil {
		return err
	}
	file, lines := shown.OutputFileID, shown.RequestCounts.Completed
	if c.failures {
		file, lines = shown.ErrorFileID, shown.RequestCounts.Failed
	}
	out := c.out
	if c.target != "" {
		created, err := os.Create(c.target)
		if err != nil {
			return fmt.Errorf("write results: %w", err)
		}
		defer func() { err = errors.Join(err, created.Close()) }()
		out = created
	}
	if file == "" {
		return nil // no such item
	}
	bar := newProgress(os.Stderr, "results", lines)
	defer bar.end()
	return c.download(file, io.MultiWriter(out, lineCounter{bar}))
}

// lineCounter advances a progress bar for each line written to it.
type lineCounter struct{ bar *progress }

func (l lineCounter) Write(written []byte) (int, error) {
	for _, character := range written {
		if character == '\n' {
			l.bar.step()
		}
	}
	return len(written), nil
}

// newContext returns a context with the timeout for one response.
func (c *jobCommands) newContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), c.timeout)
}
