package store

import "testing"

// TestTheLogInMemoryIsBoundedByTheHeap: a group's log leaves most of a small
// machine's heap to what runs.
func TestTheLogInMemoryIsBoundedByTheHeap(t *testing.T) {
	for _, test := range []struct {
		name       string
		heap, want int64
	}{
		{"no bound", 0, mostLogBytes},
		{"42 MB", 42 << 20, 42 << 20 / logHeapShare},
		{"a tiny heap", 2 << 20, leastLogBytes},
		{"a large heap", 8 << 30, mostLogBytes},
	} {
		if got := logBytes(test.heap); got != test.want {
			t.Errorf("%s: %d, want %d", test.name, got, test.want)
		}
	}
}
