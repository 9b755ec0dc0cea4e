package jobs

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dykewing/dykewing/route"
)

// Guards against terms by which an item has another route than by the configuration they are taken from.
func TestTermsMatchLikeTheirConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		path := rapid.Map(rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b"}), 0, 3), func(parts []string) string {
			return "/" + strings.Join(append(parts, ""), "/")
		})
		var routes []route.Route
		for n, prefix := range rapid.SliceOfNDistinct(path, 0, 6, rapid.ID[string]).Draw(t, "prefixes") {
			host := rapid.SampledFrom([]string{"h", "other"}).Draw(t, "host")
			routes = append(routes, route.Route{Host: host, Prefix: prefix, MaxAttempts: n + 1, Shares: []route.Share{{Service: prefix}, {Service: "second"}}})
		}
		var items []InlineItem
		for _, each := range rapid.SliceOfN(path, 1, 8).Draw(t, "paths") {
			items = append(items, InlineItem{Path: each + "x"})
		}
		configuration := route.New(7, routes, nil, route.Limits{})
		terms := NewTerms(configuration, "h", items)
		if terms.Version != 7 || terms.HasTenants || len(terms.Routes) > len(routes) {
			t.Fatalf("terms %+v", terms)
		}
		for _, item := range items {
			want, wanted := configuration.Match("h", item.Path)
			got, ok := terms.Match(item.Path)
			if ok != wanted || got.Prefix != want.Prefix || got.MaxAttempts != want.MaxAttempts || ok && (len(got.Shares) != 2 || got.Shares[0].Service != want.Prefix) {
				t.Fatalf("%s: %+v, want %+v", item.Path, got, want)
			}
		}
	})
}

// Guards against a job that is accepted again under a newer configuration but run by the older one, and
// against terms of other items than the stored ones.
func TestTermsOfRepeatedSubmission(t *testing.T) {
	terms := func(version int64) *Terms {
		return &Terms{Version: version, Routes: []ItemRoute{{Prefix: "/", Services: []string{"s"}, MaxAttempts: int(version)}}}
	}
	other := inlineItems(2)
	other[1].Path = "/elsewhere"
	tests := []struct {
		name          string
		first, second *Terms
		items         []InlineItem // of the second submission
		want          *Terms
	}{
		{"newer", terms(3), terms(4), inlineItems(2), terms(4)},
		{"older", terms(3), terms(2), inlineItems(2), terms(3)},
		{"from a build without terms", terms(3), nil, inlineItems(2), terms(3)},
		{"after a build without terms", nil, terms(3), inlineItems(2), terms(3)},
		{"other items", terms(3), terms(4), other, terms(3)},
		{"fewer items", terms(3), terms(4), inlineItems(1), terms(3)},
		{"without any", nil, nil, inlineItems(2), nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newInlineState(t, Faults{})
			s.apply(Command{SubmitInline: &SubmitInline{Job: "j", Items: inlineItems(2), Terms: test.first}})
			if again := s.apply(Command{SubmitInline: &SubmitInline{Job: "j", Items: test.items, Terms: test.second}}); !again.Duplicate {
				t.Fatalf("second submission: %+v", again)
			}
			got, err := s.state.InlineTerms("j")
			if err != nil || (got == nil) != (test.want == nil) || got != nil && got.Version != test.want.Version {
				t.Errorf("terms %+v, %v, want %+v", got, err, test.want)
			}
		})
	}
}

// Guards against terms that outlive their job and fill the disk.
func TestTermsExpireWithTheirJob(t *testing.T) {
	s := newInlineState(t, Faults{})
	s.apply(Command{SubmitInline: &SubmitInline{Job: "j", Items: inlineItems(1), Retention: time.Second, Terms: &Terms{Version: 1}}})
	s.apply(Command{ExpireInline: &ExpireInline{Before: s.now.Add(time.Minute)}})
	if terms, err := s.state.InlineTerms("j"); terms != nil || err != nil {
		t.Errorf("terms %+v, %v", terms, err)
	}
}
