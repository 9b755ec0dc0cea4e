package store

import (
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/config"
	"github.com/dykewing/dykewing/jobs"
)

// leadership is what a replica has only while it leads: the dispatcher of the
// group's waiting items. The group's mutex guards it.
type leadership struct {
	dispatcher *jobs.Dispatcher
}

func newLeadership(state *jobs.State, settings config.Store) *leadership {
	return &leadership{dispatcher: jobs.NewDispatcher(state, settings.GrantLifetime)}
}

// applied lets the dispatcher know of a command that took effect.
func (l *leadership) applied(command jobs.Command, result jobs.Result) {
	if command.Submit != nil && result.Job != nil {
		l.dispatcher.Add(result.Job.ID())
	}
}

// claim hands out waiting items. It needs no round of confirmation: a grant of a
// leader that is one no longer costs repeated work and never a second result.
func (g *group) claim(claim jobs.ClaimItems) (jobs.Grant, *api.Error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.leading == nil {
		return jobs.Grant{}, g.notLeader("claim items", api.OutcomeNotRun)
	}
	return g.leading.dispatcher.Claim(time.Now(), claim.Wants), nil
}

// settled ends grants whose items have a result or wait again.
func (g *group) settled(settle jobs.Settle) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.leading == nil {
		return
	}
	for _, returned := range settle.Returned {
		g.leading.dispatcher.Return(returned.Item)
	}
	for _, result := range settle.Results {
		g.leading.dispatcher.Settled(result.Item)
	}
}
