package guard

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/clock"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/placement"
	"github.com/dykewing/dykewing/quarantine"
)

// trialState is what is known of the next trial run of a quarantined request.
type trialState struct {
	until time.Time // the owner is not asked before
	trial time.Time // expected time of the next trial
}

// grant is what the owner granted to this process.
type grant struct {
	expiresAt time.Time // end of the owner's lease
	runs      int       // trial runs that have not been taken
}

const (
	// minTrialInterval and maxTrialInterval bound the time between two trial requests for one
	// quarantined request. The maximum limits how late a release elsewhere is noticed.
	minTrialInterval = 500 * time.Millisecond
	maxTrialInterval = 10 * time.Second
	// trialTimeout bounds how long a caller waits for the owner.
	trialTimeout = 100 * time.Millisecond
)

// RequestTrial takes a trial run of a quarantined request, after asking the owner for one if none
// is granted to this process. If it is not granted, wait is the time after which the caller should
// try again. It waits for at most 100 ms.
func (g *Guard) RequestTrial(ctx context.Context, request quarantine.Digest) (granted bool, wait time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	if wait = g.askForTrial(ctx, TrialRequest{From: g.self, Digest: request}); wait > 0 {
		return false, wait
	}
	if !g.takeGrant(request) {
		return false, minTrialInterval
	}
	return true, 0
}

// DeferredTrialPossible reports whether TakeDeferredTrial would take a trial run of a quarantined request,
// or ask for one.
func (g *Guard) DeferredTrialPossible(request quarantine.Digest) bool {
	now := clock.Now()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.granted(now, request) || !now.Before(g.trials[request].until)
}

// TakeDeferredTrial takes a trial run of a deferred request that is granted to this process, and reports
// whether there is one. The caller runs a request once, or returns the trial. Otherwise it asks the
// owner in the background, without blocking; the callback in the settings is called once a run is
// granted. Callers that could not run the request should not call it: the grant ends after
// quarantine.TrialLease.
func (g *Guard) TakeDeferredTrial(request quarantine.Digest) bool {
	if g.takeGrant(request) {
		return true
	}
	if !g.DeferredTrialPossible(request) {
		return false
	}
	go func() {
		if g.askForTrial(g.ctx, TrialRequest{From: g.self, Digest: request, Deferred: true}) == 0 && g.onTrialGranted != nil {
			g.onTrialGranted()
		}
	}()
	return false
}

// granted reports whether a trial run is granted and not taken. The mutex must be held.
func (g *Guard) granted(now time.Time, request quarantine.Digest) bool {
	held, ok := g.grants[request]
	return ok && held.runs > 0 && now.Before(held.expiresAt)
}

// takeGrant takes a trial run if one is granted.
func (g *Guard) takeGrant(request quarantine.Digest) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !g.granted(clock.Now(), request) {
		return false
	}
	held := g.grants[request]
	g.grants[request] = grant{expiresAt: held.expiresAt, runs: held.runs - 1}
	return true
}

// ReturnTrial returns a trial run that was taken and has no outcome, for another run of this
// process within the owner's lease.
func (g *Guard) ReturnTrial(request quarantine.Digest) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if held, ok := g.grants[request]; ok {
		g.grants[request] = grant{expiresAt: held.expiresAt, runs: held.runs + 1}
	}
}

// askForTrial asks the owner for a trial run unless one is granted to this process. It returns 0 if one
// is granted, or the time after which to ask again.
func (g *Guard) askForTrial(ctx context.Context, ask TrialRequest) (wait time.Duration) {
	now, request := clock.Now(), ask.Digest
	g.mutex.Lock()
	known, granted := g.trials[request], g.granted(now, request)
	if !granted && !now.Before(known.until) {
		g.trials[request] = trialState{until: now.Add(minTrialInterval), trial: now.Add(minTrialInterval)}
	}
	g.mutex.Unlock()
	switch {
	case granted:
		return 0
	case now.Before(known.until):
		return max(known.trial.Sub(now), minTrialInterval)
	}
	trial, err := g.sendTrialRequest(ctx, ask)
	if err != nil {
		g.log.WithFields(logrus.Fields{"event": "quarantine_owner_silent", "digest": request}).WithError(err).Warn("No store answered a request for a trial run.")
		return minTrialInterval
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if trial.Granted {
		g.grants[request] = grant{expiresAt: now.Add(quarantine.TrialLease), runs: max(trial.Runs, 1)}
		return 0
	}
	wait = max(time.Duration(trial.WaitMs)*time.Millisecond, minTrialInterval)
	g.trials[request] = trialState{until: now.Add(min(wait, maxTrialInterval)), trial: now.Add(wait)}
	return wait
}

// sendTrialRequest asks the owner, or the next stores in placement order while one does not answer.
func (g *Guard) sendTrialRequest(ctx context.Context, request TrialRequest) (TrialResponse, error) {
	owners := placement.RankStores(ownerKey, g.owners())
	if len(owners) == 0 {
		return TrialResponse{}, api.NewError("ask for a trial", "", api.CodeKeyValueUnavailable, api.OutcomeNotRun, "no store is known")
	}
	var failures error
	for _, owner := range owners[:min(len(owners), maxOwnersTried)] {
		trial, err := g.sendTrialRequestTo(ctx, owner, request)
		if err == nil || ctx.Err() != nil {
			return trial, err
		}
		failures = errors.Join(failures, err)
	}
	return TrialResponse{}, failures
}

func (g *Guard) sendTrialRequestTo(ctx context.Context, owner api.Node, request TrialRequest) (trial TrialResponse, err error) {
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	err = transport.Call(ctx, g.client, "ask for a trial", owner.Address, PathTrials, request, &trial)
	return trial, err
}
