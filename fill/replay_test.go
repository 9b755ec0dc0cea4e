package fill

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// replay is a leader's workers on a virtual clock: requests come in steps and take a
// free slot or that of an item; jobs of ten items come steadily.
type replay struct {
	way     way
	demand  Demand
	random  *rand.Rand
	now     time.Time
	workers []*replayWorker
	waiting []*replayItem
	queue   []time.Time // requests that wait since
	room    float64     // of batch, averaged
	reserve float64
	start   Start
	result  replayed
}

type replayWorker struct {
	pace   float64 // times take so much
	online []time.Time
	items  []*replayItem
}

type replayItem struct {
	due      time.Time
	left     time.Duration // at pace 1
	began    time.Time
	cuts     int
	standing Standing
}

// way is what is weighed.
type way struct {
	name    string
	yields  func(now time.Time, a, b Running) int
	start   func(d *Demand, now time.Time, slots, need int, room float64) Start // nil: no bound
	pressed func([]Worker, float64, int) int                                    // nil: pressed items take the reserve, and give way to it
}

// load is what comes.
type load struct {
	name           string
	slots          int // of each worker
	low, high      float64
	lowFor, period time.Duration
	jobs           float64 // a second
	lost           int     // workers that are gone for a third of the time
}

type replayed struct{ items, inTime, cuts, requests, late int }

const (
	replayTick  = 20 * time.Millisecond
	onlineTime  = 620 * time.Millisecond
	itemTime    = 3700 * time.Millisecond
	lateAfter   = 100 * time.Millisecond
	replayFor   = 80 * time.Second
	eventPause  = 200 * time.Millisecond // between two reads of an item's stream
	promptTime  = 80 * time.Millisecond
	replayDueIn = 18 * time.Second
)

func play(l load, w way, seed uint64) replayed {
	r := &replay{way: w, random: rand.New(rand.NewPCG(seed, 1)), now: start}
	for i := range 12 {
		r.workers = append(r.workers, &replayWorker{pace: []float64{0.7, 0.7, 1.7}[i%3]})
	}
	for at := time.Duration(0); at < replayFor+replayDueIn; at += replayTick {
		r.now = start.Add(at)
		rate, jobs := l.low, l.jobs
		if at%l.period >= l.lowFor {
			rate = l.high
		}
		if at >= replayFor {
			jobs = 0
		}
		n := len(r.workers)
		if at > replayFor/3 && at < 2*replayFor/3 {
			n -= l.lost
		}
		r.end(n, l.slots)
		for range r.poisson(rate) {
			r.result.requests++
			r.queue = append(r.queue, r.now)
		}
		for range r.poisson(jobs) {
			for range 10 {
				r.result.items++
				left := time.Duration(float64(itemTime) * (0.7 + 0.6*r.random.Float64()))
				r.waiting = append(r.waiting, &replayItem{due: r.now.Add(replayDueIn), left: left, standing: Usual})
			}
		}
		r.place(l.slots, n)
		r.plan(l.slots, n)
	}
	return r.result
}

func (r *replay) poisson(perSecond float64) (n int) {
	for limit, p := math.Exp(-perSecond*replayTick.Seconds()), r.random.Float64(); p > limit; n++ {
		p *= r.random.Float64()
	}
	return n
}

// end ends what has run for its time, and what runs at workers that are gone.
func (r *replay) end(alive, slots int) {
	for i, w := range r.workers {
		w.online = slices.DeleteFunc(w.online, func(until time.Time) bool { return !r.now.Before(until) })
		for i >= alive && len(w.items) > 0 {
			r.cut(w, w.items[0])
		}
		w.items = slices.DeleteFunc(w.items, func(item *replayItem) bool {
			ran := time.Duration(float64(r.now.Sub(item.began)-promptTime) / w.pace)
			if ran >= item.left && !r.now.After(item.due) {
				r.result.inTime++
			}
			return ran >= item.left
		})
	}
}

// cut stops an item; it goes on after its last event that was read.
func (r *replay) cut(w *replayWorker, item *replayItem) {
	r.result.cuts++
	w.items = slices.DeleteFunc(w.items, func(other *replayItem) bool { return other == item })
	if read := r.now.Sub(item.began) / eventPause * eventPause; read > promptTime {
		item.left -= time.Duration(float64(read-promptTime) / w.pace)
	}
	item.cuts++
	r.waiting = append(r.waiting, item)
}

// place gives requests that wait a free slot, else one of an item.
func (r *replay) place(slots, alive int) {
	for len(r.queue) > 0 {
		var best *replayWorker
		for _, w := range r.workers[:alive] {
			if len(w.online) < slots && (best == nil || len(w.online)+len(w.items) < len(best.online)+len(best.items)) {
				best = w
			}
		}
		if best == nil {
			return
		}
		if len(best.online)+len(best.items) >= slots {
			r.yield(best, 1, true)
		}
		best.online = append(best.online, r.now.Add(time.Duration(float64(onlineTime)*best.pace)))
		if r.now.Sub(r.queue[0]) > lateAfter {
			r.result.late++
		}
		r.queue = r.queue[1:]
	}
}

func (r *replay) yield(w *replayWorker, n int, pressed bool) {
	if n <= 0 {
		return
	}
	items := slices.Clone(w.items)
	slices.SortStableFunc(items, func(a, b *replayItem) int { return r.way.yields(r.now, r.running(w, a), r.running(w, b)) })
	for _, item := range items {
		if n > 0 && (pressed || item.standing != Pressed) {
			r.cut(w, item)
			n--
		}
	}
}

func (r *replay) running(w *replayWorker, item *replayItem) Running {
	ran := r.now.Sub(item.began)
	return Running{
		Standing: item.standing, Due: item.due, Left: item.left - time.Duration(float64(ran)/w.pace),
		Lost: ran % eventPause, Cuts: item.cuts, Since: item.began,
	}
}

// plan does what a leader does at each look.
func (r *replay) plan(slots, alive int) {
	workers, online := make([]Worker, alive), len(r.queue)
	for i, w := range r.workers[:alive] {
		workers[i] = Worker{Slots: slots, Online: len(w.online), Batch: len(w.items)}
		online += len(w.online)
	}
	r.demand.Observe(r.now, online)
	r.reserve = r.demand.Reserve(slots * alive)
	r.room += replayTick.Seconds() / 10 * (max(float64(slots*alive-online)-r.reserve, 1) - r.room)
	if r.now.Sub(start)%(100*time.Millisecond) == 0 {
		r.stand(slots * alive)
	}
	must, early := Excess(workers, len(r.queue)), Early(workers, r.reserve, len(r.queue))
	for i, w := range r.workers[:alive] {
		r.yield(w, must[i], true)
		r.yield(w, early[i]-must[i], r.way.pressed == nil)
	}
	r.begin(slots, alive)
}

func (r *replay) stand(slots int) {
	all := slices.Clone(r.waiting)
	for _, w := range r.workers {
		all = append(all, w.items...)
	}
	slices.SortStableFunc(all, func(a, b *replayItem) int { return a.due.Compare(b.due) })
	list := make([]Item, len(all))
	for i, item := range all {
		list[i] = Item{Due: item.due, Left: item.left}
	}
	for i, standing := range Stand(r.now, list, r.room) {
		all[i].standing = standing
	}
	if r.way.start != nil {
		r.start = r.way.start(&r.demand, r.now, slots, Need(r.now, list), r.room)
	}
}

// begin starts up to eight items where the most is free.
func (r *replay) begin(slots, alive int) {
	workers, running := make([]Worker, alive), 0
	for i, w := range r.workers[:alive] {
		workers[i] = Worker{Slots: slots, Online: len(w.online), Batch: len(w.items)}
		running += len(w.items)
	}
	left, pressed := Room(workers, r.reserve, len(r.queue)), free(workers)
	if r.way.pressed != nil {
		pressed = r.way.pressed(workers, r.reserve, len(r.queue))
	}
	slices.SortStableFunc(r.waiting, func(a, b *replayItem) int {
		return cmp.Or(cmp.Compare(min(a.standing, Usual), min(b.standing, Usual)), a.due.Compare(b.due))
	})
	for n := 0; n < 8 && len(r.waiting) > 0; n++ {
		item := r.waiting[0]
		if item.standing == Pressed && pressed <= 0 || item.standing != Pressed && (left <= 0 || !r.start.Allows(running, item.left)) {
			return
		}
		best := slices.MaxFunc(r.workers[:alive], func(a, b *replayWorker) int {
			return cmp.Compare(len(b.online)+len(b.items), len(a.online)+len(a.items))
		})
		if len(best.online)+len(best.items) >= slots {
			return
		}
		item.began = r.now
		best.items = append(best.items, item)
		r.waiting = r.waiting[1:]
		left, pressed, running = left-1, pressed-1, running+1
	}
}

func standing(_ time.Time, a, b Running) int {
	return cmp.Or(cmp.Compare(b.Standing, a.Standing), b.Due.Compare(a.Due), b.Since.Compare(a.Since))
}

// stepsOf is demand in steps on 96 slots, with so many jobs a second.
func stepsOf(name string, jobs float64, lost int) load {
	return load{name: name, slots: 8, low: 20, high: 104, lowFor: 3800 * time.Millisecond, period: 6600 * time.Millisecond, jobs: jobs, lost: lost}
}

var standingWay = way{"standing", standing, nil, nil}

// standingOf is what the standing way makes of each load, by name, once played.
var standingOf = map[string]replayed{}

// of plays a load with some seeds.
func of(l load, w way) (sum replayed) {
	if played, ok := standingOf[l.name]; ok && w.name == standingWay.name {
		return played
	}
	defer func() {
		if w.name == standingWay.name {
			standingOf[l.name] = sum
		}
	}()
	for seed := range uint64(4) {
		got := play(l, w, seed)
		sum.items += got.items
		sum.inTime += got.inTime
		sum.cuts += got.cuts
		sum.requests += got.requests
		sum.late += got.late
	}
	return sum
}

// replays are the loads, and what share of the standing way's cuts is allowed.
var replays = []struct {
	load
	cuts float64
}{
	{stepsOf("steps", 0.65, 0), 0.5},
	{stepsOf("more batch", 0.9, 0), 0.45},
	{stepsOf("much batch", 1.2, 0), 0.65},
	{stepsOf("a third of the workers lost", 1.1, 4), 0.9},
	{stepsOf("more than there is", 2, 0), 0.7},
	{load{name: "steady", slots: 8, low: 60, high: 60, lowFor: time.Second, period: 2 * time.Second, jobs: 0.65}, 1.2},
}

// judge compares a way with the standing one: what is worse, or nothing.
func judge(was, is replayed, cuts float64) string {
	switch {
	case is.inTime < was.inTime:
		return "fewer items are in time"
	case is.late > was.late+is.requests/1000: // chance places them at other workers
		return "more requests are late"
	case float64(is.cuts) > cuts*float64(was.cuts):
		return "too many items are cut"
	}
	return ""
}

// TestReplay: demand in steps, batch that outlasts each trough.
func TestReplay(t *testing.T) {
	ways := []way{
		{"pressed items mind the reserve", standing, nil, RoomPressed},
		{"and the order of giving way", Yields, nil, RoomPressed},
		{"and begin before a rise", Yields, (*Demand).Start, RoomPressed},
	}
	for _, test := range replays {
		was := of(test.load, standingWay)
		t.Logf("%s; standing: %+v", test.name, was)
		for i, w := range ways {
			is := of(test.load, w)
			t.Logf("%s; %s: %+v", test.name, w.name, is)
			if worse := judge(was, is, test.cuts); worse != "" && i == len(ways)-1 {
				t.Errorf("%s: %s", test.name, worse)
			}
		}
	}
}

// TestAPlantIsSeen: ways that are wrong are told from the right one.
func TestAPlantIsSeen(t *testing.T) {
	keep := func(d *Demand, now time.Time, slots, _ int, _ float64) Start { return d.Start(now, slots, 0, 1) }
	tests := []struct {
		name  string
		load  int // of replays
		plant way
		want  string
	}{
		{"no rise is expected", 1, way{"", Yields, nil, RoomPressed}, "too many items are cut"},
		{"pressed items take what is kept free", 4, way{"", Yields, (*Demand).Start, nil}, "too many items are cut"},
		{"what is kept free is kept whatever batch needs", 3, way{"", Yields, keep, func([]Worker, float64, int) int { return 0 }}, "fewer items are in time"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			each := replays[test.load]
			if got := judge(of(each.load, standingWay), of(each.load, test.plant), each.cuts); got != test.want {
				t.Errorf("%q, want %q", got, test.want)
			}
		})
	}
}
