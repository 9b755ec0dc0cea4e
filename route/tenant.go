package route

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// Key is the SHA-256 digest of a tenant's secret. Secrets are not kept, so that the
// time of a lookup reveals nothing about them.
type Key [sha256.Size]byte

// KeyOf returns the key for a secret.
func KeyOf(secret string) Key { return sha256.Sum256([]byte(secret)) }

// String returns the first four bytes of the digest in hex, for logs.
func (k Key) String() string { return hex.EncodeToString(k[:4]) }

// Tenant is a customer whose requests carry one of its keys.
type Tenant struct {
	Name     string
	Keys     []Key
	Priority int // precedes the priority of routes; 0 is the highest
	Limit    RateLimit
}

// RateLimit is the rate limit of a tenant over all processes together.
type RateLimit struct {
	Rate  float64 // requests per second; 0 if unlimited
	Burst float64 // requests admitted at once above Rate
}

// Bounded reports whether there is a limit.
func (l RateLimit) Bounded() bool { return l.Rate > 0 }

// WithTenants sets the tenants and returns the errors found in them. It must be called
// before the configuration is used. An error does not affect other tenants: a tenant
// without a name is omitted, a duplicate keeps the first limit and priority and the
// keys of both, a key of two tenants identifies neither, and negative limits are
// ignored.
func (c *Configuration) WithTenants(tenants []Tenant) (problems []error) {
	c.tenants = make([]Tenant, 0, len(tenants))
	c.byKey = make(map[Key]int, len(tenants))
	byName := make(map[string]int, len(tenants))
	for i, tenant := range tenants {
		if tenant.Name == "" {
			problems = append(problems, fmt.Errorf("tenant %d: missing name, tenant ignored", i))
			continue
		}
		problems = append(problems, tenant.sanitize()...)
		index, twice := byName[tenant.Name]
		if twice {
			problems = append(problems, fmt.Errorf("tenant %s: duplicate entry, first limit and priority kept", tenant.Name))
		} else {
			index = len(c.tenants)
			byName[tenant.Name] = index
			c.tenants = append(c.tenants, tenant)
		}
		problems = append(problems, c.addKeys(index, tenant.Keys)...)
	}
	return problems
}

// sanitize sets negative limits to 0.
func (t *Tenant) sanitize() (problems []error) {
	if t.Limit.Rate < 0 {
		problems = append(problems, fmt.Errorf("tenant %s: negative rate %g, no limit applied", t.Name, t.Limit.Rate))
		t.Limit.Rate = 0
	}
	if t.Limit.Burst < 0 {
		problems = append(problems, fmt.Errorf("tenant %s: negative burst %g ignored", t.Name, t.Limit.Burst))
		t.Limit.Burst = 0
	}
	return problems
}

// ambiguousKey marks a key that belongs to several tenants.
const ambiguousKey = -1

func (c *Configuration) addKeys(index int, keys []Key) (problems []error) {
	empty := KeyOf("")
	for _, key := range keys {
		if key == empty {
			problems = append(problems, fmt.Errorf("tenant %s: empty key ignored", c.tenants[index].Name))
			continue
		}
		owner, known := c.byKey[key]
		if known && owner != index {
			problems = append(problems, fmt.Errorf("key %s of tenant %s is also used by another tenant, key ignored", key, c.tenants[index].Name))
			c.byKey[key] = ambiguousKey
			continue
		}
		c.byKey[key] = index
	}
	return problems
}

// HasTenants reports whether requests on non-public routes need a key.
func (c *Configuration) HasTenants() bool { return len(c.tenants) > 0 }

// TenantCount returns the number of tenants.
func (c *Configuration) TenantCount() int { return len(c.tenants) }

// Identify returns the tenant to which the key belongs.
func (c *Configuration) Identify(key Key) (Tenant, bool) {
	index, ok := c.byKey[key]
	if !ok || index == ambiguousKey {
		return Tenant{}, false
	}
	return c.tenants[index], true
}
