package jobs

import (
	"bytes"
	"slices"
	"testing"

	"github.com/dykewing/dykewing/api"
)

func TestHoldersSurviveSnapshot(t *testing.T) {
	state, err := OpenState(NewMemoryStorage())
	if err != nil {
		t.Fatal(err)
	}
	for i, change := range []HolderChange{{Router: "b"}, {Router: "a"}, {Router: "a"}, {Router: "c"}, {Router: "b", Removed: true}} {
		results, err := state.Apply(Entry{Index: uint64(i + 1), Command: Command{Holder: &change}})
		if err != nil || results[0].Code != "" {
			t.Fatalf("%+v: %v, %+v", change, err, results)
		}
	}
	var snapshot bytes.Buffer
	if _, err := state.WriteSnapshot(&snapshot); err != nil {
		t.Fatal(err)
	}
	restored, err := ReadSnapshot(NewMemoryStorage(), &snapshot)
	if err != nil {
		t.Fatal(err)
	}
	holders, err := restored.Holders()
	if want := []api.NodeID{"a", "c"}; err != nil || !slices.Equal(holders, want) {
		t.Errorf("got %v, %v, want %v", holders, err, want)
	}
}
