package reservation

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"github.com/dykewing/dykewing/worker"
)

// A report of a process that hears nothing of workers, or is older, reads as before; what
// is heard comes through whole.
func TestWordsOfWorkersOnTheWire(t *testing.T) {
	tests := []struct {
		name   string
		report Report
		text   string // nothing is checked where empty
	}{
		{"nothing heard", Report{Node: "f", Sequence: 1}, `{"node":"f","sequence":1}`},
		{"of a worker without a start", Report{Node: "f", Sequence: 1, Heard: []Word{{Worker: "w", Pace: 0.7}}}, `{"node":"f","sequence":1,"heard":[{"worker":"w","pace":0.7}]}`},
		{"all", Report{Node: "f", Sequence: 1, Heard: []Word{{
			Worker: "w", Born: start.UTC(), Pace: 1.7, PaceAge: time.Millisecond, Streams: 2, Step: time.Second, Outcomes: worker.Outcomes{Whole: 1, Broken: 2},
		}}}, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			raw, err := json.Marshal(test.report)
			if err != nil || test.text != "" && string(raw) != test.text {
				t.Fatalf("%s: %v", raw, err)
			}
			var read Report
			if err := json.Unmarshal(raw, &read); err != nil || !reflect.DeepEqual(read, test.report) {
				t.Errorf("%+v: %v", read, err)
			}
		})
	}
}
