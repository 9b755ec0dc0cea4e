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

// TestCeilingHoldsAcrossRouters sends more concurrent requests over both routers than a row's ceiling
// allows.
func TestCeilingHoldsAcrossRouters(t *testing.T) {
	logger, err := logging.New(config.Log{Level: "info", Format: "text"}, t.Output())
	if err != nil {
		t.Fatal(err)
	}
	const ceiling = 3
	var running, most atomic.Int64
	options := DefaultOptions(logger)
	options.Engine.OnRunningChange = func(change int64) { storeMax(&most, running.Add(change)) }
	fleet, err := Start(t.Context(), options)
	if err != nil {
		t.Fatal(err)
	}
	defer fleet.Stop()
	row := initialRows()[0]
	row.CeilingConcurrency = ceiling
	if err := fleet.SetRow(t.Context(), row); err != nil {
		t.Fatal(err)
	}
	awaitCeiling(t, fleet, row.Key())
	var answered, refused atomic.Int64
	var callers sync.WaitGroup
	begin := time.Now()
	for range 24 {
		callers.Go(func() {
			for deadline := time.Now().Add(time.Minute); answered.Load() < 40 && time.Now().Before(deadline); {
				if !stream(t, fleet) {
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
	if most.Load() > ceiling || most.Load() == 0 || answered.Load() < 40 || refused.Load() == 0 {
		t.Errorf("answered %d, refused %d, at most %d at once under a ceiling of %d", answered.Load(), refused.Load(), most.Load(), ceiling)
	}
}

// storeMax raises highest to at least value.
func storeMax(highest *atomic.Int64, value int64) {
	for {
		before := highest.Load()
		if value <= before || highest.CompareAndSwap(before, value) {
			return
		}
	}
}

func awaitCeiling(t *testing.T, fleet *Fleet, key api.RowKey) {
	for deadline := time.Now().Add(time.Minute); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		inForce := 0
		for _, running := range fleet.daemons {
			if row, ok := running.Node.Table().Row(key); ok && row.CeilingConcurrency > 0 {
				inForce++
			}
		}
		if inForce == len(fleet.daemons) {
			return
		}
	}
	t.Fatal("the ceiling is not in force")
}

// stream sends a streamed request and returns false if it was rejected.
func stream(t *testing.T, fleet *Fleet) bool {
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
			t.Errorf("rejected with %d, Retry-After %q, outcome %q", response.StatusCode,
				response.Header.Get("Retry-After"), response.Header.Get(api.HeaderOutcome))
		}
		return false
	}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if strings.HasSuffix(lines.Text(), "[DONE]") {
			return true
		}
	}
	t.Error("response without [DONE]")
	return true
}
