package transport

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Symptom: processes with little processor never had the whole state of a fleet of 10,000
// workers, asked for it again and again, and served an old configuration, or none. Cause: the
// time of the whole answer was bounded, so that what held for a small state failed for a
// large one. An answer that goes on is read to its end; one that stops is given up.
func TestAnAnswerThatGoesOnIsReadToItsEnd(t *testing.T) {
	// A piece comes within a sixth of what a pause may take, all take longer than it.
	const pause, most, pieces = 250 * time.Millisecond, 1500 * time.Millisecond, 8
	tests := []struct {
		name  string
		serve func(w http.ResponseWriter, r *http.Request)
		fails bool
	}{
		{"at once", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `"xx"`) }, false},
		{"far longer than a pause in all", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, `"`)
			for range pieces {
				w.(http.Flusher).Flush()
				time.Sleep(pause)
				_, _ = io.WriteString(w, "x")
			}
			_, _ = io.WriteString(w, `"`)
		}, false},
		{"it does not begin", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, true},
		{"it stops", func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, `"x`)
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}, true},
		{"a refusal", func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "no", http.StatusServiceUnavailable) }, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(test.serve))
			defer server.Close()
			var answer string
			err := GetSteadily(context.Background(), NewClient(1), "ask", strings.TrimPrefix(server.URL, "http://"), "/", most, most, &answer)
			if (err != nil) != test.fails || err == nil && strings.Trim(answer, "x") != "" {
				t.Errorf("%q, %v", answer, err)
			}
		})
	}
}
