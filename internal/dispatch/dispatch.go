// Package dispatch runs a group's dispatcher in the process that leads the
// group: routers' claims wait in it, and what it wants committed is proposed.
package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/jobs"
)

const (
	tickInterval   = 50 * time.Millisecond
	proposeTimeout = 10 * time.Second
)

// Propose commits a command and gives its result.
type Propose func(ctx context.Context, command jobs.Command) (jobs.Result, *api.Error)

// Leadership is the dispatcher of a replica for as long as it leads. Its methods
// may be called from anywhere; none waits for Propose but Settle.
type Leadership struct {
	propose Propose
	log     *logrus.Entry
	ctx     context.Context // until Stop
	cancel  context.CancelFunc
	running sync.WaitGroup

	mutex      sync.Mutex // guards all below
	dispatcher *jobs.Dispatcher
	token      uint64
	claims     map[uint64]chan jobs.Grant
	notices    map[uint64]jobs.Notice
	failed     error
}

// Start begins to hand out the state's waiting items. The state must have
// applied all that earlier leaders committed.
func Start(state *jobs.State, settings jobs.DispatcherSettings, propose Propose, log *logrus.Entry) (*Leadership, error) {
	dispatcher, err := jobs.NewDispatcher(state, settings, time.Now())
	if err != nil {
		return nil, err
	}
	l := &Leadership{
		propose: propose, log: log, dispatcher: dispatcher,
		claims: map[uint64]chan jobs.Grant{}, notices: map[uint64]jobs.Notice{},
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.running.Go(l.tick)
	return l, nil
}

// Stop answers the claims that wait and ends the proposals; it does not wait
// for them.
func (l *Leadership) Stop() { l.cancel() }

func (l *Leadership) tick() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			l.step(jobs.DispatchTick{})
		case <-l.ctx.Done():
			return
		}
	}
}

func (l *Leadership) step(message jobs.DispatchMessage) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.stepLocked(message)
}

func (l *Leadership) stepLocked(message jobs.DispatchMessage) {
	for _, action := range l.dispatcher.Step(time.Now(), message) {
		switch action := action.(type) {
		case jobs.Granted:
			if waiting, ok := l.claims[action.Token]; ok {
				delete(l.claims, action.Token)
				waiting <- action.Grant
			}
		case jobs.Noticed:
			l.notices[action.Token] = action.Notice
		case jobs.ProposeCommand:
			l.running.Go(func() { l.commit(action.Command) })
		case jobs.DispatchFailed:
			if l.failed == nil {
				l.log.WithError(action.Err).Error("The applied state could not be read; no items are handed out.")
			}
			l.failed = action.Err
		}
	}
}

func (l *Leadership) commit(command jobs.Command) {
	ctx, cancel := context.WithTimeout(l.ctx, proposeTimeout)
	defer cancel()
	if _, failure := l.propose(ctx, command); failure != nil && l.ctx.Err() == nil {
		l.log.WithError(failure).Debug("The dispatcher's command was not committed; it will be proposed again.")
	}
}

// Applied tells of each command that took effect, in order.
func (l *Leadership) Applied(command jobs.Command, result jobs.Result) {
	l.step(jobs.Applied{Command: command, Result: result})
}

// SetServices tells which services the table in force has.
func (l *Leadership) SetServices(services []api.ServiceName) {
	l.step(jobs.KnownServices{Services: services})
}

// Backlog counts the waiting items by service.
func (l *Leadership) Backlog() []api.ServiceBacklog {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.dispatcher.Backlog()
}

// Claim waits for items, as long as the claim says.
func (l *Leadership) Claim(ctx context.Context, claim jobs.ClaimItems) (jobs.Grant, *api.Error) {
	const step = "claim items"
	waiting := make(chan jobs.Grant, 1)
	l.mutex.Lock()
	if l.failed != nil {
		l.mutex.Unlock()
		return jobs.Grant{}, api.NewError(step, "", api.CodeInternal, api.OutcomeNotRun, "%w", l.failed)
	}
	l.token++
	token := l.token
	l.claims[token] = waiting
	l.stepLocked(jobs.ClaimArrived{Token: token, Claim: claim})
	l.mutex.Unlock()
	select {
	case grant := <-waiting:
		return grant, nil
	case <-l.ctx.Done():
		return jobs.Grant{}, api.NewError(step, "", api.CodeNotLeader, api.OutcomeNotRun, "this replica no longer leads")
	case <-ctx.Done():
		l.forget(token)
		return jobs.Grant{}, api.NewError(step, "", api.CodeClientCancelled, api.OutcomeNotRun, "%w", ctx.Err())
	}
}

func (l *Leadership) forget(token uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.claims, token)
	l.stepLocked(jobs.ClaimGone{Token: token})
}

// Settle commits a router's results and takes its returned items back.
func (l *Leadership) Settle(ctx context.Context, settle jobs.Settle) (jobs.Notice, *api.Error) {
	if command, ok := settle.Command(); ok {
		result, failure := l.propose(ctx, command)
		if failure != nil {
			return jobs.Notice{}, failure
		}
		if result.Code != "" {
			return jobs.Notice{}, api.NewError("settle items", "", result.Code, api.OutcomeUnknown, "%s", result.Message)
		}
	}
	return l.notice(func(token uint64) jobs.DispatchMessage {
		return jobs.ItemsReturned{Token: token, Router: settle.Router, Returned: settle.Returned}
	}), nil
}

// Renew lengthens a router's grants.
func (l *Leadership) Renew(renew jobs.Renew) jobs.Notice {
	return l.notice(func(token uint64) jobs.DispatchMessage { return jobs.RenewArrived{Token: token, Renew: renew} })
}

// notice steps a message that is answered at once.
func (l *Leadership) notice(message func(token uint64) jobs.DispatchMessage) jobs.Notice {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.token++
	token := l.token
	l.stepLocked(message(token))
	notice := l.notices[token]
	delete(l.notices, token)
	return notice
}
