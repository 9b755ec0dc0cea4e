package batchrun

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/dykewing/dykewing/origin"
)

// risingEvents is a stream of events without end.
type risingEvents struct{ event int }

func (r *risingEvents) Read(p []byte) (int, error) {
	r.event++
	return copy(p, fmt.Sprintf("id: %d\ndata: d\n\n", r.event)), nil
}

// Guards against events without end that fill the memory of a batch leader.
func TestOutputWithoutEndIsBounded(t *testing.T) {
	i := &item{}
	err := i.collect(&risingEvents{}, origin.Origin{}, func() {
		if len(i.text) > 2*maxOutputBytes {
			t.Fatalf("%d bytes of text", len(i.text))
		}
	})
	if !errors.Is(err, errOutputTooLong) {
		t.Fatal(err)
	}
}

// Guards against a stream from its start that is joined to the output so far.
func TestOutputOfEarlierRunIsNotAppended(t *testing.T) {
	i := &item{}
	for _, stream := range []string{"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"} {
		if err := i.collect(strings.NewReader(stream), origin.Origin{}, func() {}); err == nil {
			t.Error("no error")
		}
	}
	if string(i.text) != "a\nb" {
		t.Errorf("output is %q", i.text)
	}
}
