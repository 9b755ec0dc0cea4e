package dev

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/config"
	"github.com/dykewing/dykewing/internal/logging"
	"github.com/dykewing/dykewing/internal/storeclient"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/internal/verify"
	"github.com/dykewing/dykewing/jobs"
)

func benchmarkFleet(b *testing.B, stores int) (*Fleet, openai.Client) {
	b.Helper()
	logger, err := logging.New(config.Log{Level: "error", Format: "text"}, b.Output())
	if err != nil {
		b.Fatal(err)
	}
	options := DefaultOptions(logger)
	options.Stores = stores
	fleet, err := Start(b.Context(), options)
	if err != nil {
		b.Skipf("a fleet of %d stores does not start: %v", stores, err)
	}
	b.Cleanup(fleet.Stop)
	if stores > 1 && leadersOfGroup(fleet, 0) != 1 {
		b.Skip("the stores do not replicate a group")
	}
	return fleet, openai.NewClient(option.WithBaseURL(fleet.URL()), option.WithAPIKey("dev"), option.WithMaxRetries(0))
}

func leadersOfGroup(fleet *Fleet, id api.GroupID) int {
	leaders := 0
	for _, node := range fleet.sidecar.Node.Nodes() {
		for _, group := range node.Summary.Groups {
			if group.Group == id && group.Leading {
				leaders++
			}
		}
	}
	return leaders
}

// BenchmarkBatchAcknowledged measures concurrent uploads and submissions of jobs.
func BenchmarkBatchAcknowledged(b *testing.B) {
	const items, uploads = 5000, 4
	for _, stores := range []int{1, 3} {
		b.Run(fmt.Sprintf("stores=%d", stores), func(b *testing.B) {
			_, client := benchmarkFleet(b, stores)
			input, _ := verify.BatchInput("not-served", "mark", items, answerTokens)
			for b.Loop() {
				var running sync.WaitGroup
				for number := range uploads {
					running.Go(func() {
						tenant := option.WithHeader(api.HeaderTenant, fmt.Sprint("tenant-", number))
						if err := submitOnce(b.Context(), client, input, tenant); err != nil {
							b.Error(err)
						}
					})
				}
				running.Wait()
			}
			b.ReportMetric(float64(b.N*items*uploads)/b.Elapsed().Seconds(), "items/s")
		})
	}
}

func submitOnce(ctx context.Context, client openai.Client, input []byte, options ...option.RequestOption) error {
	file, err := client.Files.New(ctx, openai.FileNewParams{
		File: openai.File(bytes.NewReader(input), "input.jsonl", "application/jsonl"), Purpose: openai.FilePurposeBatch,
	}, options...)
	if err != nil {
		return err
	}
	_, err = client.Batches.New(ctx, batchOver(file.ID), options...)
	return err
}

// BenchmarkBatchFinished claims and settles items over the stores' HTTP API as routers do, without
// running them.
func BenchmarkBatchFinished(b *testing.B) {
	const items, routers = 20_000, 4
	for _, stores := range []int{1, 3} {
		b.Run(fmt.Sprintf("stores=%d", stores), func(b *testing.B) {
			fleet, client := benchmarkFleet(b, stores)
			finished, messages := 0, 0
			for b.Loop() {
				b.StopTimer()
				input, _ := verify.BatchInput("instant", "mark", items, answerTokens)
				if err := submitOnce(b.Context(), client, input); err != nil {
					b.Fatal(err)
				}
				b.StartTimer()
				sent := drainBatch(b, fleet, items, routers)
				finished, messages = finished+items, messages+sent
			}
			b.ReportMetric(float64(finished)/b.Elapsed().Seconds(), "items/s")
			b.ReportMetric(float64(messages)/float64(finished), "messages/item")
		})
	}
}

// drainBatch claims and settles items concurrently until all have ended, and returns the number of
// messages.
func drainBatch(b *testing.B, fleet *Fleet, items, routers int) int {
	var running sync.WaitGroup
	var mutex sync.Mutex
	left, messages := items, 0
	for number := range routers {
		running.Go(func() {
			for {
				mutex.Lock()
				done := left <= 0
				mutex.Unlock()
				if done {
					return
				}
				settled, sent := claimAndSettle(b, fleet, api.NodeID(fmt.Sprint("bench-", number)))
				mutex.Lock()
				left, messages = left-settled, messages+sent
				mutex.Unlock()
			}
		})
	}
	running.Wait()
	return messages
}

func claimAndSettle(b *testing.B, fleet *Fleet, router api.NodeID) (settled, messages int) {
	client := fleet.sidecar.Node.Control
	for _, node := range fleet.sidecar.Node.Nodes() {
		for _, group := range node.Summary.Groups {
			if !group.Leading {
				continue
			}
			var grant jobs.Grant
			claim := jobs.ClaimItems{Router: router, Rows: []jobs.RowCapacity{{Service: "instant", Place: "old", Slots: 64}}, WaitMs: 1}
			if err := transport.Call(b.Context(), client, "claim items", node.Address, storeclient.ClaimsPath(group.Group), claim, &grant); err != nil {
				continue
			}
			if len(grant.Items) == 0 {
				continue
			}
			settle := jobs.Settle{Router: router}
			for _, item := range grant.Items {
				settle.Results = append(settle.Results, jobs.ItemResult{
					Item: item.Item, CustomID: item.CustomID, Outcome: api.OutcomeRan, Status: 200, Request: "bench",
					Body: json.RawMessage(`{"choices":[{"message":{"role":"assistant","content":"right"}}]}`),
				})
			}
			for began := time.Now(); time.Since(began) < time.Minute; {
				messages++
				if transport.Call(b.Context(), client, "settle items", node.Address, storeclient.SettlePath(group.Group), settle, nil) == nil {
					break
				}
			}
			settled, messages = settled+len(grant.Items), messages+1
		}
	}
	return settled, messages
}

// BenchmarkBatchThroughRouters runs jobs through routers and fake engines. Its rate is limited by
// admission at each worker.
func BenchmarkBatchThroughRouters(b *testing.B) {
	const items = 400
	fleet, client := benchmarkFleet(b, 1)
	before := batchMessages(b, fleet)
	for b.Loop() {
		input, _ := verify.BatchInput(ModelService, "mark", items, answerTokens)
		file, err := client.Files.New(b.Context(), openai.FileNewParams{
			File: openai.File(bytes.NewReader(input), "input.jsonl", "application/jsonl"), Purpose: openai.FilePurposeBatch,
		})
		if err != nil {
			b.Fatal(err)
		}
		batch, err := client.Batches.New(b.Context(), batchOver(file.ID))
		if err != nil {
			b.Fatal(err)
		}
		if err := awaitCount(b.Context(), client, batch.ID, items); err != nil {
			b.Fatal(err)
		}
	}
	done := float64(b.N * items)
	b.ReportMetric(done/b.Elapsed().Seconds(), "items/s")
	b.ReportMetric((batchMessages(b, fleet)-before)/done, "messages/item")
}

// batchMessages returns the number of messages from routers to stores.
func batchMessages(b *testing.B, fleet *Fleet) float64 {
	total := 0.0
	for _, daemon := range fleet.daemons {
		families, err := daemon.Node.Registry.Gather()
		if err != nil {
			b.Fatal(err)
		}
		for _, family := range families {
			if family.GetName() != "dykewing_router_batch_messages_total" {
				continue
			}
			for _, metric := range family.GetMetric() {
				total += metric.GetCounter().GetValue()
			}
		}
	}
	return total
}
