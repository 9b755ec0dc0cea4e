package address

import (
	"net"
	"net/netip"
	"testing"
)

func TestAddressesAreUniqueAndBindable(t *testing.T) {
	given := map[netip.AddrPort]bool{}
	for range 3 * hosts {
		each := New()
		if given[each] {
			t.Fatalf("%s was allocated twice", each)
		}
		given[each] = true
		listener, err := net.Listen("tcp", each.String())
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
	}
}

func TestAddressesSortInAllocationOrder(t *testing.T) {
	first, second := New(), New()
	if first.Port() == second.Port() && first.String() >= second.String() {
		t.Errorf("%s was allocated before %s", first, second)
	}
}
