package dev

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/dykewing/dykewing/config"
	"github.com/dykewing/dykewing/internal/logging"
	"github.com/dykewing/dykewing/internal/verify"
)

func startFleet(t *testing.T) (*Fleet, openai.Client) {
	t.Helper()
	logger, err := logging.New(config.Log{Level: "info", Format: "text"}, t.Output())
	if err != nil {
		t.Fatal(err)
	}
	fleet, err := Start(t.Context(), DefaultOptions(logger))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Stop)
	return fleet, openai.NewClient(option.WithBaseURL(fleet.URL()), option.WithAPIKey("dev"), option.WithMaxRetries(0))
}

func upload(t *testing.T, client openai.Client, content string) (*openai.FileObject, error) {
	t.Helper()
	return client.Files.New(t.Context(), openai.FileNewParams{
		File: openai.File(strings.NewReader(content), "input.jsonl", "application/jsonl"), Purpose: openai.FilePurposeBatch,
	})
}

func batchOver(file string) openai.BatchNewParams {
	return openai.BatchNewParams{
		InputFileID: file, Endpoint: openai.BatchNewParamsEndpointV1ChatCompletions,
		CompletionWindow: openai.BatchNewParamsCompletionWindow24h,
	}
}

func TestUploadErrorNamesLine(t *testing.T) {
	_, client := startFleet(t)
	good := `{"custom_id":"a","method":"POST","url":"/v1/chat/completions","body":{"model":"dev-model","messages":[]}}`
	cases := map[string]string{
		good + "\nnot json\n":                     "line 2",
		good + "\n\n" + good + "\n":               `line 3: custom_id "a" was used before`,
		strings.Replace(good, "/v1/", "/v2/", 1):  "line 1",
		strings.Replace(good, "POST", "GET", 1):   "line 1",
		strings.Replace(good, "dev-model", "", 1): "line 1",
		"\n\n": "no lines",
	}
	for content, want := range cases {
		_, err := upload(t, client, content)
		var refused *openai.Error
		if !errors.As(err, &refused) || refused.StatusCode != 400 || !strings.Contains(refused.Message, want) {
			t.Errorf("upload of %q gave %v, want 400 with %q", content, err, want)
		}
	}
	files, err := client.Files.List(t.Context(), openai.FileListParams{})
	if err != nil || len(files.Data) != 0 {
		t.Fatalf("%d files after rejected uploads, %v", len(files.Data), err)
	}
}

func TestBatchPaginationAndTenantIsolation(t *testing.T) {
	_, client := startFleet(t)
	input, _ := verify.BatchInput(ModelService, "mark", 1, answerTokens)
	var made []string
	for range 5 {
		file, err := upload(t, client, string(input))
		if err != nil {
			t.Fatal(err)
		}
		batch, err := client.Batches.New(t.Context(), batchOver(file.ID))
		if err != nil {
			t.Fatal(err)
		}
		made = append(made, batch.ID)
	}
	var listed []string
	pages := client.Batches.ListAutoPaging(t.Context(), openai.BatchListParams{Limit: openai.Int(2)})
	for pages.Next() {
		listed = append(listed, pages.Current().ID)
	}
	if pages.Err() != nil || len(listed) != 5 || listed[0] != made[4] || listed[4] != made[0] {
		t.Fatalf("listed %v of %v, %v", listed, made, pages.Err())
	}
	other := option.WithHeader("Dykewing-Tenant", "other")
	var refused *openai.Error
	if _, err := client.Batches.Get(t.Context(), made[0], other); !errors.As(err, &refused) || refused.StatusCode != 404 {
		t.Fatalf("another tenant can read the batch: %v", err)
	}
	if _, err := client.Batches.Cancel(t.Context(), made[0], other); !errors.As(err, &refused) || refused.StatusCode != 404 {
		t.Fatalf("another tenant can cancel the batch: %v", err)
	}
}

func TestBatchSurvivesFileDeletion(t *testing.T) {
	_, client := startFleet(t)
	input, want := verify.BatchInput(ModelService, "mark", 20, answerTokens)
	file, err := upload(t, client, string(input))
	if err != nil {
		t.Fatal(err)
	}
	batch, err := client.Batches.New(t.Context(), batchOver(file.ID))
	if err != nil {
		t.Fatal(err)
	}
	if deleted, err := client.Files.Delete(t.Context(), file.ID); err != nil || !deleted.Deleted {
		t.Fatal(err)
	}
	var refused *openai.Error
	if _, err := client.Files.Get(t.Context(), file.ID); !errors.As(err, &refused) || refused.StatusCode != 404 {
		t.Fatalf("read of a deleted file: %v", err)
	}
	if err := awaitCount(t.Context(), client, batch.ID, 20); err != nil {
		t.Fatal(err)
	}
	if right, err := verify.Results(t.Context(), client, batch.ID, want); err != nil || right != 20 {
		t.Fatalf("%d right results, %v", right, err)
	}
}

func TestNonRepeatableItemsRunOnce(t *testing.T) {
	fleet, client := startFleet(t)
	row := initialRows()[2]
	row.BatchAllowance = 4
	if err := fleet.SetRow(t.Context(), row); err != nil {
		t.Fatal(err)
	}
	var input strings.Builder
	for i := range 20 {
		fmt.Fprintf(&input, `{"custom_id":"v%d","url":"/v1/services/%s/verdict","body":{"n":%d}}`+"\n", i, ApplicationService, i)
	}
	file, err := upload(t, client, input.String())
	if err != nil {
		t.Fatal(err)
	}
	batch, err := client.Batches.New(t.Context(), batchOver(file.ID))
	if err != nil {
		t.Fatal(err)
	}
	if err := awaitCount(t.Context(), client, batch.ID, 20); err != nil {
		t.Fatal(err)
	}
	if ended, err := client.Batches.Get(t.Context(), batch.ID); err != nil || ended.RequestCounts.Completed != 20 {
		t.Fatalf("%+v, %v", ended.RequestCounts, err)
	}
	ran := 0
	for _, engine := range fleet.engines {
		for id, executions := range engine.Executions() {
			if executions.Started > 1 {
				t.Errorf("request %s was started %d times", id, executions.Started)
			}
			ran += executions.Started
		}
	}
	if ran != 20 {
		t.Fatalf("backends ran %d requests for 20 items", ran)
	}
}

// jobInput is an operation of a history that is checked against jobModel, a sequential model of one
// job, partitioned by idempotency key.
type jobInput struct {
	key  string
	kind string // submit, cancel or read
	body string
}

type jobOutput struct {
	id        string
	conflict  bool
	status    string
	completed int64
}

type jobModelState struct {
	id, body  string
	completed int64
	status    string // in_progress until the job has ended
}

func stepJob(state jobModelState, input jobInput, output jobOutput) (bool, jobModelState) {
	switch input.kind {
	case "submit":
		if state.id == "" {
			return !output.conflict && output.id != "", jobModelState{id: output.id, body: input.body, status: "in_progress"}
		}
		if state.body != input.body {
			return output.conflict, state
		}
		return !output.conflict && output.id == state.id, state
	case "read", "cancel":
		return stepObserved(state, input.kind, output)
	}
	return false, state
}

// stepObserved checks a read or cancel: counts never decrease, and once a job was observed as ended or
// its cancellation acknowledged, its state and counts do not change.
func stepObserved(state jobModelState, kind string, output jobOutput) (bool, jobModelState) {
	status := output.status
	if status == "cancelling" {
		status = "cancelled"
	}
	if state.id != output.id || output.completed < state.completed {
		return false, state
	}
	if state.status != "in_progress" {
		return status == state.status && output.completed == state.completed, state
	}
	if kind == "cancel" && status == "in_progress" || kind == "read" && status == "cancelled" {
		return false, state // a cancellation takes effect at once, and only a cancellation ends a job as cancelled
	}
	state.status, state.completed = status, output.completed
	return true, state
}

var jobModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, operation := range history {
			key := operation.Input.(jobInput).key
			byKey[key] = append(byKey[key], operation)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return jobModelState{} },
	Step: func(state, input, output any) (bool, any) {
		return stepJob(state.(jobModelState), input.(jobInput), output.(jobOutput))
	},
}

func TestJobModelRejectsResultAfterCancel(t *testing.T) {
	at := int64(0)
	operation := func(kind string, output jobOutput) porcupine.Operation {
		at += 2
		return porcupine.Operation{Input: jobInput{key: "k", kind: kind, body: "b"}, Call: at, Output: output, Return: at + 1}
	}
	good := []porcupine.Operation{
		operation("submit", jobOutput{id: "j"}), operation("cancel", jobOutput{id: "j", status: "cancelled", completed: 3}),
		operation("read", jobOutput{id: "j", status: "cancelled", completed: 3}),
	}
	if !porcupine.CheckOperations(jobModel, good) {
		t.Fatal("valid history was rejected")
	}
	bad := append(good, operation("read", jobOutput{id: "j", status: "cancelled", completed: 4}))
	if porcupine.CheckOperations(jobModel, bad) {
		t.Fatal("history with a result after the cancellation was accepted")
	}
	second := append(good[:1:1], operation("submit", jobOutput{id: "k"}))
	if porcupine.CheckOperations(jobModel, second) {
		t.Fatal("history with a duplicate job was accepted")
	}
}

// recorder records a history of operations.
type recorder struct {
	mutex   sync.Mutex
	began   time.Time
	history []porcupine.Operation
}

func (r *recorder) record(client int, input jobInput, run func() (jobOutput, error)) error {
	call := time.Since(r.began)
	output, err := run()
	if err != nil {
		return err
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.history = append(r.history, porcupine.Operation{
		ClientId: client, Input: input, Call: call.Nanoseconds(), Output: output, Return: time.Since(r.began).Nanoseconds(),
	})
	return nil
}

func observed(batch *openai.Batch, err error) (jobOutput, error) {
	if err != nil {
		return jobOutput{}, err
	}
	return jobOutput{id: batch.ID, status: string(batch.Status), completed: batch.RequestCounts.Completed}, nil
}

func submitKeyed(ctx context.Context, client openai.Client, file, key, body string) (jobOutput, error) {
	params := batchOver(file)
	params.Metadata = map[string]string{"body": body}
	batch, err := client.Batches.New(ctx, params, option.WithHeader("Idempotency-Key", key))
	var refused *openai.Error
	if errors.As(err, &refused) && refused.StatusCode == 409 {
		return jobOutput{conflict: true}, nil
	}
	if err != nil {
		return jobOutput{}, err
	}
	return jobOutput{id: batch.ID}, nil
}

// TestJobHistoriesAreLinearizable runs concurrent clients against a fleet in which a router and a
// store stop, and checks their history.
func TestJobHistoriesAreLinearizable(t *testing.T) {
	const keys, clients = 6, 4
	fleet, client := startFleet(t)
	input, _ := verify.BatchInput(ModelService, "mark", 30, answerTokens)
	file, err := upload(t, client, string(input))
	if err != nil {
		t.Fatal(err)
	}
	recorded := &recorder{began: time.Now()}
	var running sync.WaitGroup
	for key := range keys {
		for number := range clients {
			running.Go(func() {
				if err := recorded.runClient(t.Context(), client, file.ID, fmt.Sprint("key-", key), number); err != nil {
					t.Errorf("client %d of key %d: %v", number, key, err)
				}
			})
		}
	}
	fleet.StopRouter(1)
	fleet.stops[fleet.options.Routers]() // the first store: others take over its groups
	running.Wait()
	if len(recorded.history) < keys*clients {
		t.Fatalf("only %d operations", len(recorded.history))
	}
	if result := porcupine.CheckOperationsTimeout(jobModel, recorded.history, time.Minute); result != porcupine.Ok {
		t.Fatalf("the history of %d operations is %v", len(recorded.history), result)
	}
}

// runClient runs a client of a key, which submits and reads the job; client 0 also cancels it.
func (r *recorder) runClient(ctx context.Context, client openai.Client, file, key string, number int) error {
	body := "same"
	if number == 3 {
		body = "other"
	}
	var id string
	err := r.record(number, jobInput{key: key, kind: "submit", body: body}, func() (jobOutput, error) {
		output, err := submitKeyed(ctx, client, file, key, body)
		id = output.id
		return output, err
	})
	for i := 0; i < 12 && err == nil && id != ""; i++ {
		kind := "read"
		if number == 0 && i == 8 {
			kind = "cancel"
		}
		err = r.record(number, jobInput{key: key, kind: kind}, func() (jobOutput, error) {
			if kind == "cancel" {
				return observed(client.Batches.Cancel(ctx, id))
			}
			return observed(client.Batches.Get(ctx, id))
		})
		time.Sleep(20 * time.Millisecond)
	}
	return err
}
