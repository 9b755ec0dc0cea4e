package store

import "testing"

// TestTheLogInMemoryIsBoundedByTheHeap: a group's log leaves most of a small
// machine's heap to what runs.
func TestTheLogInMemoryIsBoundedByTheHeap(t *testing.T) {
	for _, test := range []struct {
		name   string
		heap   int64
		groups int
		want   int64
	}{
		{"no bound", 0, 5, mostLogBytes},
		{"42 MB", 42 << 20, 1, 42 << 20 / logHeapShare},
		{"128 MB, four groups", 128 << 20, 4, 2 << 20},
		{"a tiny heap", 2 << 20, 1, leastLogBytes},
		{"a large heap", 8 << 30, 1, mostLogBytes},
	} {
		if got := logBytes(test.heap, test.groups); got != test.want {
			t.Errorf("%s: %d, want %d", test.name, got, test.want)
		}
	}
}
