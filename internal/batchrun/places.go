package batchrun

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/reservation"
	"github.com/dykewing/dykewing/worker"
)

// observeInterval is between two counts of slots, holdings and ends, and between two
// looks at whether those that wait have hope: a tenth of the time that a request which
// is refused may have waited.
const observeInterval = 10 * time.Millisecond

// maximumPlaceBytes of a frontend's message: an entry a worker, and a prompt's parts.
const maximumPlaceBytes = 1 << 20

// places gives places at the workers that this process fills to the frontends that ask
// for them.
type places struct {
	service *Service

	mutex     sync.Mutex // guards all below; leaders' mutexes are taken after it
	book      *reservation.Book
	queues    map[string]*reservation.Queue // by service
	seenAt    time.Time                     // when slots were last counted
	counted   int                           // workers, then
	spreadFor []int                         // groups whose workers' choices see what frontends hold
	spreadOf  uint64                        // generation of the list of workers, then
	heard     heard

	counts sync.Map // of requests that wait, by service; for readers without the mutex
}

func newPlaces(service *Service) *places {
	return &places{service: service, book: reservation.New(), queues: map[string]*reservation.Queue{}}
}

// waiting is how many requests of a service wait here.
func (p *places) waiting(service string) int {
	if n, ok := p.counts.Load(service); ok {
		return n.(int)
	}
	return 0
}

// online is what frontends hold at a worker.
func (p *places) online(id string) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.book.Online(id)
}

// servePlaces takes a frontend's report and gives a place if it asks for one.
func (s *Service) servePlaces(w http.ResponseWriter, r *http.Request) {
	var message reservation.Message
	if failure := transport.ReadJSON(w, r, "read question for a place", maximumPlaceBytes, &message); failure != nil {
		transport.WriteError(w, failure)
		return
	}
	leaders := s.led()
	if len(leaders) == 0 {
		transport.WriteError(w, api.NewError("give place", "", api.CodeNotLeader, api.OutcomeNotRun, "no group is led here"))
		return
	}
	p := s.places
	now := time.Now()
	waits, answer := p.take(now, leaders, message)
	if waits != nil {
		answer = p.await(r, waits, message.Ask.Wait)
	}
	if message.Ask != nil {
		answer.Paces = p.answerPaces(leaders, message.Ask.Service)
	}
	transport.WriteJSON(w, http.StatusOK, answer)
}

// take takes a message and answers it, or lets its request wait.
func (p *places) take(now time.Time, leaders []*Leader, message reservation.Message) (*reservation.Waiting, reservation.Answer) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.book.Report(now, message.Report)
	p.hear(now, leaders, message.Report)
	p.placeWaiting(now, leaders)
	if message.Ask == nil {
		return nil, reservation.Answer{}
	}
	for _, leader := range leaders {
		if leader.blind(now) {
			return nil, reservation.Answer{Blind: true}
		}
	}
	ask := *message.Ask
	queue := p.queue(ask.Service)
	waits := reservation.Wait(now, message.Report.Node, ask)
	if ask.Wait > 0 && ask.Returned {
		queue.Arrived(now, waits) // its promise counts
	}
	if queue.Len() == 0 {
		if answer, ok := p.place(now, leaders, waits); ok {
			p.arrived(now, queue, waits)
			return nil, answer
		}
	}
	if ask.Wait <= 0 {
		return nil, queue.Full(now, waits)
	}
	verdict := queue.Decide(now, waits)
	if verdict.Refuse && ask.Elsewhere {
		return nil, reservation.Answer{Hopeless: true, Waiting: queue.Len(), Until: verdict.Until}
	}
	p.arrived(now, queue, waits)
	if verdict.Refuse {
		return nil, p.refuse(now, reservation.Refused{Waiting: waits, Verdict: verdict})
	}
	queue.Add(waits)
	queue.Line.Waits(now, true)
	p.counts.Store(ask.Service, queue.Len())
	for _, leader := range leaders {
		leader.wakeUp()
	}
	return waits, reservation.Answer{}
}

// arrived notes a request where it is placed, waits or is refused for good, once.
func (p *places) arrived(now time.Time, queue *reservation.Queue, waits *reservation.Waiting) {
	if !waits.Ask.Returned || waits.Ask.Wait <= 0 {
		queue.Arrived(now, waits)
	}
}

// refuse answers a request that can't have a place in time; the mutex is held.
func (p *places) refuse(now time.Time, r reservation.Refused) reservation.Answer {
	queue := p.queue(r.Ask.Service)
	p.service.metrics.refused.Inc()
	p.service.log.WithFields(logrus.Fields{
		"event": "place_refused", "peer": r.Node, "service": r.Ask.Service, "waiting": queue.Len(), "ahead": r.Verdict.Ahead, "told": r.Verdict.Told,
		"rate": r.Verdict.PerSecond, "until_ms": r.Verdict.Until.Milliseconds(), "begin_ms": r.Order.Begin.Sub(now).Milliseconds(),
		"last_ms": r.Order.Last.Sub(now).Milliseconds(), "waited_ms": now.Sub(r.Since).Milliseconds(), "returned": r.Ask.Returned,
		"promised": !r.Order.Promised.IsZero(), "return_ms": r.Verdict.Return.Milliseconds(),
	}).Info("A request can't have a place in time.")
	return reservation.Answer{Hopeless: true, RetryAfter: r.Verdict.Return, Waiting: queue.Len(), Until: r.Verdict.Until}
}

// await gives the place of a request that waits, as soon as there is one.
func (p *places) await(r *http.Request, waits *reservation.Waiting, longest time.Duration) reservation.Answer {
	timer := time.NewTimer(longest)
	defer timer.Stop()
	select {
	case answer := <-waits.Place:
		return answer
	case <-timer.C:
	case <-r.Context().Done():
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	queue := p.queue(waits.Ask.Service)
	if !queue.Remove(waits) {
		return <-waits.Place
	}
	p.counts.Store(waits.Ask.Service, queue.Len())
	return queue.Full(time.Now(), waits)
}

func (p *places) queue(service string) *reservation.Queue {
	queue := p.queues[service]
	if queue == nil {
		queue = &reservation.Queue{}
		p.queues[service] = queue
	}
	return queue
}

// kick brings what is believed of workers up to date and gives places that have come
// free to those that wait.
func (p *places) kick(now time.Time) {
	leaders := p.service.led()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.book.Expire(now)
	p.placeWaiting(now, leaders)
}

// placeWaiting gives places to those that wait, in their order; the mutex is held.
func (p *places) placeWaiting(now time.Time, leaders []*Leader) {
	p.spread(leaders)
	counted := p.countSlots(now, leaders)
	for service, queue := range p.queues {
		if queue.Len() == 0 {
			queue.Line.Waits(now, false)
			continue
		}
		for _, waits := range queue.Sorted(now) {
			answer, ok := p.place(now, leaders, waits)
			if !ok {
				break
			}
			queue.Remove(waits)
			waits.Place <- answer
		}
		if counted {
			queue.Line.Waits(now, queue.Len() > 0)
			for _, refused := range queue.Refuse(now) {
				refused.Place <- p.refuse(now, refused)
			}
		}
		p.counts.Store(service, queue.Len())
	}
}

// countedAtOnce is how many workers are counted each observeInterval; more are counted less
// often, so that counting takes no more of a core on a larger fleet.
const countedAtOnce = 256

// countSlots counts slots, what requests hold of them and what has ended, for the decisions
// about waits; false when it did so a moment ago. The mutex is held.
func (p *places) countSlots(now time.Time, leaders []*Leader) bool {
	if now.Sub(p.seenAt) < observeInterval*time.Duration(1+p.counted/countedAtOnce) {
		return false
	}
	p.seenAt, p.counted = now, 0
	ended := p.book.Ended()
	for _, name := range p.service.serviceNames() {
		slots, held, ends := 0, 0, 0
		p.service.pool.EachOccupancy(name, groupsOf(leaders), func(seen worker.Occupancy) {
			p.counted++
			ends += ended[seen.ID]
			if seen.Usable {
				slots += seen.Slots
				held += min(p.book.Online(seen.ID), seen.Slots)
			}
		})
		p.queue(name).Line.Observe(now, slots, held, ends)
	}
	return true
}

// spread lets choices of workers see what frontends hold: at those workers of which
// something was told, and at all where this process has begun to fill them or the list of
// workers has changed. The mutex is held.
func (p *places) spread(leaders []*Leader) {
	groups, generation := groupsOf(leaders), p.service.pool.Generation()
	held := map[string]int{}
	if !slices.Equal(groups, p.spreadFor) || generation != p.spreadOf {
		if !slices.Equal(groups, p.spreadFor) {
			p.service.pool.ForgetHeld()
		}
		p.spreadFor, p.spreadOf = groups, generation
		p.book.Touched()
		p.service.hidden.take()
		for _, name := range p.service.serviceNames() {
			for _, w := range p.service.pool.Workers(name, groups...) {
				p.book.Began(w.Incarnation())
				held[w.ID] = p.held(w.ID)
			}
		}
	}
	touched := p.book.Touched()
	for _, id := range p.service.hidden.take() {
		touched[id] = true
	}
	for id := range touched {
		if filled(leaders, id) {
			held[id] = p.held(id)
		}
	}
	if len(held) > 0 {
		p.service.pool.SetHeld(held)
	}
}

// held is what others than this process have at a worker; the mutex is held.
func (p *places) held(id string) int { return p.book.Online(id) + p.service.hidden.of(id) }

// place gives a request a slot: one that is free, else one of an item, which gives
// way. The mutex is held.
func (p *places) place(now time.Time, leaders []*Leader, waits *reservation.Waiting) (reservation.Answer, bool) {
	stopping := stopping(leaders)
	free := func(seen worker.Occupancy) bool {
		return seen.Usable && seen.Others+seen.Taken-stopping[seen.ID] < seen.Slots
	}
	yields := func(seen worker.Occupancy) bool {
		return seen.Usable && seen.Others < seen.Slots && seen.Taken > stopping[seen.ID]
	}
	id, ok := p.choose(leaders, waits.Ask, free)
	if !ok {
		if id, ok = p.choose(leaders, waits.Ask, yields); !ok {
			return reservation.Answer{}, false
		}
		for _, leader := range leaders {
			if leader.mine(id) {
				leader.giveWay(id)
			}
		}
	}
	grant := p.book.Give(now, waits.Node, id)
	p.queue(waits.Ask.Service).Placed(now, waits)
	p.service.pool.Read(id, waits.Ask.Parts)
	p.service.pool.SetHeld(map[string]int{id: p.held(id)})
	return reservation.Answer{Worker: id, Grant: grant}, true
}

// choose gives the worker that the frontend would choose if it fits, else the best of
// those that do. Where workers tell their pace the frontend has only drawn a leader: this
// process knows all that is held at its workers and what all frontends heard there, and
// chooses the one with the least expected time.
func (p *places) choose(leaders []*Leader, ask reservation.Ask, fits func(worker.Occupancy) bool) (string, bool) {
	pool := p.service.pool
	if wanted, listed := pool.OccupancyOf(ask.Worker); listed && wanted.Service == ask.Service && filled(leaders, ask.Worker) &&
		!slices.Contains(ask.Excluded, ask.Worker) && fits(wanted) && !pool.Paced(ask.Service) && pool.Slowness(ask.Worker) == 1 {
		return ask.Worker, true
	}
	choice, ok := pool.Prefer(worker.Query{
		Service: ask.Service, Parts: ask.Parts, Tokens: ask.Tokens, Zone: ask.Zone, Excluded: ask.Excluded,
		Groups: groupsOf(leaders), Fits: fits,
	})
	if ok && choice.Pace.Source != worker.PaceUnknown {
		p.service.metrics.heard.placePace.Observe(choice.Pace.Value)
	}
	return choice.Worker.ID, ok
}

// stopping counts the items at each worker that have been told to give way.
func stopping(leaders []*Leader) map[string]int {
	stopping := map[string]int{}
	for _, leader := range leaders {
		leader.mutex.Lock()
		for i := range leader.running {
			if i.yielding {
				stopping[i.worker]++
			}
		}
		leader.mutex.Unlock()
	}
	return stopping
}

// giveWay lets one more item at a worker give way to a request.
func (l *Leader) giveWay(workerID string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	yielding := 0
	for i := range l.running {
		if i.yielding && i.worker == workerID {
			yielding++
		}
	}
	l.giveWayLocked(workerID, yielding+1, true)
}
