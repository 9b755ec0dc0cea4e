package router

import (
	"context"
	"errors"
	"sync"

	"github.com/dykewing/dykewing/admission"
	"github.com/dykewing/dykewing/api"
)

var (
	errPreempted = errors.New("preempted by online requests")
	errSuspended = errors.New("suspended for online requests")
)

// inFlightRequests indexes the batch requests that this router has admitted, so that admission
// can preempt or suspend them. Online requests are never stopped.
type inFlightRequests struct {
	mutex sync.Mutex
	byID  map[api.RequestID]*inFlightRequest
}

// inFlightRequest is a batch request from its admission to its end. While suspended, it is not
// running at any worker.
type inFlightRequest struct {
	mutex     sync.Mutex
	cancel    context.CancelCauseFunc // cancels the current send; nil if there is none
	stopCause error                   // errSuspended or errPreempted; nil while it may run
	dispatch  admission.Dispatch      // set by the last resume
	resumed   chan struct{}           // closed when a suspension ends, by resume or preemption
}

func newInFlightRequests() *inFlightRequests {
	return &inFlightRequests{byID: map[api.RequestID]*inFlightRequest{}}
}

func (f *inFlightRequests) add(id api.RequestID) *inFlightRequest {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	added := &inFlightRequest{}
	f.byID[id] = added
	return added
}

func (f *inFlightRequests) remove(id api.RequestID) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	delete(f.byID, id)
}

func (f *inFlightRequests) get(id api.RequestID) (*inFlightRequest, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	found, ok := f.byID[id]
	return found, ok
}

// setCancel sets the function that cancels the current send, and calls it at once if the
// request has already been stopped.
func (f *inFlightRequest) setCancel(cancel context.CancelCauseFunc) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.cancel = cancel
	if f.stopCause != nil {
		cancel(f.stopCause)
	}
}

// stop cancels the current send.
func (f *inFlightRequest) stop(cause error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.stopCause == nil {
		f.resumed = make(chan struct{})
	}
	if errors.Is(cause, errPreempted) && f.stopCause != nil {
		close(f.resumed) // a preempted request will not be resumed
	}
	f.stopCause = cause
	if f.cancel != nil {
		f.cancel(cause)
	}
}

// resume allows a suspended request to be sent again.
func (f *inFlightRequest) resume(dispatch admission.Dispatch) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if errors.Is(f.stopCause, errSuspended) {
		f.stopCause, f.cancel, f.dispatch = nil, nil, dispatch
		close(f.resumed)
	}
}

// awaitResume blocks until a suspended request is resumed. It returns false if the request is
// preempted or ctx ends.
func (f *inFlightRequest) awaitResume(ctx context.Context) (admission.Dispatch, bool) {
	for {
		f.mutex.Lock()
		stopped, unstopped, dispatch := f.stopCause, f.resumed, f.dispatch
		f.mutex.Unlock()
		switch {
		case stopped == nil:
			return dispatch, true
		case errors.Is(stopped, errPreempted):
			return dispatch, false
		}
		select {
		case <-unstopped:
		case <-ctx.Done():
			return dispatch, false
		}
	}
}

// execute carries out the actions of the admission machine other than the decision on
// an arriving request.
func (r *Router) execute(action admission.Action) {
	switch action := action.(type) {
	case admission.Preempt:
		r.metrics.preempted.Inc()
		r.stop(action.Request, errPreempted)
	case admission.Suspend:
		r.metrics.suspended.Inc()
		r.stop(action.Request, errSuspended)
	case admission.Resume:
		if flight, ok := r.inFlight.get(action.Request); ok {
			flight.resume(action.Dispatch)
		}
	case admission.ReportShares:
		go r.sendShareReport(action.SendReport)
	}
}

func (r *Router) stop(id api.RequestID, cause error) {
	if flight, ok := r.inFlight.get(id); ok {
		flight.stop(cause)
	}
}
