package frontend

import (
	"net"
	"net/http"
	"slices"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/backend"
)

const (
	// maxAddresses limits one registry response.
	maxAddresses = 64
	// minLocalAddresses is the number of frontends in the caller's zone from which
	// those of other zones are left out.
	minLocalAddresses = 2
)

// serveReady answers 200 while this process accepts requests.
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

// serveRegistry returns the addresses of frontends: those in the caller's zone if there
// are enough.
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
	answer, err := f.protocol.EncodeAddresses(backend.ResolveResponse{Addresses: addresses, TTL: f.settings.AddressLifetime})
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(answer)
}

func (f *Frontend) addressesFor(zone api.ZoneName) []string {
	near, far := f.frontendAddresses(zone, excludeDisconnected(f.node.Nodes(), func(node api.Node) bool { return !node.Suspected }))
	if len(near)+len(far) == 0 {
		near, far = f.frontendAddresses(zone, func(api.Node) bool { return true })
	}
	if len(near) < minLocalAddresses {
		near = append(near, far...)
	}
	slices.Sort(near)
	return near[:min(len(near), maxAddresses)]
}

// maxExcludedFraction is the largest fraction of a zone's frontends that is excluded
// for being disconnected from the stores. Above it the stores are more likely at fault,
// and the remaining frontends would have to carry more than twice their load.
const maxExcludedFraction = 0.5

// excludeDisconnected restricts the filter keep to frontends that can reach the stores,
// in zones where at most maxExcludedFraction of the frontends can't.
func excludeDisconnected(nodes []api.Node, keep func(api.Node) bool) func(api.Node) bool {
	total, disconnected := map[api.Location]int{}, map[api.Location]int{}
	for _, node := range nodes {
		if node.Role != api.RoleFrontend || node.Leaving || !keep(node) {
			continue
		}
		total[node.Location]++
		if node.Summary.StoresUnreachable {
			disconnected[node.Location]++
		}
	}
	return func(node api.Node) bool {
		minority := float64(disconnected[node.Location]) <= maxExcludedFraction*float64(total[node.Location])
		return keep(node) && !(node.Summary.StoresUnreachable && minority)
	}
}

// frontendAddresses returns the addresses of available frontends that pass the filter
// keep, in the zone and in other zones.
func (f *Frontend) frontendAddresses(zone api.ZoneName, keep func(api.Node) bool) (near, far []string) {
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
