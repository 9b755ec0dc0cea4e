// Package address allocates loopback addresses for tests. They are derived from the process ID, since
// a free port that the system returns could be taken by another process before it is bound.
package address

import (
	"net/netip"
	"os"
	"sync/atomic"
)

const (
	// FirstPort is the lowest port. Ports are below the ephemeral range.
	FirstPort = 7101
	// firstHost is the last byte of the first address. All last bytes have three digits, so that
	// addresses sort as text in order of allocation.
	firstHost = 100
	hosts     = 150
)

// allocated is the number of addresses allocated by this process.
var allocated atomic.Uint32

// New returns a loopback address that this process has not allocated before. The caller may use
// portsPerHost ports from the returned one on.
func New() netip.AddrPort {
	n := allocated.Add(1) - 1
	process := os.Getpid()
	host := netip.AddrFrom4([4]byte{127, byte(64 + process>>8&63), byte(process), byte(firstHost + n%hosts)})
	return netip.AddrPortFrom(host, uint16(FirstPort+portsPerHost*(n/hosts)))
}

// portsPerHost is the number of consecutive ports reserved for each address.
const portsPerHost = 4
