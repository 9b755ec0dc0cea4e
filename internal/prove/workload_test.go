package prove

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/verify"
)

const (
	answerTokens      = 12
	batchItems        = 150
	maxAttempts       = 12 // attempts per booking, over all sidecars in turn
	maxLoggedFailures = 3
	resendPause       = 250 * time.Millisecond
)

// workload runs callers during a fault and records their results.
type workload struct {
	fleet   *fleet
	name    string // makes the names of bookings unique
	stop    chan struct{}
	running sync.WaitGroup

	mutex    sync.Mutex
	streams  int
	failed   []error // streams that ended with an error
	wrong    []error // complete streams with incorrect text
	bookings map[string]*booking
}

// booking is a non-repeatable request with the results of all its attempts.
type booking struct {
	answers  map[string]bool // distinct complete answers
	outcomes []api.Outcome
	answered bool // an answer was received
}

func (f *fleet) client(number int) openai.Client {
	return openai.NewClient(option.WithBaseURL("http://"+f.callers[number%len(f.callers)]+"/v1"),
		option.WithAPIKey("prove"), option.WithMaxRetries(0))
}

// startWorkload starts callers that send streams and bookings until end is called.
func (f *fleet) startWorkload(name string) *workload {
	w := &workload{fleet: f, name: name, stop: make(chan struct{}), bookings: map[string]*booking{}}
	for caller := range 4 {
		w.running.Go(func() { w.stream(caller) })
		w.running.Go(func() { w.book(caller) })
	}
	return w
}

func (w *workload) end() {
	close(w.stop)
	w.running.Wait()
}

func (w *workload) stopped() bool {
	select {
	case <-w.stop:
		return true
	default:
		return false
	}
}

func (w *workload) stream(caller int) {
	client := w.fleet.client(caller)
	for i := 0; !w.stopped(); i++ {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		err := verify.Stream(ctx, client, modelService, fmt.Sprintf("caller %d asks %d", caller, i), answerTokens)
		cancel()
		w.mutex.Lock()
		w.streams++
		var wrong *verify.WrongAnswerError
		switch {
		case errors.As(err, &wrong):
			w.wrong = append(w.wrong, err)
		case err != nil:
			w.failed = append(w.failed, err)
			time.Sleep(pollInterval)
		}
		w.mutex.Unlock()
	}
}

func (w *workload) book(caller int) {
	for i := 0; !w.stopped(); i++ {
		name := fmt.Sprintf("%s: booking %d of %d", w.name, i, caller)
		made := &booking{answers: map[string]bool{}}
		for attempt := range maxAttempts {
			if w.send(made, name, caller+attempt) {
				break
			}
			time.Sleep(resendPause)
		}
		w.mutex.Lock()
		w.bookings[name] = made
		w.mutex.Unlock()
	}
}

// send sends the booking once and reports whether it was answered.
func (w *workload) send(made *booking, name string, caller int) bool {
	return w.sendAs(made, name, caller, "false")
}

func (w *workload) sendAs(made *booking, name string, caller int, repeatable string) bool {
	address := w.fleet.callers[caller%len(w.fleet.callers)]
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/services/"+string(bookingService)+"/slots", strings.NewReader(name))
	if err != nil {
		return false
	}
	if repeatable == "false" {
		request.Header.Set(api.HeaderIdempotencyKey, name)
	}
	request.Header.Set(api.HeaderRepeatable, repeatable)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		made.outcomes = append(made.outcomes, api.OutcomeUnknown)
		return false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		made.outcomes = append(made.outcomes, api.OutcomeUnknown)
		return false
	}
	if response.StatusCode == http.StatusOK {
		made.answers[string(body)] = true
		made.answered = true
		return true
	}
	made.outcomes = append(made.outcomes, api.Outcome(response.Header.Get(api.HeaderOutcome)))
	return false
}

// runs returns how often a booking reached a back end.
func (f *fleet) runs(name string) int {
	total := 0
	for _, back := range f.engines {
		back.mutex.Lock()
		total += back.runs[name]
		back.mutex.Unlock()
	}
	return total
}

// check reports all violations and logs a summary.
func (w *workload) check(t *testing.T) {
	t.Helper()
	for _, err := range w.violations() {
		t.Error(err)
	}
	if t.Failed() {
		t.Log(w.fleet.logs())
	}
	for _, err := range w.failed[:min(len(w.failed), maxLoggedFailures)] {
		t.Logf("failed: %v", err)
	}
	t.Logf("%d streams (%d failed), %d bookings (%d answered)", w.streams, len(w.failed), len(w.bookings), w.answered())
}

// violations returns the results that are incorrect under any fault.
func (w *workload) violations() []error {
	var found []error
	for _, err := range w.wrong {
		found = append(found, fmt.Errorf("complete stream with incorrect text: %w", err))
	}
	for name, made := range w.bookings {
		if err := made.violation(w.fleet.runs(name)); err != nil {
			found = append(found, fmt.Errorf("%s: %w", name, err))
		}
	}
	if w.streams == len(w.failed) || w.answered() == 0 {
		found = append(found, fmt.Errorf("nothing was served: %d streams of which %d failed, %d bookings of which %d were answered",
			w.streams, len(w.failed), len(w.bookings), w.answered()))
	}
	return found
}

func (w *workload) answered() int {
	count := 0
	for _, made := range w.bookings {
		if made.answered {
			count++
		}
	}
	return count
}

// violation checks the results that the caller received against the number of
// runs.
func (b *booking) violation(runs int) error {
	switch {
	case runs > 1:
		return fmt.Errorf("ran %d times", runs)
	case b.answered && runs != 1:
		return fmt.Errorf("was answered but ran %d times", runs)
	case len(b.answers) > 1:
		return fmt.Errorf("had %d different answers", len(b.answers))
	case runs > 0 && !b.answered && allNotRun(b.outcomes):
		return errors.New("ran, but all outcomes reported not_run")
	}
	return nil
}

func allNotRun(outcomes []api.Outcome) bool {
	for _, outcome := range outcomes {
		if outcome != api.OutcomeNotRun {
			return false
		}
	}
	return true
}

// checkNothingLost reports every failed stream.
func (w *workload) checkNothingLost(t *testing.T) {
	t.Helper()
	for _, err := range w.failed {
		t.Errorf("stream failed: %v", err)
	}
}

// job is a submitted batch with the expected answers.
type job struct {
	id   string
	want map[string]string
}

// submit uploads and submits a batch, and retries until it is accepted.
func (f *fleet) submit(name string) job {
	f.t.Helper()
	client := f.client(0)
	input, want := verify.BatchInput(modelService, name, batchItems, answerTokens)
	submitted := job{want: want}
	f.await("the batch to be accepted", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		file, err := client.Files.New(ctx, openai.FileNewParams{
			File: openai.File(strings.NewReader(string(input)), name+".jsonl", "application/jsonl"), Purpose: openai.FilePurposeBatch,
		})
		if err != nil {
			return false
		}
		batch, err := client.Batches.New(ctx, openai.BatchNewParams{
			InputFileID: file.ID, Endpoint: openai.BatchNewParamsEndpointV1ChatCompletions,
			CompletionWindow: openai.BatchNewParamsCompletionWindow24h,
		})
		if err != nil {
			return false
		}
		submitted.id = batch.ID
		return true
	})
	return submitted
}

// checkDone waits for the batch to end and checks its results through a different
// sidecar from the one that accepted it.
func (f *fleet) checkDone(submitted job) {
	f.t.Helper()
	client := f.client(1)
	f.await("the batch to complete", func() bool {
		batch, err := client.Batches.Get(context.Background(), submitted.id)
		return err == nil && batch.RequestCounts.Completed+batch.RequestCounts.Failed == batchItems
	})
	var count int
	var last error
	f.await("the results", func() bool {
		count, last = verify.Results(context.Background(), client, submitted.id, submitted.want)
		return last == nil
	})
	if count != batchItems {
		f.t.Errorf("got results for %d of %d items", count, batchItems)
	}
}
