package frontend

import (
	"cmp"
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/backend"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/placement"
	"github.com/dykewing/dykewing/reservation"
	"github.com/dykewing/dykewing/waitorder"
	"github.com/dykewing/dykewing/worker"
)

const (
	// reservationTimeout is how long a leader may take to answer, in addition to the
	// time that the request waits there. It allows for several round trips between
	// zones and a slow leader.
	reservationTimeout = 50 * time.Millisecond
	// minLeaderBackoff is how long a leader that did not answer is not asked again; the
	// frontend chooses its workers on its own meanwhile. It doubles with each failure
	// up to maxLeaderBackoff.
	minLeaderBackoff = 300 * time.Millisecond
	maxLeaderBackoff = 2400 * time.Millisecond
	// fullTTL is how long a leader without a free slot is considered full.
	fullTTL = 30 * time.Millisecond
	// leaderKnownPeriod is how long all leaders must be known before a period of
	// unknown leaders is logged as over.
	leaderKnownPeriod = time.Second
	// maxReservationWait limits one wait in a leader's queue, since the leader may
	// change.
	maxReservationWait = time.Second
	// reportDelay is how long a report waits for a request to the same leader to carry
	// it.
	reportDelay = 10 * time.Millisecond
	// reportInterval is the time between two reports while nothing changes.
	reportInterval = 500 * time.Millisecond
	// leaderConnections is the number of idle connections kept to each leader.
	leaderConnections  = 8
	leaderSilenceLimit = time.Second
)

// reservations reserves slots at workers with the leaders that dispatch batch items to
// them, and reports this frontend's in-flight requests to these leaders. It is safe for
// concurrent use.
type reservations struct {
	self    api.NodeID
	zone    string
	pool    *backend.Pool
	client  *http.Client
	log     *logrus.Entry
	metrics *metrics
	// leaderOf returns the leader that reserves slots at a worker, if it is known.
	leaderOf func(worker string) (api.Node, bool)
	// groups returns the groups whose leader passes the filter; with includeUnknown,
	// also groups without a known leader.
	groups func(filter func(leader api.NodeID) bool, includeUnknown bool) []int

	observations observations // not yet reported to leaders

	mutex    sync.Mutex // guards the fields below
	sequence uint64     // of the last report; starts at the start time, so that it grows across restarts
	leaders  map[api.NodeID]*leaderState
	inFlight map[worker.Incarnation]int // requests at each worker
	// Start of the current period of unknown leaders and the last choice in it; zero
	// outside such a period.
	unknownSince time.Time
	lastUnknown  time.Time
}

// leaderState is what this frontend knows of one leader.
type leaderState struct {
	lastGrant     uint64 // newest grant included in inFlight
	backoffUntil  time.Time
	backoff       time.Duration // 0 after a response
	fullUntil     time.Time
	queued        int           // requests queued there when it was full
	expectedWait  time.Duration // expected wait there at that time; 0: unknown
	reportedAt    time.Time     // when the last report was sent
	reportPending bool          // a report must be sent
}

func newReservations(f *Frontend) *reservations {
	return &reservations{
		self: f.node.ID(), zone: f.node.Settings.Node.Zone, pool: f.pool, log: f.log, metrics: f.metrics, leaderOf: f.leaderOf, groups: f.groupsLedBy,
		sequence: uint64(time.Now().UnixNano()), leaders: map[api.NodeID]*leaderState{}, inFlight: map[worker.Incarnation]int{},
		client: f.node.Traffic.Instrument(transport.NewKeepAliveClient(transport.ClientOptions{
			ConnectionsPerHost: leaderConnections, DialTimeout: reservationTimeout, IdleTimeout: storeIdleLifetime, KeepAliveTimeout: leaderSilenceLimit,
		}), transport.KindReservations),
	}
}

// leaderOf returns the leader of a worker's group, if it is known.
func (f *Frontend) leaderOf(id string) (api.Node, bool) {
	return f.leaders.Leader(f.node.Nodes(), placement.WorkerGroup(id, f.node.Settings.Store.Groups))
}

// groupsLedBy returns the groups whose leader passes the filter; with includeUnknown,
// also groups without a known leader. The result is never nil, since nil means all
// groups.
func (f *Frontend) groupsLedBy(filter func(leader api.NodeID) bool, includeUnknown bool) []int {
	n := f.node.Settings.Store.Groups
	leaders := f.leaders.All(f.node.Nodes(), n)
	groups := make([]int, 0, n)
	for group := range n {
		leader, known := leaders[api.GroupID(group)]
		if known && filter(leader.ID) || !known && includeUnknown {
			groups = append(groups, group)
		}
	}
	return groups
}

// workerGroup returns the group whose leader reserves slots at a worker.
func (f *Frontend) workerGroup(id string) int {
	return int(placement.WorkerGroup(id, max(f.node.Settings.Store.Groups, 1)))
}

// leader returns the state of a leader, creating it if necessary. The caller holds the
// mutex.
func (r *reservations) leader(id api.NodeID) *leaderState {
	state := r.leaders[id]
	if state == nil {
		state = &leaderState{}
		r.leaders[id] = state
	}
	return state
}

// usesReservations tells whether slots of a service are reserved with leaders: if the
// service also runs batch items.
func (f *Frontend) usesReservations(service string) bool {
	configuration := f.catalog.Configuration()
	return configuration != nil && configuration.RunsBatch(service) && f.node.Settings.Store.Groups > 0
}

// attemptInfo is sent to the leader with a reservation request.
type attemptInfo struct {
	callerRetry bool // the caller was turned away before
	requeued    bool // the request was sent to a worker or queued at a leader before
}

// reserve returns a ticket for a worker: the one that this frontend prefers, or another
// one at which the leader has reserved a slot. If all workers are full, it waits for a
// slot while the request can still be in time; the error then says when to retry. If
// the leader does not answer, the frontend's own choice is used. Both results are nil
// if there is no worker, or if ctx is cancelled.
//
// A worker may leave during the wait. In that case dropped is called with its ticket
// and another worker is chosen.
func (r *reservations) reserve(ctx context.Context, query worker.Query, entry waitorder.Request, attempt attemptInfo, dropped func(*backend.Assignment)) (*backend.Assignment, *api.Error) {
	for {
		ticket, refusal := r.reserveOnce(ctx, query, entry, attempt)
		if ticket == nil || r.pool.Accepts(ticket.Worker.ID) {
			return ticket, refusal
		}
		dropped(ticket)
		ticket.End()
	}
}

// reserveOnce is reserve without the check that the worker is still there.
func (r *reservations) reserveOnce(ctx context.Context, query worker.Query, entry waitorder.Request, attempt attemptInfo) (*backend.Assignment, *api.Error) {
	requeued := attempt.requeued
	var refusedBy api.NodeID // leader without a slot in time; one other leader is asked
	full := map[api.NodeID]bool{}
	for ctx.Err() == nil {
		ticket, ok := r.chooseWorker(query, full)
		if !ok && len(full) == 0 {
			return nil, nil
		}
		wait := time.Duration(0)
		if !ok {
			ticket, wait, ok = r.chooseQueue(query, full, entry, refusedBy)
			if !ok {
				return nil, api.NewError("wait for a place", "", api.CodeNoCapacity, api.OutcomeNotRun, "no slot became free in time")
			}
		}
		peer, known := r.leaderOf(ticket.Worker.ID)
		r.recordLeaderKnown(known)
		if !known || r.backingOff(peer.ID) {
			return r.trackUnreserved(ticket), nil
		}
		answer, err := r.requestSlot(ctx, peer, ticket, query, entry, reservation.Request{
			Wait: wait, Returning: attempt.callerRetry, Requeued: requeued, HasAlternative: wait > 0 && refusedBy == "" && len(full) > 1,
		})
		switch {
		case err != nil || answer.WarmingUp:
			if ctx.Err() != nil {
				ticket.End()
				return nil, nil
			}
			return r.trackUnreserved(ticket), nil
		case answer.Worker != "":
			return r.acceptGrant(peer, ticket, query, answer), nil
		case answer.NoSlotInTime && wait > 0 && refusedBy == "" && answer.RetryAfter == 0: // no slot was promised
			refusedBy = peer.ID
			ticket.End()
			continue
		case answer.NoSlotInTime && wait > 0:
			ticket.End()
			return nil, noSlotInTimeError(peer, answer)
		}
		ticket.End()
		full[peer.ID] = true
		if wait > 0 {
			requeued = true
			if answer.Promise != nil {
				entry.Promised = time.Now().Add(*answer.Promise)
			}
		}
	}
	return nil, nil
}

// recordLeaderKnown counts choices of workers without a known leader, and logs the
// start and end of periods of them.
func (r *reservations) recordLeaderKnown(known bool) {
	if !known {
		r.metrics.reservations.WithLabelValues("unknown").Inc()
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	switch {
	case !known && r.unknownSince.IsZero():
		r.unknownSince, r.lastUnknown = now, now
		r.log.WithField("event", "leader_unknown").Info("The leader of a worker's group is unknown; workers are chosen without reservations.")
	case !known:
		r.lastUnknown = now
	case !r.unknownSince.IsZero() && now.Sub(r.lastUnknown) >= leaderKnownPeriod:
		r.log.WithFields(logrus.Fields{"event": "leader_known", "unknown_ms": r.lastUnknown.Sub(r.unknownSince).Milliseconds()}).Info("The leaders of all chosen workers are known again.")
		r.unknownSince = time.Time{}
	}
}

// noSlotInTimeError returns the error for a request that a leader refused since no slot
// will be free in time.
func noSlotInTimeError(peer api.Node, answer reservation.Response) *api.Error {
	failure := api.NewError("ask for a place", string(peer.ID), api.CodeNoCapacity, api.OutcomeNotRun,
		"%d requests are queued there and no slot will be free in time", answer.Waiting)
	failure.RetryAfter = answer.RetryAfter
	return failure
}

// chooseWorker chooses a worker among those of leaders that are not known to be full,
// and adds these leaders to full.
func (r *reservations) chooseWorker(query worker.Query, full map[api.NodeID]bool) (*backend.Assignment, bool) {
	now := time.Now()
	r.mutex.Lock()
	for id, state := range r.leaders {
		if now.Before(state.fullUntil) {
			full[id] = true
		}
	}
	r.mutex.Unlock()
	if len(full) > 0 {
		query.Groups = r.groups(func(leader api.NodeID) bool { return !full[leader] }, true)
	}
	return r.pool.Assign(query)
}

// chooseQueue chooses the leader with the shortest expected wait and returns a ticket
// for one of its workers and how long to wait there. It returns false if the request
// can't wait any longer. The queue length alone is no criterion: it is 0 at a leader
// that has lost its workers and refuses all requests.
func (r *reservations) chooseQueue(query worker.Query, full map[api.NodeID]bool, entry waitorder.Request, refusedBy api.NodeID) (*backend.Assignment, time.Duration, bool) {
	wait := min(time.Until(entry.Deadline), maxReservationWait)
	if wait <= 0 {
		return nil, 0, false
	}
	r.mutex.Lock()
	best := slices.MinFunc(slices.Collect(maps.Keys(full)), func(a, b api.NodeID) int {
		x, y := r.leader(a), r.leader(b)
		switch refusedBy {
		case a:
			return 1
		case b:
			return -1
		}
		return cmp.Or(cmp.Compare(x.expectedWait, y.expectedWait), cmp.Compare(x.queued, y.queued), cmp.Compare(a, b))
	})
	state := r.leader(best)
	state.queued++ // estimate until its next response
	state.expectedWait += state.expectedWait / time.Duration(state.queued)
	r.mutex.Unlock()
	query.Groups = r.groups(func(leader api.NodeID) bool { return leader == best }, false)
	ticket, ok := r.pool.Assign(query)
	if !ok {
		query.Groups = nil
		ticket, ok = r.pool.Assign(query)
	}
	return ticket, wait, ok
}

func (r *reservations) backingOff(id api.NodeID) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return time.Now().Before(r.leader(id).backoffUntil)
}

// requestSlot asks a leader to reserve a slot, and updates what is known of the leader.
func (r *reservations) requestSlot(ctx context.Context, peer api.Node, ticket *backend.Assignment, query worker.Query, entry waitorder.Request, ask reservation.Request) (reservation.Response, error) {
	wait := ask.Wait
	ask.Service, ask.Worker, ask.Parts, ask.Tokens, ask.Excluded = query.Service, ticket.Worker.ID, query.Parts, query.Tokens, query.Excluded
	ask.Version, ask.HasVersion = query.Version, query.HasVersion
	ask.Zone, ask.Rank, ask.TimeToTarget, ask.TimeToDeadline = r.zone, entry.Rank, time.Until(entry.Target), time.Until(entry.Deadline)
	if !entry.Promised.IsZero() {
		due := time.Until(entry.Promised)
		ask.Promise = &due
	}
	ctx, cancel := context.WithTimeout(ctx, wait+reservationTimeout)
	defer cancel()
	answer, err := r.send(ctx, peer, &ask)
	r.pool.SetStablePaces(answer.Paces)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	state := r.leader(peer.ID)
	if err == nil {
		state.backoff = 0
	}
	switch {
	case err != nil && wait == 0:
		state.backoff = min(max(2*state.backoff, minLeaderBackoff), maxLeaderBackoff)
		state.backoffUntil = time.Now().Add(state.backoff)
		r.metrics.reservations.WithLabelValues("silent").Inc()
		r.log.WithFields(logrus.Fields{"event": "leader_silent", "peer": peer.ID, "wait_ms": wait.Milliseconds()}).WithError(err).
			Info("A leader did not answer a reservation request; workers are chosen without reservations.")
	case err != nil:
		r.metrics.reservations.WithLabelValues("silent").Inc()
	case answer.Worker != "":
		state.queued, state.expectedWait = 0, 0
		r.metrics.reservations.WithLabelValues("given").Inc()
	case answer.Full || answer.NoSlotInTime && wait == 0:
		state.fullUntil, state.queued, state.expectedWait = time.Now().Add(fullTTL), answer.Waiting, answer.ExpectedWait
		r.metrics.reservations.WithLabelValues("full").Inc()
	case answer.NoSlotInTime:
		state.fullUntil, state.queued, state.expectedWait = time.Now().Add(fullTTL), answer.Waiting, answer.ExpectedWait
		r.metrics.reservations.WithLabelValues("hopeless").Inc()
	case answer.WarmingUp:
		r.metrics.reservations.WithLabelValues("blind").Inc()
	}
	return answer, err
}

// send sends a report to a leader, with a reservation request if ask is not nil.
func (r *reservations) send(ctx context.Context, peer api.Node, ask *reservation.Request) (answer reservation.Response, err error) {
	message := reservation.Message{Report: r.buildReport(peer), Request: ask}
	err = transport.Call(ctx, r.client, "ask for a place", peer.Address, reservation.Path, message, &answer)
	return answer, err
}

// acceptGrant uses a slot that a leader has reserved. If the granted worker is unknown
// here or not usable, the frontend's own choice is kept.
func (r *reservations) acceptGrant(peer api.Node, ticket *backend.Assignment, query worker.Query, answer reservation.Response) *backend.Assignment {
	if answer.Worker != ticket.Worker.ID {
		query.WorkerID = answer.Worker
		if other, ok := r.pool.Assign(query); ok {
			ticket.End()
			ticket = other
		}
	}
	r.mutex.Lock()
	state := r.leader(peer.ID)
	state.lastGrant = max(state.lastGrant, answer.Grant)
	r.inFlight[ticket.Worker.Incarnation()]++ // under the same lock as lastGrant, so that reports include both or neither
	r.mutex.Unlock()
	return r.releaseOnEnd(ticket)
}

// trackUnreserved counts a request that is sent without a reservation as in flight
// until it ends.
func (r *reservations) trackUnreserved(ticket *backend.Assignment) *backend.Assignment {
	r.mutex.Lock()
	r.inFlight[ticket.Worker.Incarnation()]++
	r.mutex.Unlock()
	return r.releaseOnEnd(ticket)
}

func (r *reservations) releaseOnEnd(ticket *backend.Assignment) *backend.Assignment {
	w := ticket.Worker.Incarnation()
	ticket.OnEnd(func() { r.requestEnded(w) })
	return ticket
}
