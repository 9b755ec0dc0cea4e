package address

import (
	"net"
	"net/netip"
	"testing"
)

func TestAddressesAreNeverGivenTwiceAndCanBeBound(t *testing.T) {
	given := map[netip.AddrPort]bool{}
	for range 3 * hosts {
		each := New()
		if given[each] {
			t.Fatalf("%s is given twice", each)
		}
		given[each] = true
		listener, err := net.Listen("tcp", each.String())
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
	}
}

func TestAddressesSortAsTextAsTheyWereGiven(t *testing.T) {
	first, second := New(), New()
	if first.Port() == second.Port() && first.String() >= second.String() {
		t.Errorf("%s before %s", first, second)
	}
}
