package slopes

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/dykewing/dykewing/internal/engine"
	"github.com/dykewing/dykewing/internal/transport"
)

// sampleEvent is a stream event of the stand-in engine with one token.
const sampleEvent = `data: {"choices":[{"delta":{"content":"t1234abcd-12 ","role":"assistant"},"finish_reason":null,"index":0}],"created":1790000000,"id":"chatcmpl-00000000-0000-0000-0000-000000000000","model":"model-00","object":"chat.completion.chunk"}` + "\n\n"

// processorTime returns the user and system CPU time of this process.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// eventServer streams the given number of events, one per interval.
func eventServer(events int, interval time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		controller := http.NewResponseController(w)
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for range events {
			<-ticker.C
			_, _ = io.WriteString(w, sampleEvent)
			_ = controller.Flush()
		}
	}
}

// relayServer forwards streams with engine.CopyStream, as routers and sidecars do.
func relayServer(client *http.Client, upstream string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		request, _ := http.NewRequestWithContext(r.Context(), http.MethodPost, upstream, r.Body)
		response, err := client.Do(request)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		defer response.Body.Close()
		_ = engine.CopyStream(w, response.Body)
	}
}

// BenchmarkRelayStream runs paced streams through 0, 1 and 2 relays. The difference
// between successive results is the CPU time per event of one relay.
func BenchmarkRelayStream(b *testing.B) {
	const streams, events, interval = 200, 100, 5 * time.Millisecond
	for _, relays := range []int{0, 1, 2} {
		b.Run(fmt.Sprintf("relays=%d", relays), func(b *testing.B) {
			client := transport.NewClient(streams)
			server := httptest.NewServer(eventServer(events, interval))
			defer server.Close()
			address := server.URL
			for range relays {
				relay := httptest.NewServer(relayServer(client, address))
				defer relay.Close()
				address = relay.URL
			}
			before := processorTime(b)
			for b.Loop() {
				var running sync.WaitGroup
				for range streams {
					running.Go(func() { readStream(b, client, address, events) })
				}
				running.Wait()
			}
			b.ReportMetric(float64((processorTime(b)-before).Nanoseconds())/float64(b.N*streams*events), "cpu-ns/event")
			b.ReportMetric(float64(len(sampleEvent)), "bytes/event")
		})
	}
}

func readStream(b *testing.B, client *http.Client, address string, events int) {
	response, err := client.Post(address, "application/json", nil)
	if err != nil {
		b.Error(err)
		return
	}
	defer response.Body.Close()
	n, err := io.Copy(io.Discard, response.Body)
	if err != nil || n != int64(events*len(sampleEvent)) {
		b.Errorf("read %d bytes: %v", n, err)
	}
}

// BenchmarkControlExchange measures the CPU time of one call and its response, for
// client and server together.
func BenchmarkControlExchange(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var body string
		if failure := transport.ReadJSON(w, r, "measure exchange", 1<<20, &body); failure == nil {
			transport.WriteJSON(w, http.StatusOK, body)
		}
	}))
	defer server.Close()
	client := transport.NewClient(4)
	before := processorTime(b)
	for b.Loop() {
		var answer string
		if err := transport.Call(context.Background(), client, "measure exchange", server.Listener.Addr().String(), "/", "body", &answer); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64((processorTime(b)-before).Nanoseconds())/float64(b.N), "cpu-ns/exchange")
	wire, err := MeasureWireOverhead(context.Background())
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(wire.RequestHeader), "request-header-bytes")
	b.ReportMetric(float64(wire.ResponseHeader), "response-header-bytes")
}

func TestMeasuredHeaderSizesArePlausible(t *testing.T) {
	wire, err := MeasureWireOverhead(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	// Lower bounds: "POST /internal/v1/gossip HTTP/1.1" and "HTTP/1.1 200 OK".
	if wire.RequestHeader < 36 || wire.ResponseHeader < 17 || wire.Header() > 2000 {
		t.Fatalf("implausible header sizes %+v", wire)
	}
}
