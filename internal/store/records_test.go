package store

import (
	"errors"
	"testing"

	"github.com/dykewing/dykewing/internal/kv"
)

func TestGroupRecordsAreTheNewestTold(t *testing.T) {
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
		{"a whole state", func(*GroupRecords) {}, 4, false},
		{"a change", func(g *GroupRecords) { g.Changes(kv.Batch{Events: []kv.Event{{Pair: newer}}}) }, 5, false},
		{"a change that this store has written", func(g *GroupRecords) { g.Written(newer) }, 5, false},
		{"an older one comes late", func(g *GroupRecords) { g.Written(newer); g.Changes(kv.Batch{Events: []kv.Event{{Pair: older}}}) }, 5, false},
		{"it goes: the group stays", func(g *GroupRecords) {
			g.Changes(kv.Batch{Events: []kv.Event{{Pair: kv.Pair{Key: "/d/groups/3", Revision: 8}, Deleted: true}}})
		}, 4, false},
		{"one that can't be read", func(g *GroupRecords) { g.Written(pair("/d/groups/3", `{`, 9)) }, 0, true},
		{"another key", func(g *GroupRecords) { g.Written(pair("/d/groups/x", `{`, 9)) }, 4, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := &GroupRecords{Prefix: "/d/"}
			g.Written(newer) // before all is known
			if _, err := g.all(); !errors.Is(err, errRecordsUnknown) {
				t.Fatalf("before a whole state: %v", err)
			}
			g.Whole(kv.RangeResult{Revision: 7, Pairs: []kv.Pair{older}})
			test.tell(g)
			all, err := g.all()
			if err != nil || all[3].record.Index != test.index || (all[3].err != nil) != test.err {
				t.Errorf("%+v, %v", all, err)
			}
		})
	}
}
