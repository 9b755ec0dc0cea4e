package router

import (
	"context"
	"errors"
	"testing"

	"github.com/dykewing/dykewing/admission"
)

// sending begins a sending of the flight and gives its context.
func sending(t *testing.T, f *flight) context.Context {
	ctx, cancel := context.WithCancelCause(t.Context())
	t.Cleanup(func() { cancel(nil) })
	f.begin(cancel)
	return ctx
}

func TestSuspendedFlightIsSentAgainAfterItsResumption(t *testing.T) {
	f := newFlights().add("r")
	first := sending(t, f)
	f.stop(errSuspended)
	if !errors.Is(context.Cause(first), errSuspended) {
		t.Fatal("the sending went on")
	}
	f.resume(admission.Dispatch{Address: "again"})
	dispatch, ok := f.await(t.Context())
	if !ok || dispatch.Address != "again" {
		t.Fatalf("got %v, %v", dispatch, ok)
	}
	if second := sending(t, f); second.Err() != nil {
		t.Fatal("the second sending was stopped by the first one's suspension")
	}
}

func TestStopBeforeSendingIsKept(t *testing.T) {
	f := newFlights().add("r")
	f.stop(errSuspended)
	if ctx := sending(t, f); !errors.Is(context.Cause(ctx), errSuspended) {
		t.Fatal("the sending was not stopped")
	}
	f.resume(admission.Dispatch{})
	f.stop(errSuspended) // before the waiting sender has looked
	if ctx := sending(t, f); !errors.Is(context.Cause(ctx), errSuspended) {
		t.Fatal("the second suspension was lost")
	}
}

func TestPreemptionEndsTheWait(t *testing.T) {
	f := newFlights().add("r")
	sending(t, f)
	f.stop(errSuspended)
	ended := make(chan bool)
	go func() {
		_, ok := f.await(t.Context())
		ended <- ok
	}()
	f.stop(errPreempted)
	if <-ended {
		t.Fatal("a preempted flight was sent again")
	}
	f.resume(admission.Dispatch{})
	if _, ok := f.await(t.Context()); ok {
		t.Fatal("a preempted flight was resumed")
	}
}
