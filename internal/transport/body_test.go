package transport

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/dykewing/dykewing/api"
)

func TestBodyBudget(t *testing.T) {
	cases := []struct {
		name   string
		budget *BodyBudget
		body   string
		length int64 // Content-Length; -1 if chunked
		code   api.ErrorCode
	}{
		{"fits", &BodyBudget{MaxTotal: 1 << 20, MaxBody: 1 << 10}, "body", 4, ""},
		{"fits, chunked", &BodyBudget{MaxTotal: 1 << 20, MaxBody: 1 << 14}, strings.Repeat("b", 1<<14), -1, ""},
		{"empty", &BodyBudget{MaxTotal: 1 << 20, MaxBody: 1 << 10}, "", 0, ""},
		{"Content-Length too large", &BodyBudget{MaxTotal: 1 << 20, MaxBody: 10}, strings.Repeat("b", 11), 11, api.CodeTooLarge},
		{"too large, chunked", &BodyBudget{MaxTotal: 1 << 20, MaxBody: 10}, strings.Repeat("b", 11), -1, api.CodeTooLarge},
		{"no budget for the request", &BodyBudget{MaxTotal: 10, MaxBody: 10}, "b", 1, api.CodeOverloaded},
		{"no budget for the body", &BodyBudget{MaxTotal: requestOverheadBytes + 1000, MaxBody: 1 << 20}, strings.Repeat("b", 5000), -1, api.CodeOverloaded},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.budget.Timeout = time.Minute
			request := httptest.NewRequest(http.MethodPost, "/", io.NopCloser(strings.NewReader(c.body)))
			request.ContentLength = c.length
			body, release, failure := c.budget.Read(httptest.NewRecorder(), request, "read")
			if (failure == nil) != (c.code == "") || failure != nil && failure.Code != c.code {
				t.Fatalf("failure %v, want code %q", failure, c.code)
			}
			if failure == nil && string(body) != c.body {
				t.Fatalf("%d bytes of %d", len(body), len(c.body))
			}
			if failure != nil && failure.Outcome != api.OutcomeNotRun {
				t.Fatalf("outcome %s of a rejected body", failure.Outcome)
			}
			if c.code == api.CodeOverloaded && failure.RetryAfter == 0 {
				t.Fatal("no Retry-After")
			}
			release()
			if held := c.budget.InUse(); held != 0 {
				t.Fatalf("%d bytes are in use after release", held)
			}
		})
	}
}

func TestSlowBodyTimesOut(t *testing.T) {
	budget := &BodyBudget{MaxTotal: 1 << 20, MaxBody: 1 << 10, Timeout: 50 * time.Millisecond}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, release, failure := budget.Read(w, r, "read")
		defer release()
		if failure == nil {
			t.Error("an incomplete body was read")
			return
		}
		WriteError(w, failure)
	}))
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nslow")
	answer, err := io.ReadAll(conn)
	if err != nil || !bytes.Contains(answer, []byte(api.CodeRequestTimeout)) {
		t.Fatalf("answer %q, %v", answer, err)
	}
}

func TestRecoverPanics(t *testing.T) {
	reports := make(chan any, 2)
	server := httptest.NewServer(RecoverPanics(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/begun" {
			w.WriteHeader(http.StatusOK)
			_ = http.NewResponseController(w).Flush()
		}
		panic("planted")
	}), func(cause any, _ []byte) { reports <- cause }))
	defer server.Close()
	response, err := http.Get(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	failure := ReadError("read", "server", response)
	response.Body.Close()
	if response.StatusCode != http.StatusInternalServerError || failure.Outcome != api.OutcomeUnknown || failure.Code != api.CodeInternal {
		t.Fatalf("status %d, %v", response.StatusCode, failure)
	}
	response, err = http.Get(server.URL + "/begun")
	if err == nil {
		_, err = io.ReadAll(response.Body)
		response.Body.Close()
	}
	if err == nil {
		t.Fatal("a response aborted by a panic was complete")
	}
	if len(reports) != 2 {
		t.Fatalf("%d of 2 panics were reported", len(reports))
	}
}

func FuzzReadError(f *testing.F) {
	f.Add(503, "1", `{"error":{"code":"no_capacity","message":"m"},"dykewing_outcome":"not_run"}`)
	f.Add(500, "x", `<html>`)
	f.Add(429, "-5", `{"error":"a string"}`)
	f.Fuzz(func(t *testing.T, status int, retryAfter, body string) {
		response := &http.Response{StatusCode: status, Header: http.Header{"Retry-After": {retryAfter}}, Body: io.NopCloser(strings.NewReader(body))}
		failure := ReadError("step", "peer", response)
		if failure.Code == "" || failure.Outcome == "" || failure.RetryAfter < 0 {
			t.Fatalf("failure %+v", failure)
		}
		if failure.Outcome == api.OutcomeNotRun && !strings.Contains(body, string(api.OutcomeNotRun)) && !strings.Contains(body, `\`) {
			t.Fatalf("not run without evidence in %q", body)
		}
	})
}
