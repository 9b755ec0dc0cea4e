package store

import (
	"context"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/replication"
)

// readRounds batches reads into quorum rounds of replication.ConfirmLeadership: reads that arrive
// during a round wait for the next one.
type readRounds struct {
	token     uint64            // of the round in flight
	running   []chan *api.Error // of the round in flight
	next      []chan *api.Error
	confirmed []confirmedRead // wait until their index is applied
}

type confirmedRead struct {
	index   uint64
	waiters []chan *api.Error
}

// confirmLeadership returns nil once a read of the applied state is linearizable.
func (g *group) confirmLeadership(ctx context.Context) *api.Error {
	const step = "confirm leadership"
	done := make(chan *api.Error, 1)
	g.mutex.Lock()
	if g.leading == nil || g.halted.Load() {
		failure := g.notLeader(step, api.OutcomeNotRun)
		g.mutex.Unlock()
		return failure
	}
	g.reads.next = append(g.reads.next, done)
	g.startRound()
	g.mutex.Unlock()
	select {
	case failure := <-done:
		return failure
	case <-ctx.Done():
		return api.NewError(step, "", api.CodeNoQuorum, api.OutcomeNotRun, "%w", ctx.Err())
	}
}

// startRound begins a round if none is running and reads are waiting; the mutex is held.
func (g *group) startRound() {
	if len(g.reads.running) > 0 || len(g.reads.next) == 0 {
		return
	}
	g.reads.running, g.reads.next = g.reads.next, nil
	g.lastToken++
	g.reads.token = g.lastToken
	g.shell.Tell(replication.ConfirmLeadership{Token: g.lastToken})
}

// confirmed ends a round; called by the actor.
func (g *group) confirmed(action replication.LeadershipConfirmed) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if action.Token != g.reads.token {
		return // its readers were answered when the role changed
	}
	readers := g.reads.running
	g.reads.running = nil
	if action.Err != nil {
		answerReads(readers, g.notLeader("confirm leadership", api.OutcomeNotRun))
	} else if len(readers) > 0 {
		g.reads.confirmed = append(g.reads.confirmed, confirmedRead{index: action.Index, waiters: readers})
	}
	g.completeReads(g.state.position().Index)
	g.startRound()
}

// completeReads answers confirmed reads whose index is applied; the mutex is held.
func (g *group) completeReads(applied uint64) {
	kept := g.reads.confirmed[:0]
	for _, read := range g.reads.confirmed {
		if read.index > applied {
			kept = append(kept, read)
			continue
		}
		answerReads(read.waiters, nil)
	}
	g.reads.confirmed = kept
}

// failReads fails all pending reads; the mutex is held. A round in flight then has no
// waiters.
func (g *group) failReads(failure *api.Error) {
	answerReads(g.reads.running, failure)
	answerReads(g.reads.next, failure)
	for _, read := range g.reads.confirmed {
		answerReads(read.waiters, failure)
	}
	g.reads = readRounds{}
}

func answerReads(readers []chan *api.Error, failure *api.Error) {
	for _, reader := range readers {
		reader <- failure
	}
}
