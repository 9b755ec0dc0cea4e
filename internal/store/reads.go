package store

import (
	"context"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/replication"
)

// readRounds lets reads share rounds of replication.Confirm: all that come
// while a round runs wait for the next one, which begins after them.
type readRounds struct {
	token     uint64            // of the round in flight
	running   []chan *api.Error // of the round in flight
	next      []chan *api.Error
	confirmed []confirmedRead // wait until their index is applied
}

type confirmedRead struct {
	index   uint64
	readers []chan *api.Error
}

// confirm returns once a read of the applied state is linearisable.
func (g *group) confirm(ctx context.Context) *api.Error {
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

// startRound begins a round when none runs; the mutex is held.
func (g *group) startRound() {
	if len(g.reads.running) > 0 || len(g.reads.next) == 0 {
		return
	}
	g.reads.running, g.reads.next = g.reads.next, nil
	g.token++
	g.reads.token = g.token
	g.shell.Tell(replication.Confirm{Token: g.token})
}

// confirmed ends a round; called by the actor.
func (g *group) confirmed(told replication.Confirmed) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if told.Token != g.reads.token {
		return // its readers had their answer when the role changed
	}
	readers := g.reads.running
	g.reads.running = nil
	if told.Err != nil {
		answerReads(readers, g.notLeader("confirm leadership", api.OutcomeNotRun))
	} else if len(readers) > 0 {
		g.reads.confirmed = append(g.reads.confirmed, confirmedRead{index: told.Index, readers: readers})
	}
	g.releaseReads(g.state.position().Index)
	g.startRound()
}

// releaseReads lets confirmed reads go whose index is applied; the mutex is held.
func (g *group) releaseReads(applied uint64) {
	kept := g.reads.confirmed[:0]
	for _, read := range g.reads.confirmed {
		if read.index > applied {
			kept = append(kept, read)
			continue
		}
		answerReads(read.readers, nil)
	}
	g.reads.confirmed = kept
}

// failReads ends all reads that wait; the mutex is held. A round in flight then
// ends without readers.
func (g *group) failReads(failure *api.Error) {
	answerReads(g.reads.running, failure)
	answerReads(g.reads.next, failure)
	for _, read := range g.reads.confirmed {
		answerReads(read.readers, failure)
	}
	g.reads = readRounds{}
}

func answerReads(readers []chan *api.Error, failure *api.Error) {
	for _, reader := range readers {
		reader <- failure
	}
}
