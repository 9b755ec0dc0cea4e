package engine

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/transport"
)

func TestWithPriority(t *testing.T) {
	for _, body := range []string{
		`{}`, ` { } `, `{"model":"m"}`, `{"model":"m","priority":-99}`, `{"priority":5,"model":"m"}`,
		`{"model":"m","prior\u0069ty":-99}`, `{"model":"a}b","x":{"priority":3}}`, `{"priority":1,"priority":2}`,
	} {
		changed, err := withPriority(Call{Path: "/v1/chat/completions", Body: []byte(body), Priority: 4})
		if err != nil {
			t.Fatalf("%s: %v", body, err)
		}
		var before, after map[string]any
		if json.Unmarshal([]byte(body), &before) != nil || json.Unmarshal(changed, &after) != nil {
			t.Fatalf("%s became %s", body, changed)
		}
		before["priority"] = -4.0
		want, _ := json.Marshal(before)
		got, _ := json.Marshal(after)
		if !bytes.Equal(want, got) {
			t.Fatalf("%s became %s", body, changed)
		}
	}
	for _, body := range []string{``, `[]`, `{`, `"{}"`, `{"a":1}}`} {
		if _, err := withPriority(Call{Path: "/v1/completions", Body: []byte(body)}); err == nil {
			t.Errorf("%q was accepted as a JSON object", body)
		}
	}
}

func FuzzWithPriority(f *testing.F) {
	f.Add([]byte(`{"model":"m"}`))
	f.Add([]byte(`{"priority":1,"a":{"priority":2}}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		changed, err := withPriority(Call{Path: "/v1/completions", Body: body, Priority: 7})
		if err != nil {
			return
		}
		var fields struct {
			Priority json.RawMessage `json:"priority"`
		}
		if err := json.Unmarshal(changed, &fields); err != nil || string(fields.Priority) != "-7" {
			t.Fatalf("%q became %q (%v)", body, changed, err)
		}
	})
}

func readEvents(stream io.Reader) ([]string, error) {
	reader := NewEventReader(stream)
	var events []string
	for {
		event, err := reader.Next()
		if err == io.EOF {
			return events, nil
		}
		if err != nil {
			return events, err
		}
		events = append(events, string(event))
	}
}

func TestEventReader(t *testing.T) {
	for _, c := range []struct {
		stream string
		want   []string
	}{
		{"", nil},
		{"data: 1\n\ndata: 2\n\n", []string{"data: 1\n\n", "data: 2\n\n"}},
		{"data: 1\r\n\r\ndata: 2\r\n\r\n", []string{"data: 1\r\n\r\n", "data: 2\r\n\r\n"}},
		{"data: 1\n\ndata: cut", []string{"data: 1\n\n"}},
		{"data: 1\n\ndata: cut\n", []string{"data: 1\n\n"}},
		{"data: a\ndata: b\n\n: comment\n\n", []string{"data: a\ndata: b\n\n", ": comment\n\n"}},
		{"data: 1\n\n\n\r\ndata: 2\n\n\n", []string{"data: 1\n\n", "\n\r\ndata: 2\n\n", "\n"}},
		{"data: 1\n\n\n\ndata: c", []string{"data: 1\n\n"}},
	} {
		got, err := readEvents(strings.NewReader(c.stream))
		if err != nil || strings.Join(got, "|") != strings.Join(c.want, "|") {
			t.Errorf("%q: %q, %v", c.stream, got, err)
		}
	}
	if _, err := readEvents(strings.NewReader(strings.Repeat("x", MaxEventBytes+1))); err == nil {
		t.Error("an event over MaximumEventBytes was read")
	}
	if events, err := readEvents(strings.NewReader(strings.Repeat("\n", MaxEventBytes+1))); err == nil {
		t.Errorf("%d events were read from empty lines", len(events))
	}
}

// Guards against an event that takes time with the square of its length.
func TestEventReaderLooksAtBytesOnce(t *testing.T) {
	for _, line := range []string{"\n", "data: d\n", "d"} {
		reader := NewEventReader(strings.NewReader(""))
		var data []byte
		for len(data) < MaxEventBytes {
			data = append(data, line...)
			if n, event, err := reader.split(data, false); n != 0 || event != nil || err != nil {
				t.Fatal(n, event, err)
			}
			if reader.searched != len(data) {
				t.Fatalf("%d of %d bytes are known", reader.searched, len(data))
			}
		}
	}
}

// Guards against empty lines of a broken stream that are passed on as its end.
func TestEmptyLinesOfBrokenStreamAreNoEvent(t *testing.T) {
	broken := errors.New("reset")
	events, err := readEvents(io.MultiReader(strings.NewReader("\n\n"), errorReader{broken}))
	if len(events) > 0 || !errors.Is(err, broken) {
		t.Errorf("%q, %v", events, err)
	}
}

// FuzzEventReader checks that the events are a prefix of the stream and do not depend on
// the sizes of reads.
func FuzzEventReader(f *testing.F) {
	f.Add([]byte("data: 1\n\ndata: [DONE]\n\n"))
	f.Add([]byte("\n\n\r\n: c\n\nx"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		atOnce, err := readEvents(bytes.NewReader(stream))
		if err != nil {
			return
		}
		bytewise, err := readEvents(&oneByteReader{bytes.NewReader(stream)})
		if err != nil || strings.Join(atOnce, "|") != strings.Join(bytewise, "|") {
			t.Fatalf("%q and %q, %v", atOnce, bytewise, err)
		}
		if joined := strings.Join(atOnce, ""); !strings.HasPrefix(string(stream), joined) {
			t.Fatalf("%q is not a prefix of %q", joined, stream)
		}
	})
}

type oneByteReader struct{ io.Reader }

func (r *oneByteReader) Read(p []byte) (int, error) { return r.Reader.Read(p[:min(len(p), 1)]) }

func sendTo(t *testing.T, handler http.HandlerFunc) (*http.Response, error) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	backend := &HTTPBackend{Client: transport.NewClient(1)}
	return backend.Send(t.Context(), Call{
		Worker: "w", Address: server.Listener.Addr().String(), Path: "/v1/completions", Body: []byte(`{}`),
		Header: http.Header{"X-Request-Id": {"mine"}},
	})
}

func TestSendClassifiesOutcome(t *testing.T) {
	for _, c := range []struct {
		name    string
		handler http.HandlerFunc
		outcome api.Outcome
	}{
		{"another request's id", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Request-Id", "another") }, api.OutcomeUnknown},
		{"too many requests", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(429) }, api.OutcomeNotRun},
		{"internal server error", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }, api.OutcomeUnknown},
		{"aborted before the header", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, api.OutcomeUnknown},
		{"header flood", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Flood", strings.Repeat("f", 1<<20))
		}, api.OutcomeUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			response, err := sendTo(t, c.handler)
			var failure *api.Error
			if !errors.As(err, &failure) || failure.Outcome != c.outcome {
				t.Fatalf("answer %v, error %v, want outcome %s", response, err, c.outcome)
			}
		})
	}
}

func TestRedirectIsNotFollowed(t *testing.T) {
	followed := false
	response, err := sendTo(t, func(w http.ResponseWriter, r *http.Request) {
		followed = followed || r.URL.Path == "/elsewhere"
		http.Redirect(w, r, "/elsewhere", http.StatusSeeOther)
	})
	if err != nil || followed || response.StatusCode != http.StatusSeeOther {
		t.Fatalf("followed %v, %v", followed, err)
	}
	response.Body.Close()
}

func TestUnframedResponseIsCheckedForTruncation(t *testing.T) {
	for _, c := range []struct {
		body, contentType string
		whole             bool
	}{
		{`{"a":1}`, "application/json", true},
		{`{"a":`, "application/json", false},
		{"text", "text/plain", false},
		{"data: 1\n\n", "text/event-stream", true}, // the reader of events checks for [DONE]
	} {
		response := &http.Response{ContentLength: -1, Header: http.Header{"Content-Type": {c.contentType}}, Body: io.NopCloser(strings.NewReader(c.body))}
		read, err := io.ReadAll(CheckedBody(response))
		if (err == nil) != c.whole || c.whole && string(read) != c.body {
			t.Errorf("%q: %q, %v", c.body, read, err)
		}
	}
}

// Guards against a refusal without an ID on a kept connection that is taken for that of the request
// under way.
func TestUntiedRefusalIsUnknown(t *testing.T) {
	for _, test := range []struct {
		name  string
		echo  bool
		wants []api.Outcome // of successive requests
	}{
		{"engine echoes ids", true, []api.Outcome{api.OutcomeNotRun, api.OutcomeNotRun}},
		{"engine echoes no ids", false, []api.Outcome{api.OutcomeNotRun, api.OutcomeUnknown}},
	} {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if test.echo {
					w.Header().Set(api.HeaderRequestID, r.Header.Get(api.HeaderRequestID))
				}
				w.WriteHeader(http.StatusTooManyRequests)
			}))
			defer server.Close()
			backend := &HTTPBackend{Client: transport.NewClient(1)}
			for n, want := range test.wants {
				_, err := backend.Send(t.Context(), Call{
					Worker: "w", Address: strings.TrimPrefix(server.URL, "http://"), Path: "/v1/completions", Body: []byte("{}"),
					Header: http.Header{api.HeaderRequestID: {fmt.Sprint(n)}},
				})
				var failure *api.Error
				if !errors.As(err, &failure) || failure.Outcome != want {
					t.Errorf("request %d: %v, want outcome %s", n, err, want)
				}
			}
		})
	}
}
