package frontend

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/hold"
	"github.com/dykewing/dykewing/internal/backend"
	"github.com/dykewing/dykewing/worker"
)

const (
	// holdTick is how often places are looked for while requests wait.
	holdTick = 10 * time.Millisecond
	// beginMargin of the time within which the first event is due is kept for the
	// way and the prompt.
	beginMargin = 100 * time.Millisecond
	// answerShare of what is left when a request arrives is kept for its answer.
	answerShare = 0.4
	// inTimeOver is how many requests that can be in time may wait at a full worker:
	// one, so that the next slot is taken at once.
	inTimeOver = 1
	// triesATick is how many waiting requests are tried for one that fits.
	triesATick = 4
)

// holding keeps requests for which no worker has a slot, by service.
type holding struct {
	frontend *Frontend
	kicked   chan struct{}

	mutex   sync.Mutex // guards all below
	waiting map[string][]*held
}

// held is one request that waits.
type held struct {
	hold.Request
	query worker.Query
	since time.Time
	place chan *backend.Ticket // holds one; closed when none will come
}

func newHolding(f *Frontend) *holding {
	return &holding{frontend: f, kicked: make(chan struct{}, 1), waiting: map[string][]*held{}}
}

// counts is how many wait, by service.
func (h *holding) counts() map[string]int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	counts := map[string]int{}
	for service, list := range h.waiting {
		if len(list) > 0 {
			counts[service] = len(list)
		}
	}
	return counts
}

// take gives a place at a worker, at once or as soon as there is one for a request
// of this order. False when there is no worker, or ctx has ended.
func (h *holding) take(ctx context.Context, query worker.Query, request hold.Request) (*backend.Ticket, bool) {
	query.Bounded = true
	h.mutex.Lock()
	if len(h.waiting[query.Service]) == 0 {
		ticket, ok := h.place(time.Now(), query, request)
		if ok || !h.frontend.pool.AllFull(query) {
			h.mutex.Unlock()
			return ticket, ok
		}
	}
	waits := &held{Request: request, query: query, since: time.Now(), place: make(chan *backend.Ticket, 1)}
	h.waiting[query.Service] = append(h.waiting[query.Service], waits)
	h.mutex.Unlock()
	h.frontend.sharing.soon()
	select {
	case ticket := <-waits.place:
		return ticket, ticket != nil
	case <-ctx.Done():
		return h.leave(waits), false
	}
}

// place tries for a worker now.
func (h *holding) place(now time.Time, query worker.Query, request hold.Request) (*backend.Ticket, bool) {
	switch request.Class(now) {
	case hold.InTime:
		query.Over = inTimeOver
	case hold.Expiring:
		query.Bounded = false // it is offered to a worker, whatever waits there
	}
	return h.frontend.pool.Take(query)
}

// leave takes a request out whose time has ended; a place that came meanwhile is
// given back.
func (h *holding) leave(waits *held) *backend.Ticket {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	service := waits.query.Service
	h.waiting[service] = slices.DeleteFunc(h.waiting[service], func(other *held) bool { return other == waits })
	select {
	case ticket := <-waits.place:
		if ticket != nil {
			ticket.End()
		}
	default:
	}
	return nil
}

// kick lets places be looked for at once.
func (h *holding) kick() {
	select {
	case h.kicked <- struct{}{}:
	default:
	}
}

// run gives places to those that wait until ctx ends.
func (h *holding) run(ctx context.Context) {
	ticker := time.NewTicker(holdTick)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-h.kicked:
		case <-ctx.Done():
			return
		}
		h.placeAll()
	}
}

func (h *holding) placeAll() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := time.Now()
	for service, list := range h.waiting {
		if len(list) == 0 {
			continue
		}
		slices.SortStableFunc(list, func(a, b *held) int { return hold.Compare(now, a.Request, b.Request) })
		h.waiting[service] = h.placeList(now, list)
	}
}

// placeList places requests in their order and gives those that go on waiting.
func (h *holding) placeList(now time.Time, list []*held) []*held {
	kept := list[:0]
	failed := 0
	for _, each := range list {
		if failed == triesATick {
			kept = append(kept, each)
			continue
		}
		ticket, ok := h.place(now, each.query, each.Request)
		if !ok && h.frontend.pool.AllFull(each.query) {
			failed++
			kept = append(kept, each)
			continue
		}
		each.place <- ticket
	}
	clear(list[len(kept):])
	return kept
}

// order tells how the request stands among others that wait.
func (x *exchange) order() hold.Request {
	left := x.left()
	last := x.arrived.Add(left - time.Duration(answerShare*float64(left)))
	order := hold.Request{Rank: hold.Rank{Tenant: x.identity.tenant.Priority, Route: x.route.Priority}, Begin: last, Last: last}
	if x.route.Target > 0 {
		order.Begin = x.arrived.Add(x.route.Target - x.waited() - beginMargin)
	}
	return order
}

// waited is how long the caller has waited before this attempt, by what is left of
// the time that callers of the route have at first.
func (x *exchange) waited() time.Duration {
	if x.request.Left <= 0 {
		return 0
	}
	return max(x.frontend.patience.first(x.route.Name, x.request.Left)-x.request.Left, 0)
}

// noteHeld logs a request that has waited here.
func (x *exchange) noteHeld(since time.Time, ok bool) {
	waited := time.Since(since)
	if waited < holdTick {
		return
	}
	x.frontend.metrics.held.Observe(waited.Seconds())
	x.note("request_held", nil).WithFields(logrus.Fields{"held_ms": waited.Milliseconds(), "placed": ok}).Info("A request waited for a free slot.")
}

// patience is the longest time that callers of each route have said they wait: an
// attempt with less is a later one.
type patience struct {
	mutex  sync.Mutex
	routes map[string]time.Duration
}

func (p *patience) first(route string, left time.Duration) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.routes == nil {
		p.routes = map[string]time.Duration{}
	}
	p.routes[route] = max(p.routes[route], left)
	return p.routes[route]
}
