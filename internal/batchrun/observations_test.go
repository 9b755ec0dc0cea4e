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

// observationReport returns a frontend's report with observations and without held slots.
func observationReport(sequence uint64, observations ...reservation.Observation) reservation.Report {
	return reservation.Report{Node: "front", Sequence: sequence, Observations: observations}
}

func TestWorkerChoiceUsesObservedPace(t *testing.T) {
	long := time.Hour
	tests := []struct {
		name         string
		observations []reservation.Observation
		held         map[string]int
		want         string // the frontend prefers w1
	}{
		{"no observations", nil, nil, "w1"},
		{"preferred worker is slow", []reservation.Observation{{Worker: "w0", Pace: 0.7}, {Worker: "w1", Pace: 1.7}}, nil, "w0"},
		{"preferred worker is fast", []reservation.Observation{{Worker: "w0", Pace: 1.7}, {Worker: "w1", Pace: 0.7}}, nil, "w1"},
		{"fast worker is full", []reservation.Observation{{Worker: "w0", Pace: 0.7}, {Worker: "w1", Pace: 1.7}}, map[string]int{"w0": 12}, "w1"},
		{"observation too old", []reservation.Observation{{Worker: "w0", Pace: 0.7, PaceAge: long}, {Worker: "w1", Pace: 1.7, PaceAge: long}}, nil, "w1"},
		{"observation from the future", []reservation.Observation{{Worker: "w0", Pace: 0.7, PaceAge: -long}, {Worker: "w1", Pace: 1.7, PaceAge: -long}}, nil, "w1"},
		{"unknown worker", []reservation.Observation{{Worker: "other", Pace: 0.7}}, nil, "w1"},
		{"invalid pace", []reservation.Observation{{Worker: "w0", Pace: -3}, {Worker: "w1"}}, nil, "w1"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := testLeader(t, 0, 2)
			report := observationReport(1, test.observations...)
			report.InFlight = test.held
			_, got := l.service.slots.handle(time.Now(), l.service.currentLeaders(), reservation.Message{Report: report, Request: askFor("w1", 0)})
			if got.Worker != test.want {
				t.Errorf("%+v", got)
			}
		})
	}
}

func TestAnswersRotatePaces(t *testing.T) {
	l := testLeader(t, 0, 20)
	broker := l.service.slots
	if reported := broker.pacesForAnswer(l.service.currentLeaders(), "lm"); len(reported) > 0 {
		t.Fatalf("answer has paces %v without observations", reported)
	}
	var observations []reservation.Observation
	for i := range 20 {
		observations = append(observations, reservation.Observation{Worker: fmt.Sprint("w", i), Pace: 0.5 + float64(i)/10})
	}
	broker.handle(time.Now(), l.service.currentLeaders(), reservation.Message{Report: observationReport(1, observations...)})
	reported := map[string]float64{}
	for range 3 {
		part := broker.pacesForAnswer(l.service.currentLeaders(), "lm")
		if len(part) != pacesPerAnswer {
			t.Fatalf("%d paces in one answer", len(part))
		}
		for id, pace := range part {
			reported[id] = pace
		}
	}
	if len(reported) != 20 || reported["w0"] != 0.5 || reported["w19"] != 2.4 {
		t.Errorf("three answers gave paces %v", reported)
	}
}

func TestReportWithTooManyPacesIsTruncated(t *testing.T) {
	l := testLeader(t, 0, 100)
	var observations []reservation.Observation
	for i := range 100 {
		observations = append(observations, reservation.Observation{Worker: fmt.Sprint("w", i), Pace: 2})
	}
	l.service.slots.handle(time.Now(), l.service.currentLeaders(), reservation.Message{Report: observationReport(1, observations...)})
	known := 0
	for i := range 100 {
		if _, ok := l.service.pool.PaceOf(fmt.Sprint("w", i)); ok {
			known++
		}
	}
	if known != reservation.MaxObservations {
		t.Errorf("%d paces accepted", known)
	}
}

// A pace is logged when it changes, not with every observation.
func TestPaceChangeIsLoggedOnce(t *testing.T) {
	l := testLeader(t, 0, 1)
	logger, hook := test.NewNullLogger()
	l.service.log = logrus.NewEntry(logger)
	broker := l.service.slots
	lines := func() (n int) {
		for _, line := range hook.AllEntries() {
			if line.Data["event"] == "worker_pace" {
				n++
			}
		}
		return n
	}
	now := time.Now()
	report := func(sequence uint64, pace float64) {
		broker.handle(now, l.service.currentLeaders(), reservation.Message{Report: observationReport(sequence, reservation.Observation{Worker: "w0", Pace: pace})})
		now = now.Add(paceLogInterval)
		broker.nextPaces(now, l.service.currentLeaders(), "lm")
	}
	for n := range 5 {
		report(uint64(n+1), 1)
	}
	if n := lines(); n != 1 {
		t.Fatalf("%d log lines for a steady pace, want 1", n)
	}
	for n := range 5 {
		report(uint64(n+10), 1.7)
	}
	if n := lines(); n != 2 {
		t.Errorf("%d log lines for two paces, want 2", n)
	}
}

// outcomeReport returns a node's first report, with observations.
func outcomeReport(node api.NodeID, observations ...reservation.Observation) reservation.Report {
	return reservation.Report{Node: node, Sequence: 1, Observations: observations}
}

func TestFailingWorkerIsEjected(t *testing.T) {
	at := func(id string, whole, broken int) reservation.Observation {
		return reservation.Observation{Worker: id, Outcomes: worker.Outcomes{Succeeded: whole, Failed: broken}}
	}
	tests := []struct {
		name    string
		reports []reservation.Report
		want    string // the frontend prefers w1
	}{
		{"no outcomes", nil, "w1"},
		{"one failure at each frontend", []reservation.Report{outcomeReport("a", at("w1", 0, 1)), outcomeReport("b", at("w1", 0, 1)), outcomeReport("c", at("w1", 0, 1))}, "w0"},
		{"one failure at one frontend", []reservation.Report{outcomeReport("a", at("w1", 0, 1))}, "w1"},
		{"mostly successes", []reservation.Report{outcomeReport("a", at("w1", 20, 1)), outcomeReport("b", at("w1", 20, 1)), outcomeReport("c", at("w1", 20, 1))}, "w1"},
		{"unknown worker", []reservation.Report{outcomeReport("a", at("other", 0, 9))}, "w1"},
	}
	for _, each := range tests {
		t.Run(each.name, func(t *testing.T) {
			l := testLeader(t, 0, 3)
			logger, hook := test.NewNullLogger()
			l.service.log = logrus.NewEntry(logger)
			for _, id := range []string{"w0", "w2"} {
				l.service.pool.RecordOutcomes(id, worker.Outcomes{Succeeded: 9})
			}
			for _, report := range each.reports {
				l.service.slots.handle(time.Now(), l.service.currentLeaders(), reservation.Message{Report: report})
			}
			_, got := l.service.slots.handle(time.Now(), l.service.currentLeaders(), reservation.Message{Report: heldReport(1, map[string]int{"w2": 12}), Request: askFor("w1", 0)})
			if got.Worker != each.want {
				t.Errorf("%+v", got)
			}
			if lines := len(hook.AllEntries()); lines != 0 != (each.want == "w0") {
				t.Errorf("%d log lines", lines)
			}
		})
	}
}

// Slow workers are detected by the observed step time, whether they report no pace or a wrong one.
func TestWorkerChoiceUsesObservedStepTime(t *testing.T) {
	for _, reported := range []float64{0, 0.5} {
		l := testLeader(t, 0, 4)
		logger, hook := test.NewNullLogger()
		l.service.log = logrus.NewEntry(logger)
		for n := range 8 {
			report := reservation.Report{Node: "front", Sequence: uint64(n + 1)}
			for i, step := range []time.Duration{30, 200, 32, 34} {
				id := fmt.Sprint("w", i)
				report.Observations = append(report.Observations, reservation.Observation{Worker: id, Pace: reported, Streams: 1, EventInterval: step * time.Millisecond})
			}
			l.service.slots.handle(time.Now(), l.service.currentLeaders(), reservation.Message{Report: report})
		}
		report := reservation.Report{Node: "front", Sequence: 9, Observations: []reservation.Observation{{Worker: "w1", Streams: 1, EventInterval: 200 * time.Millisecond}, {Worker: "other", Streams: 1, EventInterval: 1}}}
		_, got := l.service.slots.handle(time.Now(), l.service.currentLeaders(), reservation.Message{Report: report, Request: askFor("w1", 0)})
		if got.Worker == "" || got.Worker == "w1" {
			t.Errorf("reported pace %v: %+v", reported, got)
		}
		lines := 0
		for _, line := range hook.AllEntries() {
			if line.Data["event"] == "worker_slow" {
				lines++
			}
		}
		if lines != 1 {
			t.Errorf("reported pace %v: %d log lines, want 1", reported, lines)
		}
	}
}

// Observations of an earlier incarnation do not apply to a restarted worker.
func TestObservationOfEarlierIncarnationIsIgnored(t *testing.T) {
	first := time.Unix(1_700_000_000, 0)
	second := first.Add(time.Minute)
	tests := []struct {
		name             string
		listed, observed time.Time
		accepted         bool
	}{
		{"same incarnation", first, first, true},
		{"earlier incarnation", second, first, false},
		{"later incarnation that is not listed yet", first, second, false},
		{"observation without start time", first, time.Time{}, true},
		{"worker without start time", time.Time{}, first, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := testLeader(t, 0, 0)
			l.service.pool.WorkersChanged([]catalog.Change{{ID: "w", Worker: worker.Worker{ID: "w", Service: "lm", Slots: 4, StartedAt: test.listed}}})
			report := observationReport(1, reservation.Observation{Worker: "w", StartedAt: test.observed, Pace: 1.7})
			l.service.slots.handle(time.Now(), l.service.currentLeaders(), reservation.Message{Report: report})
			if _, known := l.service.pool.PaceOf("w"); known != test.accepted {
				t.Errorf("observation accepted: %t", known)
			}
		})
	}
}

func TestItemOutcomesAffectWorkerEjection(t *testing.T) {
	tests := []struct {
		name    string
		verdict verdict
		err     error
		usable  bool
	}{
		{"interrupted", verdictInterrupted, io.ErrUnexpectedEOF, false},
		{"failed", verdictFailed, nil, false},
		{"preempted", verdictInterrupted, fmt.Errorf("read event: %w", context.Canceled), true},
		{"rejected as full", verdictNotRun, nil, true},
		{"impossible", verdictImpossible, nil, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := testLeader(t, 0, 3)
			for _, id := range []string{"w1", "w2"} {
				l.service.pool.RecordOutcomes(id, worker.Outcomes{Succeeded: 9})
			}
			for range 3 {
				ticket, _ := l.service.pool.Assign(worker.Query{Service: "lm", Excluded: []string{"w1", "w2"}})
				l.recordRun(&item{}, ticket, test.verdict, test.err)
				ticket.End()
			}
			if got := l.service.pool.Occupancies("lm")[0].Usable; got != test.usable {
				t.Errorf("worker usable: %t", got)
			}
		})
	}
}

// paceProtocol reads a worker's pace from the response header "Pace".
type paceProtocol struct{ platform.Protocol }

func (paceProtocol) ReadResponse(_ int, header http.Header) backend.ResponseInfo {
	pace, err := strconv.ParseFloat(header.Get("Pace"), 64)
	return backend.ResponseInfo{Load: worker.Load{Pace: pace}, HasLoad: err == nil}
}

func TestPolledPaceIsRecorded(t *testing.T) {
	const reporting, silent = "w0", "w1"
	l := testLeader(t, 0, 0)
	s := l.service
	s.caller = backend.NewClient(paceProtocol{})
	for id, header := range map[string]string{reporting: "4.25", silent: ""} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if header != "" {
				w.Header().Set("Pace", header)
			}
			_, _ = w.Write([]byte(`{"running": 1}`))
		}))
		defer server.Close()
		each := worker.Worker{ID: id, Service: "lm", Address: strings.TrimPrefix(server.URL, "http://"), Slots: 8}
		s.pool.WorkersChanged([]catalog.Change{{ID: id, Worker: each}})
		s.pollLoad(context.Background(), each)
	}
	if pace, known := s.pool.PaceOf(reporting); !known || pace.Value != 4.25 {
		t.Errorf("%+v %t", pace, known)
	}
	if pace, known := s.pool.PaceOf(silent); known {
		t.Errorf("worker without the header has pace %+v", pace)
	}
}
