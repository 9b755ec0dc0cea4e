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
	answerTokens  = 12
	batchItems    = 150
	resends       = 12 // of one booking, through all sidecars in turn
	shownFailures = 3
	resendPause   = 250 * time.Millisecond
)

// workload is what callers do while faults happen, and what came of it.
type workload struct {
	fleet   *fleet
	name    string // makes this workload's bookings its own
	stop    chan struct{}
	running sync.WaitGroup

	mutex    sync.Mutex
	streams  int
	failed   []error // streams that ended with an error
	wrong    []error // answers given as whole that were not right
	bookings map[string]*booking
}

// booking is one request that may not be repeated, with all its resends.
type booking struct {
	answers  map[string]bool // distinct whole answers
	outcomes []api.Outcome
	definite bool // ended with an answer
}

func (f *fleet) client(number int) openai.Client {
	return openai.NewClient(option.WithBaseURL("http://"+f.callers[number%len(f.callers)]+"/v1"),
		option.WithAPIKey("prove"), option.WithMaxRetries(0))
}

// work starts callers that stream and book until end.
func (f *fleet) work(name string) *workload {
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
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		err := verify.Stream(ctx, client, modelService, fmt.Sprintf("caller %d asks %d", caller, i), answerTokens)
		cancel()
		w.mutex.Lock()
		w.streams++
		var wrong *verify.WrongAnswer
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
		for attempt := range resends {
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

// send sends the booking once; true when its outcome is definite.
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
		made.definite = true
		return true
	}
	made.outcomes = append(made.outcomes, api.Outcome(response.Header.Get(api.HeaderOutcome)))
	return false
}

// runs counts how often a booking reached a back end.
func (f *fleet) runs(name string) int {
	total := 0
	for _, back := range f.engines {
		back.mutex.Lock()
		total += back.runs[name]
		back.mutex.Unlock()
	}
	return total
}

// check states what must hold whatever failed.
func (w *workload) check(t *testing.T) {
	t.Helper()
	for _, err := range w.violations() {
		t.Error(err)
	}
	if t.Failed() {
		t.Log(w.fleet.logs())
	}
	for _, err := range w.failed[:min(len(w.failed), shownFailures)] {
		t.Logf("failed: %v", err)
	}
	t.Logf("%d streams (%d failed), %d bookings (%d answered)", w.streams, len(w.failed), len(w.bookings), w.answered())
}

// violations lists what should not have come of the work.
func (w *workload) violations() []error {
	var found []error
	for _, err := range w.wrong {
		found = append(found, fmt.Errorf("a wrong answer was given as whole: %w", err))
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
		if made.definite {
			count++
		}
	}
	return count
}

// violation compares what the caller was told with how often it ran.
func (b *booking) violation(runs int) error {
	switch {
	case runs > 1:
		return fmt.Errorf("ran %d times", runs)
	case b.definite && runs != 1:
		return fmt.Errorf("was answered and ran %d times", runs)
	case len(b.answers) > 1:
		return fmt.Errorf("had %d different answers", len(b.answers))
	case runs > 0 && !b.definite && allNotRun(b.outcomes):
		return errors.New("was always said not to have run, and ran")
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

// checkNothingLost is for planned stops and outages: no stream may fail.
func (w *workload) checkNothingLost(t *testing.T) {
	t.Helper()
	for _, err := range w.failed {
		t.Errorf("a request was cut: %v", err)
	}
}

// job is a batch that runs while faults happen.
type job struct {
	id   string
	want map[string]string
}

// submit uploads and submits, sending again until it is acknowledged.
func (f *fleet) submit(name string) job {
	f.t.Helper()
	client := f.client(0)
	input, want := verify.BatchInput(modelService, name, batchItems, answerTokens)
	submitted := job{want: want}
	f.await("the batch to be accepted", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
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

// checkDone waits for the job's end and reads every result through another
// sidecar than the one that took it.
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
		f.t.Errorf("%d of %d items have a result", count, batchItems)
	}
}
