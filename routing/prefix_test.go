package routing

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dykewing/dykewing/api"
)

var prefixStart = time.Unix(0, 0)

func cachedAt(x *PrefixIndex, now time.Time, worker api.WorkerID, prefix ...uint64) int {
	x.Match(now, prefix)
	return x.CachedBlocks(worker)
}

func TestPrefixIndexAppliesEvents(t *testing.T) {
	settings := PrefixSettings{MaxBlocks: 100, TTL: time.Minute, TTLAfterGap: 10 * time.Second}
	minutes := func(n int) time.Time { return prefixStart.Add(time.Duration(n) * time.Minute) }
	seconds := func(n int) time.Time { return prefixStart.Add(time.Duration(n) * time.Second) }
	stored := []CacheEvent{{Sequence: 1, Stored: []uint64{1, 2, 3}}}
	cases := map[string]struct {
		later func(*PrefixIndex)
		at    time.Time
		want  int
	}{
		"stored":                           {func(*PrefixIndex) {}, seconds(1), 3},
		"removal in the middle":            {func(x *PrefixIndex) { x.Apply(seconds(1), "w", []CacheEvent{{Sequence: 2, Removed: []uint64{2}}}) }, seconds(1), 1},
		"expired":                          {func(*PrefixIndex) {}, minutes(2), 0},
		"gap invalidates old blocks":       {func(x *PrefixIndex) { x.Apply(seconds(30), "w", []CacheEvent{{Sequence: 9}}) }, seconds(30), 0},
		"gap keeps recent blocks":          {func(x *PrefixIndex) { x.Apply(seconds(5), "w", []CacheEvent{{Sequence: 9}}) }, seconds(5), 3},
		"no gap":                           {func(x *PrefixIndex) { x.Apply(seconds(30), "w", []CacheEvent{{Sequence: 2}}) }, seconds(30), 3},
		"restart clears the cache":         {func(x *PrefixIndex) { x.Apply(seconds(1), "w", []CacheEvent{{Sequence: 1}}) }, seconds(1), 0},
		"forgotten worker":                 {func(x *PrefixIndex) { x.Remove("w") }, seconds(1), 0},
		"eviction at another worker":       {func(x *PrefixIndex) { x.Apply(seconds(1), "v", []CacheEvent{{Sequence: 1, Removed: []uint64{1}}}) }, seconds(1), 3},
		"repeated prompt refreshes blocks": {func(x *PrefixIndex) { x.RecordPrompt(minutes(1), "w", []uint64{1, 2, 3}) }, minutes(2).Add(-time.Second), 3},
	}
	for name, test := range cases {
		index := NewPrefixIndex(settings)
		index.Apply(prefixStart, "w", stored)
		test.later(index)
		if got := cachedAt(index, test.at, "w", 1, 2, 3, 4); got != test.want {
			t.Errorf("%s: %d blocks, want %d", name, got, test.want)
		}
	}
}

func TestPrefixIndexIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		index := NewPrefixIndex(PrefixSettings{MaxBlocks: 20, TTL: time.Minute, TTLAfterGap: time.Second})
		for i := range 60 {
			worker := api.WorkerID(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "worker"))
			hashes := rapid.SliceOfN(rapid.Uint64Range(0, 50), 0, 8).Draw(t, "hashes")
			if rapid.Bool().Draw(t, "sent") {
				index.RecordPrompt(prefixStart, worker, hashes)
			} else {
				index.Apply(prefixStart, worker, []CacheEvent{{Sequence: uint64(i + 1), Removed: hashes}})
			}
			if len(index.blocks) > 20 || len(index.blocks) != index.lru.Len() {
				t.Fatalf("%d blocks indexed, %d in the LRU list", len(index.blocks), index.lru.Len())
			}
		}
	})
}

func TestPrefixHashesCoverGrowingPrefixes(t *testing.T) {
	prompt := make([]byte, 3*PrefixBlockBytes+5)
	long := PrefixHashes(prompt)
	if len(long) != 3 {
		t.Fatalf("%d hashes", len(long))
	}
	prompt[PrefixBlockBytes+1] = 1 // in the second block
	other := PrefixHashes(prompt)
	if other[0] != long[0] || other[1] == long[1] || other[2] == long[2] {
		t.Fatal("a change must affect the hashes of its block and all later ones")
	}
	if got := len(PrefixHashes(make([]byte, 1<<20))); got != MaxPrefixBlocks {
		t.Fatalf("%d hashes of a long prompt", got)
	}
}

func BenchmarkPrefixMatch(b *testing.B) {
	index := NewPrefixIndex(DefaultPrefixSettings())
	prefix := PrefixHashes(make([]byte, MaxPrefixBlocks*PrefixBlockBytes))
	for _, worker := range []api.WorkerID{"a", "b", "c"} {
		index.RecordPrompt(prefixStart, worker, prefix)
	}
	b.ReportAllocs()
	for b.Loop() {
		index.Match(prefixStart, prefix)
	}
}

func BenchmarkPrefixHashes(b *testing.B) {
	prompt := make([]byte, MaxPrefixBlocks*PrefixBlockBytes)
	b.SetBytes(int64(len(prompt)))
	b.ReportAllocs()
	for b.Loop() {
		PrefixHashes(prompt)
	}
}
