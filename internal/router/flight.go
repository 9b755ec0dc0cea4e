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

// flights are the batch requests that this router has sent to workers, so that
// admission can stop them; online requests are never stopped.
type flights struct {
	mutex sync.Mutex
	byID  map[api.RequestID]*flight
}

// flight is a request between its admission and its end. While it is
// suspended nothing of it runs.
type flight struct {
	mutex     sync.Mutex
	cancel    context.CancelCauseFunc // of the sending that goes on; nil before
	stopped   error                   // errSuspended or errPreempted; nil while it may run
	dispatch  admission.Dispatch      // of the last resumption
	unstopped chan struct{}           // closed when a suspension ends
}

func newFlights() *flights { return &flights{byID: map[api.RequestID]*flight{}} }

func (f *flights) add(id api.RequestID) *flight {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	added := &flight{}
	f.byID[id] = added
	return added
}

func (f *flights) remove(id api.RequestID) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	delete(f.byID, id)
}

func (f *flights) get(id api.RequestID) (*flight, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	found, ok := f.byID[id]
	return found, ok
}

// begin makes a sending stoppable; one that is stopped already ends at once.
func (f *flight) begin(cancel context.CancelCauseFunc) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.cancel = cancel
	if f.stopped != nil {
		cancel(f.stopped)
	}
}

// stop ends the sending that goes on.
func (f *flight) stop(cause error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.stopped == nil {
		f.unstopped = make(chan struct{})
	}
	if errors.Is(cause, errPreempted) && f.stopped != nil {
		close(f.unstopped) // nothing is to be waited for any more
	}
	f.stopped = cause
	if f.cancel != nil {
		f.cancel(cause)
	}
}

// resume lets a suspended flight be sent again.
func (f *flight) resume(dispatch admission.Dispatch) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if errors.Is(f.stopped, errSuspended) {
		f.stopped, f.cancel, f.dispatch = nil, nil, dispatch
		close(f.unstopped)
	}
}

// await waits until a suspended flight may be sent again; false when it is
// preempted or ctx ends.
func (f *flight) await(ctx context.Context) (admission.Dispatch, bool) {
	for {
		f.mutex.Lock()
		stopped, unstopped, dispatch := f.stopped, f.unstopped, f.dispatch
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

// execute carries out admission's actions that are not the answer to a step.
func (r *Router) execute(action admission.Action) {
	switch action := action.(type) {
	case admission.Preempt:
		r.metrics.preempted.Inc()
		r.stop(action.Request, errPreempted)
	case admission.Suspend:
		r.metrics.suspended.Inc()
		r.stop(action.Request, errSuspended)
	case admission.Resume:
		if flight, ok := r.flights.get(action.Request); ok {
			flight.resume(action.Dispatch)
		}
	case admission.ReportShares:
		go r.sendShares(action.SendReport)
	}
}

func (r *Router) stop(id api.RequestID, cause error) {
	if flight, ok := r.flights.get(id); ok {
		flight.stop(cause)
	}
}
