package route

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// Key is the digest of a tenant's secret. Only digests are kept: finding one
// compares no secret, so that the time it takes tells nothing of it.
type Key [sha256.Size]byte

// KeyOf gives the digest of a secret.
func KeyOf(secret string) Key { return sha256.Sum256([]byte(secret)) }

// String gives a short part of the digest, for logs.
func (k Key) String() string { return hex.EncodeToString(k[:4]) }

// Tenant is a customer whose requests carry one of its keys.
type Tenant struct {
	Name     string
	Keys     []Key
	Priority int // goes before that of routes; 0 is the highest
	Limit    Limit
}

// Limit is how many requests of a tenant may run over all processes together.
type Limit struct {
	Rate  float64 // requests a second; 0: no limit
	Burst float64 // requests above Rate
}

// Bounded is true where there is a limit.
func (l Limit) Bounded() bool { return l.Rate > 0 }

// WithTenants sets the tenants before the configuration is used and gives what is
// wrong with them. What is wrong with one does not touch the others: a tenant
// without a name is left out, one that stands twice keeps its first limit and
// priority with the keys of both, a key of two tenants is nobody's, and a negative
// figure counts as absent.
func (c *Configuration) WithTenants(tenants []Tenant) (problems []error) {
	c.tenants = make([]Tenant, 0, len(tenants))
	c.byKey = make(map[Key]int, len(tenants))
	byName := make(map[string]int, len(tenants))
	for i, tenant := range tenants {
		if tenant.Name == "" {
			problems = append(problems, fmt.Errorf("tenant %d has no name; it is left out", i))
			continue
		}
		problems = append(problems, tenant.mend()...)
		index, twice := byName[tenant.Name]
		if twice {
			problems = append(problems, fmt.Errorf("tenant %s stands twice; its first limit holds", tenant.Name))
		} else {
			index = len(c.tenants)
			byName[tenant.Name] = index
			c.tenants = append(c.tenants, tenant)
		}
		problems = append(problems, c.addKeys(index, tenant.Keys)...)
	}
	return problems
}

// mend replaces figures that mean nothing.
func (t *Tenant) mend() (problems []error) {
	if t.Limit.Rate < 0 {
		problems = append(problems, fmt.Errorf("tenant %s: rate %g is negative; it has no limit", t.Name, t.Limit.Rate))
		t.Limit.Rate = 0
	}
	if t.Limit.Burst < 0 {
		problems = append(problems, fmt.Errorf("tenant %s: burst %g is negative; it has none", t.Name, t.Limit.Burst))
		t.Limit.Burst = 0
	}
	return problems
}

// nobody marks a key of two tenants.
const nobody = -1

func (c *Configuration) addKeys(index int, keys []Key) (problems []error) {
	empty := KeyOf("")
	for _, key := range keys {
		if key == empty {
			problems = append(problems, fmt.Errorf("tenant %s has an empty key; it is left out", c.tenants[index].Name))
			continue
		}
		owner, known := c.byKey[key]
		if known && owner != index {
			problems = append(problems, fmt.Errorf("key %s of tenant %s is another's too; it is nobody's", key, c.tenants[index].Name))
			c.byKey[key] = nobody
			continue
		}
		c.byKey[key] = index
	}
	return problems
}

// HasTenants tells whether requests need a key, but on public routes.
func (c *Configuration) HasTenants() bool { return len(c.tenants) > 0 }

// Tenants is how many there are.
func (c *Configuration) Tenants() int { return len(c.tenants) }

// Identify finds the tenant that holds a key.
func (c *Configuration) Identify(key Key) (Tenant, bool) {
	index, ok := c.byKey[key]
	if !ok || index == nobody {
		return Tenant{}, false
	}
	return c.tenants[index], true
}
