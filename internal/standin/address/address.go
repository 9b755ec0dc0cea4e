// Package address gives tests addresses of this machine on which nobody else listens.
// Nothing is asked of the system and bound later: another process could come between.
package address

import (
	"net/netip"
	"os"
	"sync/atomic"
)

const (
	// FirstPort and the ones after it lie below those that systems give to
	// connections and to listeners that ask for any.
	FirstPort = 7101
	// Addresses end with numbers from firstHost on; all have three digits, so that
	// they sort as text as they were given.
	firstHost = 100
	hosts     = 150
)

// taken counts the addresses that this process has given.
var taken atomic.Uint32

// New gives an address of the loopback network, with portsAHost ports of its own, that this process has not given
// before; its middle is the number of the process.
func New() netip.AddrPort {
	n := taken.Add(1) - 1
	process := os.Getpid()
	host := netip.AddrFrom4([4]byte{127, byte(64 + process>>8&63), byte(process), byte(firstHost + n%hosts)})
	return netip.AddrPortFrom(host, uint16(FirstPort+portsAHost*(n/hosts)))
}

// portsAHost is how many ports from the given one on are the caller's.
const portsAHost = 4
