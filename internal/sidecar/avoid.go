package sidecar

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/routing"
)

// refusedBackoff is how long a home that refused a connection is avoided, unless no other is
// available. Without it, the failure of many routers at once would exhaust the retry
// budget before membership detects it.
const refusedBackoff = time.Second

// leavingBackoff is how long a home that announced its stop is avoided. It is much longer
// than the view takes to show the node as leaving, and shorter than a graceful stop.
const leavingBackoff = 10 * time.Second

// unavailableHomes is a routing.Filter that excludes homes that refused connections or are
// stopping. It is safe for concurrent use.
type unavailableHomes struct {
	used  atomic.Bool // whether homes ever had an entry
	homes sync.Map    // endpoint name to the time.Time at which its exclusion ends
}

// Name returns the filter's name in logs.
func (a *unavailableHomes) Name() string { return "not-refusing" }

// Keep reports whether the endpoint is not excluded.
func (a *unavailableHomes) Keep(_ *routing.Request, endpoint *routing.Endpoint) bool {
	if !a.used.Load() {
		return true
	}
	until, ok := a.homes.Load(endpoint.Name)
	return !ok || !time.Now().Before(until.(time.Time))
}

// recordFailure excludes a home if the failure shows that no connection could be made.
func (a *unavailableHomes) recordFailure(home string, failure *api.Error) {
	if failure.Code != api.CodeUpstream || failure.Outcome != api.OutcomeNotRun {
		return
	}
	a.homes.Store(home, time.Now().Add(refusedBackoff))
	a.used.Store(true)
}

// recordLeaving excludes a home that announced its stop, possibly before the view shows it.
func (a *unavailableHomes) recordLeaving(home string) {
	a.homes.Store(home, time.Now().Add(leavingBackoff))
	a.used.Store(true)
}

// prune removes homes that are no longer in the view.
func (a *unavailableHomes) prune(nodes []api.Node) {
	if !a.used.Load() {
		return
	}
	known := map[string]bool{}
	for _, node := range nodes {
		known[string(node.ID)] = true
	}
	a.homes.Range(func(name, _ any) bool {
		if !known[name.(string)] {
			a.homes.Delete(name)
		}
		return true
	})
}
