package router

import (
	"context"
	"errors"
	"testing"

	"github.com/dykewing/dykewing/admission"
)

// startSend starts a send of the request and returns its context.
func startSend(t *testing.T, f *inFlightRequest) context.Context {
	ctx, cancel := context.WithCancelCause(t.Context())
	t.Cleanup(func() { cancel(nil) })
	f.setCancel(cancel)
	return ctx
}

func TestSuspendedRequestIsResentAfterResume(t *testing.T) {
	f := newInFlightRequests().add("r")
	first := startSend(t, f)
	f.stop(errSuspended)
	if !errors.Is(context.Cause(first), errSuspended) {
		t.Fatal("suspension did not cancel the send")
	}
	f.resume(admission.Dispatch{Address: "again"})
	dispatch, ok := f.awaitResume(t.Context())
	if !ok || dispatch.Address != "again" {
		t.Fatalf("awaitResume returned %v, %v", dispatch, ok)
	}
	if second := startSend(t, f); second.Err() != nil {
		t.Fatal("the suspension of the first send cancelled the second")
	}
}

func TestStopBeforeSendCancelsTheSend(t *testing.T) {
	f := newInFlightRequests().add("r")
	f.stop(errSuspended)
	if ctx := startSend(t, f); !errors.Is(context.Cause(ctx), errSuspended) {
		t.Fatal("a send after the suspension was not cancelled")
	}
	f.resume(admission.Dispatch{})
	f.stop(errSuspended) // before the sender calls awaitResume
	if ctx := startSend(t, f); !errors.Is(context.Cause(ctx), errSuspended) {
		t.Fatal("a send after the second suspension was not cancelled")
	}
}

func TestPreemptionEndsAwaitResume(t *testing.T) {
	f := newInFlightRequests().add("r")
	startSend(t, f)
	f.stop(errSuspended)
	ended := make(chan bool)
	go func() {
		_, ok := f.awaitResume(t.Context())
		ended <- ok
	}()
	f.stop(errPreempted)
	if <-ended {
		t.Fatal("awaitResume returned true for a preempted request")
	}
	f.resume(admission.Dispatch{})
	if _, ok := f.awaitResume(t.Context()); ok {
		t.Fatal("a preempted request was resumed")
	}
}
