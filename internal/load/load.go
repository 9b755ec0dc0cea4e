// Package load is an open-loop load generator. Requests arrive as a Poisson
// process, independent of the completion of earlier ones. Latencies are measured
// from the intended start, which avoids coordinated omission, and every answer is
// compared with the one that the stand-in engine derives from the prompt.
package load

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/dykewing/dykewing/api"
)

// Options configures a run.
type Options struct {
	URL         string // base URL of a sidecar, with /v1
	Class       api.Class
	Model       api.ServiceName
	Tenant      api.TenantID
	Rate        float64 // arrivals per second, of online requests or batch jobs
	Duration    time.Duration
	Tokens      int // per answer
	PromptBytes int
	Items       int // per batch job
	Timeout     time.Duration
	MaxInFlight int // limit of requests in flight; arrivals above it are dropped and counted
	Seed        uint64
	Progress    func(done, wrong int) // called after each request, one call at a time; must not be nil
}

// DefaultOptions returns options for a light online load, without a URL.
func DefaultOptions() Options {
	return Options{
		Class: api.ClassOnline, Model: "demo-model", Tenant: "load", Rate: 20, Duration: 10 * time.Second,
		Tokens: 32, PromptBytes: 200, Items: 20, Timeout: time.Minute, MaxInFlight: 5_000, Seed: 1,
		Progress: func(int, int) {},
	}
}

// Report is the result of a run. Latencies are in microseconds.
type Report struct {
	Sent     int            `json:"sent"`
	Correct  int            `json:"right"`
	Wrong    int            `json:"wrong"`    // complete answers with unexpected content
	Dropped  int            `json:"dropped"`  // not sent because the limit of requests in flight was reached
	Failures map[string]int `json:"failures"` // by error code and outcome, or "transport"
	Examples []string       `json:"examples,omitempty"`

	FirstToken    Latency `json:"first_token"`
	BetweenTokens Latency `json:"between_tokens"`
	Total         Latency `json:"whole"`

	mutex                             sync.Mutex
	firstToken, betweenTokens, totals *hdrhistogram.Histogram
}

// Latency summarizes a latency histogram, in microseconds.
type Latency struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P95   int64 `json:"p95"`
	P99   int64 `json:"p99"`
	P999  int64 `json:"p999"`
	Max   int64 `json:"most"`
}

const (
	maxLatency         = int64(time.Hour / time.Microsecond)
	significantFigures = 3
	maxExamples        = 5
)

func newReport() *Report {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatency, significantFigures) }
	return &Report{Failures: map[string]int{}, firstToken: histogram(), betweenTokens: histogram(), totals: histogram()}
}

// errWrongAnswer is wrapped by errors for answers with unexpected content.
var errWrongAnswer = errors.New("wrong answer")

// Run generates load for options.Duration or until ctx is done, then waits for the
// requests in flight. The report is valid also if it returns ctx's error.
func Run(ctx context.Context, options Options) (*Report, error) {
	if options.Rate <= 0 {
		return nil, fmt.Errorf("rate %v is not above 0", options.Rate)
	}
	report := newReport()
	random := rand.New(rand.NewPCG(options.Seed, options.Seed))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: options.MaxInFlight, DisableCompression: true}}
	defer client.CloseIdleConnections()
	open := make(chan struct{}, options.MaxInFlight)
	var running sync.WaitGroup
	begin := time.Now()
	for number, due := 0, time.Duration(0); ; number++ {
		due += time.Duration(random.ExpFloat64() / options.Rate * float64(time.Second))
		if due > options.Duration || !sleepUntil(ctx, begin.Add(due)) {
			break
		}
		select {
		case open <- struct{}{}:
		default:
			report.drop()
			continue
		}
		caller := &caller{options: options, client: client, report: report, number: number, intended: begin.Add(due)}
		running.Go(func() {
			defer func() { <-open }()
			report.recordOutcome(caller.run(ctx), options)
		})
	}
	running.Wait()
	report.finish()
	return report, ctx.Err()
}

// sleepUntil sleeps until the given time. It returns false if ctx is done first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// caller sends the request of one arrival.
type caller struct {
	options  Options
	client   *http.Client
	report   *Report
	number   int
	intended time.Time
}

func (c *caller) run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	if c.options.Class == api.ClassBatch {
		return c.batchJob(ctx)
	}
	return c.streamedChat(ctx)
}

func (r *Report) drop() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.Dropped++
}

func (r *Report) record(histogram *hdrhistogram.Histogram, latency time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_ = histogram.RecordValue(max(latency.Microseconds(), 1))
}

// recordOutcome records the outcome of a request.
func (r *Report) recordOutcome(err error, options Options) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.Sent++
	switch {
	case err == nil:
		r.Correct++
	case errors.Is(err, errWrongAnswer):
		r.Wrong++
	default:
		r.Failures[failureName(err)]++
	}
	if err != nil && len(r.Examples) < maxExamples {
		r.Examples = append(r.Examples, err.Error())
	}
	options.Progress(r.Sent, r.Wrong)
}

func failureName(err error) string {
	var failure *api.Error
	if errors.As(err, &failure) {
		return fmt.Sprintf("%s/%s", failure.Code, failure.Outcome)
	}
	return "transport"
}

func (r *Report) finish() {
	r.FirstToken = latencyOf(r.firstToken)
	r.BetweenTokens = latencyOf(r.betweenTokens)
	r.Total = latencyOf(r.totals)
}

func latencyOf(histogram *hdrhistogram.Histogram) Latency {
	return Latency{
		Count: histogram.TotalCount(), P50: histogram.ValueAtQuantile(50), P95: histogram.ValueAtQuantile(95),
		P99: histogram.ValueAtQuantile(99), P999: histogram.ValueAtQuantile(99.9), Max: histogram.Max(),
	}
}
