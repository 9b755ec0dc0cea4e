package jobs

import (
	"slices"
	"strings"

	"github.com/dykewing/dykewing/route"
)

// Terms are what a configuration says about the items of an inline job. Those of the configuration
// under which a job was accepted are stored with it: a process that only knows an older configuration
// runs the job's items by them, since the older one may lack their route or limit it otherwise.
type Terms struct {
	// Version is that of the configuration. A newer configuration takes precedence over the terms.
	Version int64 `json:"version"`
	// Routes are those of the items, each once. An item without one of them has no route.
	Routes []ItemRoute `json:"routes,omitempty"`
	// HasTenants reports whether the configuration has tenants.
	HasTenants bool `json:"has_tenants,omitempty"`
}

// ItemRoute is what a route says about the items whose paths it matches.
type ItemRoute struct {
	Prefix      string   `json:"prefix"`
	Services    []string `json:"services"` // at least one
	MaxAttempts int      `json:"max_attempts"`
}

// NewTerms returns the terms of a configuration for items that are submitted for a host.
func NewTerms(configuration *route.Configuration, host string, items []InlineItem) *Terms {
	terms := &Terms{Version: configuration.Version, HasTenants: configuration.HasTenants()}
	for _, item := range items {
		matched, ok := configuration.Match(host, item.Path)
		known := slices.ContainsFunc(terms.Routes, func(r ItemRoute) bool { return r.Prefix == matched.Prefix })
		if !ok || known {
			continue
		}
		added := ItemRoute{Prefix: matched.Prefix, MaxAttempts: matched.MaxAttempts}
		for _, share := range matched.Shares {
			added.Services = append(added.Services, share.Service)
		}
		terms.Routes = append(terms.Routes, added)
	}
	return terms
}

// Match returns the route of an item's path, of which only the fields in ItemRoute are set. It returns
// false if the item has none.
func (t *Terms) Match(path string) (matched route.Route, ok bool) {
	for _, each := range t.Routes {
		if !strings.HasPrefix(path, each.Prefix) || ok && len(each.Prefix) < len(matched.Prefix) {
			continue
		}
		matched, ok = route.Route{Prefix: each.Prefix, MaxAttempts: each.MaxAttempts}, true
		for _, service := range each.Services {
			matched.Shares = append(matched.Shares, route.Share{Service: service})
		}
	}
	return matched, ok
}

// NewerThan reports whether the terms are known to be newer than a configuration; 0: unknown. The terms
// may be nil.
func (t *Terms) NewerThan(version int64) bool { return t != nil && version > 0 && t.Version > version }

// InlineTerms returns the terms of a job, or nil if it has none: builds before Terms stored none.
func (s *State) InlineTerms(id JobID) (terms *Terms, err error) {
	err = s.storage.View(func(r Reader) error {
		_, err := get(r, inlineTermsKey(id), &terms)
		return err
	})
	return terms, err
}

func inlineTermsKey(id JobID) []byte { return nameKey(keyInlineTerms, string(id)) }

func (c *change) putTerms(id JobID, terms *Terms) {
	if terms != nil {
		c.put(inlineTermsKey(id), terms)
	}
}

// renewTerms replaces the terms of a job that is submitted again by newer ones. Terms of other items
// than the stored ones are ignored.
func (c *change) renewTerms(job InlineJob, command SubmitInline) {
	var known *Terms
	c.get(inlineTermsKey(job.ID), &known)
	if command.Terms == nil || known != nil && known.Version >= command.Terms.Version || len(command.Items) != job.Total {
		return
	}
	for index, item := range command.Items {
		var stored InlineItem
		if c.get(inlineKey(keyInlineItem, job.ID, index), &stored); stored.Path != item.Path {
			return
		}
	}
	c.putTerms(job.ID, command.Terms)
}
