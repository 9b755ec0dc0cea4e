package store

import (
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/dispatch"
	"github.com/dykewing/dykewing/jobs"
)

// lead begins to serve as leader when all that earlier leaders committed is
// applied; the mutex is held.
func (g *group) lead(at position) {
	if g.leading != nil || !g.role.Leading || at.Term != g.role.Term {
		return
	}
	settings := jobs.DefaultDispatcherSettings()
	settings.Term, settings.Lifetime, settings.Retention = g.role.Term, g.settings.GrantLifetime, g.settings.Retention
	leading, err := dispatch.Start(g.jobs, settings, g.propose, g.log)
	if err != nil {
		g.log.WithError(err).Error("The waiting items could not be read; this replica does not serve.")
		return
	}
	if g.inline != nil {
		if g.inlineRun, err = g.inline(g.id, g.jobs, g.propose); err != nil {
			g.log.WithError(err).Error("The open batch jobs could not be read; this replica does not serve.")
			leading.Stop()
			return
		}
	}
	g.leading, g.ledSince = leading, time.Now()
	if g.services != nil {
		leading.SetServices(g.services)
	}
	g.log.WithField("term", g.role.Term).Info("This replica leads the group.")
	g.led()
}

// endLeading ends what only a leader does; the mutex is held.
func (g *group) endLeading() {
	if g.leading != nil {
		g.leading.Stop()
		g.leading = nil
	}
	if g.inlineRun != nil {
		g.inlineRun.Stop()
		g.inlineRun = nil
	}
}

// setServices tells the dispatcher which services the table has.
func (g *group) setServices(services []api.ServiceName) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.services = services
	if g.leading != nil {
		g.leading.SetServices(services)
	}
}

// leadership gives the dispatcher while this replica leads. Its grants need no
// round of confirmation: one of a leader that is none any more costs repeated
// work and never a second result.
func (g *group) leadership(step string) (*dispatch.Leadership, *api.Error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.leading == nil {
		return nil, g.notLeader(step, api.OutcomeNotRun)
	}
	return g.leading, nil
}
