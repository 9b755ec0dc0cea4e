package worker

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The replay: workers of three speeds on shared machines, before requests that come in
// steps. Work is given at the usual
// pace.
const (
	replayWorkers = 57
	replaySlots   = 8
	replayMoment  = 600 * time.Millisecond // between two looks of those who share a machine
	replayFirst   = 62 * time.Millisecond  // of work, until the first event
	replayWhole   = 700 * time.Millisecond
	replayInTime  = 300 * time.Millisecond
	replayRate    = 265.0 // a second, in the mean
	replayLength  = 33 * time.Second
)

// way is one way to decide.
type way struct {
	name     string
	choosers int                        // processes that choose, each of its own requests
	leaders  int                        // that give places at a part of the workers each; 0: none
	told     func(pace float64) float64 // what of a told pace a chooser takes
	draw     int                        // candidates drawn for a choice; 0: all
}

// outcome of a replay.
type outcome struct {
	inTime   float64 // share of the requests
	p99      time.Duration
	whole    time.Duration // mean, until the end
	busiest  float64       // a worker's time of slots taken, over the mean
	slowest  float64       // the same of the least busy
	requests int
}

func (o outcome) String() string {
	return fmt.Sprintf("in time %.4f, first event p99 %v, whole %v, busiest %.2f, least busy %.2f of the mean, %d requests",
		o.inTime, o.p99.Round(time.Millisecond), o.whole.Round(time.Millisecond), o.busiest, o.slowest, o.requests)
}

type replay struct {
	way     way
	pools   []*Pool
	leaders []*Pool
	random  *rand.Rand
	servers []*server
	events  events
	firsts  []time.Duration
	whole   time.Duration
}

type server struct {
	id      string
	moments []float64 // pace, by replayMoment
	running int
	queue   []request
	busy    time.Duration
	leader  int
}

type request struct {
	chooser int
	server  *server
	arrived time.Duration
}

type event struct {
	at time.Duration
	do func(at time.Duration)
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (r *replay) at(at time.Duration, do func(at time.Duration)) { heap.Push(&r.events, event{at, do}) }

func play(w way, seed uint64) outcome {
	r := &replay{way: w, random: rand.New(rand.NewPCG(seed, 1))}
	settings := DefaultSettings("a")
	settings.Draw = w.draw
	for range w.choosers {
		r.pools = append(r.pools, NewPool(settings))
	}
	for range w.leaders {
		r.leaders = append(r.leaders, NewPool(DefaultSettings("a")))
	}
	for i := range replayWorkers {
		s := &server{id: fmt.Sprintf("w%02d", i)}
		for range replayLength/replayMoment + 100 {
			pace := []float64{0.7, 0.7, 1.7}[i%3]
			if r.random.Float64() < 0.15 {
				pace *= 2.5
			}
			s.moments = append(s.moments, pace)
		}
		r.servers = append(r.servers, s)
		for _, pool := range r.pools {
			pool.Put(Worker{ID: s.id, Service: "s", Zone: "a", Slots: replaySlots})
		}
		if w.leaders > 0 {
			s.leader = i * w.leaders / replayWorkers
			r.leaders[s.leader].Put(Worker{ID: s.id, Service: "s", Zone: "a", Slots: replaySlots})
		}
	}
	r.at(0, r.arrive)
	for len(r.events) > 0 {
		next := heap.Pop(&r.events).(event)
		next.do(next.at)
	}
	return r.outcome()
}

// arrive takes one request and lets the next come: 2.8 s of 6.6 at the height.
func (r *replay) arrive(at time.Duration) {
	rate := replayRate * 0.38
	if at%(6600*time.Millisecond) < 2800*time.Millisecond {
		rate = replayRate * 1.84
	}
	if next := at + time.Duration(r.random.ExpFloat64()/rate*float64(time.Second)); next < replayLength {
		r.at(next, r.arrive)
	}
	q := request{chooser: r.random.IntN(len(r.pools)), arrived: at}
	pool, now := r.pools[q.chooser], start.Add(at)
	query := Query{Service: "s", Tokens: 450}
	if r.way.choosers == 1 {
		query.Limit = 1
	}
	choice, ok := pool.Choose(now, query, r.random)
	if !ok {
		query.Limit = 0
		choice, _ = pool.Choose(now, query, r.random)
	}
	q.server = r.server(choice.Worker.ID)
	if r.way.leaders > 0 {
		r.ask(now, &q, pool)
	}
	pool.Begin(q.server.id, choice.Unread)
	if q.server.running < replaySlots {
		r.begin(at, q)
	} else {
		q.server.queue = append(q.server.queue, q)
	}
}

func (r *replay) server(id string) *server {
	return r.servers[slices.IndexFunc(r.servers, func(s *server) bool { return s.id == id })]
}

// ask lets the leader of the chosen worker give a place, else the next one that has one.
func (r *replay) ask(now time.Time, q *request, pool *Pool) {
	for n := range r.way.leaders {
		leader := r.leaders[(q.server.leader+n)%r.way.leaders]
		if choice, ok := leader.Choose(now, Query{Service: "s", Tokens: 450, Limit: 1}, r.random); ok {
			q.server = r.server(choice.Worker.ID)
			for _, s := range r.servers {
				if pace, known := leader.PaceOf(now, s.id); known {
					pool.LearnPace(now, s.id, pace.Slow)
				}
			}
			break
		}
	}
	r.leaders[q.server.leader].Begin(q.server.id, 450)
}

func (r *replay) begin(at time.Duration, q request) {
	s := q.server
	s.running++
	crowd := 1 + 0.025*float64(s.running)
	r.at(s.after(at, time.Duration(crowd*float64(replayFirst))), func(at time.Duration) { r.first(at, q) })
	end := s.after(at, time.Duration(crowd*float64(replayWhole)))
	s.busy += end - at
	r.at(end, func(at time.Duration) { r.end(at, q) })
}

// after is when work that begins at a moment is done, at the server's paces.
func (s *server) after(at, work time.Duration) time.Duration {
	for {
		pace := s.moments[at/replayMoment]
		window := at/replayMoment*replayMoment + replayMoment
		if took := time.Duration(pace * float64(work)); at+took <= window {
			return at + took
		}
		work -= time.Duration(float64(window-at) / pace)
		at = window
	}
}

func (r *replay) first(at time.Duration, q request) {
	pool, now, pace := r.pools[q.chooser], start.Add(at), q.server.moments[at/replayMoment]
	r.firsts = append(r.firsts, at-q.arrived)
	if r.way.leaders > 0 {
		r.leaders[q.server.leader].TellPace(now, q.server.id, r.way.told(pace))
		r.leaders[q.server.leader].Started(q.server.id, 450)
	}
	pool.Started(q.server.id, 450)
	pool.Report(now, q.server.id, Load{
		Running: q.server.running, Waiting: len(q.server.queue), Slots: replaySlots, Pace: r.way.told(pace),
	})
}

func (r *replay) end(at time.Duration, q request) {
	s := q.server
	r.pools[q.chooser].End(s.id)
	if r.way.leaders > 0 {
		r.leaders[s.leader].End(s.id)
	}
	r.whole += at - q.arrived
	s.running--
	if len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		r.begin(at, next)
	}
}

func (r *replay) outcome() outcome {
	slices.Sort(r.firsts)
	o := outcome{requests: len(r.firsts), p99: r.firsts[len(r.firsts)*99/100], whole: r.whole / time.Duration(len(r.firsts))}
	inTime, _ := slices.BinarySearch(r.firsts, replayInTime)
	o.inTime = float64(inTime) / float64(len(r.firsts))
	var busy []time.Duration
	var sum time.Duration
	for _, s := range r.servers {
		busy = append(busy, s.busy)
		sum += s.busy
	}
	mean := float64(sum) / replayWorkers
	o.busiest, o.slowest = float64(slices.Max(busy))/mean, float64(slices.Min(busy))/mean
	return o
}

// whole and none are what choosers take of a told pace.
func whole(pace float64) float64 { return pace }
func none(float64) float64       { return 0 }

// served is what a way has to reach under the steps: the first event in time for nearly
// all, and less of the workers' time for the same requests.
func (o outcome) served(least float64, longest time.Duration) error {
	if o.inTime < least || o.whole > longest {
		return fmt.Errorf("%v; wanted %.4f in time, whole %v", o, least, longest)
	}
	return nil
}

func TestUnequalWorkersUnderSteps(t *testing.T) {
	tests := []struct {
		way     way
		plant   way // the same without word of paces
		least   float64
		longest time.Duration
	}{
		{way{"one chooser", 1, 0, whole, 0}, way{"one chooser, pace ignored", 1, 0, none, 0}, 0.999, 700 * time.Millisecond},
		{way{"60 choosers, 7 leaders", 60, 7, whole, 2}, way{"60 choosers, 7 leaders, pace ignored", 60, 7, none, 2}, 0.9965, 720 * time.Millisecond},
		{way{"60 choosers", 60, 0, whole, 2}, way{"60 choosers, pace ignored", 60, 0, none, 2}, 0.85, 900 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.way.name, func(t *testing.T) {
			for seed := range uint64(2) {
				if err := play(test.way, seed).served(test.least, test.longest); err != nil {
					t.Errorf("seed %d: %v", seed, err)
				}
			}
			if play(test.plant, 0).served(test.least, test.longest) == nil {
				t.Error("served as well with the pace ignored: the replay can't tell")
			}
		})
	}
}

// Ways that were weighed; -v shows them.
func TestWeighedWays(t *testing.T) {
	for _, w := range []way{
		{"one chooser, pace ignored", 1, 0, none, 0},
		{"one chooser, least expected time", 1, 0, whole, 0},
		{"one chooser, of two drawn", 1, 0, whole, 2},
		{"60, pace ignored", 60, 0, none, 0},
		{"60, least expected time", 60, 0, whole, 0},
		{"60, drawn by speed alone", 60, 0, whole, 1},
		{"60, of two drawn", 60, 0, whole, 2},
		{"60, of three drawn", 60, 0, whole, 3},
		{"60, 7 leaders, pace ignored", 60, 7, none, 0},
		{"60, 7 leaders, least expected time", 60, 7, whole, 0},
		{"60, 7 leaders, drawn by speed alone", 60, 7, whole, 1},
		{"60, 7 leaders, of two drawn", 60, 7, whole, 2},
	} {
		o := play(w, 0)
		t.Logf("%-36s %v", w.name, o)
		if o.requests < 8000 {
			t.Errorf("%s: %d requests have an end", w.name, o.requests)
		}
	}
}
