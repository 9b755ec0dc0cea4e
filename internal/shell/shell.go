// Package shell runs a state machine as a local protoactor-go actor. The machine is
// stepped with one message at a time and the current time, and its actions are executed
// within the actor.
package shell

import (
	"errors"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"github.com/dykewing/dykewing/machine"
)

// ErrStopped is returned by calls to a stopped shell.
var ErrStopped = errors.New("state machine has stopped")

// Shell is a running state machine. It is safe for concurrent use.
type Shell[M, A any] struct {
	system  *actor.ActorSystem
	pid     *actor.PID
	machine machine.Machine[M, A]
	execute func(A)
	stopped chan struct{}
}

type stepRequest[M, A any] struct {
	message M
	reply   chan []A
}

type inspectRequest struct {
	inspect func()
	done    chan struct{}
}

// Start runs the machine. execute is called for each action within the actor and must
// not block.
func Start[M, A any](system *actor.ActorSystem, machine machine.Machine[M, A], execute func(A)) *Shell[M, A] {
	shell := &Shell[M, A]{system: system, machine: machine, execute: execute, stopped: make(chan struct{})}
	properties := actor.PropsFromFunc(shell.receive)
	shell.pid = system.Root.Spawn(properties)
	return shell
}

func (s *Shell[M, A]) receive(context actor.Context) {
	switch message := context.Message().(type) {
	case *stepRequest[M, A]:
		actions := s.machine.Step(time.Now(), message.message)
		for _, action := range actions {
			s.execute(action)
		}
		if message.reply != nil {
			message.reply <- actions
		}
	case *inspectRequest:
		message.inspect()
		close(message.done)
	case *actor.Stopped:
		close(s.stopped)
	}
}

// Tell queues the message for a step and returns without waiting for it.
func (s *Shell[M, A]) Tell(message M) {
	s.system.Root.Send(s.pid, &stepRequest[M, A]{message: message})
}

// Ask steps the machine with the message and returns the actions, which have been
// executed. It must not be called from within the actor.
func (s *Shell[M, A]) Ask(message M) ([]A, error) {
	answer := make(chan []A, 1)
	s.system.Root.Send(s.pid, &stepRequest[M, A]{message: message, reply: answer})
	select {
	case actions := <-answer:
		return actions, nil
	case <-s.stopped:
		return nil, ErrStopped
	}
}

// Inspect runs look between two steps, so that it may read the machine, and waits for it.
// It must not be called from within the actor.
func (s *Shell[M, A]) Inspect(look func()) error {
	done := make(chan struct{})
	s.system.Root.Send(s.pid, &inspectRequest{inspect: look, done: done})
	select {
	case <-done:
		return nil
	case <-s.stopped:
		return ErrStopped
	}
}

// Stop stops the actor after it has processed the queued messages, and waits for that.
func (s *Shell[M, A]) Stop() {
	s.system.Root.Poison(s.pid)
	<-s.stopped
}
