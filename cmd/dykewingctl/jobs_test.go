package main

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

// fakeSidecar is a fake sidecar that records the requests it receives.
type fakeSidecar struct {
	uploaded string
	headers  http.Header
	paths    []string
}

func (s *fakeSidecar) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.paths = append(s.paths, r.Method+" "+r.URL.Path)
	const body = `{"id":"batch_1","status":"completed","output_file_id":"file-out","request_counts":{"total":2,"completed":2,"failed":0}}`
	switch {
	case r.URL.Path == "/v1/files":
		file, _, err := r.FormFile("file")
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		raw, _ := io.ReadAll(file)
		s.uploaded = string(raw)
		_, _ = io.WriteString(w, `{"id":"file-in"}`)
	case r.URL.Path == "/v1/files/file-out/content":
		_, _ = io.WriteString(w, "{\"line\":1}\n{\"line\":2}\n")
	case strings.Contains(r.URL.Path, "missing"):
		w.WriteHeader(http.StatusNotFound)
		_, _ = io.WriteString(w, `{"error":{"message":"no such job","code":"not_found"},"dykewing_outcome":"not_run"}`)
	case r.Method == http.MethodGet && r.URL.Path == "/v1/batches":
		_, _ = io.WriteString(w, `{"object":"list","data":[`+body+`],"has_more":false}`)
	default:
		s.headers = r.Header
		_, _ = io.WriteString(w, body)
	}
}

// runJobs runs a jobs subcommand against a server with the handler.
func runJobs(t *testing.T, handler http.Handler, arguments ...string) (string, error) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	var out bytes.Buffer
	s := &session{client: server.Client(), out: &out, output: outputTable, timeout: 10 * time.Second, sidecar: strings.TrimPrefix(server.URL, "http://")}
	application := kingpin.New("dykewingctl", "")
	var failed error
	registerJobs(application, s, func(run func() error) kingpin.Action {
		return func(*kingpin.ParseContext) error {
			failed = run()
			return nil
		}
	})
	if _, err := application.Parse(append([]string{"jobs"}, arguments...)); err != nil {
		t.Fatal(err)
	}
	return out.String(), failed
}

func TestSubmitUploadsFileAndCreatesBatch(t *testing.T) {
	path := filepath.Join(t.TempDir(), "in.jsonl")
	if err := os.WriteFile(path, []byte("a\nb\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	sidecar := &fakeSidecar{}
	out, err := runJobs(t, sidecar, "--tenant", "clinic", "submit", path, "--key", "k", "--repeatable", "false", "--wait")
	if err != nil || sidecar.uploaded != "a\nb\n" {
		t.Fatalf("uploaded %q, %v", sidecar.uploaded, err)
	}
	if sidecar.headers.Get("Idempotency-Key") != "k" || sidecar.headers.Get("Dykewing-Repeatable") != "false" || sidecar.headers.Get("Dykewing-Tenant") != "clinic" {
		t.Fatalf("headers %v", sidecar.headers)
	}
	lines := strings.Split(strings.TrimSpace(out), "\n")
	if len(lines) != 2 || strings.Index(lines[0], "STATUS") != strings.Index(lines[1], "completed") {
		t.Fatalf("columns are not aligned:\n%s", out)
	}
}

func TestResultsAreWrittenCompletely(t *testing.T) {
	target := filepath.Join(t.TempDir(), "out.jsonl")
	if _, err := runJobs(t, &fakeSidecar{}, "results", "batch_1", "--file", target); err != nil {
		t.Fatal(err)
	}
	if raw, err := os.ReadFile(target); err != nil || string(raw) != "{\"line\":1}\n{\"line\":2}\n" {
		t.Fatalf("%q, %v", raw, err)
	}
}

func TestErrorResponsesAreReturned(t *testing.T) {
	for _, arguments := range [][]string{{"status", "missing"}, {"cancel", "missing"}, {"results", "missing"}} {
		if _, err := runJobs(t, &fakeSidecar{}, arguments...); err == nil || !strings.Contains(err.Error(), "no such job") {
			t.Errorf("%v gave %v", arguments, err)
		}
	}
}
