package frontend

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/hold"
	"github.com/dykewing/dykewing/internal/backend"
	"github.com/dykewing/dykewing/internal/catalog"
	"github.com/dykewing/dykewing/reservation"
	"github.com/dykewing/dykewing/worker"
)

// answers is a leader that answers questions by a rule and keeps the messages.
type answers struct {
	mutex    sync.Mutex // guards messages
	messages []reservation.Message
	rule     func(ask reservation.Ask) (reservation.Answer, bool) // false: the connection breaks
}

func (a *answers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var message reservation.Message
	_ = json.NewDecoder(r.Body).Decode(&message)
	a.mutex.Lock()
	a.messages = append(a.messages, message)
	a.mutex.Unlock()
	answer := reservation.Answer{}
	if message.Ask != nil {
		given, ok := a.rule(*message.Ask)
		if !ok {
			panic(http.ErrAbortHandler)
		}
		answer = given
	}
	_ = json.NewEncoder(w).Encode(answer)
}

func (a *answers) asks() (n int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, message := range a.messages {
		if message.Ask != nil {
			n++
		}
	}
	return n
}

func (a *answers) last() reservation.Message {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.messages[len(a.messages)-1]
}

// leadersOf is places before two leaders: a gives places at worker wa, b at wb.
func leadersOf(t *testing.T, a, b *answers) *places {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	pool := backend.NewPool(worker.DefaultSettings("z"), nil)
	leaders := map[string]api.Node{}
	for id, rule := range map[string]*answers{"wa": a, "wb": b} {
		server := httptest.NewServer(rule)
		t.Cleanup(server.Close)
		leaders[id] = api.Node{ID: api.NodeID("leader-" + id), Address: strings.TrimPrefix(server.URL, "http://")}
		pool.WorkersChanged([]catalog.Change{{ID: id, Worker: worker.Worker{ID: id, Service: "s", Zone: "z", Slots: 4}}})
	}
	names := []string{"wa", "wb"} // by group
	pool.SetGroups(func(id string) int { return slices.Index(names, id) })
	return &places{
		groups: func(through func(api.NodeID) bool, _ bool) []int {
			groups := []int{}
			for group, name := range names {
				if through(leaders[name].ID) {
					groups = append(groups, group)
				}
			}
			return groups
		},
		self: "front", zone: "z", pool: pool, client: &http.Client{}, log: logrus.NewEntry(logger), metrics: newMetrics(prometheus.NewRegistry()),
		leaderOf: func(id string) (api.Node, bool) { node, ok := leaders[id]; return node, ok },
		sequence: 1, leaders: map[api.NodeID]*leader{}, held: map[worker.Incarnation]int{},
	}
}

func gives(id string) func(reservation.Ask) (reservation.Answer, bool) {
	return func(reservation.Ask) (reservation.Answer, bool) {
		return reservation.Answer{Worker: id, Grant: 7}, true
	}
}

func always(answer reservation.Answer) func(reservation.Ask) (reservation.Answer, bool) {
	return func(reservation.Ask) (reservation.Answer, bool) { return answer, true }
}

func breaks(reservation.Ask) (reservation.Answer, bool) { return reservation.Answer{}, false }

// toBegin is a request that may wait so long.
func toBegin(within time.Duration) hold.Request {
	now := time.Now()
	return hold.Request{Begin: now.Add(within), Last: now.Add(within)}
}

func TestWhereARequestGoesByTheLeadersWord(t *testing.T) {
	hopeless := always(reservation.Answer{Hopeless: true, RetryAfter: time.Second, Waiting: 9})
	full := always(reservation.Answer{Full: true, Waiting: 1})
	later := func(ask reservation.Ask) (reservation.Answer, bool) { // a slot comes free for those that wait
		if ask.Wait > 0 {
			return reservation.Answer{Worker: "wb", Grant: 1}, true
		}
		return reservation.Answer{Full: true}, true
	}
	tests := []struct {
		name   string
		a, b   func(reservation.Ask) (reservation.Answer, bool)
		within time.Duration
		want   string // worker; empty: refused
	}{
		{"the leader's place", gives("wa"), gives("wa"), time.Minute, "wa"},
		{"another worker than the frontend's own choice", gives("wb"), gives("wb"), time.Minute, "wb"},
		{"one leader is full, the other not", full, gives("wb"), time.Minute, "wb"},
		{"one has no slot in time, the other has one now", hopeless, gives("wb"), time.Millisecond, "wb"},
		{"both are full, one has a slot later", full, later, time.Minute, "wb"},
		{"both have none in time", hopeless, hopeless, time.Minute, ""},
		{"both are full and no time is left", full, full, -time.Millisecond, ""},
		{"a worker that this frontend does not know", gives("wa"), gives("unknown"), time.Minute, "any"},
		{"leaders that have just begun", always(reservation.Answer{Blind: true}), always(reservation.Answer{Blind: true}), time.Minute, "any"},
		{"leaders that don't answer", breaks, breaks, time.Minute, "any"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := leadersOf(t, &answers{rule: test.a}, &answers{rule: test.b})
			ticket, refusal := p.take(t.Context(), worker.Query{Service: "s"}, toBegin(test.within), asking{}, ignoreDropped)
			switch {
			case test.want == "":
				if ticket != nil || refusal == nil || refusal.Outcome != api.OutcomeNotRun {
					t.Errorf("%v, %v", ticket, refusal)
				}
			case ticket == nil || test.want != "any" && ticket.Worker.ID != test.want:
				t.Errorf("%+v, %v, want %s", ticket, refusal, test.want)
			}
			held := p.pool.Held("wa") + p.pool.Held("wb")
			if ticket != nil && held != 1 || ticket == nil && held != 0 {
				t.Errorf("%d requests are noted at workers", held)
			}
		})
	}
}

// Choices without a known leader are told once, and how long they lasted.
func TestChoicesWithoutALeaderAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		logger, hook := test.NewNullLogger()
		p := &places{log: logrus.NewEntry(logger), metrics: newMetrics(prometheus.NewRegistry())}
		for _, step := range []struct {
			known bool
			after time.Duration
		}{{false, 0}, {true, 10 * time.Millisecond}, {false, 300 * time.Millisecond}, {true, knownFor / 2}, {true, knownFor}, {true, knownFor}} {
			time.Sleep(step.after)
			p.noteKnown(step.known)
		}
		var told []string
		for _, entry := range hook.AllEntries() {
			told = append(told, fmt.Sprint(entry.Data["event"], " ", entry.Data["unknown_ms"]))
		}
		if want := "leader_unknown <nil>, leader_known 310"; strings.Join(told, ", ") != want {
			t.Errorf("told %q, want %q", told, want)
		}
	})
}

func ignoreDropped(*backend.Ticket) {}

// Symptom: none was seen; found when a request to a worker that had left was traced to
// old knowledge, by a search for other sends on such.
// Sequence: a request waits at a leader for up to a second with the worker that its
// frontend chose; the frontend learns meanwhile that it left; the leader gives the
// place there, or has no word.
// Cause: what the frontend had learned since its choice was not asked for.
func TestAWorkerThatLeavesWhileItsLeaderIsAskedIsNotTaken(t *testing.T) {
	tests := []struct {
		name   string
		answer reservation.Answer
		gone   bool // else it says that it leaves
	}{
		{"the leader gives a place there, it is gone", reservation.Answer{Worker: "wa", Grant: 7}, true},
		{"the leader gives a place there, it leaves", reservation.Answer{Worker: "wa", Grant: 7}, false},
		{"the leader has just begun", reservation.Answer{Blind: true}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := &answers{rule: gives("wb")}
			a := &answers{}
			p := leadersOf(t, a, b)
			a.rule = func(reservation.Ask) (reservation.Answer, bool) {
				p.pool.WorkersChanged([]catalog.Change{{ID: "wa", Gone: test.gone, Worker: worker.Worker{ID: "wa", Service: "s", Zone: "z", Slots: 4, Leaving: true}}})
				return test.answer, true
			}
			p.pool.WorkersChanged([]catalog.Change{{ID: "wb", Gone: true}}) // until wa was chosen
			var dropped []string
			ticket, refusal := p.take(t.Context(), worker.Query{Service: "s"}, toBegin(time.Minute), asking{}, func(ticket *backend.Ticket) {
				dropped = append(dropped, ticket.Worker.ID)
				p.pool.WorkersChanged([]catalog.Change{{ID: "wb", Worker: worker.Worker{ID: "wb", Service: "s", Zone: "z", Slots: 4}}})
			})
			if ticket == nil || ticket.Worker.ID != "wb" || refusal != nil || len(dropped) != 1 || dropped[0] != "wa" {
				t.Errorf("%+v, %v; dropped %v", ticket, refusal, dropped)
			}
			p.mutex.Lock()
			defer p.mutex.Unlock()
			if p.held[worker.Incarnation{ID: "wa"}] != 0 || p.held[worker.Incarnation{ID: "wb"}] != 1 {
				t.Errorf("held: %v", p.held)
			}
		})
	}
}

func TestWithoutAWorkerThereIsNoPlace(t *testing.T) {
	p := leadersOf(t, &answers{rule: gives("wa")}, &answers{rule: gives("wb")})
	if ticket, refusal := p.take(t.Context(), worker.Query{Service: "unknown"}, toBegin(time.Minute), asking{}, ignoreDropped); ticket != nil || refusal != nil {
		t.Errorf("%v, %v", ticket, refusal)
	}
}

// A report tells of a place as soon as it says that its grant was seen.
func TestReportsTellOfPlaces(t *testing.T) {
	a, b := &answers{rule: gives("wa")}, &answers{rule: gives("wa")}
	p := leadersOf(t, a, b)
	ticket, _ := p.take(t.Context(), worker.Query{Service: "s", Excluded: []string{"wb"}}, toBegin(time.Minute), asking{}, ignoreDropped)
	peer, _ := p.leaderOf("wa")
	report := p.report(peer)
	if report.Seen != 7 || report.Held["wa"] != 1 || report.Held["wb"] != 0 {
		t.Errorf("%+v", report)
	}
	ticket.End()
	for deadline := time.Now().Add(time.Minute); a.last().Ask != nil; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the leader was not told of the end")
		}
	}
	if told := a.last().Report; len(told.Held) != 0 || told.Sequence <= report.Sequence {
		t.Errorf("%+v after %+v", told, report)
	}
}

func TestASilentLeaderIsPassedOver(t *testing.T) {
	a, b := &answers{rule: breaks}, &answers{rule: breaks}
	p := leadersOf(t, a, b)
	query := worker.Query{Service: "s", Excluded: []string{"wb"}}
	p.take(t.Context(), query, toBegin(time.Minute), asking{}, ignoreDropped)
	peer, _ := p.leaderOf("wa")
	known := p.state(peer.ID)
	if known.pause != leaderPause || known.silentUntil.IsZero() {
		t.Fatalf("after a silence: %+v", known)
	}
	known.silentUntil = time.Now().Add(time.Hour) // the verdict does not depend on the clock
	for range 10 {
		if ticket, refusal := p.take(t.Context(), query, toBegin(time.Minute), asking{}, ignoreDropped); ticket == nil {
			t.Fatalf("no worker: %v", refusal)
		}
	}
	if n := a.asks(); n != 1 {
		t.Errorf("a leader that does not answer was asked %d times", n)
	}
	known.silentUntil = time.Time{}
	p.take(t.Context(), query, toBegin(time.Minute), asking{}, ignoreDropped)
	if known.pause != 2*leaderPause {
		t.Errorf("paused for %v after the second silence", known.pause)
	}
}

func TestACallerThatLeavesTakesNoPlace(t *testing.T) {
	p := leadersOf(t, &answers{rule: gives("wa")}, &answers{rule: gives("wb")})
	ctx, leave := context.WithCancel(t.Context())
	leave()
	if ticket, refusal := p.take(ctx, worker.Query{Service: "s"}, toBegin(time.Minute), asking{}, ignoreDropped); ticket != nil || refusal != nil {
		t.Errorf("%v, %v", ticket, refusal)
	}
	if held := p.pool.Held("wa") + p.pool.Held("wb"); held != 0 {
		t.Errorf("%d requests are noted at workers", held)
	}
}

// A leader that has lost its workers refuses all, so that nobody waits there: requests
// wait where the wait is the shortest.
func TestARequestWaitsWhereTheWaitIsTheShortest(t *testing.T) {
	full := func(waiting int, until time.Duration) func(reservation.Ask) (reservation.Answer, bool) {
		return func(ask reservation.Ask) (reservation.Answer, bool) {
			if ask.Wait > 0 {
				return reservation.Answer{Worker: ask.Worker, Grant: 1}, true
			}
			return reservation.Answer{Full: true, Waiting: waiting, Until: until}, true
		}
	}
	tests := []struct {
		name string
		a, b func(reservation.Ask) (reservation.Answer, bool)
		want string
	}{
		{"nobody waits where the wait is long", full(0, 3*time.Second), full(40, 100*time.Millisecond), "wb"},
		{"no wait is known: where the fewest wait", full(5, 0), full(2, 0), "wb"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := leadersOf(t, &answers{rule: test.a}, &answers{rule: test.b})
			ticket, refusal := p.take(t.Context(), worker.Query{Service: "s"}, toBegin(time.Minute), asking{}, ignoreDropped)
			if ticket == nil || ticket.Worker.ID != test.want {
				t.Errorf("%+v, %v", ticket, refusal)
			}
		})
	}
}

// What a leader says of a promise stays with the attempt that asks again, which is told
// apart from a new caller.
func TestAnAttemptThatAsksAgainKeepsItsPromise(t *testing.T) {
	due := 300 * time.Millisecond
	var asks []reservation.Ask
	a := &answers{rule: func(ask reservation.Ask) (reservation.Answer, bool) {
		if ask.Wait > 0 {
			asks = append(asks, ask)
		}
		if len(asks) < 2 {
			return reservation.Answer{Full: true, Promise: &due}, true
		}
		return reservation.Answer{Worker: "wa", Grant: 1}, true
	}}
	p := leadersOf(t, a, &answers{rule: gives("wb")})
	p.take(t.Context(), worker.Query{Service: "s", Excluded: []string{"wb"}}, toBegin(time.Minute), asking{returned: true}, ignoreDropped)
	if len(asks) != 2 {
		t.Fatalf("%d questions", len(asks))
	}
	if first := asks[0]; !first.Returned || first.Again || first.Promise != nil {
		t.Errorf("first: %+v", first)
	}
	if second := asks[1]; !second.Again || second.Promise == nil || *second.Promise > due {
		t.Errorf("second: %+v", second)
	}
}

// A request that the first leader can't place in time is offered to one more; the last
// word is that one's, with when to return.
func TestOneMoreLeaderIsAskedBeforeARefusal(t *testing.T) {
	var asks []reservation.Ask
	rule := func(waits reservation.Answer) func(reservation.Ask) (reservation.Answer, bool) {
		return func(ask reservation.Ask) (reservation.Answer, bool) {
			if ask.Wait <= 0 {
				return reservation.Answer{Full: true, Until: time.Second}, true
			}
			asks = append(asks, ask)
			return waits, true
		}
	}
	hopeless := reservation.Answer{Hopeless: true, RetryAfter: 300 * time.Millisecond}
	tests := []struct {
		name string
		b    reservation.Answer
		want string
	}{
		{"the other has a place", reservation.Answer{Worker: "wb", Grant: 1}, "wb"},
		{"none has", hopeless, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			asks = nil
			p := leadersOf(t, &answers{rule: rule(reservation.Answer{Hopeless: true})}, &answers{rule: rule(test.b)})
			ticket, refusal := p.take(t.Context(), worker.Query{Service: "s"}, toBegin(time.Minute), asking{}, ignoreDropped)
			if (ticket != nil) != (test.want != "") || (refusal != nil) != (test.want == "") {
				t.Fatalf("%+v, %v", ticket, refusal)
			}
			if refusal != nil && refusal.RetryAfter != hopeless.RetryAfter {
				t.Errorf("return after %v", refusal.RetryAfter)
			}
			if len(asks) != 2 || !asks[0].Elsewhere || asks[1].Elsewhere {
				t.Errorf("%+v", asks)
			}
		})
	}
}
