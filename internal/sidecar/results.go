package sidecar

import (
	"context"
	"encoding/json"
	"io"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/storeclient"
	"github.com/dykewing/dykewing/jobs"
)

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
	Code    api.ErrorCode `json:"code"`
	Message string        `json:"message"`
	Outcome api.Outcome   `json:"dykewing_outcome"`
}

// writeResults writes a job's successful results, or its failures, page by page.
func (s *Sidecar) writeResults(ctx context.Context, w io.Writer, group api.GroupID, job jobs.Job, failures bool) error {
	encoder := json.NewEncoder(w)
	for from := 0; from >= 0; {
		var page storeclient.ResultsPage
		if err := s.stores.Read(ctx, group, storeclient.ResultsPath(group, string(job.ID()), from), &page); err != nil {
			return err
		}
		for _, result := range page.Results {
			if result.Failed() != failures {
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

// lineOf converts a back end's response of any status to a response, anything else to an
// error.
func lineOf(result jobs.ItemResult) resultLine {
	line := resultLine{ID: string(result.Request), CustomID: result.CustomID}
	if result.Outcome == api.OutcomeRan && result.Status > 0 {
		line.Response = &resultResponse{StatusCode: result.Status, RequestID: string(result.Request), Body: result.Body}
		return line
	}
	line.Error = &resultError{Code: result.Code, Message: result.Error, Outcome: result.Outcome}
	return line
}
