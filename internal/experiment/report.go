package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/dykewing/dykewing/api"
)

// Report is the outcome of a Run.
type Report struct {
	Scenario  string        `json:"scenario"`
	Seed      uint64        `json:"seed"`
	Duration  time.Duration `json:"duration_ns"`
	Warmup    time.Duration `json:"warmup_ns"`
	Results   []Result      `json:"results"`
	Timelines []Timeline    `json:"timelines"`
}

// Timeline holds the batch items completed in each second of a strategy's run.
type Timeline struct {
	Strategy Strategy `json:"strategy"`
	Items    []int    `json:"items"`
}

// Result holds the measurements of one strategy for one service.
type Result struct {
	Strategy      Strategy        `json:"strategy"`
	Service       api.ServiceName `json:"service"`
	Requests      int             `json:"requests"`
	Finished      int             `json:"finished"`
	Failed        int             `json:"failed"`
	Retried       int             `json:"retried"`
	FirstToken    Quantiles       `json:"first_token"`
	BetweenTokens Quantiles       `json:"between_tokens"`
	Batch         BatchResult     `json:"batch"`
}

// Quantiles holds latency quantiles in milliseconds and their ratios to those of
// StrategyNoBatch. A ratio without a baseline is 0.
type Quantiles struct {
	P50       float64 `json:"p50_ms"`
	P99       float64 `json:"p99_ms"`
	P999      float64 `json:"p999_ms"`
	RatioP50  float64 `json:"p50_ratio"`
	RatioP99  float64 `json:"p99_ratio"`
	RatioP999 float64 `json:"p999_ratio"`
	// Histogram is an HDR histogram in microseconds (V2, compressed, base64).
	Histogram string `json:"histogram"`
}

// BatchResult holds the batch work completed after the warmup.
type BatchResult struct {
	Items          int     `json:"items"`
	ItemsPerSecond float64 `json:"items_per_second"`
	// IdleItemsPerSecond is the upper bound, in items per second, of a clairvoyant
	// scheduler that serves the same online trace: the workers' time minus the
	// engine time of the online requests in a full batch, multiplied by the
	// throughput of a worker that runs only batch.
	IdleItemsPerSecond float64 `json:"idle_items_per_second"`
	IdleShare          float64 `json:"idle_share"` // ItemsPerSecond as a share of that bound
	// UnusedShare is ItemsPerSecond divided by the throughput of the time in
	// which the engines ran no step under StrategyNoBatch. It can exceed 1.
	UnusedShare float64 `json:"unused_share"`
	Preempted   int     `json:"preempted"` // over all services
	Suspended   int     `json:"suspended"` // over all services
	Backlog     int     `json:"backlog"`   // items waiting at the end
}

func summarise(scenario Scenario, run, base *fleet, capacities []capacity) []Result {
	var results []Result
	for i, service := range scenario.Services {
		online := run.measure.online[service.Name]
		result := Result{
			Strategy: run.strategy, Service: service.Name, Requests: online.arrived,
			Finished: online.finished, Failed: online.failed, Retried: online.retried,
			FirstToken: quantiles(online.first), BetweenTokens: quantiles(online.between),
			Batch: batchResult(run, service, capacities[i]),
		}
		if base != nil {
			without := base.measure.online[service.Name]
			result.FirstToken.setRatios(quantiles(without.first))
			result.BetweenTokens.setRatios(quantiles(without.between))
		}
		results = append(results, result)
	}
	return results
}

func batchResult(run *fleet, service Service, capacity capacity) BatchResult {
	name := run.strategy.batchService(service.Name)
	result := BatchResult{Items: run.measure.items[name], IdleItemsPerSecond: capacity.idleItems, Preempted: run.measure.preemptions, Suspended: run.measure.suspensions}
	result.ItemsPerSecond = float64(result.Items) / run.measure.window().Seconds()
	result.IdleShare = ratio(result.ItemsPerSecond, capacity.idleItems)
	result.UnusedShare = ratio(result.ItemsPerSecond, capacity.unusedItems)
	if backlog, ok := run.backlogs[name]; ok {
		result.Backlog = backlog.length()
	}
	return result
}

const microsecondsPerMillisecond = 1000

func quantiles(histogram *hdrhistogram.Histogram) Quantiles {
	encoded, _ := histogram.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	at := func(quantile float64) float64 {
		return float64(histogram.ValueAtQuantile(quantile)) / microsecondsPerMillisecond
	}
	return Quantiles{P50: at(50), P99: at(99), P999: at(99.9), Histogram: string(encoded)}
}

func (q *Quantiles) setRatios(base Quantiles) {
	q.RatioP50 = ratio(q.P50, base.P50)
	q.RatioP99 = ratio(q.P99, base.P99)
	q.RatioP999 = ratio(q.P999, base.P999)
}

func ratio(value, base float64) float64 {
	if base == 0 {
		return 0
	}
	return value / base
}

// WriteJSON writes the report, including its histograms, as indented JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(r); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

// WriteTable writes the report as a text table, with ratios to StrategyNoBatch.
func (r *Report) WriteTable(w io.Writer) error {
	_, _ = fmt.Fprintf(w, "%s, seed %d, %v of which %v warmup; latencies in ms, (x) over no batch\n", r.Scenario, r.Seed, r.Duration, r.Warmup)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "service\tstrategy\trequests\tfailed\tfirst p50\tp99\tp99.9\tbetween p50\tp99\tp99.9\titems/s\tidle filled\tpreempted\tsuspended\tbacklog\t")
	for _, result := range r.Results {
		first, between, batch := result.FirstToken, result.BetweenTokens, result.Batch
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%.1f (%.2f)\t%.1f (%.3f)\t%.1f (%.2f)\t%.1f (%.2f)\t%.1f (%.2f)\t%.1f (%.2f)\t%.1f\t%.1f%%\t%d\t%d\t%d\t\n",
			result.Service, result.Strategy, result.Requests, result.Failed,
			first.P50, first.RatioP50, first.P99, first.RatioP99, first.P999, first.RatioP999,
			between.P50, between.RatioP50, between.P99, between.RatioP99, between.P999, between.RatioP999,
			batch.ItemsPerSecond, percent*batch.IdleShare, batch.Preempted, batch.Suspended, batch.Backlog)
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

const percent = 100
