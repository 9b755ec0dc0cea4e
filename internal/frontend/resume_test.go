package frontend

import (
	"net/http"
	"testing"

	"github.com/dykewing/dykewing/api"
)

// A stream that can't go on must not be answered with a status that promises that the request has
// not run, once it has.
func TestVersionErrorPromisesNothingAfterARun(t *testing.T) {
	tests := []struct {
		name    string
		runs    int
		status  int
		outcome api.Outcome
	}{
		{"not run", 0, http.StatusServiceUnavailable, api.OutcomeNotRun},
		{"run", 1, http.StatusBadGateway, api.OutcomeUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := (&exchange{runs: test.runs}).versionError("no worker")
			if got.Code.HTTPStatus() != test.status || got.Outcome != test.outcome {
				t.Errorf("status %d, outcome %s, want %d, %s", got.Code.HTTPStatus(), got.Outcome, test.status, test.outcome)
			}
		})
	}
}
