package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func TestPartDigests(t *testing.T) {
	of := func(part string) Digest { return PartIdentity{Tenant: "t", Service: "s", Part: part}.Digest() }
	many := make([]string, 40)
	for i := range many {
		many[i] = fmt.Sprint(i)
	}
	tests := []struct {
		name  string
		parts []string
		want  []Digest
	}{
		{"none", nil, []Digest{}},
		{"only the request's own", []string{"own"}, []Digest{}},
		{"all but the last", []string{"a", "b", "own"}, []Digest{of("a"), of("b")}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := PartDigests("t", "s", test.parts); !slices.Equal(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
	if got := len(PartDigests("t", "s", many)); got != MaxParts {
		t.Errorf("%d of 40 parts are considered, want %d", got, MaxParts)
	}
	others := []Digest{
		PartIdentity{Tenant: "u", Service: "s", Part: "a"}.Digest(), PartIdentity{Tenant: "t", Service: "r", Part: "a"}.Digest(),
		PartIdentity{Tenant: "t", Service: "sa"}.Digest(), Identity{Tenant: "t", Host: "s", Target: "a"}.Digest(),
	}
	if slices.Contains(others, of("a")) {
		t.Error("another tenant, service, boundary or request has the same digest")
	}
}

// A part that all requests share must not be quarantined for the crashes of another part, as long as
// sound requests with it come to an end.
func TestSharedPartIsClearedBySoundRequests(t *testing.T) {
	tests := []struct {
		name  string
		sound bool
		want  []Digest
	}{
		{"sound requests end", true, []Digest{"bad"}},
		{"no sound request ends", false, []Digest{"bad", "shared"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d, now := New(Settings{}), start
			var got []Digest
			for n := range 3 {
				now = now.Add(2 * time.Second)
				own := Digest(fmt.Sprint("own", n))
				d.RecordCrash(now, Crash{Worker: fmt.Sprint("w", n), Unanswered: []Digest{own, "shared", "bad"}})
				if test.sound {
					d.RecordSurvival("shared")
				}
				entries, _ := d.Evaluate(now.Add(defaultReportWindow))
				for _, entry := range entries {
					got = append(got, entry.Digest)
				}
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("quarantined %v, want %v", got, test.want)
			}
		})
	}
}
