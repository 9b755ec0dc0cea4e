package frontend

import (
	"fmt"
	"strings"
	"testing"

	"github.com/dykewing/dykewing/api"
)

func TestDisconnectedFrontendsAreExcluded(t *testing.T) {
	tests := []struct {
		name  string
		zones []string // one letter a frontend: o: ok, a: apart, s: suspected, l: leaving
		want  []string
	}{
		{"none disconnected", []string{"ooo"}, []string{"ooo"}},
		{"a third disconnected", []string{"oao"}, []string{"oo"}},
		{"half disconnected", []string{"oaoa"}, []string{"oo"}},
		{"most disconnected: all kept", []string{"oaaa"}, []string{"oaaa"}},
		{"all disconnected: all kept", []string{"aaa"}, []string{"aaa"}},
		{"decided by zone", []string{"oao", "aao"}, []string{"oo", "aao"}},
		{"suspected and leaving frontends don't count", []string{"oasl"}, []string{"ol"}},
		{"only frontend of its zone", []string{"a", "oo"}, []string{"a", "oo"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var nodes []api.Node
			for i, zone := range test.zones {
				for _, kind := range zone {
					nodes = append(nodes, api.Node{
						ID: api.NodeID(string(kind)), Role: api.RoleFrontend, Location: api.Location{Zone: api.ZoneName(fmt.Sprint(i))},
						Suspected: kind == 's', Leaving: kind == 'l', Summary: api.LoadSummary{StoresUnreachable: kind == 'a'},
					})
				}
			}
			// Stores must not be counted.
			nodes = append(nodes, api.Node{ID: "x", Role: api.RoleStore, Location: api.Location{Zone: "0"}, Summary: api.LoadSummary{StoresUnreachable: true}})
			keep := excludeDisconnected(nodes, func(node api.Node) bool { return !node.Suspected })
			for i, want := range test.want {
				got := strings.Builder{}
				for _, node := range nodes {
					if node.Role == api.RoleFrontend && node.Location.Zone == api.ZoneName(fmt.Sprint(i)) && keep(node) {
						got.WriteString(string(node.ID))
					}
				}
				if got.String() != want {
					t.Errorf("zone %d: got %q, want %q", i, got.String(), want)
				}
			}
		})
	}
}
