package reservation

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"github.com/dykewing/dykewing/worker"
)

// Checks the JSON encoding of observations and that a report without any stays compatible
// with older processes.
func TestWorkerObservationsRoundTripThroughJSON(t *testing.T) {
	tests := []struct {
		name   string
		report Report
		text   string // expected encoding; not checked if empty
	}{
		{"no observation", Report{Node: "f", Sequence: 1}, `{"node":"f","sequence":1}`},
		{"worker without start time", Report{Node: "f", Sequence: 1, Observations: []Observation{{Worker: "w", Pace: 0.7}}}, `{"node":"f","sequence":1,"heard":[{"worker":"w","pace":0.7}]}`},
		{"all fields", Report{Node: "f", Sequence: 1, Observations: []Observation{{
			Worker: "w", StartedAt: start.UTC(), Pace: 1.7, PaceAge: time.Millisecond, Streams: 2, EventInterval: time.Second, Outcomes: worker.Outcomes{Succeeded: 1, Failed: 2},
		}}}, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			raw, err := json.Marshal(test.report)
			if err != nil || test.text != "" && string(raw) != test.text {
				t.Fatalf("encoded as %s, error %v", raw, err)
			}
			var read Report
			if err := json.Unmarshal(raw, &read); err != nil || !reflect.DeepEqual(read, test.report) {
				t.Errorf("decoded as %+v, error %v", read, err)
			}
		})
	}
}
