package config

import (
	"strings"
	"testing"
)

const validSettings = `node:
  id: router-1
  address: 127.0.0.1:7000
  region: dk-east
  zone: dk-east-a
`

func TestParseErrorsNameKeyAndLine(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"unknown key", validSettings + "  colour: red\n", "line 6: node.colour: unknown key"},
		{"unknown part", validSettings + "colours: {}\n", "line 6: colours: unknown key"},
		{"bad address", strings.Replace(validSettings, "127.0.0.1:7000", "localhost", 1), "line 3: node.address: localhost is not IP:port"},
		{"out of range", validSettings + "router:\n  batch_reserve: 2\n", "line 7: router.batch_reserve: 2 breaks the rule max=1"},
		{"not a duration", validSettings + "membership:\n  interval: soon\n", "line 7: membership.interval"},
		{"bad list element", validSettings + "peers:\n  - 127.0.0.1:1\n  - nowhere\n", "line 8: peers[1]: nowhere is not IP:port"},
		{"missing", "node:\n  address: 127.0.0.1:1\n", "node.id: is missing"},
		{"not YAML", "node: [", "settings test.yaml"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("test.yaml", []byte(c.text), nil)
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Fatalf("got %v, want %q", err, c.want)
			}
		})
	}
}

func TestParsePrecedence(t *testing.T) {
	settings, err := Parse("test.yaml", []byte(validSettings), map[string]any{"node.zone": "dk-east-b"})
	if err != nil {
		t.Fatal(err)
	}
	if settings.Node.Zone != "dk-east-b" || settings.Node.ID != "router-1" || settings.Store.Groups != Default().Store.Groups {
		t.Fatalf("got %+v", settings)
	}
}
