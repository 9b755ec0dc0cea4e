package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"mime/multipart"
	"net/http"
	"time"
)

const batchPollInterval = 200 * time.Millisecond

type batchLine struct {
	CustomID string   `json:"custom_id"`
	Method   string   `json:"method"`
	URL      string   `json:"url"`
	Body     chatBody `json:"body"`
}

type batchObject struct {
	ID           string `json:"id"`
	Status       string `json:"status"`
	OutputFileID string `json:"output_file_id"`
}

type batchAnswer struct {
	CustomID string `json:"custom_id"`
	Response struct {
		Body struct {
			Choices []struct {
				Message struct {
					Content string `json:"content"`
				} `json:"message"`
			} `json:"choices"`
		} `json:"body"`
	} `json:"response"`
}

// batchJob uploads an input file, submits a batch job, waits for it to end and
// checks that each item has exactly one result with the expected answer.
func (c *caller) batchJob(ctx context.Context) error {
	var file, job batchObject
	form, contentType, err := c.uploadForm()
	if err != nil {
		return err
	}
	if err := c.call(ctx, http.MethodPost, "/files", contentType, form, &file); err != nil {
		return err
	}
	submit, err := json.Marshal(map[string]string{
		"input_file_id": file.ID, "endpoint": "/v1/chat/completions", "completion_window": "24h",
	})
	if err != nil {
		return fmt.Errorf("encode batch: %w", err)
	}
	if err := c.call(ctx, http.MethodPost, "/batches", "application/json", submit, &job); err != nil {
		return err
	}
	for job.Status != "completed" {
		if job.Status == "failed" || job.Status == "expired" || job.Status == "cancelled" {
			return fmt.Errorf("%w: job %s ended as %s", errWrongAnswer, job.ID, job.Status)
		}
		if !sleepUntil(ctx, time.Now().Add(batchPollInterval)) {
			return fmt.Errorf("wait for job %s: %w", job.ID, ctx.Err())
		}
		if err := c.call(ctx, http.MethodGet, "/batches/"+job.ID, "application/json", nil, &job); err != nil {
			return err
		}
	}
	c.report.record(c.report.totals, time.Since(c.intended))
	return c.checkOutput(ctx, job.OutputFileID)
}

func (c *caller) uploadForm() (body []byte, contentType string, err error) {
	var form bytes.Buffer
	writer := multipart.NewWriter(&form)
	if err := writer.WriteField("purpose", "batch"); err != nil {
		return nil, "", fmt.Errorf("write upload: %w", err)
	}
	part, err := writer.CreateFormFile("file", "items.jsonl")
	if err != nil {
		return nil, "", fmt.Errorf("write upload: %w", err)
	}
	encoder := json.NewEncoder(part)
	for item := range c.options.Items {
		line := batchLine{
			CustomID: customID(item), Method: http.MethodPost, URL: "/v1/chat/completions",
			Body: chatBody{Model: c.options.Model, Messages: c.messages(item), MaxTokens: c.options.Tokens},
		}
		if err := encoder.Encode(line); err != nil {
			return nil, "", fmt.Errorf("write upload: %w", err)
		}
	}
	if err := writer.Close(); err != nil {
		return nil, "", fmt.Errorf("write upload: %w", err)
	}
	return form.Bytes(), writer.FormDataContentType(), nil
}

func customID(item int) string { return fmt.Sprintf("item-%d", item) }

// call sends a request and decodes its JSON response into answer. Fields that the
// response lacks keep their values.
func (c *caller) call(ctx context.Context, method, path, contentType string, body []byte, answer any) error {
	response, err := c.send(ctx, method, path, contentType, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(answer); err != nil {
		return fmt.Errorf("read answer of %s: %w", path, err)
	}
	return nil
}

func (c *caller) checkOutput(ctx context.Context, file string) error {
	response, err := c.send(ctx, http.MethodGet, "/files/"+file+"/content", "application/json", nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	answers := map[string]string{}
	decoder := json.NewDecoder(response.Body)
	for {
		var answer batchAnswer
		err := decoder.Decode(&answer)
		if err == io.EOF {
			break
		}
		if err != nil {
			return fmt.Errorf("read output: %w", err)
		}
		if _, twice := answers[answer.CustomID]; twice {
			return fmt.Errorf("%w: item %s has two results", errWrongAnswer, answer.CustomID)
		}
		answers[answer.CustomID] = ""
		if choices := answer.Response.Body.Choices; len(choices) > 0 {
			answers[answer.CustomID] = choices[0].Message.Content
		}
	}
	if len(answers) != c.options.Items {
		return fmt.Errorf("%w: %d results of %d items", errWrongAnswer, len(answers), c.options.Items)
	}
	for item := range c.options.Items {
		if err := checkAnswer(answers[customID(item)], c.messages(item), c.options.Tokens); err != nil {
			return err
		}
	}
	return nil
}
