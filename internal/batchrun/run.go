package batchrun

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/backend"
	"github.com/dykewing/dykewing/internal/engine"
	"github.com/dykewing/dykewing/jobs"
	"github.com/dykewing/dykewing/origin"
	"github.com/dykewing/dykewing/worker"
)

// verdict is the outcome of one attempt to run an item.
type verdict string

const (
	verdictDone        verdict = "done"
	verdictNotRun      verdict = "not_run"    // rejected by the worker
	verdictInterrupted verdict = "broken"     // interrupted; resumes after the last event
	verdictFailed      verdict = "failed"     // the worker reported a failure
	verdictImpossible  verdict = "impossible" // not retryable
	verdictCancelled   verdict = "stopped"    // the item was preempted, or the job or leadership ended
)

func requestHeader(stored jobs.InlineItem) http.Header {
	header := make(http.Header, len(stored.Headers)+4)
	for name, value := range stored.Headers {
		header.Set(name, value)
	}
	return header
}

// run sends an item to the ticket's worker and handles the outcome.
func (l *Leader) run(ctx context.Context, i *item, rule rule, ticket *backend.Assignment) {
	began, sent := time.Now(), len(i.text)
	verdict, err := l.send(ctx, i, rule, ticket)
	ticket.End()
	if ctx.Err() != nil {
		verdict = verdictCancelled
	}
	i.cancel()
	l.recordRun(i, ticket, verdict, err)
	l.service.metrics.attempts.WithLabelValues(string(verdict)).Inc()
	if verdict != verdictDone {
		l.log.WithFields(logrus.Fields{
			"event": "item_send_ended", "request": i.job.ID, "digest": i.digest, "index": i.index, "worker": ticket.Worker.ID, "worker_version": ticket.Worker.Version, "verdict": verdict,
			"sends": i.attempts, "failures": i.failures, "last_event": i.lastEventID, "bytes": len(i.text) - sent, "took_ms": time.Since(began).Milliseconds(),
			"load": ticket.Load, "load_age_ms": ticket.ReportAge.Milliseconds(), "left_ms": time.Until(i.job.Due()).Milliseconds(),
		}).WithFields(backend.EvidenceFields(err)).WithError(err).Info("Item attempt ended before its output was complete.")
	}
	received := len(i.text) - sent
	if listed, ok := l.service.pool.VersionOf(ticket.Worker.ID); verdict != verdictDone && received > 0 && ok && listed != ticket.Worker.Version {
		l.restart(i, "its worker was replaced by one of another version")
	}
	l.finishRun(i, verdict, rule, ticket.Worker.ID, received)
	l.wakeUp()
}

// finishRun handles the end of a run that gave received bytes: the item is completed, abandoned or
// requeued.
func (l *Leader) finishRun(i *item, verdict verdict, rule rule, workerID string, received int) {
	switch verdict {
	case verdictDone:
		l.service.metrics.itemSeconds.Observe(time.Since(i.job.Created).Seconds())
		l.enqueueResult(i, jobs.InlineCompleted, string(i.text))
	case verdictFailed:
		i.setFailures(i.failures + 1)
		defer signal(l.checkpointNow)
	case verdictImpossible:
		i.setFailures(rule.route.MaxAttempts)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.running, i)
	l.returnTrial(i, verdict)
	took := time.Since(i.startedAt)
	l.lengths.RecordRun(workerID, received, took)
	if verdict == verdictInterrupted {
		l.suspects.interrupted(time.Now(), workerID, i)
	} else {
		l.suspects.ended(workerID, i, received > 0)
	}
	if verdict == verdictDone {
		if i.attempts != 1 {
			took = 0 // a resumed run is shorter than the whole item
		}
		l.lengths.RecordCompleted(len(i.text), took)
	}
	i.worker, i.preempted = "", false
	if verdict == verdictDone {
		l.backlog.finish(i)
	}
	if verdict == verdictDone || l.ended[i.job.ID] || verdict == verdictCancelled && l.ctx.Err() != nil {
		return
	}
	if newest, known := l.ruleFor(i); verdict == verdictImpossible || known && newest.binding && newest.endOf(i) == endFailures {
		l.abandon(i, string(verdict))
		return
	}
	i.avoidWorker = workerID
	if verdict != verdictCancelled {
		pause := min(minRetryBackoff<<min(i.attempts, 5), maxRetryBackoff)
		i.notBefore = time.Now().Add(pause)
	}
	l.waiting = append(l.waiting, i)
	l.sortWaiting()
}

func (i *item) setFailures(failures int) {
	i.outputMutex.Lock()
	defer i.outputMutex.Unlock()
	i.failures = failures
}

// recordRun reports the end of a run to the quarantine guard and to outlier ejection. Runs
// that this process cancelled do not count against the worker.
func (l *Leader) recordRun(i *item, ticket *backend.Assignment, verdict verdict, err error) {
	guard := l.service.guard
	switch {
	case verdict == verdictDone:
		l.service.recordOutcomes(ticket.Worker.ID, "", worker.Outcomes{Succeeded: 1})
	case verdict == verdictFailed, verdict == verdictInterrupted && !errors.Is(err, context.Canceled):
		l.service.recordOutcomes(ticket.Worker.ID, "", worker.Outcomes{Failed: 1})
	}
	switch verdict {
	case verdictInterrupted:
		if i.digest != "" && !errors.Is(err, context.Canceled) {
			for _, digest := range i.digests() {
				guard.RecordBrokenResponse(ticket.Worker, digest, i.lastEventID != "")
			}
		}
	case verdictDone:
		if i.digest != "" && guard.Active() {
			for _, digest := range i.digests() {
				guard.RecordSurvival(digest)
			}
		}
	case verdictFailed, verdictImpossible: // do not clear the parts: the worker may not have begun to answer
		if i.digest != "" && guard.Active() {
			guard.RecordSurvival(i.digest)
		}
	}
}

// send makes one attempt to run an item and collects its events. Complete events stay in the item
// if the attempt fails.
func (l *Leader) send(ctx context.Context, i *item, rule rule, ticket *backend.Assignment) (verdict, error) {
	stored, found, err := l.state.InlineItem(i.job.ID, i.index)
	if err != nil || !found {
		return verdictInterrupted, fmt.Errorf("read item: found %t: %w", found, err)
	}
	path, query, err := splitPath(stored.Path)
	if err != nil {
		return verdictImpossible, err
	}
	i.attempts++
	idle := newIdleTimeout(ctx, l.service.settings.Silence)
	defer idle.stop()
	incoming, failure := l.service.caller.Send(idle.ctx, backend.WorkerRequest{
		Method: http.MethodPost, Path: path, Query: query, Host: i.host, Header: requestHeader(stored), Body: stored.Body,
		Call: backend.Call{ID: stored.ID, LastEvent: i.lastEventID, HasTenants: rule.hasTenants, Tenant: string(i.job.Tenant)}, ID: stored.ID, Worker: ticket.Worker,
	})
	if failure != nil {
		if failure.Outcome == api.OutcomeNotRun {
			if failure.Code == api.CodeUpstream {
				ticket.RecordRefused()
			}
			return verdictNotRun, failure
		}
		if failure.Code == api.CodeUpstream {
			ticket.RecordInterrupted()
		}
		return verdictInterrupted, failure
	}
	defer incoming.Response.Body.Close()
	if incoming.HasLoad {
		ticket.RecordLoad(incoming.Load)
	}
	switch status := incoming.Response.StatusCode; {
	case incoming.NotRun:
		handleRejection(ticket, incoming)
		return verdictNotRun, incoming.RefusalError(ticket.Worker.ID)
	case status == http.StatusUnprocessableEntity:
		return verdictImpossible, fmt.Errorf("status %d", status)
	case status == http.StatusInternalServerError:
		return verdictFailed, fmt.Errorf("status %d", status)
	case status != http.StatusOK || !incoming.Stamped:
		return verdictInterrupted, fmt.Errorf("status %d", status)
	}
	return l.read(idle.ctx, i, ticket, incoming, idle)
}

func handleRejection(ticket *backend.Assignment, incoming *backend.WorkerResponse) {
	if incoming.Moved {
		ticket.RecordMoved()
		return
	}
	ticket.RecordFull()
	incoming.CloseRefusal()
}

func (l *Leader) read(ctx context.Context, i *item, ticket *backend.Assignment, incoming *backend.WorkerResponse, idle *idleTimeout) (verdict, error) {
	source := &pacedReader{ctx: ctx, source: incoming.Response.Body, interval: readInterval}
	from := origin.Origin{Service: ticket.Worker.Service, Version: ticket.Worker.Version}
	err := i.collect(source, from, func() {
		idle.reset()
		ticket.RecordPromptRead()
	})
	if errors.Is(err, errOutputTooLong) {
		l.restart(i, err.Error())
	}
	if err != nil {
		return verdictInterrupted, err
	}
	return l.endOfStream(ctx, i, ticket, incoming)
}

// maxOutputBytes bounds the output of an item.
const maxOutputBytes = 4 << 20

var (
	errOutputTooLong = errors.New("output is longer than the limit")
	errEventCut      = errors.New("the stream ended within an event")
)

// collect adds the events of a worker's stream to the item's text until the stream ends, and calls received
// after each. An error means that the output is not complete.
func (i *item) collect(stream io.Reader, from origin.Origin, received func()) error {
	events, sequence := engine.NewEventReader(stream), engine.NewSequence(i.lastEventID)
	for {
		event, err := events.Next()
		if err == io.EOF && events.Truncated() {
			return errEventCut
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		isEvent, err := sequence.Check(event)
		if err != nil {
			return err
		}
		if !isEvent {
			continue
		}
		received()
		if i.appendEvent(event, from); len(i.text) > maxOutputBytes {
			return fmt.Errorf("%w of %d bytes", errOutputTooLong, maxOutputBytes)
		}
	}
}

// endOfStream returns the verdict on a stream that ended after a whole event. Without a length or
// chunks it may have ended because its worker crashed.
func (l *Leader) endOfStream(ctx context.Context, i *item, ticket *backend.Assignment, incoming *backend.WorkerResponse) (verdict, error) {
	if !incoming.Framed() && i.lastEventID == "" || !incoming.Complete(ctx, ticket.Worker) {
		return verdictInterrupted, errWorkerGone
	}
	return verdictDone, nil
}

// errWorkerGone means that a response ended with its connection, which the crash of its worker
// closes as well.
var errWorkerGone = errors.New("the response has neither a length nor chunks, and its worker is gone")

// appendEvent adds an event of a worker to the item's text. The event's data lines are joined with
// line feeds.
func (i *item) appendEvent(event []byte, from origin.Origin) {
	i.outputMutex.Lock()
	defer i.outputMutex.Unlock()
	i.lastEventAt = time.Now()
	if i.origin == nil {
		i.origin = &from
	}
	first := i.lastEventID == ""
	for line := range bytes.Lines(event) {
		line = bytes.TrimRight(line, "\r\n")
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			i.lastEventID = string(bytes.TrimSpace(id))
			continue
		}
		data, ok := bytes.CutPrefix(line, []byte("data:"))
		if !ok {
			continue
		}
		if !first {
			i.text = append(i.text, '\n')
		}
		first = false
		i.text = append(i.text, bytes.TrimPrefix(data, []byte(" "))...)
	}
}

func splitPath(path string) (escaped, query string, err error) {
	parsed, err := url.ParseRequestURI(path)
	if err != nil {
		return "", "", fmt.Errorf("parse item path: %w", err)
	}
	return parsed.EscapedPath(), parsed.RawQuery, nil
}

// idleTimeout cancels a request whose worker sends nothing for longer than limit.
type idleTimeout struct {
	ctx    context.Context
	cancel context.CancelFunc
	timer  *time.Timer
	limit  time.Duration
}

func newIdleTimeout(ctx context.Context, limit time.Duration) *idleTimeout {
	ctx, cancel := context.WithCancel(ctx)
	return &idleTimeout{ctx: ctx, cancel: cancel, timer: time.AfterFunc(limit, cancel), limit: limit}
}

func (t *idleTimeout) reset() { t.timer.Reset(t.limit) }

func (t *idleTimeout) stop() {
	t.timer.Stop()
	t.cancel()
}
