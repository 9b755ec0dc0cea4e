// Package shell runs a state machine as a local protoactor-go actor: messages
// are stepped one at a time with the real clock, and the actions are carried
// out in the actor. Carrying out must not block.
package shell

import (
	"errors"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"github.com/dykewing/dykewing/machine"
)

// ErrStopped answers calls to a shell that has stopped.
var ErrStopped = errors.New("state machine has stopped")

// Shell is a running state machine.
type Shell[M, A any] struct {
	system  *actor.ActorSystem
	process *actor.PID
	machine machine.Machine[M, A]
	execute func(A)
	stopped chan struct{}
}

type request[M, A any] struct {
	message M
	answer  chan []A
}

type inspection struct {
	look func()
	done chan struct{}
}

// Start runs the machine; execute carries out each action within the actor.
func Start[M, A any](system *actor.ActorSystem, machine machine.Machine[M, A], execute func(A)) *Shell[M, A] {
	shell := &Shell[M, A]{system: system, machine: machine, execute: execute, stopped: make(chan struct{})}
	properties := actor.PropsFromFunc(shell.receive)
	shell.process = system.Root.Spawn(properties)
	return shell
}

func (s *Shell[M, A]) receive(context actor.Context) {
	switch message := context.Message().(type) {
	case *request[M, A]:
		actions := s.machine.Step(time.Now(), message.message)
		for _, action := range actions {
			s.execute(action)
		}
		if message.answer != nil {
			message.answer <- actions
		}
	case *inspection:
		message.look()
		close(message.done)
	case *actor.Stopped:
		close(s.stopped)
	}
}

// Tell steps the machine with the message, some time later.
func (s *Shell[M, A]) Tell(message M) {
	s.system.Root.Send(s.process, &request[M, A]{message: message})
}

// Ask steps the machine with the message and gives the actions, which execute
// has carried out.
func (s *Shell[M, A]) Ask(message M) ([]A, error) {
	answer := make(chan []A, 1)
	s.system.Root.Send(s.process, &request[M, A]{message: message, answer: answer})
	select {
	case actions := <-answer:
		return actions, nil
	case <-s.stopped:
		return nil, ErrStopped
	}
}

// Inspect runs look between two steps, so that it may read the machine.
func (s *Shell[M, A]) Inspect(look func()) error {
	done := make(chan struct{})
	s.system.Root.Send(s.process, &inspection{look: look, done: done})
	select {
	case <-done:
		return nil
	case <-s.stopped:
		return ErrStopped
	}
}

// Stop ends the actor after the messages that wait and returns then.
func (s *Shell[M, A]) Stop() {
	s.system.Root.Poison(s.process)
	<-s.stopped
}
