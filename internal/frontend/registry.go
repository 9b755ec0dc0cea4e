package frontend

import (
	"net"
	"net/http"
	"slices"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/backend"
)

const (
	// maximumAddresses of one answer of the registry.
	maximumAddresses = 64
	// enoughAddresses of a caller's own zone make others needless.
	enoughAddresses = 2
)

// serveReady tells whether this process takes requests.
func (f *Frontend) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != f.protocol.ReadyPath() {
		http.NotFound(w, r)
		return
	}
	if f.node.Leaving() || f.catalog.Configuration() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serveRegistry tells a caller which frontends to connect to: those of its own
// zone while there are enough.
func (f *Frontend) serveRegistry(w http.ResponseWriter, r *http.Request) {
	question, ok := f.protocol.ReadResolve(r)
	if !ok {
		http.NotFound(w, r)
		return
	}
	addresses := f.addressesFor(api.ZoneName(question.Zone))
	if len(addresses) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	answer, err := f.protocol.EncodeAddresses(backend.Addresses{Addresses: addresses, Lifetime: f.settings.AddressLifetime})
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(answer)
}

func (f *Frontend) addressesFor(zone api.ZoneName) []string {
	near, far := f.frontends(zone, withoutApart(f.node.Nodes(), func(node api.Node) bool { return !node.Suspected }))
	if len(near)+len(far) == 0 {
		near, far = f.frontends(zone, func(api.Node) bool { return true })
	}
	if len(near) < enoughAddresses {
		near = append(near, far...)
	}
	slices.Sort(near)
	return near[:min(len(near), maximumAddresses)]
}

// mostApart is the largest part of a zone's frontends that is left out because they don't
// reach the stores. With more of them it is the stores that are out of reach, and the
// others would have to take twice their load and more.
const mostApart = 0.5

// withoutApart is keep without those that say that they don't reach the stores, in zones
// where they are no more than mostApart of those that keep lets through.
func withoutApart(nodes []api.Node, keep func(api.Node) bool) func(api.Node) bool {
	all, apart := map[api.Location]int{}, map[api.Location]int{}
	for _, node := range nodes {
		if node.Role != api.RoleFrontend || node.Leaving || !keep(node) {
			continue
		}
		all[node.Location]++
		if node.Summary.Apart {
			apart[node.Location]++
		}
	}
	return func(node api.Node) bool {
		few := float64(apart[node.Location]) <= mostApart*float64(all[node.Location])
		return keep(node) && !(node.Summary.Apart && few)
	}
}

// frontends lists the addresses of those that take requests and that keep lets
// through, of the zone and of others.
func (f *Frontend) frontends(zone api.ZoneName, keep func(api.Node) bool) (near, far []string) {
	for _, other := range f.node.Nodes() {
		if other.Role != api.RoleFrontend || other.Leaving || !keep(other) || other.ID == f.node.ID() && f.node.Leaving() {
			continue
		}
		host, _, err := net.SplitHostPort(other.Address)
		if err != nil {
			continue
		}
		address := net.JoinHostPort(host, f.port)
		if other.Location.Zone == zone {
			near = append(near, address)
		} else {
			far = append(far, address)
		}
	}
	return near, far
}
