package store

import (
	"context"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/replication"
)

// appliedPollInterval is the pause while confirmed entries are being applied.
const appliedPollInterval = 2 * time.Millisecond

// confirm returns once a round with a quorum that began after the call has
// shown that this replica leads, and all committed before is applied.
func (g *group) confirm(ctx context.Context) *api.Error {
	const step = "confirm leadership"
	answer := make(chan replication.Confirmed, 1)
	g.mutex.Lock()
	g.token++
	token := g.token
	g.confirms[token] = answer
	g.mutex.Unlock()
	g.shell.Tell(replication.Confirm{Token: token})
	select {
	case told := <-answer:
		if told.Err != nil {
			return api.NewError(step, "", api.CodeNotLeader, api.OutcomeNotRun, "%w", told.Err)
		}
		return g.awaitApplied(ctx, told.Index)
	case <-ctx.Done():
		g.mutex.Lock()
		delete(g.confirms, token)
		g.mutex.Unlock()
		return api.NewError(step, "", api.CodeNoQuorum, api.OutcomeNotRun, "%w", ctx.Err())
	}
}

func (g *group) awaitApplied(ctx context.Context, index uint64) *api.Error {
	const step = "apply log"
	for {
		applied, err := g.state.Applied()
		if err != nil {
			return api.NewError(step, "", api.CodeInternal, api.OutcomeNotRun, "%w", err)
		}
		if applied >= index {
			return nil
		}
		select {
		case <-time.After(appliedPollInterval):
		case <-ctx.Done():
			return api.NewError(step, "", api.CodeNoQuorum, api.OutcomeNotRun, "%w", ctx.Err())
		}
	}
}

func (g *group) confirmed(told replication.Confirmed) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if answer, ok := g.confirms[told.Token]; ok {
		delete(g.confirms, told.Token)
		answer <- told
	}
}

// ledTerm is the term in which this replica leads; false when it does not.
func (g *group) ledTerm() (uint64, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.term, g.leading != nil
}

// holders are the routers registered in the applied state.
func (g *group) holders() ([]api.NodeID, error) { return g.state.Holders() }
