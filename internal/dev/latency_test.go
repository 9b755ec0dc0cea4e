package dev

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/config"
	"github.com/dykewing/dykewing/internal/logging"
	"github.com/dykewing/dykewing/internal/transport"
)

const (
	lightLoadClients = 16                    // 1000 requests per second in total
	halfLoadClients  = 240                   // 15,000 requests per second, about half of the maximum
	pacedInterval    = 16 * time.Millisecond // per client
	pacedSeconds     = 2
	warmUpRounds     = 2 // not counted, since connections are established
)

// pathFleet starts a fleet with an application of negligible latency, to measure the request path. It
// returns the base URLs through the fleet and directly to a worker.
func pathFleet(b *testing.B) (through, direct string) {
	b.Helper()
	logger, err := logging.New(config.Log{Level: "error", Format: "text"}, io.Discard)
	if err != nil {
		b.Fatal(err)
	}
	options := DefaultOptions(logger)
	options.Engine.ApplicationTime = time.Microsecond
	fleet, err := Start(b.Context(), options)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(fleet.Stop)
	for _, worker := range fleet.workers {
		if worker.Service == ApplicationService {
			direct = "http://" + worker.Address + "/v1"
		}
	}
	return fleet.URL(), direct
}

func postOnce(client *http.Client, base string) error {
	request, err := http.NewRequest(http.MethodPost, base+"/services/"+string(ApplicationService)+"/slots", bytes.NewReader([]byte(`{"slot":"2030-01-01T10:00"}`)))
	if err != nil {
		return err
	}
	request.Header.Set(api.HeaderRequestID, fmt.Sprint(time.Now().UnixNano()))
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", response.StatusCode, raw)
	}
	return err
}

// BenchmarkAddedLatency measures the latency added by sidecar and router. It alternates between
// direct requests and those through the fleet, at a light load and at half load.
func BenchmarkAddedLatency(b *testing.B) {
	through, direct := pathFleet(b)
	for _, callers := range []int{lightLoadClients, halfLoadClients} {
		rate := callers * int(time.Second) / int(pacedInterval)
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) { compare(b, through, direct, callers) })
	}
}

func compare(b *testing.B, through, direct string, callers int) {
	client := transport.NewClient(callers)
	times := map[string]*hdrhistogram.Histogram{}
	for turn, base := range []string{direct, through, direct, through, direct, through} {
		if turn <= warmUpRounds+1 {
			times[base] = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
		}
		pace(b, client, base, callers, times[base])
	}
	for quantile, name := range map[float64]string{50: "p50", 99: "p99"} {
		without, with := times[direct].ValueAtQuantile(quantile), times[through].ValueAtQuantile(quantile)
		b.ReportMetric(float64(without), "direct-"+name+"-µs")
		b.ReportMetric(float64(with), "through-"+name+"-µs")
		b.ReportMetric(float64(with-without), "added-"+name+"-µs")
	}
}

func pace(b *testing.B, client *http.Client, base string, callers int, times *hdrhistogram.Histogram) {
	b.Helper()
	var mutex sync.Mutex
	var running sync.WaitGroup
	for caller := range callers {
		running.Go(func() {
			time.Sleep(time.Duration(caller) * pacedInterval / time.Duration(callers))
			ticker := time.NewTicker(pacedInterval)
			defer ticker.Stop()
			for range pacedSeconds * int(time.Second/pacedInterval) {
				began := time.Now()
				if err := postOnce(client, base); err != nil {
					b.Error(err)
					return
				}
				took := time.Since(began)
				mutex.Lock()
				_ = times.RecordValue(took.Microseconds())
				mutex.Unlock()
				<-ticker.C
			}
		})
	}
	running.Wait()
}

func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkRequests measures the maximum throughput with client, fleet and fakes in one process, and
// requests per second of CPU time.
func BenchmarkRequests(b *testing.B) {
	through, direct := pathFleet(b)
	for _, c := range []struct{ name, base string }{{"direct", direct}, {"through", through}} {
		b.Run(c.name, func(b *testing.B) {
			client := transport.NewClient(64)
			b.ReportAllocs()
			before := processorTime(b)
			b.SetParallelism(4)
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if err := postOnce(client, c.base); err != nil {
						b.Error(err)
					}
				}
			})
			b.ReportMetric(float64(b.N)/(processorTime(b)-before).Seconds(), "requests/core-s")
		})
	}
}
