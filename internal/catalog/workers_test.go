package catalog

import (
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/dykewing/dykewing/clock"
	"github.com/dykewing/dykewing/internal/kv"
	"github.com/dykewing/dykewing/worker"
)

// newTestView returns a view whose entries name the start of a worker (none, first or second);
// all others are invalid.
func newTestView(t *testing.T) (*workerView, *recorder, *logtest.Hook) {
	t.Helper()
	log, hook := logtest.NewNullLogger()
	log.SetOutput(io.Discard)
	source := testSource()
	source.DecodeWorker = func(key string, raw []byte) (worker.Worker, error) {
		born, ok := map[string]int64{"none": 0, "first": 1_000, "second": 2_000}[string(raw)]
		if !ok {
			return worker.Worker{}, errors.New("invalid entry")
		}
		decoded := worker.Worker{ID: key[len("workers/"):]}
		if born > 0 {
			decoded.StartedAt = time.UnixMilli(born)
		}
		return decoded, nil
	}
	r := &recorder{workers: map[string]worker.Worker{}}
	c := New(source, newFakeService(), logrus.NewEntry(log), r)
	return &workerView{catalog: c, revisions: map[string]int64{}, startTimes: map[string]time.Time{}, retained: map[string]bool{}}, r, hook
}

func written(revision int64, key, value string) kv.Batch {
	pair := kv.Pair{Key: "workers/" + key, Value: []byte(value), Revision: revision}
	return kv.Batch{Revision: revision, Events: []kv.Event{{Pair: pair}}}
}

func deleted(revision int64, key string) kv.Batch {
	return kv.Batch{Revision: revision, Events: []kv.Event{{Pair: kv.Pair{Key: "workers/" + key, Revision: revision}, Deleted: true}}}
}

// Guards against a late write of a worker's earlier start overriding the entry of its newer
// start, which would exclude the worker or send requests to a stopped process.
func TestEarlierStartNeverOverridesLaterOne(t *testing.T) {
	tests := []struct {
		name    string
		batches []kv.Batch
		want    int64 // start in force in ms; -1: no worker
	}{
		{"later start", []kv.Batch{written(1, "a", "first"), written(2, "a", "second")}, 2_000},
		{"late write of an earlier start", []kv.Batch{written(1, "a", "second"), written(2, "a", "first")}, 2_000},
		{"entry without a start", []kv.Batch{written(1, "a", "first"), written(2, "a", "none")}, 0},
		{"earlier start after a deletion", []kv.Batch{written(1, "a", "second"), deleted(2, "a"), written(3, "a", "first")}, 1_000},
		{"invalid entry removes the worker", []kv.Batch{written(1, "a", "first"), written(2, "a", "?")}, -1},
		{"valid entry after an invalid one", []kv.Batch{written(1, "a", "?"), written(2, "a", "first")}, 1_000},
		{"late delivery of an entry older than an invalid one", []kv.Batch{written(3, "a", "?"), written(2, "a", "first")}, -1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			v, r, _ := newTestView(t)
			v.Apply(written(1, "b", "none"))
			for _, batch := range test.batches {
				v.Apply(batch)
			}
			got := int64(-1)
			if w, ok := r.workers["a"]; ok {
				got = max(w.StartedAt.UnixMilli(), 0)
			}
			if got != test.want {
				t.Errorf("start %d, want %d", got, test.want)
			}
			if _, ok := r.workers["b"]; !ok {
				t.Error("entry of another worker was removed")
			}
		})
	}
}

// A retained entry is replaced by its worker's next start, which must not expire with it.
func TestRetainedEntryIsReplacedByWorkersNextStart(t *testing.T) {
	v, r, _ := newTestView(t)
	v.Apply(written(1, "a", "first"))
	now := clock.Now()
	v.catalog.outages.recordFailure(now, now.Add(-time.Minute))
	v.catalog.outages.recordAnswer(now)
	v.Apply(deleted(2, "a"))
	if _, ok := r.workers["a"]; !ok || !v.retained["workers/a"] {
		t.Fatal("entry not retained after an outage")
	}
	v.Apply(written(3, "a", "second"))
	v.expire()
	if w, ok := r.workers["a"]; !ok || w.StartedAt.UnixMilli() != 2_000 {
		t.Errorf("got worker %+v (%t), want its second start", w, ok)
	}
}

// Guards against flooding the log when a faulty writer writes many invalid entries.
func TestLogLinesForRejectedEntriesAreBounded(t *testing.T) {
	v, _, hook := newTestView(t)
	for revision := range int64(500) {
		v.Apply(written(revision+1, "a", "?"))
	}
	lines := 0
	for _, entry := range hook.AllEntries() {
		if entry.Data["event"] == "worker_refused" {
			lines++
		}
	}
	if lines == 0 || lines > 5 {
		t.Errorf("%d log lines for 500 invalid entries", lines)
	}
	var r logLimiter
	tests := []struct {
		after      time.Duration
		suppressed int
		ok         bool
	}{{0, 0, true}, {time.Millisecond, 0, false}, {2 * time.Millisecond, 0, false}, {rejectionLogInterval, 2, true}, {2 * rejectionLogInterval, 0, true}}
	begin := time.UnixMilli(1_000)
	for _, test := range tests {
		if suppressed, ok := r.allow(begin.Add(test.after)); suppressed != test.suppressed || ok != test.ok {
			t.Errorf("after %v: %d lines suppressed, allowed %t", test.after, suppressed, ok)
		}
	}
}

// Guards against one log line per worker at every process when a whole fleet starts.
func TestLogLinesForBatchedChangesAreBounded(t *testing.T) {
	tests := []struct {
		written, deleted, lines int
	}{{1, 0, 1}, {maxChangeLines, 0, maxChangeLines}, {maxChangeLines + 1, 0, 1}, {5000, 3000, 2}, {10_000, 6000, 2}}
	for _, test := range tests {
		v, _, hook := newTestView(t)
		var all, some kv.Batch
		for i := range test.written {
			all.Events = append(all.Events, written(int64(i+1), fmt.Sprint(i), "none").Events...)
		}
		for i := range test.deleted {
			some.Events = append(some.Events, deleted(int64(test.written+i+1), fmt.Sprint(i)).Events...)
		}
		v.Apply(all)
		if v.Apply(some); len(hook.AllEntries()) != test.lines {
			t.Errorf("%d entries written and %d deleted: %d log lines, want %d", test.written, test.deleted, len(hook.AllEntries()), test.lines)
		}
		last := hook.LastEntry()
		if test.deleted > 0 && (last.Data["gone"] != test.deleted || last.Data["listed"] != test.written-test.deleted || len(last.Data["first_gone"].([]string)) != maxNamedWorkers) {
			t.Errorf("fields of the summary: %v", last.Data)
		}
	}
}
