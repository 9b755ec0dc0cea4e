package batchrun

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/backend"
	"github.com/dykewing/dykewing/internal/catalog"
	"github.com/dykewing/dykewing/platform"
	"github.com/dykewing/dykewing/reservation"
	"github.com/dykewing/dykewing/worker"
)

// tellingPaces is a report that holds nothing.
func tellingPaces(sequence uint64, words ...reservation.Word) reservation.Report {
	return reservation.Report{Node: "front", Sequence: sequence, Heard: words}
}

func TestALeaderChoosesByWhatFrontendsHeard(t *testing.T) {
	long := time.Hour
	tests := []struct {
		name  string
		words []reservation.Word
		held  map[string]int
		want  string // w1 is the frontend's own choice
	}{
		{"nothing told", nil, nil, "w1"},
		{"the frontend's is slow", []reservation.Word{{Worker: "w0", Pace: 0.7}, {Worker: "w1", Pace: 1.7}}, nil, "w0"},
		{"the frontend's is fast", []reservation.Word{{Worker: "w0", Pace: 1.7}, {Worker: "w1", Pace: 0.7}}, nil, "w1"},
		{"the fast one has no slot", []reservation.Word{{Worker: "w0", Pace: 0.7}, {Worker: "w1", Pace: 1.7}}, map[string]int{"w0": 12}, "w1"},
		{"too old", []reservation.Word{{Worker: "w0", Pace: 0.7, PaceAge: long}, {Worker: "w1", Pace: 1.7, PaceAge: long}}, nil, "w1"},
		{"of the future", []reservation.Word{{Worker: "w0", Pace: 0.7, PaceAge: -long}, {Worker: "w1", Pace: 1.7, PaceAge: -long}}, nil, "w1"},
		{"of workers that it does not have", []reservation.Word{{Worker: "other", Pace: 0.7}}, nil, "w1"},
		{"a pace that is none", []reservation.Word{{Worker: "w0", Pace: -3}, {Worker: "w1"}}, nil, "w1"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := testLeader(t, 0, 2)
			report := tellingPaces(1, test.words...)
			report.Held = test.held
			_, got := l.service.places.take(time.Now(), l.service.led(), reservation.Message{Report: report, Ask: asked("w1", 0)})
			if got.Worker != test.want {
				t.Errorf("%+v", got)
			}
		})
	}
}

func TestAnswersTellPacesInTurn(t *testing.T) {
	l := testLeader(t, 0, 20)
	p := l.service.places
	if told := p.answerPaces(l.service.led(), "lm"); len(told) > 0 {
		t.Fatalf("told %v, heard nothing", told)
	}
	var words []reservation.Word
	for i := range 20 {
		words = append(words, reservation.Word{Worker: fmt.Sprint("w", i), Pace: 0.5 + float64(i)/10})
	}
	p.take(time.Now(), l.service.led(), reservation.Message{Report: tellingPaces(1, words...)})
	told := map[string]float64{}
	for range 3 {
		part := p.answerPaces(l.service.led(), "lm")
		if len(part) != pacesPerAnswer {
			t.Fatalf("%d in one answer", len(part))
		}
		for id, pace := range part {
			told[id] = pace
		}
	}
	if len(told) != 20 || told["w0"] != 0.5 || told["w19"] != 2.4 {
		t.Errorf("three answers told %v", told)
	}
}

func TestAReportOfTooManyPacesIsCut(t *testing.T) {
	l := testLeader(t, 0, 100)
	var words []reservation.Word
	for i := range 100 {
		words = append(words, reservation.Word{Worker: fmt.Sprint("w", i), Pace: 2})
	}
	l.service.places.take(time.Now(), l.service.led(), reservation.Message{Report: tellingPaces(1, words...)})
	known := 0
	for i := range 100 {
		if _, ok := l.service.pool.PaceOf(fmt.Sprint("w", i)); ok {
			known++
		}
	}
	if known != reservation.MaximumWords {
		t.Errorf("%d taken", known)
	}
}

// A line a change of what is believed, not one a word.
func TestAChangedPaceIsLoggedOnce(t *testing.T) {
	l := testLeader(t, 0, 1)
	logger, hook := test.NewNullLogger()
	l.service.log = logrus.NewEntry(logger)
	p := l.service.places
	lines := func() (n int) {
		for _, line := range hook.AllEntries() {
			if line.Data["event"] == "worker_pace" {
				n++
			}
		}
		return n
	}
	now := time.Now()
	tell := func(sequence uint64, pace float64) {
		p.take(now, l.service.led(), reservation.Message{Report: tellingPaces(sequence, reservation.Word{Worker: "w0", Pace: pace})})
		now = now.Add(paceLineInterval)
		p.tellPaces(now, l.service.led(), "lm")
	}
	for n := range 5 {
		tell(uint64(n+1), 1)
	}
	if n := lines(); n != 1 {
		t.Fatalf("%d lines of a steady pace", n)
	}
	for n := range 5 {
		tell(uint64(n+10), 1.7)
	}
	if n := lines(); n != 2 {
		t.Errorf("%d lines of two paces", n)
	}
}

// breaking is a report of requests that broke at one worker.
func breaking(node api.NodeID, words ...reservation.Word) reservation.Report {
	return reservation.Report{Node: node, Sequence: 1, Heard: words}
}

func TestALeaderLeavesOutWhatBreaksAtOneWorker(t *testing.T) {
	at := func(id string, whole, broken int) reservation.Word {
		return reservation.Word{Worker: id, Outcomes: worker.Outcomes{Whole: whole, Broken: broken}}
	}
	tests := []struct {
		name    string
		reports []reservation.Report
		want    string // w1 is the frontend's own choice
	}{
		{"nothing told", nil, "w1"},
		{"each frontend failed once", []reservation.Report{breaking("a", at("w1", 0, 1)), breaking("b", at("w1", 0, 1)), breaking("c", at("w1", 0, 1))}, "w0"},
		{"one frontend failed once", []reservation.Report{breaking("a", at("w1", 0, 1))}, "w1"},
		{"they mostly did not", []reservation.Report{breaking("a", at("w1", 20, 1)), breaking("b", at("w1", 20, 1)), breaking("c", at("w1", 20, 1))}, "w1"},
		{"at a worker that it does not have", []reservation.Report{breaking("a", at("other", 0, 9))}, "w1"},
	}
	for _, each := range tests {
		t.Run(each.name, func(t *testing.T) {
			l := testLeader(t, 0, 3)
			logger, hook := test.NewNullLogger()
			l.service.log = logrus.NewEntry(logger)
			for _, id := range []string{"w0", "w2"} {
				l.service.pool.TakeOutcomes(id, worker.Outcomes{Whole: 9})
			}
			for _, report := range each.reports {
				l.service.places.take(time.Now(), l.service.led(), reservation.Message{Report: report})
			}
			_, got := l.service.places.take(time.Now(), l.service.led(), reservation.Message{Report: holding(1, map[string]int{"w2": 12}), Ask: asked("w1", 0)})
			if got.Worker != each.want {
				t.Errorf("%+v", got)
			}
			if lines := len(hook.AllEntries()); lines != 0 != (each.want == "w0") {
				t.Errorf("%d lines", lines)
			}
		})
	}
}

// A worker that tells nothing, and one that lies, are found by the time of streams.
func TestALeaderPlacesByObservedTime(t *testing.T) {
	for _, told := range []float64{0, 0.5} {
		l := testLeader(t, 0, 4)
		logger, hook := test.NewNullLogger()
		l.service.log = logrus.NewEntry(logger)
		for n := range 8 {
			report := reservation.Report{Node: "front", Sequence: uint64(n + 1)}
			for i, step := range []time.Duration{30, 200, 32, 34} {
				id := fmt.Sprint("w", i)
				report.Heard = append(report.Heard, reservation.Word{Worker: id, Pace: told, Streams: 1, Step: step * time.Millisecond})
			}
			l.service.places.take(time.Now(), l.service.led(), reservation.Message{Report: report})
		}
		report := reservation.Report{Node: "front", Sequence: 9, Heard: []reservation.Word{{Worker: "w1", Streams: 1, Step: 200 * time.Millisecond}, {Worker: "other", Streams: 1, Step: 1}}}
		_, got := l.service.places.take(time.Now(), l.service.led(), reservation.Message{Report: report, Ask: asked("w1", 0)})
		if got.Worker == "" || got.Worker == "w1" {
			t.Errorf("told %v: %+v", told, got)
		}
		lines := 0
		for _, line := range hook.AllEntries() {
			if line.Data["event"] == "worker_slow" {
				lines++
			}
		}
		if lines != 1 {
			t.Errorf("told %v: %d lines", told, lines)
		}
	}
}

// What a frontend heard of the start before says nothing of a worker that has started
// again.
func TestAWordIsOfOneStart(t *testing.T) {
	first := time.Unix(1_700_000_000, 0)
	second := first.Add(time.Minute)
	tests := []struct {
		name         string
		listed, word time.Time
		taken        bool
	}{
		{"the same", first, first, true},
		{"the one before", second, first, false},
		{"a later one, not yet listed", first, second, false},
		{"a frontend that does not tell", first, time.Time{}, true},
		{"a worker that does not tell", time.Time{}, first, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := testLeader(t, 0, 0)
			l.service.pool.WorkersChanged([]catalog.Change{{ID: "w", Worker: worker.Worker{ID: "w", Service: "lm", Slots: 4, Born: test.listed}}})
			report := tellingPaces(1, reservation.Word{Worker: "w", Born: test.word, Pace: 1.7})
			l.service.places.take(time.Now(), l.service.led(), reservation.Message{Report: report})
			if _, known := l.service.pool.PaceOf("w"); known != test.taken {
				t.Errorf("taken %t", known)
			}
		})
	}
}

func TestItemsTellOfTheirWorkers(t *testing.T) {
	tests := []struct {
		name    string
		verdict verdict
		err     error
		usable  bool
	}{
		{"broke off", verdictBroken, io.ErrUnexpectedEOF, false},
		{"failed there", verdictFailed, nil, false},
		{"gave way", verdictBroken, fmt.Errorf("read event: %w", context.Canceled), true},
		{"was full", verdictNotRun, nil, true},
		{"can never be done", verdictPointless, nil, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := testLeader(t, 0, 3)
			for _, id := range []string{"w1", "w2"} {
				l.service.pool.TakeOutcomes(id, worker.Outcomes{Whole: 9})
			}
			for range 3 {
				ticket, _ := l.service.pool.Take(worker.Query{Service: "lm", Excluded: []string{"w1", "w2"}})
				l.noteRun(&item{}, ticket, test.verdict, test.err)
				ticket.End()
			}
			if got := l.service.pool.Occupancies("lm")[0].Usable; got != test.usable {
				t.Errorf("usable %t", got)
			}
		})
	}
}

// pacedProtocol tells the pace of an answer with a header "Pace".
type pacedProtocol struct{ platform.Protocol }

func (pacedProtocol) ReadAnswer(_ int, header http.Header) backend.Answer {
	pace, err := strconv.ParseFloat(header.Get("Pace"), 64)
	return backend.Answer{Load: worker.Load{Pace: pace}, Loaded: err == nil}
}

// A worker that is asked for its load tells its pace in the header of the answer.
func TestAPolledWorkerTellsItsPace(t *testing.T) {
	const telling, silent = "w0", "w1"
	l := testLeader(t, 0, 0)
	s := l.service
	s.caller = backend.NewCaller(pacedProtocol{})
	for id, header := range map[string]string{telling: "4.25", silent: ""} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if header != "" {
				w.Header().Set("Pace", header)
			}
			_, _ = w.Write([]byte(`{"running": 1}`))
		}))
		defer server.Close()
		each := worker.Worker{ID: id, Service: "lm", Address: strings.TrimPrefix(server.URL, "http://"), Slots: 8}
		s.pool.WorkersChanged([]catalog.Change{{ID: id, Worker: each}})
		s.askLoad(context.Background(), each)
	}
	if pace, known := s.pool.PaceOf(telling); !known || pace.Value != 4.25 {
		t.Errorf("%+v %t", pace, known)
	}
	if pace, known := s.pool.PaceOf(silent); known {
		t.Errorf("told nothing: %+v", pace)
	}
}
