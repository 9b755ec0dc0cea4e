package frontend

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/hold"
)

const (
	// beginMargin of the time within which the first event is due is kept for the
	// way and the prompt.
	beginMargin = 100 * time.Millisecond
	// answerShare of what is left when a request arrives is kept for its answer.
	answerShare = 0.4
	// returnedFrom is how long a caller has waited, at least, who was turned away before:
	// less is the time that a connection takes.
	returnedFrom = 50 * time.Millisecond
	// heldFrom is the wait for a place from which it is worth a line.
	heldFrom = 10 * time.Millisecond
)

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
	left := x.request.Left
	if x.route.Timeout > 0 { // who waits longer than the route allows tells nothing of others
		left = min(left, x.route.Timeout)
	}
	return x.frontend.patience.first(x.route.Name, left) - left
}

// returned tells whether its caller was turned away before, as far as the time that it
// has left tells: each attempt has an id of its own.
func (x *exchange) returned() bool { return x.waited() >= returnedFrom }

// noteHeld logs a request that has waited here.
func (x *exchange) noteHeld(since time.Time, ok bool) {
	waited := time.Since(since)
	if waited < heldFrom {
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
