package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/routing"
)

// dispatchedTo returns the worker to which a new request is dispatched.
func dispatchedTo(t *testing.T, m *Machine, now time.Time, id string) api.WorkerID {
	t.Helper()
	request := routing.Request{ID: api.RequestID(id), Service: testService, Place: testPlace, Class: api.ClassOnline}
	for _, action := range m.Step(now, Arrive{Request: request}) {
		if dispatch, ok := action.(Dispatch); ok {
			return dispatch.Worker
		}
	}
	t.Fatalf("request %s was not dispatched", id)
	return ""
}

// Guards against a worker that fails fast, looks idle and attracts all requests.
func TestAbortingWorkerIsQuarantined(t *testing.T) {
	m := newTestMachine(DefaultBatchPolicy())
	now := time.Unix(0, 0)
	m.Step(now, Workers{Workers: testWorkers(2)})
	m.Step(now, Rows{Rows: map[api.RowKey]api.Row{testKey: {Service: testService, Place: testPlace, Weight: 1}}})
	bad := api.WorkerID("worker-0")
	dispatched := 0
	for i := range 100 {
		id := fmt.Sprintf("request-%d", i)
		if dispatchedTo(t, m, now, id) != bad {
			continue // requests at the healthy worker stay in flight
		}
		dispatched++
		m.Step(now, ResponseAborted{Worker: bad})
		m.Step(now, Finished{Request: api.RequestID(id)})
	}
	if dispatched != abortsBeforeQuarantine {
		t.Errorf("the failing worker got %d requests, want %d", dispatched, abortsBeforeQuarantine)
	}
}
