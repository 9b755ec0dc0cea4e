package engine

import (
	"errors"
	"strings"
	"testing"
)

// Guards against bytes without end that hold a stream, and against events that come twice.
func TestSequence(t *testing.T) {
	comment := ": " + strings.Repeat("c", 1<<10) + "\n\n"
	for _, test := range []struct {
		name, last string
		events     []string
		want       error // of the last event
	}{
		{"rising", "", []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 10\ndata: c\n\n"}, nil},
		{"resumed", "4", []string{"id: 5\ndata: a\n\n"}, nil},
		{"no ids", "", []string{"data: a\n\n", "data: a\n\n"}, nil},
		{"ids that are no numbers", "", []string{"id: b\ndata: a\n\n", "id: a\ndata: a\n\n"}, nil},
		{"an unknown first line", "", []string{"weights: 4\nid: 1\ndata: a\n\n"}, nil},
		{"event 0 twice", "", []string{"id: 0\ndata: a\n\n", "id: 0\ndata: a\n\n"}, errEventNotAfter},
		{"first event 0", "", []string{"id: 0\ndata: a\n\n", "id: 1\ndata: b\n\n"}, nil},
		{"the same id", "", []string{"id: 1\ndata: a\n\n", "id: 1\ndata: a\n\n"}, errEventNotAfter},
		{"a stream from its start in place of its rest", "3", []string{"id: 1\ndata: a\n\n"}, errEventNotAfter},
		{"no field", "", []string{"HTTP/1.1 200 OK\r\n\r\n"}, errNoEvent},
		{"a field within a line", "", []string{"HTTP/1.1 200 OK\r\nMetadata: 1\r\n\r\n"}, errNoEvent},
		{"few comments", "", []string{comment, comment, "data: a\n\n", comment}, nil},
		{"comments without end", "", strings.SplitAfter(strings.Repeat(comment, 1+MaxEventBytes/len(comment)), "\n\n")[:1+MaxEventBytes/len(comment)], errOnlyComments},
		{"comments between events", "", append(strings.SplitAfter(strings.Repeat(comment, 1000), "\n\n")[:1000], "data: a\n\n", comment), nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			sequence := NewSequence(test.last)
			for n, event := range test.events {
				_, err := sequence.Check([]byte(event))
				if n < len(test.events)-1 && err != nil || n == len(test.events)-1 && !errors.Is(err, test.want) {
					t.Errorf("event %d of %d: %v", n, len(test.events), err)
				}
			}
		})
	}
}
