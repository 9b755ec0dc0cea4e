package frontend

import (
	"fmt"
	"strings"
	"testing"

	"github.com/dykewing/dykewing/api"
)

func TestFrontendsThatDoNotReachTheStoresAreLeftOut(t *testing.T) {
	tests := []struct {
		name  string
		zones []string // a frontend a letter: o, a: apart, s: suspected, l: leaving
		want  []string
	}{
		{"none apart", []string{"ooo"}, []string{"ooo"}},
		{"a third", []string{"oao"}, []string{"oo"}},
		{"half", []string{"oaoa"}, []string{"oo"}},
		{"most: the stores are out of reach", []string{"oaaa"}, []string{"oaaa"}},
		{"all", []string{"aaa"}, []string{"aaa"}},
		{"by zone", []string{"oao", "aao"}, []string{"oo", "aao"}},
		{"suspected and leaving ones are not among those left", []string{"oasl"}, []string{"ol"}},
		{"one that is alone", []string{"a", "oo"}, []string{"a", "oo"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var nodes []api.Node
			for i, zone := range test.zones {
				for _, kind := range zone {
					nodes = append(nodes, api.Node{
						ID: api.NodeID(string(kind)), Role: api.RoleFrontend, Location: api.Location{Zone: api.ZoneName(fmt.Sprint(i))},
						Suspected: kind == 's', Leaving: kind == 'l', Summary: api.Summary{Apart: kind == 'a'},
					})
				}
			}
			// A store that is apart is no frontend.
			nodes = append(nodes, api.Node{ID: "x", Role: api.RoleStore, Location: api.Location{Zone: "0"}, Summary: api.Summary{Apart: true}})
			keep := withoutApart(nodes, func(node api.Node) bool { return !node.Suspected })
			for i, want := range test.want {
				got := strings.Builder{}
				for _, node := range nodes {
					if node.Role == api.RoleFrontend && node.Location.Zone == api.ZoneName(fmt.Sprint(i)) && keep(node) {
						got.WriteString(string(node.ID))
					}
				}
				if got.String() != want {
					t.Errorf("zone %d: %q, not %q", i, got.String(), want)
				}
			}
		})
	}
}
