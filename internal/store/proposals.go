package store

import (
	"context"
	"errors"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/jobs"
	"github.com/dykewing/dykewing/replication"
)

const (
	maximumProposals = 8192 // of one group at once; more are refused
	busyRetryAfter   = time.Second
)

// answer is what a proposal ends with.
type answer struct {
	result  jobs.Result
	failure *api.Error
}

type proposal struct {
	term   uint64
	answer chan answer
}

// propose commits a command and gives its result. A failure with the outcome
// unknown may have been committed; commands are made to be sent again.
func (g *group) propose(ctx context.Context, command jobs.Command) (jobs.Result, *api.Error) {
	const step = "commit command"
	command.Time = time.Now().UTC()
	data, err := writeCommand(command, g.mayPack())
	if err != nil {
		return jobs.Result{}, api.NewError(step, "", api.CodeInternal, api.OutcomeNotRun, "%w", err)
	}
	g.metrics.commandBytes.Add(float64(len(data)))
	if observe := g.database.hooks.proposed; observe != nil {
		observe(data)
	}
	token, answers, failure := g.enter(step)
	if failure != nil {
		return jobs.Result{}, failure
	}
	g.shell.Tell(replication.Propose{Token: token, Data: data})
	return await(ctx, step, answers)
}

// changeMembers commits a change of one replica.
func (g *group) changeMembers(ctx context.Context, members replication.Members) *api.Error {
	const step = "change members"
	token, answers, failure := g.enter(step)
	if failure != nil {
		return failure
	}
	g.shell.Tell(replication.ProposeMembers{Token: token, Members: members})
	_, failure = await(ctx, step, answers)
	return failure
}

func await(ctx context.Context, step string, answers chan answer) (jobs.Result, *api.Error) {
	select {
	case ended := <-answers:
		return ended.result, ended.failure
	case <-ctx.Done():
		return jobs.Result{}, api.NewError(step, "", api.CodeNoQuorum, api.OutcomeUnknown, "%w", ctx.Err())
	}
}

// enter refuses what can't be committed now and gives the rest a token.
func (g *group) enter(step string) (uint64, chan answer, *api.Error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.leading == nil || g.draining || g.halted.Load() {
		return 0, nil, g.notLeader(step, api.OutcomeNotRun)
	}
	if len(g.proposals)+len(g.waiting) >= maximumProposals {
		failure := api.NewError(step, "", api.CodeNoCapacity, api.OutcomeNotRun, "group %d has %d commands waiting", g.id, maximumProposals)
		failure.RetryAfter = busyRetryAfter
		return 0, nil, failure
	}
	g.token++
	answers := make(chan answer, 1)
	g.proposals[g.token] = answers
	return g.token, answers, nil
}

// proposed tells where a command stands in the log; called by the actor.
func (g *group) proposed(told replication.Proposed) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	answers, ok := g.proposals[told.Token]
	delete(g.proposals, told.Token)
	switch {
	case !ok:
	case told.Err != nil:
		answers <- answer{failure: g.refused(told.Err)}
	default:
		g.waiting[told.Index] = proposal{term: told.Term, answer: answers}
	}
}

// refused is the answer to what the machine did not put in the log; the mutex
// is held.
func (g *group) refused(cause error) *api.Error {
	const step = "commit command"
	switch {
	case errors.Is(cause, replication.ErrNotLeader), errors.Is(cause, replication.ErrTransferring), errors.Is(cause, replication.ErrHalted):
		return g.notLeader(step, api.OutcomeNotRun)
	case errors.Is(cause, replication.ErrOverloaded):
		failure := api.NewError(step, "", api.CodeNoCapacity, api.OutcomeNotRun, "%w", cause)
		failure.RetryAfter = busyRetryAfter
		return failure
	}
	return api.NewError(step, "", api.CodeConflict, api.OutcomeNotRun, "%w", cause)
}

// resolve answers the proposal that stood at an applied entry's index; the
// mutex is held.
func (g *group) resolve(entry replication.Entry, result jobs.Result) {
	waiting, ok := g.waiting[entry.Index]
	if !ok {
		return
	}
	delete(g.waiting, entry.Index)
	if waiting.term != entry.Term {
		// Another leader's entry took the place: this one is not in the log.
		waiting.answer <- answer{failure: g.notLeader("commit command", api.OutcomeNotRun)}
		return
	}
	waiting.answer <- answer{result: result}
}

// failProposals ends all that wait, at once; the mutex is held.
func (g *group) failProposals(failure *api.Error) {
	for _, answers := range g.proposals {
		answers <- answer{failure: failure}
	}
	for _, waiting := range g.waiting {
		waiting.answer <- answer{failure: failure}
	}
	clear(g.proposals)
	clear(g.waiting)
}
