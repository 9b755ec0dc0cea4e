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

// Guards against a limit on the total time of a response: slow processes never received the
// state of a large fleet and kept serving an old configuration.
func TestGetWithIdleTimeoutLimitsPausesOnly(t *testing.T) {
	// Every pause is a sixth of the limit, and all together exceed it.
	const pause, limit, pieces = 250 * time.Millisecond, 1500 * time.Millisecond, 8
	tests := []struct {
		name  string
		serve func(w http.ResponseWriter, r *http.Request)
		fails bool
	}{
		{"at once", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `"xx"`) }, false},
		{"total time above the limit of a pause", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, `"`)
			for range pieces {
				w.(http.Flusher).Flush()
				time.Sleep(pause)
				_, _ = io.WriteString(w, "x")
			}
			_, _ = io.WriteString(w, `"`)
		}, false},
		{"no response header", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, true},
		{"body stalls", func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, `"x`)
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}, true},
		{"error status", func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "no", http.StatusServiceUnavailable) }, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(test.serve))
			defer server.Close()
			var answer string
			err := GetWithIdleTimeout(context.Background(), NewClient(1), "ask", strings.TrimPrefix(server.URL, "http://"), "/", limit, limit, &answer)
			if (err != nil) != test.fails || err == nil && strings.Trim(answer, "x") != "" {
				t.Errorf("%q, %v", answer, err)
			}
		})
	}
}
