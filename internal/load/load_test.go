package load

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/standin/engine"
	"github.com/dykewing/dykewing/internal/transport"
)

func runAgainst(t *testing.T, handler http.Handler) *Report {
	t.Helper()
	server := httptest.NewServer(handler)
	defer server.Close()
	options := DefaultOptions()
	options.URL, options.Rate, options.Duration, options.Tokens = server.URL+"/v1", 200, 300*time.Millisecond, 4
	report, err := Run(context.Background(), options)
	if err != nil {
		t.Fatal(err)
	}
	if report.Sent == 0 {
		t.Fatal("nothing was sent")
	}
	return report
}

func TestCorrectAnswersAreCounted(t *testing.T) {
	report := runAgainst(t, engine.New(engine.DefaultSettings()))
	if report.Correct != report.Sent || report.FirstToken.Count != int64(report.Sent) || report.BetweenTokens.Count != 3*int64(report.Sent) {
		t.Fatalf("report %+v", report)
	}
}

// alteredEngine returns a handler that modifies the engine's stream.
func alteredEngine(change func(string) string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		engine.New(engine.DefaultSettings()).ServeHTTP(recorder, r)
		_, _ = w.Write([]byte(change(recorder.Body.String())))
	})
}

func TestWrongAndTruncatedAnswersAreDetected(t *testing.T) {
	cases := []struct {
		name   string
		change func(string) string
		wrong  bool // false if counted as a transport failure
	}{
		{"a token lost", func(s string) string { return strings.Replace(s, "-2 ", " ", 1) }, true},
		{"another's answer", func(s string) string { return strings.ReplaceAll(s, `"t`, `"u`) }, true},
		{"no end", func(s string) string { return strings.Replace(s, "[DONE]", "", 1) }, true},
		{"cut off", func(s string) string { return s[:strings.Index(s, "[DONE]")-len(eventPrefix)] }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			report := runAgainst(t, alteredEngine(c.change))
			if report.Correct != 0 || (report.Wrong == report.Sent) != c.wrong {
				t.Fatalf("right %d, wrong %d of %d: %v", report.Correct, report.Wrong, report.Sent, report.Failures)
			}
		})
	}
}

func TestRefusalsAreCountedByCodeAndOutcome(t *testing.T) {
	report := runAgainst(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		transport.WriteError(w, api.NewError("admit request", "", api.CodeCeiling, api.OutcomeNotRun, "full"))
	}))
	if report.Failures["ceiling_reached/not_run"] != report.Sent {
		t.Fatalf("failures %v of %d", report.Failures, report.Sent)
	}
}

// TestArrivalsDoNotWaitForAnswers checks that a server that does not respond does
// not delay arrivals.
func TestArrivalsDoNotWaitForAnswers(t *testing.T) {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer server.Close()
	options := DefaultOptions()
	options.URL, options.Rate, options.Duration = server.URL, 500, 200*time.Millisecond
	options.MaxInFlight = 10
	time.AfterFunc(time.Second, func() { close(release) })
	report, err := Run(context.Background(), options)
	if err != nil {
		t.Fatal(err)
	}
	if report.Sent != options.MaxInFlight || report.Dropped == 0 {
		t.Fatalf("sent %d, dropped %d", report.Sent, report.Dropped)
	}
}
