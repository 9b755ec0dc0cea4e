package dev

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/dykewing/dykewing/internal/verify"
)

const (
	exerciseStreams  = 60
	exerciseItems    = 200
	answerTokens     = 24
	exerciseInterval = 15 * time.Millisecond
)

// step holds the results of one step of the exercise.
type step struct {
	name    string
	right   int
	wrong   int
	latency *hdrhistogram.Histogram // microseconds
	note    string
	mutex   sync.Mutex
}

func newStep(name string) *step {
	return &step{name: name, latency: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)}
}

func (s *step) record(took time.Duration, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	_ = s.latency.RecordValue(took.Microseconds())
	if err == nil {
		s.right++
		return
	}
	s.wrong++
	s.note = err.Error()
	if refusal := new(openai.Error); errors.As(err, &refusal) {
		s.note += ": " + refusal.Message
	}
}

// Exercise sends requests through the fleet and prints a table of the results. It returns an error if
// a response was wrong.
func Exercise(ctx context.Context, fleet *Fleet, output io.Writer) error {
	client := openai.NewClient(option.WithBaseURL(fleet.URL()), option.WithAPIKey("dev"), option.WithMaxRetries(0))
	steps := []*step{
		exerciseStreamed(ctx, client, "streamed chat", nil),
		exerciseStreamed(ctx, client, "streamed chat while weight moves", func() { fleet.migrate(ctx) }),
		exerciseBatch(ctx, client, "batch of 200 items", false),
		exerciseBatch(ctx, client, "batch cancelled part way", true),
		exerciseStreamed(ctx, client, "streamed chat while a router stops", func() { fleet.StopRouter(0) }),
	}
	return report(steps, output)
}

// migrate moves the model's weight from the old place to the new one.
func (f *Fleet) migrate(ctx context.Context) {
	rows := initialRows()
	rows[0].Weight, rows[1].Weight = 0, 100
	for _, row := range rows[:2] {
		if err := f.SetRow(ctx, row); err != nil {
			f.options.Log.WithError(err).Error("The table edit failed.")
		}
	}
}

// exerciseStreamed runs concurrent streamed chats and calls meanwhile, if not nil, halfway through.
func exerciseStreamed(ctx context.Context, client openai.Client, name string, meanwhile func()) *step {
	result := newStep(name)
	var running sync.WaitGroup
	for i := range exerciseStreams {
		if i == exerciseStreams/2 && meanwhile != nil {
			running.Go(meanwhile)
		}
		running.Go(func() {
			began := time.Now()
			err := verify.Stream(ctx, client, ModelService, fmt.Sprintf("%s %d", name, i), answerTokens)
			result.record(time.Since(began), err)
		})
		time.Sleep(exerciseInterval)
	}
	running.Wait()
	return result
}

func exerciseBatch(ctx context.Context, client openai.Client, name string, cancel bool) *step {
	result := newStep(name)
	began := time.Now()
	right, err := runBatch(ctx, client, cancel)
	result.record(time.Since(began), err)
	if err == nil {
		result.right = right
	}
	return result
}

func runBatch(ctx context.Context, client openai.Client, cancel bool) (int, error) {
	input, want := verify.BatchInput(ModelService, "mark", exerciseItems, answerTokens)
	file, err := client.Files.New(ctx, openai.FileNewParams{
		File: openai.File(strings.NewReader(string(input)), "input.jsonl", "application/jsonl"), Purpose: openai.FilePurposeBatch,
	})
	if err != nil {
		return 0, fmt.Errorf("upload: %w", err)
	}
	batch, err := client.Batches.New(ctx, openai.BatchNewParams{
		InputFileID: file.ID, Endpoint: openai.BatchNewParamsEndpointV1ChatCompletions,
		CompletionWindow: openai.BatchNewParamsCompletionWindow24h,
	})
	if err != nil {
		return 0, fmt.Errorf("create batch: %w", err)
	}
	if cancel {
		return cancelPartially(ctx, client, batch.ID, want)
	}
	if err := awaitCount(ctx, client, batch.ID, exerciseItems); err != nil {
		return 0, err
	}
	right, err := verify.Results(ctx, client, batch.ID, want)
	if err == nil && right != exerciseItems {
		err = fmt.Errorf("%d of %d results", right, exerciseItems)
	}
	return right, err
}

// awaitCount waits until at least count items have ended, for at most a minute.
func awaitCount(ctx context.Context, client openai.Client, id string, count int64) error {
	ctx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	for {
		batch, err := client.Batches.Get(ctx, id)
		if err != nil {
			return fmt.Errorf("read batch: %w", err)
		}
		if batch.RequestCounts.Completed+batch.RequestCounts.Failed >= count {
			return nil
		}
		time.Sleep(exerciseInterval)
	}
}

// cancelPartially cancels a batch after a quarter of its items, checks that no more items complete,
// and verifies the available results.
func cancelPartially(ctx context.Context, client openai.Client, id string, want map[string]string) (int, error) {
	if err := awaitCount(ctx, client, id, exerciseItems/4); err != nil {
		return 0, err
	}
	cancelled, err := client.Batches.Cancel(ctx, id)
	if err != nil {
		return 0, fmt.Errorf("cancel: %w", err)
	}
	time.Sleep(10 * exerciseInterval)
	later, err := client.Batches.Get(ctx, id)
	if err != nil {
		return 0, fmt.Errorf("read batch: %w", err)
	}
	if later.RequestCounts.Completed != cancelled.RequestCounts.Completed {
		return 0, fmt.Errorf("%d items completed after the cancel", later.RequestCounts.Completed-cancelled.RequestCounts.Completed)
	}
	right, err := verify.Results(ctx, client, id, want)
	if err == nil && int64(right) != cancelled.RequestCounts.Completed {
		err = fmt.Errorf("%d results are readable, %d completed", right, cancelled.RequestCounts.Completed)
	}
	return right, err
}

func report(steps []*step, output io.Writer) error {
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "STEP\tRIGHT\tWRONG\tP50\tP99\tNOTE")
	wrong := 0
	for _, step := range steps {
		wrong += step.wrong
		p50 := time.Duration(step.latency.ValueAtQuantile(50)) * time.Microsecond
		p99 := time.Duration(step.latency.ValueAtQuantile(99)) * time.Microsecond
		fmt.Fprintf(table, "%s\t%d\t%d\t%v\t%v\t%s\n", step.name, step.right, step.wrong, p50, p99, step.note)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if wrong > 0 {
		return fmt.Errorf("exercise: %d answers were wrong", wrong)
	}
	return nil
}
