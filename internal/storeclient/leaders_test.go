package storeclient

import (
	"testing"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/kv"
)

func TestLeadersPreferHighestTerm(t *testing.T) {
	record := func(key, value string) kv.Pair { return kv.Pair{Key: key, Value: []byte(value)} }
	published := record("/d/groups/0", `{"index":4,"leader":{"node":"b","address":"b:9","term":5}}`)
	view := []api.Node{store("a", true), store("b", false)} // a leads in term 3
	tests := []struct {
		name    string
		records []kv.Pair
		view    []api.Node
		want    string // node and address; empty: none known
	}{
		{"none", nil, nil, ""},
		{"view only", nil, view, "a a:1"},
		{"record only", []kv.Pair{published}, nil, "b b:9"},
		{"newer record, address from view", []kv.Pair{published}, view, "b b:1"},
		{"newer view", []kv.Pair{record("/d/groups/0", `{"leader":{"node":"b","address":"b:9","term":2}}`)}, view, "a a:1"},
		{"stale record", []kv.Pair{published, record("/d/groups/0", `{"leader":{"node":"a","address":"a:1","term":4}}`)}, nil, "b b:9"},
		{"record without a leader", []kv.Pair{record("/d/groups/0", `{"index":4}`)}, view, "a a:1"},
		{"invalid records", []kv.Pair{record("/d/groups/0", `{`), record("/d/groups/x", "{}")}, view, "a a:1"},
		{"other group", []kv.Pair{record("/d/groups/1", string(published.Value))}, nil, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := &Leaders{Prefix: "/d/"}
			for _, pair := range test.records {
				l.Apply(kv.Batch{Events: []kv.Event{{Pair: pair}}})
			}
			got := ""
			if node, ok := l.Leader(test.view, 0); ok {
				got = string(node.ID) + " " + node.Address
			}
			if got != test.want {
				t.Errorf("%q, want %q", got, test.want)
			}
		})
	}
}
