package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/routing"
)

// dispatchedTo steps an arrival and names the worker that it was sent to.
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

// TestWorkerThatBreaksOffDrawsNoRequests has one of two workers break off at
// once each time, so that it always looks idle.
func TestWorkerThatBreaksOffDrawsNoRequests(t *testing.T) {
	m := newTestMachine(DefaultFilling())
	now := time.Unix(0, 0)
	m.Step(now, Workers{Workers: testWorkers(2)})
	m.Step(now, Rows{Rows: map[api.RowKey]api.Row{testKey: {Service: testService, Place: testPlace, Weight: 1}}})
	bad := api.WorkerID("worker-0")
	drawn := 0
	for i := range 100 {
		id := fmt.Sprintf("request-%d", i)
		if dispatchedTo(t, m, now, id) != bad {
			continue // the good worker goes on answering and stays loaded
		}
		drawn++
		m.Step(now, Broken{Worker: bad})
		m.Step(now, Finished{Request: api.RequestID(id)})
	}
	if drawn != brokenBeforeQuarantine {
		t.Errorf("the broken worker drew %d requests, want %d", drawn, brokenBeforeQuarantine)
	}
}
