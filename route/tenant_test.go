package route

import "testing"

func TestIdentify(t *testing.T) {
	a, b := KeyOf("secret a"), KeyOf("secret b")
	tests := []struct {
		name     string
		tenants  []Tenant
		key      Key
		want     string // tenant name; empty if none
		problems int
	}{
		{"one tenant", []Tenant{{Name: "x", Keys: []Key{a, b}}}, b, "x", 0},
		{"unknown key", []Tenant{{Name: "x", Keys: []Key{a}}}, b, "", 0},
		{"key of two tenants", []Tenant{{Name: "x", Keys: []Key{a}}, {Name: "y", Keys: []Key{a, b}}}, a, "", 1},
		{"unique key of the second tenant", []Tenant{{Name: "x", Keys: []Key{a}}, {Name: "y", Keys: []Key{a, b}}}, b, "y", 1},
		{"key of three tenants", []Tenant{{Name: "x", Keys: []Key{a}}, {Name: "y", Keys: []Key{a}}, {Name: "z", Keys: []Key{a}}}, a, "", 2},
		{"duplicate key of one tenant", []Tenant{{Name: "x", Keys: []Key{a, a}}}, a, "x", 0},
		{"empty key", []Tenant{{Name: "x", Keys: []Key{KeyOf("")}}}, KeyOf(""), "", 1},
		{"unnamed tenant", []Tenant{{Keys: []Key{a}}, {Name: "y", Keys: []Key{b}}}, a, "", 1},
		{"tenant next to an unnamed one", []Tenant{{Keys: []Key{a}}, {Name: "y", Keys: []Key{b}}}, b, "y", 1},
		{"duplicate tenant", []Tenant{{Name: "x", Keys: []Key{a}}, {Name: "x", Keys: []Key{b}}}, b, "x", 1},
		{"no tenants", nil, a, "", 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := New(1, nil, nil, Limits{})
			problems := c.WithTenants(test.tenants)
			got, found := c.Identify(test.key)
			if got.Name != test.want || found != (test.want != "") || len(problems) != test.problems {
				t.Errorf("tenant %q, found %t, problems %v", got.Name, found, problems)
			}
		})
	}
}

func TestNegativeLimitsAreIgnored(t *testing.T) {
	c := New(1, nil, nil, Limits{})
	key := KeyOf("a")
	problems := c.WithTenants([]Tenant{{Name: "x", Keys: []Key{key}, Limit: RateLimit{Rate: -1, Burst: -2}}})
	got, found := c.Identify(key)
	if !found || got.Limit != (RateLimit{}) || got.Limit.Bounded() || len(problems) != 2 {
		t.Errorf("%+v, %v", got, problems)
	}
}
