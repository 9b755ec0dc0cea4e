package store

import (
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/dispatch"
	"github.com/dykewing/dykewing/jobs"
)

// startLeading starts the dispatcher and the inline runner if this replica is leader and has
// applied all that earlier leaders committed; the mutex is held.
func (g *group) startLeading(at position) {
	if g.leading != nil || !g.role.Leading || at.Term != g.role.Term {
		return
	}
	settings := jobs.DefaultDispatcherSettings()
	settings.Term, settings.GrantLifetime, settings.Retention = g.role.Term, g.settings.GrantLifetime, g.settings.Retention
	leading, err := dispatch.Start(g.jobs, settings, g.propose, g.log)
	if err != nil {
		g.log.WithError(err).Error("Starting the dispatcher failed; this leader does not serve.")
		return
	}
	if g.inline != nil {
		if g.inlineRunner, err = g.inline(g.id, g.jobs, g.propose); err != nil {
			g.log.WithError(err).Error("Starting the inline runner failed; this leader does not serve.")
			leading.Stop()
			return
		}
	}
	g.leading, g.leaderSince = leading, time.Now()
	if g.services != nil {
		leading.SetServices(g.services)
	}
	g.log.WithField("term", g.role.Term).Info("This replica now leads the group.")
	g.onLeading()
	go g.renewLeaseInBackground() // so that the lease has started when it is first needed
}

// stopLeading stops the dispatcher and the inline runner; the mutex is held.
func (g *group) stopLeading() {
	if g.leading != nil {
		g.leading.Stop()
		g.leading = nil
	}
	if g.inlineRunner != nil {
		g.inlineRunner.Stop()
		g.inlineRunner = nil
	}
}

// setServices sets the services that the dispatcher serves.
func (g *group) setServices(services []api.ServiceName) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.services = services
	if g.leading != nil {
		g.leading.SetServices(services)
	}
}

// leadership returns the dispatcher if this replica leads. Claims need no quorum round: a
// grant of a deposed leader may repeat work but can't commit a second result.
func (g *group) leadership(step string) (*dispatch.Leadership, *api.Error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.leading == nil {
		return nil, g.notLeader(step, api.OutcomeNotRun)
	}
	return g.leading, nil
}
