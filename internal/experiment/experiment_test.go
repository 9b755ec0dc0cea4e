package experiment

import (
	"bytes"
	"path/filepath"
	"strings"
	"testing"

	"github.com/dykewing/dykewing/admission"
)

const shortScenario = `
name: short
duration: 6s
warmup: 1s
services:
  - name: model
    slots: 16
    split_workers: 1
    places:
      - {name: old, workers: 3, weight: 1, batch_allowance: 30}
      - {name: new, workers: 3, weight: 0, batch_allowance: 10}
    online:
      rate: 20
      bursts: {every: 2s, length: 500ms, factor: 4}
      shape: {prefixes: 4, prefix: 160, prompt: {median: 200, sigma: 0.5, maximum: 800}, output: {median: 20, sigma: 0.3, maximum: 60}}
    batch:
      every: 2s
      items: 60
      shape: {prefixes: 2, prefix: 160, prompt: {median: 200, sigma: 0.5, maximum: 800}, output: {median: 30, sigma: 0.3, maximum: 60}}
events:
  - {at: 2s, kind: worker_dies, service: model, place: old, worker: 1}
  - {at: 3s, kind: edit, service: model, place: new, weight: 1, batch_allowance: 30}
  - {at: 4s, kind: worker_returns, service: model, place: old, worker: 1}
  - {at: 4500ms, kind: worker_leaves, service: model, place: old, worker: 0}
`

func parseShort(t *testing.T) Scenario {
	t.Helper()
	scenario, err := Parse("short.yaml", []byte(shortScenario))
	if err != nil {
		t.Fatal(err)
	}
	return scenario
}

func encode(t *testing.T, scenario Scenario, seed uint64) []byte {
	t.Helper()
	var buffer bytes.Buffer
	report := Run(scenario, seed, admission.Settings{Reserve: admission.DefaultReserve}, Strategies())
	if err := report.WriteJSON(&buffer); err != nil {
		t.Fatal(err)
	}
	if err := report.WriteTable(&buffer); err != nil {
		t.Fatal(err)
	}
	return buffer.Bytes()
}

func TestSameSeedGivesSameReport(t *testing.T) {
	scenario := parseShort(t)
	first := encode(t, scenario, 3)
	if !bytes.Equal(first, encode(t, scenario, 3)) {
		t.Fatal("two runs with the same seed gave different reports")
	}
	if bytes.Equal(first, encode(t, scenario, 4)) {
		t.Fatal("different seeds gave equal reports")
	}
}

func TestReportFolderHasAllFiles(t *testing.T) {
	report := Run(parseShort(t), 1, admission.Settings{}, []Strategy{StrategyNoBatch, StrategyDykewing})
	folder := t.TempDir()
	if err := report.WriteFolder(folder); err != nil {
		t.Fatal(err)
	}
	files, _ := filepath.Glob(filepath.Join(folder, "*"))
	if len(files) != 4 {
		t.Fatalf("got files %v, want 4", files)
	}
}

func TestExampleScenariosAreValid(t *testing.T) {
	files, _ := filepath.Glob("../../examples/scenarios/*.yaml")
	if len(files) == 0 {
		t.Fatal("no example found")
	}
	for _, file := range files {
		if _, err := Load(file); err != nil {
			t.Error(err)
		}
	}
}

func TestFaultyScenariosAreRefused(t *testing.T) {
	cases := map[string]struct{ old, new, want string }{
		"unknown key":   {"sigma: 0.5", "sigmas: 0.5", "unknown key"},
		"no such event": {"kind: edit", "kind: flood", "oneof"},
		"no worker":     {"place: old, worker: 1", "place: old, worker: 7", "no worker 7"},
		"warmup":        {"warmup: 1s", "warmup: 1h", "not below duration"},
	}
	for name, test := range cases {
		_, err := Parse("s.yaml", []byte(strings.Replace(shortScenario, test.old, test.new, 1)))
		if err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%s: got %v, want %q", name, err, test.want)
		}
	}
}

// runAndDrain simulates a scenario until all requests have ended and returns the
// violated invariants.
func runAndDrain(scenario Scenario, strategy Strategy, seed uint64, filling admission.BatchPolicy) []string {
	f := newFleet(scenario, strategy, seed, admission.Settings{Reserve: admission.DefaultReserve, BatchPolicy: filling})
	f.run([][]arrival{onlineTrace(scenario, scenario.Services[0], seed)}, generateBatchJobs(scenario, strategy, seed))
	for _, backlog := range f.backlogs {
		backlog.waiting, backlog.returned = nil, nil
	}
	f.simulation.Run(scenario.Duration)
	for _, backlog := range f.backlogs {
		backlog.returned = nil
	}
	f.simulation.Run(scenario.Duration)
	f.checkDrained()
	return f.violations
}

func TestOnlineNeverWaitsBehindBatch(t *testing.T) {
	healthy := parseShort(t)
	healthy.Events = nil
	for seed := range uint64(8) {
		for name, scenario := range map[string]Scenario{"with faults": parseShort(t), "quiet": healthy} {
			if violations := runAndDrain(scenario, StrategyDykewing, seed, admission.BatchPolicy{}); len(violations) > 0 {
				t.Fatalf("%s, seed %d: %v", name, seed, violations)
			}
		}
	}
}

func TestPlantedFaultsBreakInvariants(t *testing.T) {
	healthy := parseShort(t)
	healthy.Events = nil
	healthy.Services[0].Slots = 64 // above the engine's concurrency limit
	healthy.Services[0].Places[0].BatchAllowance = 100
	healthy.Engine.MaxSequences = 8
	ignored := healthy
	ignored.Engine.IgnorePriority = true
	cases := map[string]struct {
		scenario Scenario
		fault    admission.Fault
		want     string
	}{
		"engine ignores priority": {ignored, admission.NoFault, "wait behind a lower priority"},
		"priority inverted":       {healthy, admission.FaultInvertPriority, "has priority"},
		"allowance ignored":       {parseShort(t), admission.FaultIgnoreAllowance, "batch requests of"},
		"slot leaked":             {parseShort(t), admission.FaultLeakSlot, "not in flight"},
		"suspended forgotten":     {parseShort(t), admission.FaultNeverResume, "after all ended"},
		"online delayed":          {parseShort(t), admission.FaultRefuseOnline, "refused"},
	}
	for name, test := range cases {
		filling := admission.DefaultBatchPolicy()
		filling.Fault = test.fault
		violations := runAndDrain(test.scenario, StrategyDykewing, 1, filling)
		if !strings.Contains(strings.Join(violations, "\n"), test.want) || len(violations) == 0 {
			t.Errorf("%s: fault not detected, violations %v", name, violations)
		}
	}
}
