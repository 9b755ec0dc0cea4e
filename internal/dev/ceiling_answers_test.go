package dev

import (
	"bufio"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/config"
	"github.com/dykewing/dykewing/internal/logging"
)

// Answers under way at callers must not exceed a row's ceiling, over both routers.
func TestCeilingHoldsAcrossRoutersAtAnswers(t *testing.T) {
	logger, err := logging.New(config.Log{Level: "error", Format: "text"}, t.Output())
	if err != nil {
		t.Fatal(err)
	}
	fleet, err := Start(t.Context(), DefaultOptions(logger))
	if err != nil {
		t.Fatal(err)
	}
	defer fleet.Stop()
	const ceiling = 3
	row := initialRows()[0]
	row.CeilingConcurrency = ceiling
	if err := fleet.SetRow(t.Context(), row); err != nil {
		t.Fatal(err)
	}
	awaitCeiling(t, fleet, row.Key())
	var running, answered, refused, over atomic.Int64
	var callers sync.WaitGroup
	begin := time.Now()
	for range 24 {
		callers.Go(func() {
			for deadline := time.Now().Add(time.Minute); answered.Load() < 40 && time.Now().Before(deadline); {
				if !streamCounted(t, fleet, &running, &over, ceiling) {
					refused.Add(1)
					time.Sleep(20 * time.Millisecond)
					continue
				}
				answered.Add(1)
			}
		})
	}
	callers.Wait()
	t.Logf("answered %d, refused %d in %v", answered.Load(), refused.Load(), time.Since(begin))
	if over.Load() > 0 || answered.Load() < 40 || refused.Load() == 0 {
		t.Errorf("answered %d, refused %d, %d times over the ceiling", answered.Load(), refused.Load(), over.Load())
	}
}

// streamCounted reads one streamed answer and counts it from its first byte to its
// last, which is within the time that it runs; false when it was refused as it
// must be.
func streamCounted(t *testing.T, fleet *Fleet, running, over *atomic.Int64, ceiling int64) bool {
	body := `{"model":"` + string(ModelService) + `","stream":true,"max_tokens":60,"messages":[{"role":"user","content":"hint"}]}`
	response, err := http.Post(fleet.URL()+"/chat/completions", "application/json", strings.NewReader(body))
	if err != nil {
		t.Error(err)
		return false
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		if response.StatusCode != http.StatusTooManyRequests || response.Header.Get("Retry-After") == "" ||
			response.Header.Get(api.HeaderOutcome) != string(api.OutcomeNotRun) {
			t.Errorf("refused with %d, Retry-After %q, outcome %q", response.StatusCode,
				response.Header.Get("Retry-After"), response.Header.Get(api.HeaderOutcome))
		}
		return false
	}
	lines := bufio.NewScanner(response.Body)
	if !lines.Scan() {
		t.Error("an answer without a line")
		return false
	}
	if running.Add(1) > ceiling {
		over.Add(1)
	}
	for lines.Scan() {
		if strings.HasSuffix(lines.Text(), "[DONE]") {
			break
		}
	}
	running.Add(-1)
	return true
}
