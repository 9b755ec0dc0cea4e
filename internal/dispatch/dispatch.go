// Package dispatch runs a group's dispatcher in the process that leads the group. Claims of
// routers wait in it for items, and commands that it needs committed are proposed.
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

// ProposeFunc commits a command and returns its result.
type ProposeFunc func(ctx context.Context, command jobs.Command) (jobs.Result, *api.Error)

// Leadership runs the dispatcher of a replica while that leads its group. Its methods are safe for
// concurrent use. Only Settle waits for Propose.
type Leadership struct {
	propose ProposeFunc
	log     *logrus.Entry
	ctx     context.Context // cancelled by Stop
	cancel  context.CancelFunc
	running sync.WaitGroup

	mutex      sync.Mutex // guards the fields below
	dispatcher *jobs.Dispatcher
	token      uint64
	claims     map[uint64]chan jobs.Grant // waiting claims, by token
	notices    map[uint64]jobs.Notice     // by token
	stateErr   error                      // set once the applied state could not be read
}

// Start starts dispatching the state's waiting items and returns an error if the state cannot be
// read. The state must have applied all commands of earlier leaders.
func Start(state *jobs.State, settings jobs.DispatcherSettings, propose ProposeFunc, log *logrus.Entry) (*Leadership, error) {
	dispatcher, err := jobs.NewDispatcher(state, settings, time.Now())
	if err != nil {
		return nil, err
	}
	l := &Leadership{
		propose: propose, log: log, dispatcher: dispatcher,
		claims: map[uint64]chan jobs.Grant{}, notices: map[uint64]jobs.Notice{},
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.running.Go(l.tickLoop)
	return l, nil
}

// Stop ends waiting claims and cancels proposals, without waiting for them to return.
func (l *Leadership) Stop() { l.cancel() }

func (l *Leadership) tickLoop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			l.step(jobs.DispatcherTick{})
		case <-l.ctx.Done():
			return
		}
	}
}

func (l *Leadership) step(message jobs.DispatcherMessage) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.stepLocked(message)
}

func (l *Leadership) stepLocked(message jobs.DispatcherMessage) {
	for _, action := range l.dispatcher.Step(time.Now(), message) {
		switch action := action.(type) {
		case jobs.AnswerClaim:
			if granted, ok := l.claims[action.Token]; ok {
				delete(l.claims, action.Token)
				granted <- action.Grant
			}
		case jobs.AnswerNotice:
			l.notices[action.Token] = action.Notice
		case jobs.ProposeCommand:
			l.running.Go(func() { l.commit(action.Command) })
		case jobs.DispatcherFailed:
			if l.stateErr == nil {
				l.log.WithError(action.Err).Error("Reading the applied state failed; no more items are dispatched.")
			}
			l.stateErr = action.Err
		}
	}
}

func (l *Leadership) commit(command jobs.Command) {
	ctx, cancel := context.WithTimeout(l.ctx, proposeTimeout)
	defer cancel()
	if _, failure := l.propose(ctx, command); failure != nil && l.ctx.Err() == nil {
		l.log.WithError(failure).Debug("A command of the dispatcher was not committed; it will be proposed again.")
	}
}

// Applied processes a committed command and its result. It must be called in commit order.
func (l *Leadership) Applied(command jobs.Command, result jobs.Result) {
	l.step(jobs.CommandApplied{Command: command, Result: result})
}

// SetServices sets the services of the current routing table.
func (l *Leadership) SetServices(services []api.ServiceName) {
	l.step(jobs.KnownServices{Services: services})
}

// Backlog returns the number of waiting items by service.
func (l *Leadership) Backlog() []api.ServiceBacklog {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.dispatcher.Backlog()
}

// Claim waits for items, up to the time given in the claim. It fails with api.CodeNotLeader once
// Stop is called, api.CodeClientCancelled if ctx ends, and api.CodeInternal if the applied state
// could not be read.
func (l *Leadership) Claim(ctx context.Context, claim jobs.ClaimItems) (jobs.Grant, *api.Error) {
	const step = "claim items"
	granted := make(chan jobs.Grant, 1)
	l.mutex.Lock()
	if l.stateErr != nil {
		l.mutex.Unlock()
		return jobs.Grant{}, api.NewError(step, "", api.CodeInternal, api.OutcomeNotRun, "%w", l.stateErr)
	}
	l.token++
	token := l.token
	l.claims[token] = granted
	l.stepLocked(jobs.ClaimArrived{Token: token, Claim: claim})
	l.mutex.Unlock()
	select {
	case grant := <-granted:
		return grant, nil
	case <-l.ctx.Done():
		return jobs.Grant{}, api.NewError(step, "", api.CodeNotLeader, api.OutcomeNotRun, "this replica no longer leads")
	case <-ctx.Done():
		l.cancelClaim(token)
		return jobs.Grant{}, api.NewError(step, "", api.CodeClientCancelled, api.OutcomeNotRun, "%w", ctx.Err())
	}
}

func (l *Leadership) cancelClaim(token uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.claims, token)
	l.stepLocked(jobs.ClaimWithdrawn{Token: token})
}

// Settle commits a router's results, then returns its unfinished items to the queue. If the commit
// fails, it returns the error and leaves the items granted.
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
	return l.stepForNotice(func(token uint64) jobs.DispatcherMessage {
		return jobs.ItemsReturned{Token: token, Router: settle.Router, Returned: settle.Returned}
	}), nil
}

// Renew extends a router's grants.
func (l *Leadership) Renew(renew jobs.Renew) jobs.Notice {
	return l.stepForNotice(func(token uint64) jobs.DispatcherMessage { return jobs.RenewArrived{Token: token, Renew: renew} })
}

// stepForNotice processes a message that the dispatcher answers at once with a notice.
func (l *Leadership) stepForNotice(message func(token uint64) jobs.DispatcherMessage) jobs.Notice {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.token++
	token := l.token
	l.stepLocked(message(token))
	notice := l.notices[token]
	delete(l.notices, token)
	return notice
}
