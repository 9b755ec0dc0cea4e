package sidecar

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/routing"
)

// avoidTime is how long a home that refused a connection is left out, unless
// no other is left. Membership needs seconds to find a dead node; without this
// a rack that dies would cost more retries than their budget has.
const avoidTime = time.Second

// leaveTime is how long a home that said that it stops is left out: far over the heartbeats
// until the view shows its mark, and less than a planned stop may take.
const leaveTime = 10 * time.Second

// avoidance remembers the homes that refused connections or stop. It is a
// routing.Filter and safe for concurrent use.
type avoidance struct {
	any   atomic.Bool // some home was ever avoided
	homes sync.Map    // endpoint name to the time.Time at which it ends
}

// Name is the stage's name in logs.
func (a *avoidance) Name() string { return "not-refusing" }

// Keep is false for homes that refused a connection just now.
func (a *avoidance) Keep(_ *routing.Request, endpoint *routing.Endpoint) bool {
	if !a.any.Load() {
		return true
	}
	until, ok := a.homes.Load(endpoint.Name)
	return !ok || !time.Now().Before(until.(time.Time))
}

// note takes a failed send: one that certainly never connected says that the
// home's process is gone.
func (a *avoidance) note(home string, failure *api.Error) {
	if failure.Code != api.CodeUpstream || failure.Outcome != api.OutcomeNotRun {
		return
	}
	a.homes.Store(home, time.Now().Add(avoidTime))
	a.any.Store(true)
}

// leaves takes the word of a home that it stops. It may come before the view's.
func (a *avoidance) leaves(home string) {
	a.homes.Store(home, time.Now().Add(leaveTime))
	a.any.Store(true)
}

// forget drops homes that are no longer in the view.
func (a *avoidance) forget(nodes []api.Node) {
	if !a.any.Load() {
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
