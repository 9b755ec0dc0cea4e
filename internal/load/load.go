// Package load is an open-loop load generator: requests start at Poisson
// arrivals whether earlier ones have ended or not, latencies count from the
// intended start, and every answer is checked against what the stand-in engine
// makes of the prompt.
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

// Options of a run.
type Options struct {
	URL         string // base URL of a sidecar, with /v1
	Class       api.Class
	Model       api.ServiceName
	Tenant      api.TenantID
	Rate        float64 // arrivals a second: online requests, or batch jobs
	Duration    time.Duration
	Tokens      int // of each answer
	PromptBytes int
	Items       int // of a batch job
	Timeout     time.Duration
	MaximumOpen int // requests in flight; arrivals beyond it are counted, not sent
	Seed        uint64
	Progress    func(done, wrong int)
}

// DefaultOptions are a light online load.
func DefaultOptions() Options {
	return Options{
		Class: api.ClassOnline, Model: "demo-model", Tenant: "load", Rate: 20, Duration: 10 * time.Second,
		Tokens: 32, PromptBytes: 200, Items: 20, Timeout: time.Minute, MaximumOpen: 5_000, Seed: 1,
		Progress: func(int, int) {},
	}
}

// Report is what a run measured. Latencies are in microseconds.
type Report struct {
	Sent     int            `json:"sent"`
	Right    int            `json:"right"`
	Wrong    int            `json:"wrong"`    // answers that are not what was asked for
	Dropped  int            `json:"dropped"`  // not sent: too many in flight here
	Failures map[string]int `json:"failures"` // by code and outcome
	Examples []string       `json:"examples,omitempty"`

	FirstToken    Latency `json:"first_token"`
	BetweenTokens Latency `json:"between_tokens"`
	Whole         Latency `json:"whole"`

	mutex                             sync.Mutex
	firstToken, betweenTokens, wholes *hdrhistogram.Histogram
}

// Latency sums up a histogram, in microseconds.
type Latency struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P95   int64 `json:"p95"`
	P99   int64 `json:"p99"`
	P999  int64 `json:"p999"`
	Most  int64 `json:"most"`
}

const (
	longestLatency     = int64(time.Hour / time.Microsecond)
	significantFigures = 3
	maximumExamples    = 5
)

func newReport() *Report {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, longestLatency, significantFigures) }
	return &Report{Failures: map[string]int{}, firstToken: histogram(), betweenTokens: histogram(), wholes: histogram()}
}

// errWrong marks an answer that is not what was asked for.
var errWrong = errors.New("wrong answer")

// Run sends until the duration ends and waits for what is in flight.
func Run(ctx context.Context, options Options) (*Report, error) {
	if options.Rate <= 0 {
		return nil, fmt.Errorf("rate %v is not above 0", options.Rate)
	}
	report := newReport()
	random := rand.New(rand.NewPCG(options.Seed, options.Seed))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: options.MaximumOpen, DisableCompression: true}}
	defer client.CloseIdleConnections()
	open := make(chan struct{}, options.MaximumOpen)
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
			report.settle(caller.run(ctx), options)
		})
	}
	running.Wait()
	report.finish()
	return report, ctx.Err()
}

// sleepUntil waits; false when ctx ended.
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

// caller makes one arrival's request.
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

// settle counts a request's end.
func (r *Report) settle(err error, options Options) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.Sent++
	switch {
	case err == nil:
		r.Right++
	case errors.Is(err, errWrong):
		r.Wrong++
	default:
		r.Failures[failureName(err)]++
	}
	if err != nil && len(r.Examples) < maximumExamples {
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
	r.Whole = latencyOf(r.wholes)
}

func latencyOf(histogram *hdrhistogram.Histogram) Latency {
	return Latency{
		Count: histogram.TotalCount(), P50: histogram.ValueAtQuantile(50), P95: histogram.ValueAtQuantile(95),
		P99: histogram.ValueAtQuantile(99), P999: histogram.ValueAtQuantile(99.9), Most: histogram.Max(),
	}
}
