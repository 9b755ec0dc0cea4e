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
	maxProposals   = 8192 // pending per group; more are rejected
	busyRetryAfter = time.Second
)

// answer is the outcome of a proposal.
type answer struct {
	result  jobs.Result
	failure *api.Error
}

type proposal struct {
	term   uint64
	answer chan answer
}

// propose commits a command and returns its result. A command that failed with an unknown
// outcome may have been committed; commands are idempotent, so it can be retried.
func (g *group) propose(ctx context.Context, command jobs.Command) (jobs.Result, *api.Error) {
	const step = "commit command"
	command.Time = time.Now().UTC()
	data, err := encodeCommand(command, g.packingAllowed())
	if err != nil {
		return jobs.Result{}, api.NewError(step, "", api.CodeInternal, api.OutcomeNotRun, "%w", err)
	}
	g.metrics.commandBytes.Add(float64(len(data)))
	if observe := g.database.hooks.proposed; observe != nil {
		observe(data)
	}
	token, answers, failure := g.admitProposal(step)
	if failure != nil {
		return jobs.Result{}, failure
	}
	g.shell.Tell(replication.Propose{Token: token, Data: data})
	return await(ctx, step, answers)
}

// changeMembers commits a membership change of one replica.
func (g *group) changeMembers(ctx context.Context, members replication.Members) *api.Error {
	const step = "change members"
	token, answers, failure := g.admitProposal(step)
	if failure != nil {
		return failure
	}
	g.shell.Tell(replication.ProposeMembers{Token: token, Members: members})
	_, failure = await(ctx, step, answers)
	return failure
}

func await(ctx context.Context, step string, answers chan answer) (jobs.Result, *api.Error) {
	select {
	case outcome := <-answers:
		return outcome.result, outcome.failure
	case <-ctx.Done():
		return jobs.Result{}, api.NewError(step, "", api.CodeNoQuorum, api.OutcomeUnknown, "%w", ctx.Err())
	}
}

// admitProposal registers a proposal and returns its token, or an error if it can't be
// committed now.
func (g *group) admitProposal(step string) (uint64, chan answer, *api.Error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.leading == nil || g.draining || g.halted.Load() {
		return 0, nil, g.notLeader(step, api.OutcomeNotRun)
	}
	if len(g.proposals)+len(g.pending) >= maxProposals {
		failure := api.NewError(step, "", api.CodeNoCapacity, api.OutcomeNotRun, "group %d has %d commands waiting", g.id, maxProposals)
		failure.RetryAfter = busyRetryAfter
		return 0, nil, failure
	}
	g.lastToken++
	answers := make(chan answer, 1)
	g.proposals[g.lastToken] = answers
	return g.lastToken, answers, nil
}

// proposed records the log index of a proposal; called by the actor.
func (g *group) proposed(action replication.Proposed) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	answers, ok := g.proposals[action.Token]
	delete(g.proposals, action.Token)
	switch {
	case !ok:
	case action.Err != nil:
		answers <- answer{failure: g.rejectionError(action.Err)}
	default:
		g.pending[action.Index] = proposal{term: action.Term, answer: answers}
	}
}

// rejectionError returns the error of a proposal that was not appended to the log; the mutex
// is held.
func (g *group) rejectionError(cause error) *api.Error {
	const step = "commit command"
	switch {
	case errors.Is(cause, replication.ErrNotLeader), errors.Is(cause, replication.ErrTransferInProgress), errors.Is(cause, replication.ErrHalted):
		return g.notLeader(step, api.OutcomeNotRun)
	case errors.Is(cause, replication.ErrOverloaded):
		failure := api.NewError(step, "", api.CodeNoCapacity, api.OutcomeNotRun, "%w", cause)
		failure.RetryAfter = busyRetryAfter
		return failure
	}
	return api.NewError(step, "", api.CodeConflict, api.OutcomeNotRun, "%w", cause)
}

// resolve answers the proposal at an applied entry's index; the mutex is held.
func (g *group) resolve(entry replication.Entry, result jobs.Result) {
	waiting, ok := g.pending[entry.Index]
	if !ok {
		return
	}
	delete(g.pending, entry.Index)
	if waiting.term != entry.Term {
		// Overwritten by another leader's entry.
		waiting.answer <- answer{failure: g.notLeader("commit command", api.OutcomeNotRun)}
		return
	}
	waiting.answer <- answer{result: result}
}

// failProposals fails all pending proposals; the mutex is held.
func (g *group) failProposals(failure *api.Error) {
	for _, answers := range g.proposals {
		answers <- answer{failure: failure}
	}
	for _, waiting := range g.pending {
		waiting.answer <- answer{failure: failure}
	}
	clear(g.proposals)
	clear(g.pending)
}
