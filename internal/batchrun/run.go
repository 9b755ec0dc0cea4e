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
	"github.com/dykewing/dykewing/worker"
)

// verdict is how one send of an item ended.
type verdict string

const (
	verdictDone      verdict = "done"
	verdictNotRun    verdict = "not_run"    // the worker did not take it
	verdictBroken    verdict = "broken"     // it goes on after its last event
	verdictFailed    verdict = "failed"     // the worker says that its run failed
	verdictPointless verdict = "impossible" // it can never be done
	verdictStopped   verdict = "stopped"    // the job or the leadership ended
)

func headerOf(stored jobs.InlineItem) http.Header {
	header := make(http.Header, len(stored.Headers)+4)
	for name, value := range stored.Headers {
		header.Set(name, value)
	}
	return header
}

// run sends an item to the ticket's worker and decides what follows.
func (l *Leader) run(ctx context.Context, i *item, maximumFailures int, ticket *backend.Ticket) {
	began, sent := time.Now(), len(i.text)
	verdict, err := l.send(ctx, i, ticket)
	ticket.End()
	if ctx.Err() != nil {
		verdict = verdictStopped
	}
	i.cancel()
	l.noteRun(i, ticket, verdict, err)
	l.service.metrics.attempts.WithLabelValues(string(verdict)).Inc()
	if verdict != verdictDone {
		l.log.WithFields(logrus.Fields{
			"event": "item_send_ended", "request": i.job.ID, "digest": i.digest, "index": i.index, "worker": ticket.Worker.ID, "verdict": verdict,
			"sends": i.sends, "failures": i.failures, "last_event": i.last, "bytes": len(i.text) - sent, "took_ms": time.Since(began).Milliseconds(),
			"load": ticket.Load, "load_age_ms": ticket.Age.Milliseconds(), "left_ms": time.Until(i.job.Due()).Milliseconds(),
		}).WithError(err).Info("A send of an item ended without its whole output.")
	}
	l.settle(i, verdict, maximumFailures, ticket.Worker.ID, len(i.text)-sent)
	l.wakeUp()
}

// settle lists an item or puts it back; so many bytes came of its run.
func (l *Leader) settle(i *item, verdict verdict, maximumFailures int, workerID string, came int) {
	switch verdict {
	case verdictDone:
		l.service.metrics.seconds.Observe(time.Since(i.job.Created).Seconds())
		l.list(i, jobs.InlineCompleted, string(i.text))
	case verdictFailed:
		i.fail(i.failures + 1)
		defer signal(l.failed)
	case verdictPointless:
		i.fail(maximumFailures)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.running, i)
	took := time.Since(i.since)
	l.lengths.Ran(workerID, came, took)
	if verdict == verdictBroken {
		l.suspects.broke(time.Now(), workerID, i)
	} else {
		l.suspects.ended(workerID, i, came > 0)
	}
	if verdict == verdictDone {
		if i.sends != 1 {
			took = 0 // not the whole item's
		}
		l.lengths.Whole(len(i.text), took)
	}
	i.worker, i.yielding = "", false
	if verdict == verdictDone {
		l.queued.finished(i)
	}
	if verdict == verdictDone || verdict == verdictStopped && (l.ended[i.job.ID] || l.ctx.Err() != nil) {
		return
	}
	if i.failures >= maximumFailures {
		l.abandon(i, string(verdict))
		return
	}
	i.avoid = workerID
	if verdict != verdictStopped {
		pause := min(firstRetryPause<<min(i.sends, 5), lastRetryPause)
		i.notUntil = time.Now().Add(pause)
	}
	l.waiting = append(l.waiting, i)
	l.sortWaiting()
}

func (i *item) fail(failures int) {
	i.received.Lock()
	defer i.received.Unlock()
	i.failures = failures
}

// noteRun tells the guard how an item's run ended: its answer broke off, not by this
// process, or its worker is still there after it.
func (l *Leader) noteRun(i *item, ticket *backend.Ticket, verdict verdict, err error) {
	guard := l.service.guard
	switch {
	case verdict == verdictDone:
		l.service.judge(ticket.Worker.ID, "", worker.Outcomes{Whole: 1})
	case verdict == verdictFailed, verdict == verdictBroken && !errors.Is(err, context.Canceled):
		l.service.judge(ticket.Worker.ID, "", worker.Outcomes{Broken: 1})
	}
	switch verdict {
	case verdictBroken:
		if i.digest != "" && !errors.Is(err, context.Canceled) {
			guard.Broke(ticket.Worker, i.digest, i.last != "")
		}
	case verdictDone, verdictFailed, verdictPointless:
		if i.digest != "" && guard.Watching() {
			guard.Survived(i.digest)
		}
	}
}

// send sends an item once and reads its events; whole ones are kept in the item.
func (l *Leader) send(ctx context.Context, i *item, ticket *backend.Ticket) (verdict, error) {
	stored, found, err := l.state.InlineItem(i.job.ID, i.index)
	if err != nil || !found {
		return verdictBroken, fmt.Errorf("read item: found %t: %w", found, err)
	}
	path, query, err := splitPath(stored.Path)
	if err != nil {
		return verdictPointless, err
	}
	i.sends++
	watch := newSilenceWatch(ctx, l.service.settings.Silence)
	defer watch.stop()
	incoming, failure := l.service.caller.Send(watch.ctx, backend.Outgoing{
		Method: http.MethodPost, Path: path, Query: query, Host: i.host, Header: headerOf(stored), Body: stored.Body,
		Call: backend.Call{ID: stored.ID, LastEvent: i.last, Tenants: l.service.hasTenants(), Tenant: string(i.job.Tenant)}, ID: stored.ID, Worker: ticket.Worker,
	})
	if failure != nil {
		if failure.Outcome == api.OutcomeNotRun {
			if failure.Code == api.CodeUpstream {
				ticket.Refused()
			}
			return verdictNotRun, failure
		}
		if failure.Code == api.CodeUpstream {
			ticket.Broke()
		}
		return verdictBroken, failure
	}
	defer incoming.Response.Body.Close()
	if incoming.Loaded {
		ticket.Report(incoming.Load)
	}
	switch status := incoming.Response.StatusCode; {
	case incoming.NotRun:
		turnedAway(ticket, incoming)
		return verdictNotRun, fmt.Errorf("status %d", status)
	case status == http.StatusUnprocessableEntity:
		return verdictPointless, fmt.Errorf("status %d", status)
	case status == http.StatusInternalServerError:
		return verdictFailed, fmt.Errorf("status %d", status)
	case status != http.StatusOK || !incoming.Stamped:
		return verdictBroken, fmt.Errorf("status %d", status)
	}
	return l.read(watch.ctx, i, ticket, incoming, watch)
}

func turnedAway(ticket *backend.Ticket, incoming *backend.Incoming) {
	if incoming.Moved {
		ticket.Moved()
		return
	}
	ticket.Full()
	_, _ = io.Copy(io.Discard, io.LimitReader(incoming.Response.Body, engine.MaximumEventBytes))
}

func (l *Leader) read(ctx context.Context, i *item, ticket *backend.Ticket, incoming *backend.Incoming, watch *silenceWatch) (verdict, error) {
	events := engine.NewEventReader(&pacedReader{ctx: ctx, source: incoming.Response.Body, interval: readInterval})
	for {
		event, err := events.Next()
		if err == io.EOF && !events.Cut() {
			return verdictDone, nil
		}
		if err != nil {
			return verdictBroken, err
		}
		watch.heard()
		ticket.Started()
		i.take(event)
	}
}

// take keeps an event: its data lines join the text, separated by line feeds.
func (i *item) take(event []byte) {
	i.received.Lock()
	defer i.received.Unlock()
	i.lastAt = time.Now()
	first := i.last == ""
	for line := range bytes.Lines(event) {
		line = bytes.TrimRight(line, "\r\n")
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			i.last = string(bytes.TrimSpace(id))
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
		return "", "", fmt.Errorf("item's path: %w", err)
	}
	return parsed.EscapedPath(), parsed.RawQuery, nil
}

// silenceWatch ends a request whose worker sends nothing for too long.
type silenceWatch struct {
	ctx    context.Context
	cancel context.CancelFunc
	timer  *time.Timer
	limit  time.Duration
}

func newSilenceWatch(ctx context.Context, limit time.Duration) *silenceWatch {
	ctx, cancel := context.WithCancel(ctx)
	return &silenceWatch{ctx: ctx, cancel: cancel, timer: time.AfterFunc(limit, cancel), limit: limit}
}

func (w *silenceWatch) heard() { w.timer.Reset(w.limit) }

func (w *silenceWatch) stop() {
	w.timer.Stop()
	w.cancel()
}
