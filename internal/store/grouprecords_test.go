package store

import (
	"errors"
	"testing"

	"github.com/dykewing/dykewing/internal/kv"
)

func TestGroupRecordsKeepNewestRevision(t *testing.T) {
	pair := func(key, value string, revision int64) kv.Pair {
		return kv.Pair{Key: key, Value: []byte(value), Revision: revision}
	}
	older, newer := pair("/d/groups/3", `{"index":4}`, 7), pair("/d/groups/3", `{"index":5}`, 9)
	tests := []struct {
		name  string
		tell  func(g *GroupRecords)
		index uint64
		err   bool
	}{
		{"complete listing", func(*GroupRecords) {}, 4, false},
		{"update", func(g *GroupRecords) { g.Apply(kv.Batch{Events: []kv.Event{{Pair: newer}}}) }, 5, false},
		{"write of this store", func(g *GroupRecords) { g.Observe(newer) }, 5, false},
		{"stale update", func(g *GroupRecords) { g.Observe(newer); g.Apply(kv.Batch{Events: []kv.Event{{Pair: older}}}) }, 5, false},
		{"deletion is ignored", func(g *GroupRecords) {
			g.Apply(kv.Batch{Events: []kv.Event{{Pair: kv.Pair{Key: "/d/groups/3", Revision: 8}, Deleted: true}}})
		}, 4, false},
		{"invalid record", func(g *GroupRecords) { g.Observe(pair("/d/groups/3", `{`, 9)) }, 0, true},
		{"foreign key", func(g *GroupRecords) { g.Observe(pair("/d/groups/x", `{`, 9)) }, 4, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := &GroupRecords{Prefix: "/d/"}
			g.Observe(newer) // ignored before the first listing
			if _, err := g.all(); !errors.Is(err, errRecordsUnknown) {
				t.Fatalf("before a complete listing: %v", err)
			}
			g.Reset(kv.RangeResult{Revision: 7, Pairs: []kv.Pair{older}})
			test.tell(g)
			all, err := g.all()
			if err != nil || all[3].record.Index != test.index || (all[3].err != nil) != test.err {
				t.Errorf("%+v, %v", all, err)
			}
		})
	}
}
