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

// viewOf gives a view of workers whose entries are the ms of their start, or nonsense.
func viewOf(t *testing.T) (*workerView, *recorder, *logtest.Hook) {
	t.Helper()
	log, hook := logtest.NewNullLogger()
	log.SetOutput(io.Discard)
	source := testSource()
	source.DecodeWorker = func(key string, raw []byte) (worker.Worker, error) {
		born, ok := map[string]int64{"none": 0, "first": 1_000, "second": 2_000}[string(raw)]
		if !ok {
			return worker.Worker{}, errors.New("no entry")
		}
		decoded := worker.Worker{ID: key[len("workers/"):]}
		if born > 0 {
			decoded.Born = time.UnixMilli(born)
		}
		return decoded, nil
	}
	r := &recorder{workers: map[string]worker.Worker{}}
	c := New(source, newFakeService(), logrus.NewEntry(log), r)
	return &workerView{catalog: c, revisions: map[string]int64{}, starts: map[string]time.Time{}, lapsed: map[string]bool{}}, r, hook
}

func written(revision int64, key, value string) kv.Batch {
	pair := kv.Pair{Key: "workers/" + key, Value: []byte(value), Revision: revision}
	return kv.Batch{Revision: revision, Events: []kv.Event{{Pair: pair}}}
}

func deleted(revision int64, key string) kv.Batch {
	return kv.Batch{Revision: revision, Events: []kv.Event{{Pair: kv.Pair{Key: "workers/" + key, Revision: revision}, Deleted: true}}}
}

// A write of an earlier start that was done late undid the entry of the worker's newer
// start: it was sent requests as one that had left, or was left out.
func TestAnEarlierStartNeverUndoesALaterOne(t *testing.T) {
	tests := []struct {
		name    string
		batches []kv.Batch
		want    int64 // ms of the start in force; -1: no worker
	}{
		{"a later start", []kv.Batch{written(1, "a", "first"), written(2, "a", "second")}, 2_000},
		{"an earlier start's late write", []kv.Batch{written(1, "a", "second"), written(2, "a", "first")}, 2_000},
		{"an entry that tells none", []kv.Batch{written(1, "a", "first"), written(2, "a", "none")}, 0},
		{"one that came after the entry went", []kv.Batch{written(1, "a", "second"), deleted(2, "a"), written(3, "a", "first")}, 1_000},
		{"nonsense names no worker", []kv.Batch{written(1, "a", "first"), written(2, "a", "?")}, -1},
		{"and a word after it does", []kv.Batch{written(1, "a", "?"), written(2, "a", "first")}, 1_000},
		{"an older word than the nonsense", []kv.Batch{written(3, "a", "?"), written(2, "a", "first")}, -1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			v, r, _ := viewOf(t)
			v.Changes(written(1, "b", "none"))
			for _, batch := range test.batches {
				v.Changes(batch)
			}
			got := int64(-1)
			if w, ok := r.workers["a"]; ok {
				got = max(w.Born.UnixMilli(), 0)
			}
			if got != test.want {
				t.Errorf("start %d, want %d", got, test.want)
			}
			if _, ok := r.workers["b"]; !ok {
				t.Error("another worker's entry does not hold any more")
			}
		})
	}
}

// A lapsed entry stays in force for a while; its worker's next start takes its place, and
// the lapse ends nothing any more.
func TestALapsedEntryDoesNotOutliveItsWorkersNextStart(t *testing.T) {
	v, r, _ := viewOf(t)
	v.Changes(written(1, "a", "first"))
	now := clock.Now()
	v.catalog.outages.failed(now, now.Add(-time.Minute))
	v.catalog.outages.answered(now)
	v.Changes(deleted(2, "a"))
	if _, ok := r.workers["a"]; !ok || !v.lapsed["workers/a"] {
		t.Fatal("the entry is not kept after an outage")
	}
	v.Changes(written(3, "a", "second"))
	v.expire()
	if w, ok := r.workers["a"]; !ok || w.Born.UnixMilli() != 2_000 {
		t.Errorf("%+v %t", w, ok)
	}
}

// A writer gone wrong writes many entries: each is counted, and few lines tell of them.
func TestRefusedEntriesAreBoundedInTheLog(t *testing.T) {
	v, _, hook := viewOf(t)
	for revision := range int64(500) {
		v.Changes(written(revision+1, "a", "?"))
	}
	lines := 0
	for _, entry := range hook.AllEntries() {
		if entry.Data["event"] == "worker_refused" {
			lines++
		}
	}
	if lines == 0 || lines > 5 {
		t.Errorf("%d lines for 500 entries", lines)
	}
	var r refusals
	tests := []struct {
		after  time.Duration
		untold int
		due    bool
	}{{0, 0, true}, {time.Millisecond, 0, false}, {2 * time.Millisecond, 0, false}, {refusalInterval, 2, true}, {2 * refusalInterval, 0, true}}
	begin := time.UnixMilli(1_000)
	for _, test := range tests {
		if untold, due := r.tell(begin.Add(test.after)); untold != test.untold || due != test.due {
			t.Errorf("after %v: %d %t", test.after, untold, due)
		}
	}
}

// Symptom: a start of 10,000 workers was 10,000 lines at each of 1,000 processes. Few
// changes are told one by one, many together with those that are to get nothing more.
func TestChangesThatComeTogetherAreBoundedInTheLog(t *testing.T) {
	tests := []struct {
		written, deleted, lines int
	}{{1, 0, 1}, {mostLines, 0, mostLines}, {mostLines + 1, 0, 1}, {5000, 3000, 2}, {10_000, 6000, 2}}
	for _, test := range tests {
		v, _, hook := viewOf(t)
		var all, some kv.Batch
		for i := range test.written {
			all.Events = append(all.Events, written(int64(i+1), fmt.Sprint(i), "none").Events...)
		}
		for i := range test.deleted {
			some.Events = append(some.Events, deleted(int64(test.written+i+1), fmt.Sprint(i)).Events...)
		}
		v.Changes(all)
		if v.Changes(some); len(hook.AllEntries()) != test.lines {
			t.Errorf("%d written and %d deleted: %d lines, want %d", test.written, test.deleted, len(hook.AllEntries()), test.lines)
		}
		last := hook.LastEntry()
		if test.deleted > 0 && (last.Data["gone"] != test.deleted || last.Data["listed"] != test.written-test.deleted || len(last.Data["first_gone"].([]string)) != mostNamed) {
			t.Errorf("the line says %v", last.Data)
		}
	}
}
