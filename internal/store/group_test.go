package store

import "testing"

func TestLogBytesLimit(t *testing.T) {
	for _, test := range []struct {
		name   string
		heap   int64
		groups int
		want   int64
	}{
		{"unlimited", 0, 5, maxLogBytes},
		{"42 MB", 42 << 20, 1, 42 << 20 / logHeapDivisor},
		{"128 MB, four groups", 128 << 20, 4, 2 << 20},
		{"a tiny heap", 2 << 20, 1, minLogBytes},
		{"a large heap", 8 << 30, 1, maxLogBytes},
	} {
		if got := logBytesLimit(test.heap, test.groups); got != test.want {
			t.Errorf("%s: %d, want %d", test.name, got, test.want)
		}
	}
}
