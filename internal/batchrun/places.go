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

// observeInterval is the shortest time between two observations of slots and completions, and
// between two checks of which waiting requests can still get a slot in time.
const observeInterval = 10 * time.Millisecond

// maxMessageBytes limits the body of a frontend's message, which has an entry per worker and the
// parts of a prompt.
const maxMessageBytes = 1 << 20

// slotBroker grants slots at this process's workers to online requests, on behalf of the frontends
// that ask. It is safe for concurrent use.
type slotBroker struct {
	service *Service

	mutex            sync.Mutex // guards the fields below; acquired before leaders' mutexes
	book             *reservation.Ledger
	queues           map[string]*reservation.Queue // by service
	observedAt       time.Time                     // last observation of slots
	observedWorkers  int                           // workers in that observation
	syncedGroups     []int                         // groups whose workers the pool has held counts for
	syncedGeneration uint64                        // generation of the worker list at that time
	observationLog   observationLog

	waitingCounts sync.Map // waiting requests by service, readable without the mutex
}

func newSlotBroker(service *Service) *slotBroker {
	return &slotBroker{service: service, book: reservation.New(), queues: map[string]*reservation.Queue{}}
}

// waitingCount returns how many requests for a service wait here.
func (b *slotBroker) waitingCount(service string) int {
	if n, ok := b.waitingCounts.Load(service); ok {
		return n.(int)
	}
	return 0
}

// onlineAt returns how many requests frontends hold at a worker.
func (b *slotBroker) onlineAt(id string) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.book.InFlight(id)
}

// serveSlots handles a frontend's report and its request for a slot, if there is one.
func (s *Service) serveSlots(w http.ResponseWriter, r *http.Request) {
	var message reservation.Message
	if failure := transport.ReadJSON(w, r, "read question for a place", maxMessageBytes, &message); failure != nil {
		transport.WriteError(w, failure)
		return
	}
	leaders := s.currentLeaders()
	if len(leaders) == 0 {
		transport.WriteError(w, api.NewError("give place", "", api.CodeNotLeader, api.OutcomeNotRun, "this process leads no group"))
		return
	}
	b := s.slots
	now := time.Now()
	waiter, answer := b.handle(now, leaders, message)
	if waiter != nil {
		answer = b.await(r, waiter, message.Request.Wait)
	}
	if message.Request != nil {
		answer.Paces = b.pacesForAnswer(leaders, message.Request.Service)
	}
	transport.WriteJSON(w, http.StatusOK, answer)
}

// handle processes a message. It returns the answer, or the queued request if that has to wait.
func (b *slotBroker) handle(now time.Time, leaders []*Leader, message reservation.Message) (*reservation.Waiter, reservation.Response) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.book.Report(now, message.Report)
	b.applyObservations(now, leaders, message.Report)
	b.grantWaiting(now, leaders)
	if message.Request == nil {
		return nil, reservation.Response{}
	}
	for _, leader := range leaders {
		if leader.warmingUp(now) {
			return nil, reservation.Response{WarmingUp: true}
		}
	}
	ask := *message.Request
	queue := b.queue(ask.Service)
	waiter := reservation.NewWaiter(now, message.Report.Node, ask)
	if ask.Wait > 0 && ask.Returning {
		queue.RecordArrival(now, waiter) // before the grant, so that an earlier promise counts
	}
	if !queue.TakesAnySlot() {
		if answer, ok := b.grant(now, leaders, waiter); ok {
			b.recordArrival(now, queue, waiter)
			return nil, answer
		}
	}
	if ask.Wait <= 0 {
		return nil, queue.Full(now, waiter)
	}
	verdict := queue.Decide(now, waiter)
	if verdict.Reject && ask.HasAlternative {
		return nil, reservation.Response{NoSlotInTime: true, Waiting: queue.Len(), ExpectedWait: verdict.ExpectedWait}
	}
	b.recordArrival(now, queue, waiter)
	if verdict.Reject {
		return nil, b.refuse(now, reservation.Rejected{Waiter: waiter, Decision: verdict})
	}
	queue.Add(waiter)
	queue.Controller.SetWaiting(now, true)
	b.waitingCounts.Store(ask.Service, queue.Len())
	for _, leader := range leaders {
		leader.wakeUp()
	}
	return waiter, reservation.Response{}
}

// recordArrival counts a request once: when it is granted a slot, queued or finally refused.
func (b *slotBroker) recordArrival(now time.Time, queue *reservation.Queue, waiter *reservation.Waiter) {
	if !waiter.Request.Returning || waiter.Request.Wait <= 0 {
		queue.RecordArrival(now, waiter)
	}
}

// refuse answers a request that cannot get a slot in time. The caller holds the mutex.
func (b *slotBroker) refuse(now time.Time, r reservation.Rejected) reservation.Response {
	queue := b.queue(r.Request.Service)
	b.service.metrics.refused.Inc()
	b.service.log.WithFields(logrus.Fields{
		"event": "place_refused", "peer": r.Node, "service": r.Request.Service, "waiting": queue.Len(), "ahead": r.Decision.Ahead, "told": r.Decision.PromisedAhead,
		"rate": r.Decision.Rate, "until_ms": r.Decision.ExpectedWait.Milliseconds(), "begin_ms": r.Order.Target.Sub(now).Milliseconds(),
		"last_ms": r.Order.Deadline.Sub(now).Milliseconds(), "waited_ms": now.Sub(r.EnqueuedAt).Milliseconds(), "returned": r.Request.Returning,
		"promised": !r.Order.Promised.IsZero(), "return_ms": r.Decision.RetryAfter.Milliseconds(),
	}).Info("Refused a request that cannot get a slot in time.")
	return reservation.Response{NoSlotInTime: true, RetryAfter: r.Decision.RetryAfter, Waiting: queue.Len(), ExpectedWait: r.Decision.ExpectedWait}
}

// await waits until a queued request is answered, the time longest has passed or the client
// disconnects.
func (b *slotBroker) await(r *http.Request, waiter *reservation.Waiter, longest time.Duration) reservation.Response {
	timer := time.NewTimer(longest)
	defer timer.Stop()
	select {
	case answer := <-waiter.Response:
		return answer
	case <-timer.C:
	case <-r.Context().Done():
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	queue := b.queue(waiter.Request.Service)
	if !queue.Remove(waiter) {
		return <-waiter.Response
	}
	b.waitingCounts.Store(waiter.Request.Service, queue.Len())
	return queue.Full(time.Now(), waiter)
}

func (b *slotBroker) queue(service string) *reservation.Queue {
	queue := b.queues[service]
	if queue == nil {
		queue = &reservation.Queue{}
		b.queues[service] = queue
	}
	return queue
}

// refresh expires stale reports and grants free slots to waiting requests.
func (b *slotBroker) refresh(now time.Time) {
	leaders := b.service.currentLeaders()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.book.Expire(now)
	b.grantWaiting(now, leaders)
}

// grantWaiting grants slots to waiting requests in queue order and refuses those that cannot get
// one in time. The caller holds the mutex.
func (b *slotBroker) grantWaiting(now time.Time, leaders []*Leader) {
	b.syncHeld(leaders)
	counted := b.observeSlots(now, leaders)
	for service, queue := range b.queues {
		if queue.Len() == 0 {
			queue.Controller.SetWaiting(now, false)
			continue
		}
		for _, waiter := range queue.Sorted(now) {
			answer, ok := b.grant(now, leaders, waiter)
			if !ok && waiter.Request.HasVersion {
				continue // others may use slots that it must not
			}
			if !ok {
				break
			}
			queue.Remove(waiter)
			waiter.Response <- answer
		}
		if counted {
			queue.Controller.SetWaiting(now, queue.Len() > 0)
			for _, refused := range queue.Shed(now) {
				refused.Response <- b.refuse(now, refused)
			}
		}
		b.waitingCounts.Store(service, queue.Len())
	}
}

// workersPerInterval is how many workers may be observed per observeInterval. With more workers
// the interval grows, so that the CPU load stays constant.
const workersPerInterval = 256

// observeSlots records slots, held slots and completions for the admission decisions. It returns
// false if the last observation is too recent. The caller holds the mutex.
func (b *slotBroker) observeSlots(now time.Time, leaders []*Leader) bool {
	if now.Sub(b.observedAt) < observeInterval*time.Duration(1+b.observedWorkers/workersPerInterval) {
		return false
	}
	b.observedAt, b.observedWorkers = now, 0
	ended := b.book.TakeEnded()
	for _, name := range b.service.serviceNames() {
		slots, held, ends := 0, 0, 0
		b.service.pool.EachOccupancy(name, groupsOf(leaders), func(occupancy worker.Occupancy) {
			b.observedWorkers++
			ends += ended[occupancy.ID]
			if occupancy.Usable {
				slots += occupancy.Slots
				held += min(b.book.InFlight(occupancy.ID), occupancy.Slots)
			}
		})
		b.queue(name).Controller.Observe(now, slots, held, ends)
	}
	return true
}

// syncHeld copies the counts of held slots to the pool: those that changed, or all if the owned
// groups or the list of workers changed. The caller holds the mutex.
func (b *slotBroker) syncHeld(leaders []*Leader) {
	groups, generation := groupsOf(leaders), b.service.pool.Generation()
	held := map[string]int{}
	if !slices.Equal(groups, b.syncedGroups) || generation != b.syncedGeneration {
		if !slices.Equal(groups, b.syncedGroups) {
			b.service.pool.ClearExactOtherLoads()
		}
		b.syncedGroups, b.syncedGeneration = groups, generation
		b.book.TakeChanged()
		b.service.unreported.takeChanged()
		for _, name := range b.service.serviceNames() {
			for _, w := range b.service.pool.Workers(name, groups...) {
				b.book.RecordStart(w.Incarnation())
				held[w.ID] = b.heldAt(w.ID)
			}
		}
	}
	touched := b.book.TakeChanged()
	for _, id := range b.service.unreported.takeChanged() {
		touched[id] = true
	}
	for id := range touched {
		if ownedByAny(leaders, id) {
			held[id] = b.heldAt(id)
		}
	}
	if len(held) > 0 {
		b.service.pool.SetExactOtherLoads(held)
	}
}

// heldAt returns the requests at a worker that are not this process's own. The caller holds the
// mutex.
func (b *slotBroker) heldAt(id string) int { return b.book.InFlight(id) + b.service.unreported.at(id) }

// grant grants a request a free slot, else preempts an item for it. The caller holds the mutex.
func (b *slotBroker) grant(now time.Time, leaders []*Leader, waiter *reservation.Waiter) (reservation.Response, bool) {
	leaving := preemptedItems(leaders)
	free := func(occupancy worker.Occupancy) bool {
		return occupancy.Usable && occupancy.OtherInFlight+occupancy.InFlight-leaving[occupancy.ID] < occupancy.Slots
	}
	preemptible := func(occupancy worker.Occupancy) bool {
		return occupancy.Usable && occupancy.OtherInFlight < occupancy.Slots && occupancy.InFlight > leaving[occupancy.ID]
	}
	id, ok := b.chooseWorker(leaders, waiter.Request, free)
	if !ok {
		if id, ok = b.chooseWorker(leaders, waiter.Request, preemptible); !ok {
			return reservation.Response{}, false
		}
		for _, leader := range leaders {
			if leader.owns(id) {
				leader.preemptOne(id)
			}
		}
	}
	grant := b.book.Grant(now, waiter.Node, id)
	b.queue(waiter.Request.Service).RecordPlacement(now, waiter)
	b.service.pool.RecordSent(id, waiter.Request.Parts)
	b.service.pool.SetExactOtherLoads(map[string]int{id: b.heldAt(id)})
	return reservation.Response{Worker: id, Grant: grant}, true
}

// chooseWorker returns the frontend's preferred worker if that fits and is not slow, else the best
// one that fits. For services whose workers report their pace it ignores the preference, since
// this process has fresher data on its workers than a frontend.
func (b *slotBroker) chooseWorker(leaders []*Leader, ask reservation.Request, fits func(worker.Occupancy) bool) (string, bool) {
	pool := b.service.pool
	if wanted, listed := pool.OccupancyOf(ask.Worker); listed && wanted.Service == ask.Service && ownedByAny(leaders, ask.Worker) &&
		!slices.Contains(ask.Excluded, ask.Worker) && (!ask.HasVersion || wanted.Version == ask.Version) && fits(wanted) && !pool.PaceKnown(ask.Service) && pool.Slowness(ask.Worker) == 1 {
		return ask.Worker, true
	}
	choice, ok := pool.Choose(worker.Query{
		Service: ask.Service, Parts: ask.Parts, Tokens: ask.Tokens, Zone: ask.Zone, Excluded: ask.Excluded,
		Version: ask.Version, HasVersion: ask.HasVersion,
		Groups: groupsOf(leaders), FilterOccupancy: fits,
	})
	if ok && choice.Pace.Source != worker.PaceUnknown {
		b.service.metrics.workers.placePace.Observe(choice.Pace.Value)
	}
	return choice.Worker.ID, ok
}

// preemptedItems counts the running items at each worker that were preempted.
func preemptedItems(leaders []*Leader) map[string]int {
	counts := map[string]int{}
	for _, leader := range leaders {
		leader.mutex.Lock()
		for i := range leader.running {
			if i.preempted {
				counts[i.worker]++
			}
		}
		leader.mutex.Unlock()
	}
	return counts
}

// preemptOne preempts one more item at a worker.
func (l *Leader) preemptOne(workerID string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	preempting := 0
	for i := range l.running {
		if i.preempted && i.worker == workerID {
			preempting++
		}
	}
	l.preemptLocked(workerID, preempting+1, true)
}
