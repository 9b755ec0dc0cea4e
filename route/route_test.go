package route

import (
	"math/rand/v2"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func testConfiguration() *Configuration {
	routes := []Route{
		{Name: "all", Host: "a", Prefix: "/", Shares: []Share{{Service: "x"}}},
		{Name: "deep", Host: "a", Prefix: "/p/q/", Shares: []Share{{Service: "x"}}},
		{Name: "p", Host: "a", Prefix: "/p/", Shares: []Share{{Service: "y", Weight: 90}, {Service: "z", Weight: 10}}},
		{Name: "other", Host: "b", Prefix: "/p/", Shares: []Share{{Service: "w"}}},
	}
	return New(3, routes, []Service{{Name: "x", Slots: 4}}, Limits{})
}

func TestMatchPrefersLongestPrefix(t *testing.T) {
	c := testConfiguration()
	for _, each := range []struct{ host, path, want string }{
		{"a", "/p/q/r", "deep"}, {"a", "/p/q", "p"}, {"a", "/p", "all"}, {"a", "/", "all"},
		{"b", "/p/x", "other"}, {"b", "/", ""}, {"c", "/p/", ""}, {"a", "", ""},
	} {
		route, ok := c.Match(each.host, each.path)
		if ok != (each.want != "") || route.Name != each.want {
			t.Errorf("%s%s: %q, wanted %q", each.host, each.path, route.Name, each.want)
		}
	}
	if _, ok := c.Service("none"); ok {
		t.Error("found an unknown service")
	}
	if service, ok := c.Service("x"); !ok || service.Slots != 4 {
		t.Errorf("service x: %+v", service)
	}
}

// Match must not depend on the order of the routes.
func TestMatchAgreesWithLinearSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prefix := rapid.Map(rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b"}), 0, 3), func(parts []string) string {
			return "/" + strings.Join(append(parts, ""), "/")
		})
		var routes []Route
		for _, each := range rapid.SliceOfNDistinct(prefix, 0, 6, rapid.ID[string]).Draw(t, "prefixes") {
			routes = append(routes, Route{Host: "h", Prefix: each})
		}
		path := prefix.Draw(t, "path") + "end"
		longest := ""
		for _, route := range routes {
			if strings.HasPrefix(path, route.Prefix) && len(route.Prefix) > len(longest) {
				longest = route.Prefix
			}
		}
		if got, _ := New(1, routes, nil, Limits{}).Match("h", path); got.Prefix != longest {
			t.Fatalf("%s matched %q, not %q", path, got.Prefix, longest)
		}
	})
}

func TestDrawFollowsWeights(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	route, _ := testConfiguration().Match("a", "/p/x")
	counts := map[string]int{}
	const draws = 10_000
	for range draws {
		counts[route.Draw(random)]++
	}
	if share := float64(counts["y"]) / draws; share < 0.88 || share > 0.92 {
		t.Errorf("share of y %v", share)
	}
	if !route.Allows("z") || route.Allows("x") {
		t.Error("Allows does not agree with the shares")
	}
	if got := (Route{Shares: []Share{{Service: "only"}, {Service: "b"}}}).Draw(random); got != "only" {
		t.Errorf("without weights drew %q, want the first service", got)
	}
}

func TestRepeatable(t *testing.T) {
	for _, each := range []struct {
		route Route
		want  bool
	}{
		{Route{Kind: KindSafe}, true}, {Route{Kind: KindUnsafe}, false}, {Route{Kind: KindStream}, false},
		{Route{Kind: KindStream, Resumable: true}, true}, {Route{Kind: KindBatch}, true}, {Route{}, false},
	} {
		if each.route.Repeatable() != each.want {
			t.Errorf("%+v: repeatable %t", each.route, !each.want)
		}
	}
}
